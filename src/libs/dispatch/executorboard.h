#ifndef WHINTACK_DISPATCH_EXECUTORBOARD_H
#define WHINTACK_DISPATCH_EXECUTORBOARD_H

#include "context.h"

#include "whintack/jobs/gateways.h"

#include <set>

namespace whintack::dispatch::Internal {

/// Looks at the list of executors while this process plans some service. A
/// watch would answer at every heartbeat of every executor.
class ExecutorBoard : public std::enable_shared_from_this<ExecutorBoard> {
public:
  using Hook = std::function<void(const std::vector<jobs::ExecutorInfo> &)>;

  ExecutorBoard(Context Shared, std::string Prefix,
                decltype(jobs::PlatformWords::DecodeExecutor) Decode,
                std::function<bool()> IsNeeded, Hook OnList);

  void start();
  void stop() { this->IsStopped = true; }
  /// Looks at once.
  void lookNow();

private:
  void look(const std::string &After);
  void take(store::StoreResult<store::StorePage> Answer);
  void later();

  Context Shared;
  std::string Prefix;
  decltype(jobs::PlatformWords::DecodeExecutor) Decode;
  std::function<bool()> IsNeeded;
  Hook OnList;
  std::vector<jobs::ExecutorInfo> Reading;
  /// Keys whose unreadable entry has been logged.
  std::set<std::string> Unreadable;
  bool IsLooking = false;
  bool LooksAgain = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_EXECUTORBOARD_H
