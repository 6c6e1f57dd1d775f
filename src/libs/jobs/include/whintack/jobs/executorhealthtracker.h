#ifndef WHINTACK_JOBS_EXECUTORHEALTHTRACKER_H
#define WHINTACK_JOBS_EXECUTORHEALTHTRACKER_H

#include "whintack/base/time.h"
#include "whintack/jobs/taskkey.h"

#include <set>
#include <unordered_map>

namespace whintack::jobs {

/// Tracks which executors are suspected of being faulty, from how runs end on
/// them. It detects executors that fail whatever they start although their
/// health checks succeed. Failures are counted by distinct jobs, so that one
/// faulty job does not make an executor suspect.
class ExecutorHealthTracker {
public:
  /// A run succeeded; the executor is no longer suspect.
  void noteSuccess(const ExecutorId &Id);
  /// A run of \p Job failed on the executor.
  void noteFailure(const ExecutorId &Id, const JobId &Job, TimePoint Now);
  /// The executor refused an order as unhealthy, or did not answer it.
  void noteUnavailable(const ExecutorId &Id, TimePoint Now);

  /// Whether new tasks should be placed elsewhere.
  bool isSuspect(const ExecutorId &Id, TimePoint Now) const;
  /// Removes all records of the executor.
  void forget(const ExecutorId &Id) { this->Records.erase(Id); }

private:
  struct Record {
    std::set<JobId> FailedJobs;
    TimePoint SuspectUntil = TimePoint::min();
    /// How often the executor was suspected since its last successful run.
    int64_t Suspicions = 0;
  };

  void markSuspect(Record &Entry, TimePoint Now) const;

  std::unordered_map<ExecutorId, Record> Records;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_EXECUTORHEALTHTRACKER_H
