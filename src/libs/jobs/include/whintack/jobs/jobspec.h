#ifndef WHINTACK_JOBS_JOBSPEC_H
#define WHINTACK_JOBS_JOBSPEC_H

#include "whintack/base/computeresources.h"
#include "whintack/base/enumnames.h"
#include "whintack/base/time.h"
#include "whintack/jobs/taskkey.h"

#include <algorithm>
#include <string>
#include <vector>

namespace whintack::jobs {

using whintack::ComputeResources;
using whintack::MilliCoresPerCore;

/// A step of a job: a number of tasks of the same kind.
struct StepSpec {
  size_t Count = 1;
  ComputeResources Need;
  /// The client's rough estimate of a task's run time.
  Duration Estimate = Duration::zero();
  /// Indices of the earlier steps whose tasks must all have completed before
  /// this step starts.
  std::vector<size_t> Dependencies;
  /// Label that an executor must have. Empty if any executor will do.
  std::string RequiredLabel;
  /// Rack that holds the input data. Empty if there is none.
  std::string DataRack;
  /// Maximum number of tasks of one occurrence of the step on one executor; 0
  /// for no limit.
  size_t MaxTasksPerExecutor = 0;
  /// Image that the tasks run. Tasks of the same image behave alike.
  std::string Image;
  /// Target for the tail latency of a serving task; 0 if the tasks do not serve
  /// requests.
  Duration TailLatencyTarget = Duration::zero();
  /// How many tasks of the step the system may make unavailable at a time.
  /// Applies only if HasMaxUnavailable is set.
  size_t MaxUnavailable = 0;
  bool HasMaxUnavailable = false;
  bool IsCheckpointing = false;
  /// Gang scheduling: the tasks start together and end together.
  bool IsGang = false;
  /// The tasks run on a single rack, because they are slower when spread over
  /// several.
  bool IsOnOneRack = false;
  bool AllowsCopies = false;
  /// The tasks run until the job is cancelled.
  bool IsLongRunning = false;
  /// Best effort: the tasks use only processor time that other tasks leave
  /// unused.
  bool IsBestEffort = false;

  bool isServing() const { return this->TailLatencyTarget > Duration::zero(); }
  /// Resources that are booked on the executor for one task. Best-effort tasks
  /// book no processor time.
  ComputeResources bookedResources() const {
    ComputeResources Booked = this->Need;
    if (this->IsBestEffort)
      Booked.MilliCores = 0;
    return Booked;
  }
};

/// Maximum number of tasks of a job, all occurrences together. Its progress is
/// one value of the store, of at most 1 MiB, and takes up to 100 bytes for each
/// task.
constexpr uint64_t MaxJobTasks = 10000;

/// A job as its client submitted it.
struct JobSpec {
  JobId Id;
  /// Passed to each task as is.
  std::string TaskPayload;
  std::vector<StepSpec> Steps;
  /// Number of scheduled runs of the steps; 0 to run them once, immediately.
  int64_t Repetitions = 0;
  WallTime FirstRun;
  Duration Interval = Duration::zero();

  int64_t occurrences() const {
    return std::max<int64_t>(this->Repetitions, 1);
  }
  bool isPeriodic() const { return this->Repetitions > 0; }
  /// Number of tasks of all occurrences.
  uint64_t taskCount() const {
    uint64_t Count = 0;
    for (const StepSpec &Step : this->Steps)
      Count += Step.Count;
    return Count * static_cast<uint64_t>(this->occurrences());
  }
};

/// State of a job as clients see it.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

inline constexpr EnumNames<JobState, 5> JobStateNames = {{
    {JobState::Queued, "queued"},
    {JobState::Running, "running"},
    {JobState::Completed, "completed"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
}};

/// Whether a job in this state can no longer change.
inline bool isFinal(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_JOBSPEC_H
