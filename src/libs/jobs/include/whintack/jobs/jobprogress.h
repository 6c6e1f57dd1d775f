#ifndef WHINTACK_JOBS_JOBPROGRESS_H
#define WHINTACK_JOBS_JOBPROGRESS_H

#include "whintack/base/result.h"
#include "whintack/jobs/jobspec.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace whintack::jobs {

/// Stored state of one task that has run.
struct TaskProgress {
  bool IsDone = false;
  /// Numbers of the runs that ended as failed.
  std::set<uint64_t> FailedRuns;
  std::string Checkpoint;
  /// Numbers of the runs that may have crashed their executor.
  std::set<uint64_t> CrashedRuns;
  /// Numbers of the runs whose start order was not answered by an executor that
  /// may have been gone already.
  std::set<uint64_t> LostStarts;

  /// Number of executors that may have crashed under the task.
  size_t possibleCrashes() const {
    return this->CrashedRuns.size() + this->LostStarts.size();
  }
};

/// Stored state of a job in addition to its specification: everything that
/// executors may discard once it is stored.
struct JobProgress {
  JobState State = JobState::Queued;
  std::map<TaskKey, TaskProgress> Tasks;
};

/// A stored record cannot be decoded.
struct ProgressError {
  std::string Message;
};

/// Encodes the progress for the store.
std::string encodeProgress(const JobProgress &Progress);
/// Decodes what encodeProgress() wrote for \p Job.
Result<JobProgress, ProgressError> decodeProgress(const JobId &Job,
                                                  const std::string &Text);

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_JOBPROGRESS_H
