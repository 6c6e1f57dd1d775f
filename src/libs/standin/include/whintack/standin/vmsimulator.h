#ifndef WHINTACK_STANDIN_VMSIMULATOR_H
#define WHINTACK_STANDIN_VMSIMULATOR_H

#include "whintack/base/time.h"
#include "whintack/store/vmdirectory.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace whintack::standin {

/// Called when a VM starts, stops or begins to drain, so that its backend
/// server follows. The hooks run under the simulator's lock and must not call
/// it.
struct VmHooks {
  std::function<void(const store::VmInfo &Vm)> OnStart;
  std::function<void(const store::VmInfo &Vm)> OnStop;
  std::function<void(const store::VmInfo &Vm)> OnLeaving;
};

/// Calls a function once a deadline has passed.
using Scheduler =
    std::function<void(TimePoint Deadline, std::function<void()> Call)>;

/// Timing of the simulated VMs.
struct VmBehaviour {
  Duration RebootTime = std::chrono::milliseconds(300);
  /// Age of the state that the VM list shows.
  Duration ListLag = std::chrono::milliseconds(100);
  /// How long a task runs.
  Duration TaskTime = std::chrono::seconds(1);
};

/// Numbers of operations that took effect or were refused, for checks.
struct VmCounts {
  uint64_t Reboots = 0;
  uint64_t Drains = 0;
  uint64_t RefusedEpochs = 0;
  uint64_t TaskStarts = 0;
};

/// Simulates the platform's VMs: drains and reboots them, runs tasks on them,
/// and lists them with a lag. Thread-safe.
class VmSimulator {
public:
  VmSimulator(std::vector<store::VmInfo> Vms, VmBehaviour Behaviour,
              VmHooks Hooks, Clock Time, Scheduler CallAt);

  /// Starts all VMs.
  void start();

  store::VmDirectory directory();
  store::WorkerControl workers();

  /// The current state of all VMs, without the lag of the list.
  std::vector<store::VmInfo> now() const;
  VmCounts counts() const;

  /// Takes a VM down without draining it; it stays down until revived.
  void kill(const VmName &Name);
  void revive(const VmName &Name);
  /// All tasks with their current states.
  std::vector<store::TaskReport> tasks();
  /// Lets every task that is started on this VM from now on fail.
  void setFailing(const VmName &Name);
  /// Keeps the VM from coming back from its next reboot.
  void setStuck(const VmName &Name);
  /// Lists another VM, such as an entry VM, or stops listing it.
  void addListed(const store::VmInfo &Vm);
  void removeListed(const VmName &Name);

private:
  struct Change {
    TimePoint At;
    store::VmInfo Vm;
    bool IsListed = true;
  };
  struct Machine {
    store::VmInfo Vm;
    bool IsUp = false;
    PoolName NextPool;
    std::deque<Change> History;
  };
  struct Task {
    store::TaskReport Report;
    TimePoint EndsAt;
    Duration Remaining = Duration::zero();
  };

  void recordChange(Machine &Changed, bool IsListed);
  store::StoreResult<void> drain(const VmName &Name);
  store::StoreResult<void> reboot(const VmName &Name, uint64_t Incarnation);
  store::StoreResult<void> assign(const VmName &Name, const PoolName &Pool);
  store::StoreResult<void> startTask(const store::TaskStart &Start);
  store::StoreResult<void> endTask(const TaskId &Id, store::TaskState State);
  std::vector<store::TaskReport> reportTasks();
  std::vector<store::VmInfo> laggedList() const;
  void boot(const VmName &Name);
  void takeDown(Machine &Stopped);
  bool refusesEpoch(const std::string &Subject, uint64_t Epoch);

  VmBehaviour Behaviour;
  VmHooks Hooks;
  Clock Time;
  Scheduler CallAt;
  mutable std::mutex Mutex;
  std::map<VmName, Machine> Machines;
  std::map<TaskId, Task> Tasks;
  std::map<std::string, uint64_t> Epochs;
  std::set<VmName> Stuck;
  std::set<VmName> Failing;
  VmCounts Counts;
};

} // namespace whintack::standin

#endif // WHINTACK_STANDIN_VMSIMULATOR_H
