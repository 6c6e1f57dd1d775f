#ifndef WHINTACK_FLEET_TASKPLANNER_H
#define WHINTACK_FLEET_TASKPLANNER_H

#include "whintack/fleet/failuretracker.h"
#include "whintack/fleet/placement.h"
#include "whintack/fleet/runrecord.h"
#include "whintack/fleet/sizeestimator.h"
#include "whintack/fleet/view.h"

#include <map>

namespace whintack::fleet {

/// State of a task as reported by its worker. Reports lag behind.
enum class ReportedState { Running, Checkpointed, Finished, Failed, Lost };

/// Report of a worker about one attempt of a task.
struct ReportedTask {
  TaskId Id;
  ReportedState State = ReportedState::Running;
  Resources Used;
};

/// Applies the reports of the workers to \p Run. A lost task ends as unknown if
/// it must not run twice; otherwise it waits again. Returns whether the run has
/// changed.
bool applyReports(RunRecord &Run, const declaration::Job &Job,
                  const std::map<TaskId, ReportedTask> &Reports,
                  FailureTracker &Failures, SizeEstimator &Sizes);

/// Ends the waiting and checkpointed tasks of \p Run if it is cancelled or
/// condemned. Returns whether the run has changed.
bool endWaitingTasks(RunRecord &Run);

/// The runs, VMs and declarations from which the tasks of one pool are planned.
struct TaskInput {
  std::vector<RunRecord> Runs;
  std::vector<VmView> Vms;
  std::map<VmName, Resources> Capacities;
  std::map<JobName, declaration::Job> Jobs;
  std::map<TeamName, declaration::Team> Teams;
  Duration DrainTimeout = std::chrono::minutes(5);
};

/// Position of a task in a list of runs.
struct TaskPosition {
  size_t Run = 0;
  size_t Index = 0;
};

/// A task to be started.
struct PlannedStart {
  TaskPosition Place;
  VmName Worker;
  Resources Size;
};

/// The next steps for the tasks of a pool.
struct TaskPlan {
  std::vector<PlannedStart> Starts;
  /// Tasks to checkpoint because their VM is draining or an urgent task needs
  /// their resources.
  std::vector<TaskPosition> Checkpoints;
  /// Tasks to stop because their run was cancelled or condemned, or because
  /// they are still on a VM after its drain timeout. The latter are stopped
  /// only if they may run again and cannot be checkpointed.
  std::vector<TaskPosition> Stops;
  /// Runs to condemn, by index, with the reason.
  std::map<size_t, std::string> Condemned;
  /// Number of waiting tasks by reason.
  std::map<WaitReason, int64_t> Waits;
};

/// Plans the next steps for all tasks of a pool.
TaskPlan planTasks(const TaskInput &Input, const FailureTracker &Failures,
                   const SizeEstimator &Sizes, WallTime Now);

/// Number of tasks that run or may run on \p Vm.
int64_t tasksOn(const std::vector<RunRecord> &Runs, const VmName &Vm);

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_TASKPLANNER_H
