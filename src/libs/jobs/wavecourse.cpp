#include "whintack/jobs/wavecourse.h"

#include <algorithm>

namespace whintack::jobs {

/// Time that a machine is down and its executor needs to come back; the
/// platform maintains for 2 s, lists lag by up to 1 s.
static constexpr Duration TurnLength = std::chrono::milliseconds(3500);
/// How far the list of machines may lag behind an order that was confirmed.
static constexpr Duration ListLag = std::chrono::milliseconds(300);
/// Longest wait for work that may be lost, even with time to spare.
static constexpr Duration LongestPatience = std::chrono::seconds(4);

WaveCourse::WaveCourse(WaveRequest Given, TimePoint Deadline,
                       const std::set<MachineName> &Begun)
    : Request(std::move(Given)), Deadline(Deadline) {
  for (const MachineName &Name : this->Request.Machines) {
    Machine &Each = this->Machines[Name];
    if (Begun.contains(Name))
      Each.Step = WaveStep::Begun;
  }
}

void WaveCourse::noteMachines(const std::vector<MachineInfo> &Listed,
                              TimePoint AskedAt) {
  this->HasList = true;
  for (auto &[Name, Each] : this->Machines)
    Each.IsListed = false;
  for (const MachineInfo &Info : Listed) {
    const auto Found = this->Machines.find(Info.Name);
    if (Found == this->Machines.end())
      continue;
    Machine &Each = Found->second;
    Each.IsListed = true;
    Each.Info = Info;
    if (Each.MayBegin && Info.State == MachineState::Maintenance)
      this->noteBegun(Info.Name, AskedAt);
    if (Each.Step != WaveStep::Begun || Info.State != MachineState::Up)
      continue;
    // Up although the maintenance had begun before the list was asked for: it
    // is over, or was done for an earlier holder.
    if (AskedAt >= Each.BegunAt + ListLag)
      Each.Step = WaveStep::Over;
  }
  // A machine that has left for good needs no maintenance.
  for (auto &[Name, Each] : this->Machines)
    if (!Each.IsListed)
      Each.Step = WaveStep::Over;
}

size_t WaveCourse::down() const {
  return static_cast<size_t>(std::count_if(
      this->Machines.begin(), this->Machines.end(), [](const auto &Entry) {
        const Machine &Each = Entry.second;
        return Each.Step == WaveStep::Ordered || Each.Step == WaveStep::Begun ||
               (Each.IsListed && Each.Info.State == MachineState::Maintenance);
      }));
}

/// How long a machine may wait for work that could be lost, if the rest of the
/// wave is to end in time.
Duration WaveCourse::patience(TimePoint Now) const {
  const auto Left = static_cast<size_t>(std::count_if(
      this->Machines.begin(), this->Machines.end(), [](const auto &Entry) {
        return Entry.second.Step == WaveStep::Waiting ||
               Entry.second.Step == WaveStep::Vacating;
      }));
  const size_t AtOnce = std::max<size_t>(this->Request.MostAtOnce, 1);
  const auto Turns =
      static_cast<int64_t>(std::max<size_t>((Left + AtOnce - 1) / AtOnce, 1));
  const Duration ForEach = (this->Deadline - Now) / Turns - TurnLength;
  return std::clamp(ForEach, Duration::zero(), LongestPatience);
}

std::vector<MachineInfo> WaveCourse::vacate(TimePoint Now) {
  std::vector<MachineInfo> Chosen;
  if (!this->HasList)
    return Chosen;
  size_t Taken = this->down();
  for (const auto &[Name, Each] : this->Machines) {
    if (Each.Step == WaveStep::Vacating) {
      ++Taken;
      Chosen.push_back(Each.Info);
    } else if (Each.Step == WaveStep::Ordered && Each.MayBegin &&
               Each.Info.State == MachineState::Up) {
      Chosen.push_back(Each.Info);
    }
  }
  for (auto &[Name, Each] : this->Machines) {
    if (Taken >= this->Request.MostAtOnce)
      break;
    if (Each.Step != WaveStep::Waiting || Each.Info.State != MachineState::Up)
      continue;
    Each.Step = WaveStep::Vacating;
    Each.VacatingSince = Now;
    Chosen.push_back(Each.Info);
    ++Taken;
  }
  return Chosen;
}

bool WaveCourse::mayOrder(const MachineName &Name, Occupancy Left,
                          TimePoint Now) const {
  const Machine &Each = this->Machines.at(Name);
  // One that may begin at any time is counted as down already.
  const bool IsAgain = Each.Step == WaveStep::Ordered && Each.MayBegin;
  const bool IsNext = Each.Step == WaveStep::Vacating &&
                      this->down() < this->Request.MostAtOnce;
  if (!IsAgain && !IsNext)
    return false;
  if (Left == Occupancy::Interruptible)
    return Now - Each.VacatingSince >= this->patience(Now);
  return Left == Occupancy::Vacant;
}

void WaveCourse::noteOrdered(const MachineName &Name) {
  Machine &Each = this->Machines.at(Name);
  Each.Step = WaveStep::Ordered;
}

void WaveCourse::noteUnanswered(const MachineName &Name) {
  this->Machines.at(Name).MayBegin = true;
}

void WaveCourse::noteBegun(const MachineName &Name, TimePoint Now) {
  Machine &Each = this->Machines.at(Name);
  Each.BegunAt = Now;
  Each.MayBegin = false;
  if (Each.Step != WaveStep::Over)
    Each.Step = WaveStep::Begun;
}

void WaveCourse::noteRefused(const MachineName &Name) {
  Machine &Each = this->Machines.at(Name);
  if (Each.Step == WaveStep::Ordered && !Each.MayBegin)
    Each.Step = WaveStep::Vacating;
}

std::set<MachineName> WaveCourse::begun() const {
  std::set<MachineName> Names;
  for (const auto &[Name, Each] : this->Machines)
    if (Each.Step == WaveStep::Begun || Each.Step == WaveStep::Over)
      Names.insert(Name);
  return Names;
}

std::set<MachineName> WaveCourse::inWork() const {
  std::set<MachineName> Names;
  for (const auto &[Name, Each] : this->Machines)
    if (Each.Step == WaveStep::Vacating || Each.Step == WaveStep::Ordered ||
        Each.Step == WaveStep::Begun)
      Names.insert(Name);
  return Names;
}

bool WaveCourse::isCompleted() const {
  return this->HasList &&
         std::all_of(this->Machines.begin(), this->Machines.end(),
                     [](const auto &Entry) {
                       return Entry.second.Step == WaveStep::Begun ||
                              Entry.second.Step == WaveStep::Over;
                     });
}

} // namespace whintack::jobs
