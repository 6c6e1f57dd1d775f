#ifndef WHINTACK_FLEET_FAILURETRACKER_H
#define WHINTACK_FLEET_FAILURETRACKER_H

#include "whintack/base/identifier.h"

#include <map>
#include <set>

namespace whintack::fleet {

/// Tracks task failures to tell faulty workers from faulty jobs. A worker is
/// bad if several jobs failed on it; a job is bad if it failed on several
/// workers that are not bad themselves. Not thread-safe.
class FailureTracker {
public:
  /// Records that a task of \p Job failed on \p Worker.
  void recordFailure(const JobName &Job, const VmName &Worker);
  /// Records that a task of \p Job finished on \p Worker. Clears the failures
  /// of both.
  void recordSuccess(const JobName &Job, const VmName &Worker);

  /// Whether so many jobs failed on \p Worker that it gets no more tasks.
  bool isBadWorker(const VmName &Worker) const;
  /// Whether \p Job failed on so many workers that its runs are condemned.
  bool isBadJob(const JobName &Job) const;

private:
  std::map<VmName, std::set<JobName>> FailedJobs;
  std::map<JobName, std::set<VmName>> FailedWorkers;
};

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_FAILURETRACKER_H
