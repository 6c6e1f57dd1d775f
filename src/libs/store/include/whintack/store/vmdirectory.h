#ifndef WHINTACK_STORE_VMDIRECTORY_H
#define WHINTACK_STORE_VMDIRECTORY_H

#include "whintack/base/address.h"
#include "whintack/base/enumnames.h"
#include "whintack/base/identifier.h"
#include "whintack/declaration/resources.h"
#include "whintack/store/keyvaluestore.h"

#include <functional>
#include <vector>

namespace whintack::store {

/// State of a VM in the platform's list.
enum class VmState { Live, Leaving, Gone };

inline constexpr EnumNames<VmState, 3> VmStateNames = {{
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
    {VmState::Gone, "gone"},
}};

/// Purpose of a VM.
enum class VmRole { Worker, Entry };

inline constexpr EnumNames<VmRole, 2> VmRoleNames = {{
    {VmRole::Worker, "worker"},
    {VmRole::Entry, "entry"},
}};

/// One VM in the platform's list. The list lags behind the actual state.
struct VmInfo {
  VmName Name;
  VmRole Role = VmRole::Worker;
  DataCentreName DataCentre;
  RackName Rack;
  VmState State = VmState::Live;
  /// Increases with every start of the VM.
  uint64_t Incarnation = 1;
  /// Address at which the backend server on the VM listens.
  Address Server;
  Resources Capacity;
  /// Pool whose backend server runs on the VM; empty for none.
  PoolName Pool;
};

/// The platform's list of VMs.
struct VmDirectory {
  std::function<StoreResult<std::vector<VmInfo>>()> List;
};

/// State of a task as its worker reports it.
enum class TaskState { Running, Checkpointed, Finished, Failed, Lost };

inline constexpr EnumNames<TaskState, 5> TaskStateNames = {{
    {TaskState::Running, "running"},
    {TaskState::Checkpointed, "checkpointed"},
    {TaskState::Finished, "finished"},
    {TaskState::Failed, "failed"},
    {TaskState::Lost, "lost"},
}};

/// An order to start a task on a worker. The worker refuses an epoch lower than
/// the highest one that it has seen for the task's job.
struct TaskStart {
  TaskId Task;
  JobName Job;
  VmName Worker;
  uint64_t Epoch = 0;
  Resources Size;
  bool ResumesCheckpoint = false;
};

/// A worker's report about one task. Reports lag behind the actual state.
struct TaskReport {
  TaskId Task;
  JobName Job;
  VmName Worker;
  TaskState State = TaskState::Running;
  uint64_t Epoch = 0;
  Resources Used;
};

/// Control over VMs and their tasks through the platform. All calls are
/// idempotent.
struct WorkerControl {
  std::function<StoreResult<void>(const VmName &Vm, uint64_t Epoch)> Drain;
  /// Reboots the VM if it still has \p Incarnation.
  std::function<StoreResult<void>(const VmName &Vm, uint64_t Incarnation,
                                  uint64_t Epoch)>
      Reboot;
  /// Assigns the VM to a pool. It runs that pool's backend server from its next
  /// start.
  std::function<StoreResult<void>(const VmName &Vm, const PoolName &Pool,
                                  uint64_t Epoch)>
      Assign;
  std::function<StoreResult<void>(const TaskStart &Start)> StartTask;
  std::function<StoreResult<void>(const TaskId &Task, uint64_t Epoch)>
      Checkpoint;
  std::function<StoreResult<void>(const TaskId &Task, uint64_t Epoch)> Stop;
  std::function<StoreResult<std::vector<TaskReport>>()> Report;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_VMDIRECTORY_H
