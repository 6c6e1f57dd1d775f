#ifndef WHINTACK_FLEET_RUNRECORD_H
#define WHINTACK_FLEET_RUNRECORD_H

#include "whintack/base/enumnames.h"
#include "whintack/base/identifier.h"
#include "whintack/base/time.h"

#include <cpprest/json.h>
#include <optional>
#include <vector>

namespace whintack::fleet {

/// Phase of a task.
enum class TaskPhase {
  Waiting,
  /// Recorded as started; the order to the worker may still be in transit.
  Starting,
  Running,
  /// Stopped with its state saved; waits to resume on a worker.
  Checkpointed,
  Done,
  /// Failed and will not be retried.
  Failed,
  /// May have run, and must not run twice.
  Unknown,
  Cancelled,
};

inline constexpr EnumNames<TaskPhase, 8> TaskPhaseNames = {{
    {TaskPhase::Waiting, "waiting"},
    {TaskPhase::Starting, "starting"},
    {TaskPhase::Running, "running"},
    {TaskPhase::Checkpointed, "checkpointed"},
    {TaskPhase::Done, "done"},
    {TaskPhase::Failed, "failed"},
    {TaskPhase::Unknown, "unknown"},
    {TaskPhase::Cancelled, "cancelled"},
}};

/// One task of a run.
struct RunTask {
  TaskPhase Phase = TaskPhase::Waiting;
  VmName Worker;
  /// Number of attempts so far. Part of the task ID, so that an order that is
  /// given twice starts only one task.
  uint64_t Attempt = 0;
  WallTime StartedAt;
  std::vector<VmName> FailedOn;

  bool operator==(const RunTask &) const = default;
};

/// One run of a job with all its tasks, stored as one value.
struct RunRecord {
  std::string Id;
  JobName Job;
  PoolName Pool;
  OperatorName SubmittedBy;
  WallTime SubmittedAt;
  bool IsCancelled = false;
  /// Reason why the run was condemned and is not retried any more; empty for
  /// other runs.
  std::string Condemned;
  std::vector<RunTask> Tasks;

  /// Whether all tasks are in a final phase.
  bool isEnded() const;
  /// Number of tasks in \p Phase.
  size_t count(TaskPhase Phase) const;
};

/// Maximum number of tasks in a run, which keeps its value far below the size
/// limit of the store.
constexpr int64_t MaxTasksPerRun = 2000;

/// ID of the current attempt of a task: run, index and attempt.
TaskId taskIdOf(const RunRecord &Run, size_t Index);

/// Keys of the runs in the platform's store.
std::string runPrefix(const PoolName &Pool);
std::string runKey(const PoolName &Pool, const std::string &Id);
inline constexpr const char *AllRunsPrefix = "whintack/run/";

/// Encodes a run as it is stored.
web::json::value toJson(const RunRecord &Record);
/// Decodes a stored run. Returns nothing if \p Object is not valid.
std::optional<RunRecord> runFromJson(const web::json::value &Object);

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_RUNRECORD_H
