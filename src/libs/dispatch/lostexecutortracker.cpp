#include "lostexecutortracker.h"

#include <optional>

namespace whintack::dispatch::Internal {

using jobs::ExecutorId;
using jobs::ExecutorLoss;
using jobs::MachineInfo;
using jobs::MachineState;

/// Number of successive lists that must not name a silent executor whose
/// machine is not known. One list may leave out a machine that changes its
/// place between two pages; the next one begins anew.
static constexpr unsigned MinAbsences = 2;
/// The same if the machine is known. At the interval of the lists, this takes
/// longer than a registration that expired in an outage needs to come back.
static constexpr unsigned MinKnownMachineAbsences = 5;

/// What the row of an executor's machine proves about its loss.
static std::optional<LostExecutor> judgeMachine(const ExecutorId &Id,
                                                const MachineInfo &Row) {
  // It may start again under its id.
  if (Row.State != MachineState::Up)
    return LostExecutor{
        Id, ExecutorLoss::MachineLost,
        std::string(nameOf(jobs::MachineStateNames, Row.State))};
  if (Row.Executor.isEmpty() || Row.Executor == Id)
    return std::nullopt;
  // An executor is one life of its machine, so the earlier one stays gone.
  return LostExecutor{Id, ExecutorLoss::Replaced, "other-executor"};
}

LostExecutorTracker::Judgement
LostExecutorTracker::judge(const std::vector<MachineInfo> &List,
                           const std::set<ExecutorId> &Silent) const {
  std::multimap<jobs::MachineName, ExecutorId> SilentOn;
  for (const ExecutorId &Id : Silent)
    if (const auto Known = this->Machines.find(Id);
        Known != this->Machines.end())
      SilentOn.emplace(Known->second, Id);
  Judgement Result;
  for (const MachineInfo &Row : List) {
    if (Row.State == MachineState::Up && Row.Executor.isEmpty() &&
        Row.Pool == this->Pool)
      // Its executor may be any that is absent.
      Result.IsConclusive = false;
    if (Silent.contains(Row.Executor)) {
      if (Row.State == MachineState::Up)
        Result.Up.insert(Row.Executor);
      else
        Result.Lost[Row.Executor] = *judgeMachine(Row.Executor, Row);
    }
    const auto [Begin, End] = SilentOn.equal_range(Row.Name);
    for (auto Each = Begin; Each != End; ++Each) {
      Result.OnListedMachines.insert(Each->second);
      if (auto Evidence = judgeMachine(Each->second, Row))
        Result.Lost[Each->second] = std::move(*Evidence);
    }
  }
  for (const ExecutorId &Id : Result.Up)
    Result.Lost.erase(Id);
  return Result;
}

std::vector<LostExecutor>
LostExecutorTracker::findLostByRow(const std::vector<MachineInfo> &List,
                                   const std::set<ExecutorId> &Silent) const {
  std::vector<LostExecutor> Found;
  const Judgement Judged = this->judge(List, Silent);
  for (const auto &[Id, Evidence] : Judged.Lost)
    Found.push_back(Evidence);
  return Found;
}

std::vector<LostExecutor>
LostExecutorTracker::findLost(const std::vector<MachineInfo> &List,
                              const std::set<ExecutorId> &Silent) {
  const Judgement Judged = this->judge(List, Silent);
  std::erase_if(this->Absences, [&](const auto &Entry) {
    return !Silent.contains(Entry.first);
  });
  std::vector<LostExecutor> Found;
  for (const ExecutorId &Id : Silent) {
    if (Judged.Up.contains(Id)) {
      this->Absences.erase(Id);
      continue;
    }
    if (const auto Evidence = Judged.Lost.find(Id);
        Evidence != Judged.Lost.end())
      Found.push_back(Evidence->second);
    else if (this->isConfirmedAbsent(Id, Judged))
      Found.push_back({Id, ExecutorLoss::MachineLost, "absent"});
  }
  return Found;
}

bool LostExecutorTracker::isConfirmedAbsent(const ExecutorId &Id,
                                            const Judgement &Judged) {
  const bool IsMachineKnown = this->Machines.contains(Id);
  const bool MayBeThere =
      IsMachineKnown ? Judged.OnListedMachines.contains(Id) ||
                           !this->IsRegistered || this->IsRegistered(Id)
                     : !Judged.IsConclusive;
  if (MayBeThere) {
    this->Absences.erase(Id);
    return false;
  }
  return ++this->Absences[Id] >=
         (IsMachineKnown ? MinKnownMachineAbsences : MinAbsences);
}

void LostExecutorTracker::learnMachines(
    const std::vector<MachineInfo> &List,
    const std::function<bool(const ExecutorId &)> &IsNeeded) {
  std::map<ExecutorId, jobs::MachineName> Learned;
  for (const MachineInfo &Row : List)
    if (!Row.Executor.isEmpty() &&
        (Row.Pool == this->Pool || IsNeeded(Row.Executor)))
      Learned[Row.Executor] = Row.Name;
  for (const auto &[Id, Name] : this->Machines)
    if (IsNeeded(Id))
      Learned.try_emplace(Id, Name);
  this->Machines = std::move(Learned);
}

} // namespace whintack::dispatch::Internal
