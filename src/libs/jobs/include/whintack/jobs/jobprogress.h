#ifndef WHINTACK_JOBS_JOBPROGRESS_H
#define WHINTACK_JOBS_JOBPROGRESS_H

#include "whintack/base/result.h"
#include "whintack/jobs/jobspec.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace whintack::jobs {

/// What is stored of one task that has been worked on.
struct TaskProgress {
  bool IsDone = false;
  /// Runs that ended as failed.
  std::set<uint64_t> FailedRuns;
  std::string Checkpoint;
};

/// What is stored of a job beside what its client handed in: everything that
/// executors are then told to forget.
struct JobProgress {
  JobState State = JobState::Queued;
  std::map<TaskKey, TaskProgress> Tasks;
};

/// Error in a stored record.
struct ProgressError {
  std::string Message;
};

std::string encodeProgress(const JobProgress &Progress);
/// Reads what encodeProgress() wrote for the job \p Job.
Result<JobProgress, ProgressError> decodeProgress(const JobId &Job,
                                                  const std::string &Text);

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_JOBPROGRESS_H
