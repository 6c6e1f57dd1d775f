#include "whintack/jobs/wavescheduler.h"

#include <algorithm>

namespace whintack::jobs {

/// Time for which a machine is down, including the start of its executor. The
/// platform's maintenance takes 2 s, and its lists lag by up to 1 s.
static constexpr Duration MaintenanceTime = std::chrono::milliseconds(3500);
/// How far the list of machines may lag behind a confirmed order.
static constexpr Duration MaxListLag = std::chrono::milliseconds(300);
/// How long all lists have to lack a machine until it counts as removed. Pages
/// of a list are read one after the other, and a row may be missed between
/// them.
static constexpr Duration MinAbsence = std::chrono::seconds(2);
/// Maximum wait for interruptible tasks to end, even if the wave has time to
/// spare.
static constexpr Duration MaxTaskWait = std::chrono::seconds(4);
/// Usual wait for the tasks of a machine in use to end or move away.
static constexpr Duration UsualTaskWait = std::chrono::seconds(2);
/// How many times faster than required unused machines are maintained: few may
/// be unused later.
static constexpr size_t UnusedHeadStart = 2;

WaveScheduler::WaveScheduler(WaveRequest Given, TimePoint Deadline,
                             const std::set<MachineName> &Begun)
    : Deadline(Deadline) {
  for (const MachineName &Name : Begun)
    this->Machines[Name].State = WaveMachineState::Begun;
  this->setRequest(std::move(Given), Deadline);
}

void WaveScheduler::setRequest(WaveRequest Given, TimePoint NewDeadline) {
  this->Request = std::move(Given);
  this->Deadline = NewDeadline;
  for (auto &[Name, Each] : this->Machines)
    Each.IsRequested = false;
  for (const MachineName &Name : this->Request.Machines)
    this->Machines[Name].IsRequested = true;
}

void WaveScheduler::noteMachines(const std::vector<MachineInfo> &Listed,
                                 TimePoint RequestedAt) {
  this->HasList = true;
  for (auto &[Name, Each] : this->Machines)
    Each.IsListed = false;
  for (const MachineInfo &Info : Listed) {
    const auto Found = this->Machines.find(Info.Name);
    if (Found == this->Machines.end())
      continue;
    Machine &Each = Found->second;
    Each.IsListed = true;
    Each.AbsentSince.reset();
    if (Each.State == WaveMachineState::Removed)
      Each.State = Each.HasUnansweredOrder ? WaveMachineState::Ordered
                                           : WaveMachineState::Waiting;
    // The tasks of a new executor get as much time to end as those of a machine
    // that is ordered for the first time.
    if (Each.HasUnansweredOrder && Info.State == MachineState::Up &&
        Each.Info.State != MachineState::Up)
      Each.EvacuatingSince = RequestedAt;
    Each.Info = Info;
    if (Each.State != WaveMachineState::Begun || Info.State != MachineState::Up)
      continue;
    // The machine is up although its maintenance had begun before the list was
    // requested: the maintenance is over, or was done for an earlier holder.
    if (RequestedAt >= Each.BegunAt + MaxListLag)
      Each.State = WaveMachineState::Finished;
  }
  for (auto &[Name, Each] : this->Machines)
    if (!Each.IsListed)
      noteAbsent(Each, RequestedAt);
}

void WaveScheduler::noteAbsent(Machine &Absent, TimePoint RequestedAt) {
  if (!Absent.AbsentSince)
    Absent.AbsentSince = RequestedAt;
  const Duration Absence = RequestedAt - *Absent.AbsentSince;
  if (Absent.State == WaveMachineState::Begun) {
    if (Absence >= MaintenanceTime)
      Absent.State = WaveMachineState::Finished;
  } else if (Absent.State != WaveMachineState::Finished &&
             Absence >= MinAbsence) {
    Absent.State = WaveMachineState::Removed;
  }
}

size_t WaveScheduler::down() const {
  return static_cast<size_t>(std::count_if(
      this->Machines.begin(), this->Machines.end(), [this](const auto &Entry) {
        const Machine &Each = Entry.second;
        return Each.State == WaveMachineState::Ordered ||
               Each.State == WaveMachineState::Begun ||
               this->Held.contains(Entry.first) ||
               (Each.IsListed && Each.Info.State == MachineState::Maintenance);
      }));
}

size_t WaveScheduler::unordered() const {
  return static_cast<size_t>(std::count_if(
      this->Machines.begin(), this->Machines.end(), [](const auto &Entry) {
        return Entry.second.IsRequested &&
               (Entry.second.State == WaveMachineState::Waiting ||
                Entry.second.State == WaveMachineState::Evacuating);
      }));
}

size_t WaveScheduler::requiredConcurrency(TimePoint Now,
                                          Duration TimePerMachine) const {
  const Duration Left = this->Deadline - Now;
  if (Left <= TimePerMachine)
    return this->Request.MaxConcurrent;
  const auto Total =
      TimePerMachine * static_cast<int64_t>(this->unordered() + this->down());
  const auto Required =
      static_cast<size_t>((Total + Left - Duration(1)) / Left);
  return std::min(Required, this->Request.MaxConcurrent);
}

/// How long a machine may wait for its interruptible tasks to end, so that the
/// rest of the wave can still end in time.
Duration WaveScheduler::maxTaskWait(TimePoint Now) const {
  const size_t Remaining = this->unordered();
  const size_t MaxDown = std::max<size_t>(this->Request.MaxConcurrent, 1);
  const auto Rounds = static_cast<int64_t>(
      std::max<size_t>((Remaining + MaxDown - 1) / MaxDown, 1));
  const Duration PerRound = (this->Deadline - Now) / Rounds - MaintenanceTime;
  return std::clamp(PerRound, Duration::zero(), MaxTaskWait);
}

std::vector<MachineInfo>
WaveScheduler::machinesToEvacuate(TimePoint Now, const MachineUseHook &UseOf) {
  std::vector<MachineInfo> Chosen;
  if (!this->HasList)
    return Chosen;
  size_t ActiveMachines = this->down();
  for (const auto &[Name, Each] : this->Machines) {
    if (Each.State == WaveMachineState::Evacuating && Each.IsRequested) {
      ++ActiveMachines;
      Chosen.push_back(Each.Info);
    } else if (Each.State == WaveMachineState::Ordered &&
               Each.HasUnansweredOrder &&
               (Each.Info.State == MachineState::Up ||
                Each.Info.State == MachineState::Maintenance)) {
      Chosen.push_back(Each.Info);
    }
  }
  const size_t MaxUnused = std::min(
      UnusedHeadStart * this->requiredConcurrency(Now, MaintenanceTime),
      this->Request.MaxConcurrent);
  const size_t MaxInUse =
      this->requiredConcurrency(Now, MaintenanceTime + UsualTaskWait);
  std::vector<std::pair<MachineUse, Machine *>> Waiting;
  for (Machine *Each : this->waitingMachines())
    Waiting.emplace_back(UseOf ? UseOf(Each->Info) : MachineUse::Unused, Each);
  std::stable_sort(Waiting.begin(), Waiting.end(),
                   [](const auto &First, const auto &Second) {
                     return First.first < Second.first;
                   });
  for (const auto &[Use, Each] : Waiting) {
    if (ActiveMachines >= (Use == MachineUse::Busy ? MaxInUse : MaxUnused))
      break;
    Each->State = WaveMachineState::Evacuating;
    Each->EvacuatingSince = Now;
    Chosen.push_back(Each->Info);
    ++ActiveMachines;
  }
  return Chosen;
}

std::vector<WaveScheduler::Machine *> WaveScheduler::waitingMachines() {
  std::vector<Machine *> Found;
  for (auto &[Name, Each] : this->Machines)
    if (Each.State == WaveMachineState::Waiting && Each.IsRequested &&
        Each.IsListed && Each.Info.State == MachineState::Up)
      Found.push_back(&Each);
  return Found;
}

bool WaveScheduler::canOrder(const MachineName &Name, Occupancy Remaining,
                             TimePoint Now) const {
  const Machine &Each = this->Machines.at(Name);
  // A machine with an unanswered order is counted as down already, so repeating
  // the order does not exceed the limit.
  const bool IsRepeated =
      Each.State == WaveMachineState::Ordered && Each.HasUnansweredOrder;
  const bool IsNext = Each.State == WaveMachineState::Evacuating &&
                      Each.IsRequested &&
                      this->down() < this->Request.MaxConcurrent;
  if (!IsRepeated && !IsNext)
    return false;
  if (Remaining == Occupancy::Interruptible)
    return Now - Each.EvacuatingSince >= this->maxTaskWait(Now);
  return Remaining == Occupancy::Vacant;
}

void WaveScheduler::noteOrdered(const MachineName &Name) {
  Machine &Each = this->Machines.at(Name);
  Each.State = WaveMachineState::Ordered;
}

void WaveScheduler::noteUnanswered(const MachineName &Name) {
  this->Machines.at(Name).HasUnansweredOrder = true;
}

void WaveScheduler::noteBegun(const MachineName &Name, TimePoint Now) {
  Machine &Each = this->Machines.at(Name);
  Each.BegunAt = Now;
  Each.HasUnansweredOrder = false;
  if (Each.State != WaveMachineState::Finished)
    Each.State = WaveMachineState::Begun;
}

void WaveScheduler::noteRefused(const MachineName &Name) {
  Machine &Each = this->Machines.at(Name);
  if (Each.State == WaveMachineState::Ordered && !Each.HasUnansweredOrder)
    Each.State = WaveMachineState::Evacuating;
}

void WaveScheduler::noteRejected(const MachineName &Name) {
  Machine &Each = this->Machines.at(Name);
  if (Each.IsRequested || Each.State != WaveMachineState::Ordered) {
    this->noteRefused(Name);
    return;
  }
  Each.HasUnansweredOrder = false;
  Each.State = WaveMachineState::Removed;
}

std::set<MachineName> WaveScheduler::begun() const {
  std::set<MachineName> Names;
  for (const auto &[Name, Each] : this->Machines)
    if (Each.State == WaveMachineState::Begun ||
        Each.State == WaveMachineState::Finished)
      Names.insert(Name);
  return Names;
}

std::set<MachineName> WaveScheduler::machinesInProgress() const {
  std::set<MachineName> Names;
  for (const auto &[Name, Each] : this->Machines)
    if ((Each.State == WaveMachineState::Evacuating && Each.IsRequested) ||
        Each.State == WaveMachineState::Ordered ||
        Each.State == WaveMachineState::Begun)
      Names.insert(Name);
  return Names;
}

bool WaveScheduler::mayBeDown(const MachineName &Name) const {
  const auto Found = this->Machines.find(Name);
  return Found != this->Machines.end() &&
         (Found->second.State == WaveMachineState::Ordered ||
          Found->second.State == WaveMachineState::Begun);
}

bool WaveScheduler::isCompleted() const {
  return this->HasList &&
         std::all_of(this->Machines.begin(), this->Machines.end(),
                     [](const auto &Entry) {
                       return !Entry.second.IsRequested ||
                              Entry.second.State == WaveMachineState::Begun ||
                              Entry.second.State ==
                                  WaveMachineState::Finished ||
                              Entry.second.State == WaveMachineState::Removed;
                     });
}

} // namespace whintack::jobs
