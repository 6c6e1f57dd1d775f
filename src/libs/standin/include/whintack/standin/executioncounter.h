#ifndef WHINTACK_STANDIN_EXECUTIONLEDGER_H
#define WHINTACK_STANDIN_EXECUTIONLEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace whintack::standin {

/// What the backend servers ran, counted at the servers.
struct ExecutionCounts {
  uint64_t Executions = 0;
  /// Orders that ran more than once.
  uint64_t Doubled = 0;
  /// Most requests that one server ran at once.
  int64_t MostRunning = 0;
};

/// Counts what backend servers run, by the order that a request carries. Safe
/// for several threads.
class ExecutionLedger {
public:
  /// Notes that a server begins to run \p Order; empty if it carries none.
  void begin(const std::string &Server, const std::string &Order);
  void end(const std::string &Server);

  ExecutionCounts counts() const;
  /// How often \p Order ran.
  uint64_t executions(const std::string &Order) const;
  int64_t running(const std::string &Server) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, uint64_t> Orders;
  std::map<std::string, int64_t> Running;
  ExecutionCounts Counts;
};

} // namespace whintack::standin

#endif // WHINTACK_STANDIN_EXECUTIONLEDGER_H
