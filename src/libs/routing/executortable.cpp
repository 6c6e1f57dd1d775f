#include "whintack/routing/executortable.h"

#include <algorithm>
#include <unordered_set>

namespace whintack::routing {

ExecutorTable::ExecutorTable(DataCentreName Local, ChoicePolicy Policy,
                             Random Source)
    : Local(std::move(Local)), Policy(Policy), Source(std::move(Source)) {}

static size_t tierOf(const Executor &Candidate) {
  return static_cast<size_t>(Candidate.IsLocal ? Tier::Local : Tier::Remote);
}

ExecutorIndex ExecutorTable::add(const ExecutorInfo &Info) {
  ExecutorIndex Index = 0;
  if (this->FreeIndices.empty()) {
    Index = static_cast<ExecutorIndex>(this->Executors.size());
    this->Executors.emplace_back();
  } else {
    Index = this->FreeIndices.back();
    this->FreeIndices.pop_back();
    this->Executors[Index] = Executor();
  }
  Executor &Added = this->Executors[Index];
  Added.Info = Info;
  Added.IsLocal = Info.DataCentre == this->Local;
  this->ByName.emplace(Info.Name, Index);
  this->ByService[Info.Service].All.push_back(Index);
  return Index;
}

void ExecutorTable::applyListed(ExecutorIndex Index, const ExecutorInfo &Info,
                                std::vector<ExecutorIndex> &Leaving) {
  Executor &Known = this->Executors[Index];
  Known.IsListed = true;
  const bool IsOlder = Info.Incarnation < Known.Info.Incarnation;
  if (IsOlder)
    return;
  if (Info.Incarnation > Known.Info.Incarnation) {
    // The executor was restarted: state of the previous incarnation is
    // obsolete.
    Known.Info.Incarnation = Info.Incarnation;
    Known.Failures = 0;
    Known.Ejections = 0;
    this->setState(Index, ExecutorState::Live);
  }
  if (Info.IsLeaving && Known.State != ExecutorState::Leaving) {
    this->setState(Index, ExecutorState::Leaving);
    Leaving.push_back(Index);
  }
}

std::vector<ExecutorIndex>
ExecutorTable::update(const std::vector<ExecutorInfo> &Listed) {
  std::vector<ExecutorIndex> Leaving;
  this->forEach([](ExecutorIndex, Executor &Known) { Known.IsListed = false; });
  for (const ExecutorInfo &Info : Listed) {
    const auto Found = this->ByName.find(Info.Name);
    if (Found == this->ByName.end()) {
      const ExecutorIndex Added = this->add(Info);
      this->applyListed(Added, Info, Leaving);
      continue;
    }
    const Executor &Known = this->Executors[Found->second];
    if (Known.Info.Service == Info.Service)
      this->applyListed(Found->second, Info, Leaving);
  }
  this->forEach([this, &Leaving](ExecutorIndex Index, Executor &Known) {
    if (Known.IsListed || Known.State == ExecutorState::Leaving)
      return;
    this->setState(Index, ExecutorState::Leaving);
    Leaving.push_back(Index);
  });
  return Leaving;
}

bool ExecutorTable::markLeaving(const VmName &Name, uint64_t Incarnation) {
  const std::optional<ExecutorIndex> Index = this->find(Name);
  if (!Index)
    return false;
  const Executor &Known = this->Executors[*Index];
  if (Known.Info.Incarnation > Incarnation ||
      Known.State == ExecutorState::Leaving)
    return false;
  this->Executors[*Index].Info.Incarnation = Incarnation;
  this->setState(*Index, ExecutorState::Leaving);
  return true;
}

void ExecutorTable::setState(ExecutorIndex Index, ExecutorState State) {
  Executor &Changed = this->Executors[Index];
  ServiceExecutors &Service = this->ByService[Changed.Info.Service];
  if (Changed.State == ExecutorState::Ejected)
    --Service.Ejected;
  if (State == ExecutorState::Ejected)
    ++Service.Ejected;
  Changed.State = State;
}

bool ExecutorTable::isLessLoaded(ExecutorIndex Left,
                                 ExecutorIndex Right) const {
  const SlotAccount &A = this->Executors[Left].Slots;
  const SlotAccount &B = this->Executors[Right].Slots;
  return A.running() * std::max<int64_t>(1, B.permits()) <
         B.running() * std::max<int64_t>(1, A.permits());
}

ExecutorIndex ExecutorTable::pick(ServiceExecutors &Service,
                                  std::vector<ExecutorIndex> &Candidates) {
  const size_t Count = Candidates.size();
  if (this->Policy == ChoicePolicy::RoundRobin)
    return Candidates[Service.NextRoundRobin++ % Count];
  if (this->Policy == ChoicePolicy::LeastLoaded)
    return *std::min_element(Candidates.begin(), Candidates.end(),
                             [this](ExecutorIndex Left, ExecutorIndex Right) {
                               return this->isLessLoaded(Left, Right);
                             });
  const ExecutorIndex First = Candidates[this->Source() % Count];
  const ExecutorIndex Second = Candidates[this->Source() % Count];
  return this->isLessLoaded(Second, First) ? Second : First;
}

std::optional<ExecutorIndex>
ExecutorTable::choose(const ServiceName &Service,
                      const std::vector<VmName> &Avoided) {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end())
    return std::nullopt;
  const auto IsAvoided = [this, &Avoided](ExecutorIndex Index) {
    const VmName &Name = this->Executors[Index].Info.Name;
    return std::find(Avoided.begin(), Avoided.end(), Name) != Avoided.end();
  };
  std::optional<ExecutorIndex> Fallback;
  for (std::vector<ExecutorIndex> &Candidates : Found->second.Available) {
    if (Candidates.empty())
      continue;
    const ExecutorIndex Picked = this->pick(Found->second, Candidates);
    if (!IsAvoided(Picked))
      return Picked;
    const auto Other =
        std::find_if_not(Candidates.begin(), Candidates.end(), IsAvoided);
    if (Other != Candidates.end())
      return *Other;
    if (!Fallback)
      Fallback = Picked;
  }
  return Fallback;
}

void ExecutorTable::removeAvailable(ExecutorIndex Index) {
  Executor &Removed = this->Executors[Index];
  auto &Available =
      this->ByService[Removed.Info.Service].Available[tierOf(Removed)];
  const ExecutorIndex Last = Available.back();
  Available[Removed.AvailableIndex] = Last;
  this->Executors[Last].AvailableIndex = Removed.AvailableIndex;
  Available.pop_back();
  Removed.AvailableIndex = Executor::NotAvailable;
}

void ExecutorTable::refresh(ExecutorIndex Index, TimePoint Now) {
  Executor &Changed = this->Executors[Index];
  const bool IsAvailable =
      Changed.State == ExecutorState::Live && Changed.Slots.available(Now) > 0;
  const bool WasAvailable = Changed.AvailableIndex != Executor::NotAvailable;
  if (IsAvailable == WasAvailable)
    return;
  if (WasAvailable) {
    this->removeAvailable(Index);
    return;
  }
  auto &Available =
      this->ByService[Changed.Info.Service].Available[tierOf(Changed)];
  Changed.AvailableIndex = Available.size();
  Available.push_back(Index);
}

std::optional<ExecutorIndex> ExecutorTable::find(const VmName &Name) const {
  const auto Found = this->ByName.find(Name);
  if (Found == this->ByName.end())
    return std::nullopt;
  return Found->second;
}

const ServiceExecutors &
ExecutorTable::executorsOf(const ServiceName &Service) const {
  static const ServiceExecutors None;
  const auto Found = this->ByService.find(Service);
  return Found == this->ByService.end() ? None : Found->second;
}

void ExecutorTable::forEach(
    const std::function<void(ExecutorIndex, Executor &)> &Visit) {
  for (const auto &[Name, Index] : this->ByName)
    Visit(Index, this->Executors[Index]);
}

void ExecutorTable::removeIdleUnlisted() {
  for (auto It = this->ByName.begin(); It != this->ByName.end();) {
    Executor &Candidate = this->Executors[It->second];
    const bool IsRemovable = !Candidate.IsListed &&
                             Candidate.Slots.running() == 0 &&
                             Candidate.Slots.lentCount() == 0;
    if (!IsRemovable) {
      ++It;
      continue;
    }
    if (Candidate.AvailableIndex != Executor::NotAvailable)
      this->removeAvailable(It->second);
    std::erase(this->ByService[Candidate.Info.Service].All, It->second);
    this->FreeIndices.push_back(It->second);
    It = this->ByName.erase(It);
  }
}

} // namespace whintack::routing
