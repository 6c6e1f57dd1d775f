#ifndef WHINTACK_FLEET_PLACEMENT_H
#define WHINTACK_FLEET_PLACEMENT_H

#include "whintack/declaration/declaration.h"

#include <map>
#include <vector>

namespace whintack::fleet {

/// A worker with its capacity and its free resources.
struct WorkerView {
  VmName Name;
  RackName Rack;
  Resources Capacity;
  Resources Free;
};

/// A task that waits for a worker.
struct WaitingTask {
  TaskId Id;
  JobName Job;
  TeamName Owner;
  declaration::Priority PriorityLevel = declaration::Priority::Normal;
  /// Expected resource use of the task.
  Resources Size;
  /// Workers on which the task has failed.
  std::vector<VmName> Avoided;
};

/// A running task.
struct PlacedTask {
  TaskId Id;
  JobName Job;
  TeamName Owner;
  VmName Worker;
  declaration::Priority PriorityLevel = declaration::Priority::Normal;
  Resources Size;
  bool IsCheckpointable = false;
};

/// Why a task waits.
enum class WaitReason { NoRoom, Quota, TooLarge, Preempting };

inline constexpr EnumNames<WaitReason, 4> WaitReasonNames = {{
    {WaitReason::NoRoom, "no-room"},
    {WaitReason::Quota, "quota"},
    {WaitReason::TooLarge, "larger-than-any-worker"},
    {WaitReason::Preempting, "preempting"},
}};

/// A task to be started on a worker.
struct TaskPlacement {
  TaskId Id;
  VmName Worker;
};

/// A task that must keep waiting.
struct TaskWait {
  TaskId Id;
  WaitReason Reason = WaitReason::NoRoom;
};

/// Workers, tasks and quotas for the placement. A team without a quota gets no
/// task placed.
struct PlacementInput {
  std::vector<WorkerView> Workers;
  std::vector<WaitingTask> Waiting;
  std::vector<PlacedTask> Running;
  std::map<TeamName, Resources> Quotas;
};

/// Result of the placement.
struct PlacementPlan {
  std::vector<TaskPlacement> Starts;
  /// Tasks to checkpoint to make room for urgent ones.
  std::vector<TaskId> Preempted;
  std::vector<TaskWait> Waits;
};

/// Places waiting tasks by best fit, in the order of their priority. Among the
/// best fitting workers one is chosen that spreads the tasks of the job over
/// racks. If an urgent task fits on no worker at present, checkpointable tasks
/// of lower priority are preempted.
PlacementPlan planPlacement(const PlacementInput &Input);

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_PLACEMENT_H
