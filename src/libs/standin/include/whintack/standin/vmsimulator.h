#ifndef WHINTACK_STANDIN_VMMACHINES_H
#define WHINTACK_STANDIN_VMMACHINES_H

#include "whintack/base/time.h"
#include "whintack/store/vmdirectory.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace whintack::standin {

/// Called when a VM starts or stops, to start and stop its backend server.
/// Must not call back.
struct VmHooks {
  std::function<void(const store::VmInfo &Vm)> OnStart;
  std::function<void(const store::VmInfo &Vm)> OnStop;
  std::function<void(const store::VmInfo &Vm)> OnLeaving;
};

/// Calls a function once a deadline has passed.
using Scheduler =
    std::function<void(TimePoint Deadline, std::function<void()> Call)>;

/// How the stand-in's VMs behave.
struct VmBehaviour {
  Duration RebootTime = std::chrono::milliseconds(300);
  /// How long the list lags behind.
  Duration ListLag = std::chrono::milliseconds(100);
  /// How long a task runs.
  Duration TaskTime = std::chrono::seconds(1);
};

/// What the VMs did, for checks.
struct VmCounts {
  uint64_t Reboots = 0;
  uint64_t Drains = 0;
  uint64_t RefusedEpochs = 0;
  uint64_t TaskStarts = 0;
};

/// Stand-in for the platform's VMs: drains and reboots them, runs tasks on
/// them, and lists them late. Safe for several threads.
class VmMachines {
public:
  VmMachines(std::vector<store::VmInfo> Vms, VmBehaviour Behaviour,
             VmHooks Hooks, Clock Time, Scheduler Later);

  /// Starts all VMs.
  void start();

  store::VmDirectory directory();
  store::WorkerControl workers();

  /// The state without lag.
  std::vector<store::VmInfo> now() const;
  VmCounts counts() const;

  /// Takes a VM down without warning; it stays down until revived.
  void kill(const VmName &Name);
  void revive(const VmName &Name);
  /// All tasks with their true states.
  std::vector<store::TaskReport> tasks();
  /// Tasks of any job fail on this VM from now on.
  void setFailing(const VmName &Name);
  /// VMs that do not come back from their next reboot.
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
    Duration Left = Duration::zero();
  };

  void note(Machine &Changed, bool IsListed);
  store::StoreResult<void> drain(const VmName &Name);
  store::StoreResult<void> reboot(const VmName &Name, uint64_t Incarnation);
  store::StoreResult<void> assign(const VmName &Name, const PoolName &Pool);
  store::StoreResult<void> startTask(const store::TaskStart &Start);
  store::StoreResult<void> endTask(const TaskId &Id, store::TaskState State);
  std::vector<store::TaskReport> reportTasks();
  std::vector<store::VmInfo> listed() const;
  void bringUp(const VmName &Name);
  void stopMachine(Machine &Stopped);
  bool refusesEpoch(const std::string &Subject, uint64_t Epoch);

  VmBehaviour Behaviour;
  VmHooks Hooks;
  Clock Time;
  Scheduler Later;
  mutable std::mutex Mutex;
  std::map<VmName, Machine> Machines;
  std::map<TaskId, Task> Tasks;
  std::map<std::string, uint64_t> Epochs;
  std::set<VmName> Stuck;
  std::set<VmName> Failing;
  VmCounts Counts;
};

} // namespace whintack::standin

#endif // WHINTACK_STANDIN_VMMACHINES_H
