#include "whintack/standin/vmmachines.h"

#include <algorithm>

namespace whintack::standin {

using store::StoreError;
using store::StoreErrorCode;
using store::StoreResult;
using store::TaskState;
using store::VmInfo;
using store::VmState;

VmMachines::VmMachines(std::vector<VmInfo> Vms, VmBehaviour Behaviour,
                       VmHooks Hooks, Clock Time, Scheduler Later)
    : Behaviour(Behaviour), Hooks(std::move(Hooks)), Time(std::move(Time)),
      Later(std::move(Later)) {
  for (VmInfo &Vm : Vms) {
    Machine Added;
    Added.NextPool = Vm.Pool;
    Added.Vm = std::move(Vm);
    this->Machines.emplace(Added.Vm.Name, Added);
  }
}

void VmMachines::note(Machine &Changed, bool IsListed) {
  Changed.History.push_back({this->Time.Now(), Changed.Vm, IsListed});
  constexpr size_t MostChanges = 64;
  if (Changed.History.size() > MostChanges)
    Changed.History.pop_front();
}

void VmMachines::start() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Name, Started] : this->Machines) {
    Started.IsUp = true;
    Started.History.push_back({TimePoint::min(), Started.Vm, true});
    if (this->Hooks.OnStart)
      this->Hooks.OnStart(Started.Vm);
  }
}

std::vector<VmInfo> VmMachines::listed() const {
  const TimePoint Seen = this->Time.Now() - this->Behaviour.ListLag;
  std::vector<VmInfo> Vms;
  for (const auto &[Name, Known] : this->Machines) {
    const Change *Last = nullptr;
    for (const Change &Noted : Known.History)
      if (Noted.At <= Seen)
        Last = &Noted;
    if (Last && Last->IsListed)
      Vms.push_back(Last->Vm);
  }
  return Vms;
}

std::vector<VmInfo> VmMachines::now() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<VmInfo> Vms;
  for (const auto &[Name, Known] : this->Machines)
    Vms.push_back(Known.Vm);
  return Vms;
}

VmCounts VmMachines::counts() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Counts;
}

static StoreError noSuchVm(const VmName &Name) {
  return {StoreErrorCode::BadAnswer, "no VM is called " + Name.text()};
}

StoreResult<void> VmMachines::drain(const VmName &Name) {
  const auto Found = this->Machines.find(Name);
  if (Found == this->Machines.end())
    return failure(noSuchVm(Name));
  Machine &Drained = Found->second;
  if (!Drained.IsUp || Drained.Vm.State == VmState::Leaving)
    return success();
  ++this->Counts.Drains;
  Drained.Vm.State = VmState::Leaving;
  this->note(Drained, true);
  if (this->Hooks.OnLeaving)
    this->Hooks.OnLeaving(Drained.Vm);
  return success();
}

void VmMachines::stopMachine(Machine &Stopped) {
  Stopped.IsUp = false;
  Stopped.Vm.State = VmState::Gone;
  this->note(Stopped, true);
  for (auto &[Id, Running] : this->Tasks)
    if (Running.Report.Worker == Stopped.Vm.Name &&
        Running.Report.State == TaskState::Running)
      Running.Report.State = TaskState::Lost;
  if (this->Hooks.OnStop)
    this->Hooks.OnStop(Stopped.Vm);
}

StoreResult<void> VmMachines::reboot(const VmName &Name, uint64_t Incarnation) {
  const auto Found = this->Machines.find(Name);
  if (Found == this->Machines.end())
    return failure(noSuchVm(Name));
  Machine &Rebooted = Found->second;
  if (!Rebooted.IsUp || Rebooted.Vm.Incarnation != Incarnation)
    return success();
  ++this->Counts.Reboots;
  this->stopMachine(Rebooted);
  if (this->Stuck.erase(Name) > 0)
    return success();
  this->Later(this->Time.Now() + this->Behaviour.RebootTime,
              [this, Name] { this->bringUp(Name); });
  return success();
}

void VmMachines::bringUp(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Machine &Up = this->Machines.at(Name);
  if (Up.IsUp)
    return;
  Up.IsUp = true;
  Up.Vm.State = VmState::Live;
  ++Up.Vm.Incarnation;
  Up.Vm.Pool = Up.NextPool;
  this->note(Up, true);
  if (this->Hooks.OnStart)
    this->Hooks.OnStart(Up.Vm);
}

StoreResult<void> VmMachines::assign(const VmName &Name, const PoolName &Pool) {
  const auto Found = this->Machines.find(Name);
  if (Found == this->Machines.end())
    return failure(noSuchVm(Name));
  Machine &Assigned = Found->second;
  Assigned.NextPool = Pool;
  // A VM without a pool runs nothing that a restart would disturb.
  if (Assigned.Vm.Pool.isEmpty() && Assigned.IsUp && !Pool.isEmpty()) {
    Assigned.Vm.Pool = Pool;
    this->note(Assigned, true);
    if (this->Hooks.OnStart)
      this->Hooks.OnStart(Assigned.Vm);
  }
  return success();
}

bool VmMachines::refusesEpoch(const std::string &Subject, uint64_t Epoch) {
  uint64_t &Seen = this->Epochs[Subject];
  if (Epoch < Seen) {
    ++this->Counts.RefusedEpochs;
    return true;
  }
  Seen = Epoch;
  return false;
}

StoreResult<void> VmMachines::startTask(const store::TaskStart &Start) {
  const auto Worker = this->Machines.find(Start.Worker);
  if (Worker == this->Machines.end() || !Worker->second.IsUp)
    return failure(
        StoreError{StoreErrorCode::Unreachable, "the worker is not up"});
  const auto Known = this->Tasks.find(Start.Task);
  if (Known != this->Tasks.end() &&
      Known->second.Report.State != TaskState::Checkpointed)
    return success();
  ++this->Counts.TaskStarts;
  Task Started;
  Started.Report = {Start.Task,         Start.Job,   Start.Worker,
                    TaskState::Running, Start.Epoch, Start.Size};
  const Duration Length = Known != this->Tasks.end() && Start.ResumesCheckpoint
                              ? Known->second.Left
                              : this->Behaviour.TaskTime;
  Started.EndsAt = this->Time.Now() + Length;
  if (this->Failing.contains(Start.Worker))
    Started.Report.State = TaskState::Failed;
  this->Tasks[Start.Task] = Started;
  return success();
}

StoreResult<void> VmMachines::endTask(const TaskId &Id, TaskState State) {
  const auto Found = this->Tasks.find(Id);
  if (Found == this->Tasks.end() ||
      Found->second.Report.State != TaskState::Running)
    return success();
  Found->second.Report.State = State;
  Found->second.Left = Found->second.EndsAt - this->Time.Now();
  return success();
}

std::vector<store::TaskReport> VmMachines::reportTasks() {
  const TimePoint Now = this->Time.Now();
  std::vector<store::TaskReport> Reports;
  for (auto &[Id, Known] : this->Tasks) {
    if (Known.Report.State == TaskState::Running && Known.EndsAt <= Now)
      Known.Report.State = TaskState::Finished;
    Reports.push_back(Known.Report);
  }
  return Reports;
}

store::VmDirectory VmMachines::directory() {
  store::VmDirectory Directory;
  Directory.List = [this]() -> StoreResult<std::vector<VmInfo>> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->listed();
  };
  return Directory;
}

store::WorkerControl VmMachines::workers() {
  store::WorkerControl Control;
  const auto WithEpoch =
      [this](
          const std::string &Subject, uint64_t Epoch,
          const std::function<StoreResult<void>()> &Act) -> StoreResult<void> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->refusesEpoch(Subject, Epoch))
      return failure(StoreError{StoreErrorCode::Conflict, "older epoch"});
    return Act();
  };
  Control.Drain = [this, WithEpoch](const VmName &Vm, uint64_t Epoch) {
    return WithEpoch(Vm.text(), Epoch, [this, &Vm] { return this->drain(Vm); });
  };
  Control.Reboot = [this, WithEpoch](const VmName &Vm, uint64_t Incarnation,
                                     uint64_t Epoch) {
    return WithEpoch(Vm.text(), Epoch, [this, &Vm, Incarnation] {
      return this->reboot(Vm, Incarnation);
    });
  };
  Control.Assign = [this](const VmName &Vm, const PoolName &Pool, uint64_t) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->assign(Vm, Pool);
  };
  Control.StartTask = [this, WithEpoch](const store::TaskStart &Start) {
    return WithEpoch("job " + Start.Job.text(), Start.Epoch,
                     [this, &Start] { return this->startTask(Start); });
  };
  Control.Checkpoint = [this](const TaskId &Id, uint64_t) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->endTask(Id, TaskState::Checkpointed);
  };
  Control.Stop = [this](const TaskId &Id, uint64_t) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->endTask(Id, TaskState::Failed);
  };
  Control.Report = [this]() -> StoreResult<std::vector<store::TaskReport>> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->reportTasks();
  };
  return Control;
}

void VmMachines::kill(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Machine &Killed = this->Machines.at(Name);
  if (Killed.IsUp)
    this->stopMachine(Killed);
}

void VmMachines::revive(const VmName &Name) { this->bringUp(Name); }

std::vector<store::TaskReport> VmMachines::tasks() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->reportTasks();
}

void VmMachines::setFailing(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Failing.insert(Name);
}

void VmMachines::setStuck(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Stuck.insert(Name);
}

void VmMachines::addListed(const VmInfo &Vm) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Machine &Added = this->Machines[Vm.Name];
  Added.Vm = Vm;
  Added.IsUp = true;
  this->note(Added, true);
}

void VmMachines::removeListed(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Machines.find(Name);
  if (Found != this->Machines.end())
    this->note(Found->second, false);
}

} // namespace whintack::standin
