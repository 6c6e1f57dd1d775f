#ifndef WHINTACK_DISPATCH_STOREBACKLOGMONITOR_H
#define WHINTACK_DISPATCH_STOREBACKLOGMONITOR_H

#include "whintack/jobs/planner.h"

namespace whintack::dispatch::Internal {

/// How far the store is behind the planner of a service.
struct BacklogSample {
  jobs::StoreBacklog Planned;
  /// Commits that have been sent and not answered.
  size_t OpenCommits = 0;
  /// When the oldest of them was sent; TimePoint::max() if there is none.
  TimePoint OldestCommitAt = TimePoint::max();
  /// The planner's claim certainly holds. Without it, another planner may
  /// already have stored and acknowledged the same ends.
  bool IsClaimValid = false;
};

/// Logs while the store is far behind the planner of a service: at most one
/// line a second, and one when it has caught up.
class StoreBacklogMonitor {
public:
  StoreBacklogMonitor(ServiceName Service, jobs::DecisionLog Log);

  /// A commit of \p Jobs jobs was stored.
  void noteWritten(size_t Jobs);
  /// Looks at the current backlog.
  void update(const BacklogSample &Current, TimePoint Now);

private:
  ServiceName Service;
  jobs::DecisionLog Log;
  bool IsBehind = false;
  /// A line was logged since the store fell behind.
  bool IsLogged = false;
  TimePoint BehindSince = TimePoint::min();
  TimePoint NextLogAt = TimePoint::min();
  /// What was stored since the last log line, or since the store fell behind.
  size_t WrittenCommits = 0;
  size_t WrittenJobs = 0;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_STOREBACKLOGMONITOR_H
