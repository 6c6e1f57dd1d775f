#include "whintack/jobs/poolpolicy.h"

#include <algorithm>
#include <cmath>
#include <cpprest/json.h>
#include <tuple>

namespace whintack::jobs {

using web::json::value;

/// Waiting work that a pool works off by itself, in seconds of all its cores;
/// about half of a short job's time to its objective.
static constexpr double TolerableWait = 0.7;
/// Time in which an added machine's work still helps, in seconds: the queues'
/// turns last 4 s, of which seeing the need and moving take 2.
static constexpr double UsefulTime = 2.5;
/// How long a machine is vacant before it goes to the spare pool; keeping it
/// longer costs as much as moving it there and back.
static constexpr Duration IdleTime = std::chrono::milliseconds(1200);
/// Vacant machines that a pool keeps for what comes next.
static constexpr size_t VacantKept = 1;
/// Fewest machines of a pool: what lasts is spread over as many.
static constexpr size_t FewestMachines = 4;

std::string encodeDemand(const PoolDemand &Demand) {
  value Body = value::object();
  Body["waiting"] = value::number(Demand.WaitingWork);
  Body["arriving"] = value::number(Demand.ArrivingWork);
  Body["displaced"] = value::number(static_cast<uint64_t>(Demand.Displaced));
  value Labels = value::array();
  for (size_t Index = 0; Index < Demand.DisplacedLabels.size(); ++Index)
    Labels[Index] = value::string(Demand.DisplacedLabels[Index]);
  Body["displaced-labels"] = Labels;
  Body["cores"] = value::number(Demand.Cores);
  value Vacant = value::array();
  size_t Next = 0;
  for (const ExecutorId &Id : Demand.Vacant)
    Vacant[Next++] = value::string(Id.text());
  Body["vacant"] = Vacant;
  return Body.serialize();
}

DecodeResult<PoolDemand> decodeDemand(const ServiceName &Pool,
                                      const std::string &Text) {
  PoolDemand Demand;
  Demand.Pool = Pool;
  try {
    const value Body = value::parse(Text);
    Demand.WaitingWork = Body.at("waiting").as_double();
    Demand.ArrivingWork = Body.at("arriving").as_double();
    Demand.Displaced = Body.at("displaced").as_number().to_uint64();
    for (const value &Label : Body.at("displaced-labels").as_array())
      Demand.DisplacedLabels.push_back(Label.as_string());
    Demand.Cores = Body.at("cores").as_double();
    for (const value &Id : Body.at("vacant").as_array())
      Demand.Vacant.insert(ExecutorId(Id.as_string()));
  } catch (const std::exception &Error) {
    return failure(DecodeError{Error.what()});
  }
  return Demand;
}

void PoolPolicy::noteVacant(const std::vector<MachineInfo> &Machines,
                            const std::vector<PoolDemand> &Demands,
                            TimePoint Now) {
  std::map<MachineName, Idleness> Seen;
  for (const MachineInfo &Machine : Machines)
    for (const PoolDemand &Demand : Demands) {
      if (Demand.Pool != Machine.Pool ||
          !Demand.Vacant.contains(Machine.Executor))
        continue;
      const auto Known = this->Idle.find(Machine.Name);
      const bool IsSame = Known != this->Idle.end() &&
                          Known->second.Executor == Machine.Executor;
      Seen[Machine.Name] = {Machine.Executor,
                            IsSame ? Known->second.Since : Now};
    }
  this->Idle = std::move(Seen);
}

namespace {

/// A pool during one decision.
struct PoolState {
  const PoolDemand *Demand = nullptr;
  size_t Machines = 0;
  size_t Vacant = 0;
  /// Machines that are on their way, and their cores.
  size_t MachinesToCome = 0;
  double CoresToCome = 0;

  void comes(double Cores) {
    ++this->MachinesToCome;
    this->CoresToCome += Cores;
  }

  /// Tasks that last and will have no place, a machine for each.
  size_t lasting() const {
    return this->Demand->Displaced > this->MachinesToCome
               ? this->Demand->Displaced - this->MachinesToCome
               : 0;
  }

  /// Machines that would still help.
  size_t wanted(double CoresOfMachine) const {
    const double Cores = this->Demand->Cores + this->CoresToCome;
    const double Excess = this->Demand->WaitingWork - Cores * TolerableWait;
    const size_t ForLasting = this->lasting();
    const double ForWaiting = Excess / (CoresOfMachine * UsefulTime);
    const double ForArriving =
        (this->Demand->ArrivingWork - Cores) / CoresOfMachine;
    const double Wanted = std::ceil(std::max({ForWaiting, ForArriving, 0.0}));
    return std::max(ForLasting, static_cast<size_t>(Wanted));
  }
};

/// One decision: who may give, who takes, what is left.
class PoolRound {
public:
  PoolRound(const std::vector<PoolDemand> &Demands, ServiceName Spare)
      : Spare(std::move(Spare)) {
    for (const PoolDemand &Demand : Demands)
      this->Pools[Demand.Pool].Demand = &Demand;
  }

  void add(const MachineInfo &Machine, bool IsVacant, bool IsReserved);
  /// The pools, those that need machines most first.
  std::vector<ServiceName> byNeed() const;
  /// Gives \p Name the machines that it wants, as far as there are any.
  void serve(const ServiceName &Name);
  /// Vacant machines that no pool has taken.
  const std::vector<const MachineInfo *> &vacant() const {
    return this->FromPools;
  }
  /// Sends a vacant machine to the spare pool if its own does not want it.
  void release(const MachineInfo &Machine);
  std::vector<MoveProposal> takeMoves() { return std::move(this->Moves); }

private:
  bool mayGive(const MachineInfo &Machine, const ServiceName &To,
               bool IsForLasting);
  const MachineInfo *choose(const ServiceName &To, bool IsForLasting,
                            const std::string &Label);
  void give(const MachineInfo &Machine, const ServiceName &To);

  ServiceName Spare;
  std::map<ServiceName, PoolState> Pools;
  std::vector<const MachineInfo *> FromSpare;
  std::vector<const MachineInfo *> FromPools;
  std::vector<MoveProposal> Moves;
};

double coresOf(const MachineInfo &Machine) {
  return static_cast<double>(Machine.Capacity.MilliCores) / MilliCoresPerCore;
}

void PoolRound::add(const MachineInfo &Machine, bool IsVacant,
                    bool IsReserved) {
  const auto Pool = this->Pools.find(Machine.Pool);
  const bool IsUp = Machine.State == MachineState::Up;
  if (Pool != this->Pools.end()) {
    ++Pool->second.Machines;
    if (!IsUp)
      Pool->second.comes(coresOf(Machine));
  }
  if (!IsUp || IsReserved)
    return;
  if (Machine.Pool == this->Spare) {
    this->FromSpare.push_back(&Machine);
  } else if (Pool != this->Pools.end() && IsVacant) {
    ++Pool->second.Vacant;
    this->FromPools.push_back(&Machine);
  }
}

std::vector<ServiceName> PoolRound::byNeed() const {
  // Tasks that last and have no place go first, then those with the most to do
  // for their size.
  std::vector<std::tuple<bool, double, ServiceName>> Order;
  for (const auto &[Name, Pool] : this->Pools)
    Order.emplace_back(
        Pool.lasting() == 0,
        -Pool.Demand->WaitingWork / std::max(Pool.Demand->Cores, 1.0), Name);
  std::sort(Order.begin(), Order.end());
  std::vector<ServiceName> Names;
  Names.reserve(Order.size());
  for (const auto &[HasAll, Pressure, Name] : Order)
    Names.push_back(Name);
  return Names;
}

bool PoolRound::mayGive(const MachineInfo &Machine, const ServiceName &To,
                        bool IsForLasting) {
  const PoolState &Pool = this->Pools[Machine.Pool];
  if (Machine.Pool == To || Pool.Machines <= FewestMachines)
    return false;
  if (IsForLasting)
    return Pool.lasting() == 0;
  return Pool.Vacant > VacantKept && Pool.wanted(1) == 0;
}

/// Takes a machine out of those that are left, with \p Label if that is not
/// empty; the spare ones first.
const MachineInfo *PoolRound::choose(const ServiceName &To, bool IsForLasting,
                                     const std::string &Label) {
  const auto HasLabel = [&Label](const MachineInfo *Each) {
    return Label.empty() || std::find(Each->Labels.begin(), Each->Labels.end(),
                                      Label) != Each->Labels.end();
  };
  const auto IsGiven = [&](const MachineInfo *Each) {
    return HasLabel(Each) && this->mayGive(*Each, To, IsForLasting);
  };
  const auto Take = [](std::vector<const MachineInfo *> &From, auto Found) {
    const MachineInfo *Taken = *Found;
    From.erase(Found);
    return Taken;
  };
  const auto Spared =
      std::find_if(this->FromSpare.begin(), this->FromSpare.end(), HasLabel);
  if (Spared != this->FromSpare.end())
    return Take(this->FromSpare, Spared);
  const auto Given =
      std::find_if(this->FromPools.begin(), this->FromPools.end(), IsGiven);
  if (Given != this->FromPools.end())
    return Take(this->FromPools, Given);
  return nullptr;
}

void PoolRound::give(const MachineInfo &Machine, const ServiceName &To) {
  this->Moves.push_back({Machine, To});
  const auto From = this->Pools.find(Machine.Pool);
  if (From == this->Pools.end())
    return;
  --From->second.Machines;
  --From->second.Vacant;
}

void PoolRound::serve(const ServiceName &Name) {
  PoolState &Pool = this->Pools[Name];
  std::vector<std::string> Labels = Pool.Demand->DisplacedLabels;
  while (true) {
    const bool IsForLasting = Pool.lasting() > 0;
    std::string Label;
    if (IsForLasting && !Labels.empty()) {
      Label = Labels.back();
      Labels.pop_back();
    }
    const MachineInfo *Chosen = this->choose(Name, IsForLasting, Label);
    if (!Chosen && !Label.empty())
      continue;
    if (!Chosen)
      return;
    if (Pool.wanted(coresOf(*Chosen)) == 0) {
      (Chosen->Pool == this->Spare ? this->FromSpare : this->FromPools)
          .push_back(Chosen);
      return;
    }
    this->give(*Chosen, Name);
    Pool.comes(coresOf(*Chosen));
  }
}

void PoolRound::release(const MachineInfo &Machine) {
  if (this->mayGive(Machine, this->Spare, false))
    this->give(Machine, this->Spare);
}

} // namespace

std::vector<MoveProposal>
PoolPolicy::decide(const std::vector<MachineInfo> &Machines,
                   const std::vector<PoolDemand> &Demands,
                   const ServiceName &Spare,
                   const std::set<MachineName> &Reserved, TimePoint Now) {
  this->noteVacant(Machines, Demands, Now);
  PoolRound Round(Demands, Spare);
  for (const MachineInfo &Machine : Machines)
    Round.add(Machine, this->Idle.contains(Machine.Name),
              Reserved.contains(Machine.Name));
  for (const ServiceName &Name : Round.byNeed())
    Round.serve(Name);
  if (!Spare.isEmpty())
    for (const MachineInfo *Machine : Round.vacant())
      if (Now - this->Idle[Machine->Name].Since >= IdleTime)
        Round.release(*Machine);
  return Round.takeMoves();
}

} // namespace whintack::jobs
