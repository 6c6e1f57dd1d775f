#ifndef WHINTACK_JOBS_EXECUTORJUDGE_H
#define WHINTACK_JOBS_EXECUTORJUDGE_H

#include "whintack/base/time.h"
#include "whintack/jobs/taskkey.h"

#include <set>
#include <unordered_map>

namespace whintack::jobs {

/// Judges executors by how runs end on them, for the load "an executor fails
/// whatever it starts while its health answers are good". One faulty job does
/// not condemn an executor: failures count by distinct jobs.
class ExecutorJudge {
public:
  void noteDone(const ExecutorId &On);
  void noteFailure(const ExecutorId &On, const JobId &Job, TimePoint Now);
  /// The executor turned an order away as not well, or did not answer it.
  void noteUnwell(const ExecutorId &On, TimePoint Now);

  /// Whether new work should go elsewhere.
  bool isSuspect(const ExecutorId &On, TimePoint Now) const;
  void forget(const ExecutorId &On) { this->Records.erase(On); }

private:
  struct Record {
    std::set<JobId> FailedJobs;
    TimePoint SuspectUntil = TimePoint::min();
    /// Verdicts since the last run that ended done.
    int64_t Verdicts = 0;
  };

  void condemn(Record &Of, TimePoint Now) const;

  std::unordered_map<ExecutorId, Record> Records;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_EXECUTORJUDGE_H
