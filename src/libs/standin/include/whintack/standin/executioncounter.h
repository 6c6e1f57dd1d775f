#ifndef WHINTACK_STANDIN_EXECUTIONCOUNTER_H
#define WHINTACK_STANDIN_EXECUTIONCOUNTER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace whintack::standin {

/// Executions as counted at the backend servers.
struct ExecutionCounts {
  uint64_t Executions = 0;
  /// Orders that ran more than once.
  uint64_t DuplicateExecutions = 0;
  /// Highest number of requests that one server ran at the same time.
  int64_t MaxRunning = 0;
};

/// Counts the executions at the backend servers by order identifier. Logs each
/// order that runs twice, and each time that a server runs more requests at
/// once than any server did before. Thread-safe.
class ExecutionCounter {
public:
  /// Records that a server begins to run a request; \p Order is empty if the
  /// request carries no order.
  void begin(const std::string &Server, const std::string &Order);
  void end(const std::string &Server);

  ExecutionCounts counts() const;
  /// The number of times that \p Order ran.
  uint64_t executions(const std::string &Order) const;
  int64_t running(const std::string &Server) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, uint64_t> Orders;
  std::map<std::string, int64_t> Running;
  ExecutionCounts Counts;
};

} // namespace whintack::standin

#endif // WHINTACK_STANDIN_EXECUTIONCOUNTER_H
