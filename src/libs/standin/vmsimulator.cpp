#include "whintack/standin/vmsimulator.h"

#include <algorithm>

namespace whintack::standin {

using store::StoreError;
using store::StoreErrorCode;
using store::StoreResult;
using store::TaskState;
using store::VmInfo;
using store::VmState;

VmSimulator::VmSimulator(std::vector<VmInfo> Vms, VmBehaviour Behaviour,
                         VmHooks Hooks, Clock Time, Scheduler CallAt)
    : Behaviour(Behaviour), Hooks(std::move(Hooks)), Time(std::move(Time)),
      CallAt(std::move(CallAt)) {
  for (VmInfo &Vm : Vms) {
    Machine Added;
    Added.NextPool = Vm.Pool;
    Added.Vm = std::move(Vm);
    this->Machines.emplace(Added.Vm.Name, Added);
  }
}

void VmSimulator::recordChange(Machine &Changed, bool IsListed) {
  Changed.History.push_back({this->Time.Now(), Changed.Vm, IsListed});
  constexpr size_t MaxChanges = 64;
  if (Changed.History.size() > MaxChanges)
    Changed.History.pop_front();
}

void VmSimulator::start() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Name, Started] : this->Machines) {
    Started.IsUp = true;
    Started.History.push_back({TimePoint::min(), Started.Vm, true});
    if (this->Hooks.OnStart)
      this->Hooks.OnStart(Started.Vm);
  }
}

std::vector<VmInfo> VmSimulator::laggedList() const {
  const TimePoint ListedAt = this->Time.Now() - this->Behaviour.ListLag;
  std::vector<VmInfo> Vms;
  for (const auto &[Name, Known] : this->Machines) {
    const Change *Last = nullptr;
    for (const Change &Recorded : Known.History)
      if (Recorded.At <= ListedAt)
        Last = &Recorded;
    if (Last && Last->IsListed)
      Vms.push_back(Last->Vm);
  }
  return Vms;
}

std::vector<VmInfo> VmSimulator::now() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<VmInfo> Vms;
  for (const auto &[Name, Known] : this->Machines)
    Vms.push_back(Known.Vm);
  return Vms;
}

VmCounts VmSimulator::counts() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Counts;
}

static StoreError unknownVmError(const VmName &Name) {
  return {StoreErrorCode::BadAnswer, "no VM is called " + Name.text()};
}

StoreResult<void> VmSimulator::drain(const VmName &Name) {
  const auto Found = this->Machines.find(Name);
  if (Found == this->Machines.end())
    return failure(unknownVmError(Name));
  Machine &Drained = Found->second;
  if (!Drained.IsUp || Drained.Vm.State == VmState::Leaving)
    return success();
  ++this->Counts.Drains;
  Drained.Vm.State = VmState::Leaving;
  this->recordChange(Drained, true);
  if (this->Hooks.OnLeaving)
    this->Hooks.OnLeaving(Drained.Vm);
  return success();
}

void VmSimulator::takeDown(Machine &Stopped) {
  Stopped.IsUp = false;
  Stopped.Vm.State = VmState::Gone;
  this->recordChange(Stopped, true);
  for (auto &[Id, Running] : this->Tasks)
    if (Running.Report.Worker == Stopped.Vm.Name &&
        Running.Report.State == TaskState::Running)
      Running.Report.State = TaskState::Lost;
  if (this->Hooks.OnStop)
    this->Hooks.OnStop(Stopped.Vm);
}

StoreResult<void> VmSimulator::reboot(const VmName &Name,
                                      uint64_t Incarnation) {
  const auto Found = this->Machines.find(Name);
  if (Found == this->Machines.end())
    return failure(unknownVmError(Name));
  Machine &Rebooted = Found->second;
  if (!Rebooted.IsUp || Rebooted.Vm.Incarnation != Incarnation)
    return success();
  ++this->Counts.Reboots;
  this->takeDown(Rebooted);
  if (this->Stuck.erase(Name) > 0)
    return success();
  this->CallAt(this->Time.Now() + this->Behaviour.RebootTime,
               [this, Name] { this->boot(Name); });
  return success();
}

void VmSimulator::boot(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Machine &Up = this->Machines.at(Name);
  if (Up.IsUp)
    return;
  Up.IsUp = true;
  Up.Vm.State = VmState::Live;
  ++Up.Vm.Incarnation;
  Up.Vm.Pool = Up.NextPool;
  this->recordChange(Up, true);
  if (this->Hooks.OnStart)
    this->Hooks.OnStart(Up.Vm);
}

StoreResult<void> VmSimulator::assign(const VmName &Name,
                                      const PoolName &Pool) {
  const auto Found = this->Machines.find(Name);
  if (Found == this->Machines.end())
    return failure(unknownVmError(Name));
  Machine &Assigned = Found->second;
  Assigned.NextPool = Pool;
  // A VM without a pool runs no backend server, so it takes up its pool
  // without a restart.
  if (Assigned.Vm.Pool.isEmpty() && Assigned.IsUp && !Pool.isEmpty()) {
    Assigned.Vm.Pool = Pool;
    this->recordChange(Assigned, true);
    if (this->Hooks.OnStart)
      this->Hooks.OnStart(Assigned.Vm);
  }
  return success();
}

bool VmSimulator::refusesEpoch(const std::string &Subject, uint64_t Epoch) {
  uint64_t &Highest = this->Epochs[Subject];
  if (Epoch < Highest) {
    ++this->Counts.RefusedEpochs;
    return true;
  }
  Highest = Epoch;
  return false;
}

StoreResult<void> VmSimulator::startTask(const store::TaskStart &Start) {
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
                              ? Known->second.Remaining
                              : this->Behaviour.TaskTime;
  Started.EndsAt = this->Time.Now() + Length;
  if (this->Failing.contains(Start.Worker))
    Started.Report.State = TaskState::Failed;
  this->Tasks[Start.Task] = Started;
  return success();
}

StoreResult<void> VmSimulator::endTask(const TaskId &Id, TaskState State) {
  const auto Found = this->Tasks.find(Id);
  if (Found == this->Tasks.end() ||
      Found->second.Report.State != TaskState::Running)
    return success();
  Found->second.Report.State = State;
  Found->second.Remaining = Found->second.EndsAt - this->Time.Now();
  return success();
}

std::vector<store::TaskReport> VmSimulator::reportTasks() {
  const TimePoint Now = this->Time.Now();
  std::vector<store::TaskReport> Reports;
  for (auto &[Id, Known] : this->Tasks) {
    if (Known.Report.State == TaskState::Running && Known.EndsAt <= Now)
      Known.Report.State = TaskState::Finished;
    Reports.push_back(Known.Report);
  }
  return Reports;
}

store::VmDirectory VmSimulator::directory() {
  store::VmDirectory Directory;
  Directory.List = [this]() -> StoreResult<std::vector<VmInfo>> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->laggedList();
  };
  return Directory;
}

store::WorkerControl VmSimulator::workers() {
  store::WorkerControl Control;
  const auto WithEpochCheck =
      [this](const std::string &Subject, uint64_t Epoch,
             const std::function<StoreResult<void>()> &Action)
      -> StoreResult<void> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->refusesEpoch(Subject, Epoch))
      return failure(StoreError{StoreErrorCode::Conflict, "older epoch"});
    return Action();
  };
  Control.Drain = [this, WithEpochCheck](const VmName &Vm, uint64_t Epoch) {
    return WithEpochCheck(Vm.text(), Epoch,
                          [this, &Vm] { return this->drain(Vm); });
  };
  Control.Reboot = [this, WithEpochCheck](
                       const VmName &Vm, uint64_t Incarnation, uint64_t Epoch) {
    return WithEpochCheck(Vm.text(), Epoch, [this, &Vm, Incarnation] {
      return this->reboot(Vm, Incarnation);
    });
  };
  Control.Assign = [this](const VmName &Vm, const PoolName &Pool, uint64_t) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->assign(Vm, Pool);
  };
  Control.StartTask = [this, WithEpochCheck](const store::TaskStart &Start) {
    return WithEpochCheck("job " + Start.Job.text(), Start.Epoch,
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

void VmSimulator::kill(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Machine &Killed = this->Machines.at(Name);
  if (Killed.IsUp)
    this->takeDown(Killed);
}

void VmSimulator::revive(const VmName &Name) { this->boot(Name); }

std::vector<store::TaskReport> VmSimulator::tasks() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->reportTasks();
}

void VmSimulator::setFailing(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Failing.insert(Name);
}

void VmSimulator::setStuck(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Stuck.insert(Name);
}

void VmSimulator::addListed(const VmInfo &Vm) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Machine &Added = this->Machines[Vm.Name];
  Added.Vm = Vm;
  Added.IsUp = true;
  this->recordChange(Added, true);
}

void VmSimulator::removeListed(const VmName &Name) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Machines.find(Name);
  if (Found != this->Machines.end())
    this->recordChange(Found->second, false);
}

} // namespace whintack::standin
