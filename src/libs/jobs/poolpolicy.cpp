#include "whintack/jobs/poolpolicy.h"

#include <algorithm>
#include <cmath>
#include <cpprest/json.h>
#include <tuple>

namespace whintack::jobs {

using web::json::value;

/// Time in which a pool should complete its waiting work beside what arrives,
/// in seconds: about what a short job can wait and still be on time.
static constexpr double ClearSeconds = 1.5;
/// Time in which it should complete late work, which has little value, in
/// seconds.
static constexpr double LateSeconds = 8;
/// How long a machine may be vacant before it goes to the spare pool. Keeping
/// it longer costs as much as moving it there and back.
static constexpr Duration IdleMachineRetention =
    std::chrono::milliseconds(1200);
/// Number of vacant machines that a pool keeps for new work.
static constexpr size_t MinVacantMachines = 1;
/// Minimum number of machines of a pool. Long-running tasks are spread over
/// this many.
static constexpr size_t MinMachines = 4;

std::string encodeDemand(const PoolDemand &Demand) {
  value Body = value::object();
  Body["waiting"] = value::number(Demand.WaitingWork);
  Body["late"] = value::number(Demand.LateWork);
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
    Demand.LateWork = Body.at("late").as_double();
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

std::string encodeDemandRequest(const DemandRequest &Request) {
  value Body = value::object();
  Body["release"] = value::number(static_cast<uint64_t>(Request.Release));
  value Rows = value::array();
  for (size_t Index = 0; Index < Request.Arrived.size(); ++Index) {
    Rows[Index]["id"] = value::string(Request.Arrived[Index].Id.text());
    Rows[Index]["cores"] = value::number(Request.Arrived[Index].Cores);
  }
  Body["arrived"] = Rows;
  return Body.serialize();
}

DecodeResult<DemandRequest> decodeDemandRequest(const std::string &Text) {
  DemandRequest Request;
  if (Text.empty())
    return Request;
  try {
    const value Body = value::parse(Text);
    Request.Release = Body.at("release").as_number().to_uint64();
    for (const value &Row : Body.at("arrived").as_array())
      Request.Arrived.push_back(
          {ExecutorId(Row.at("id").as_string()), Row.at("cores").as_double()});
  } catch (const std::exception &Error) {
    return failure(DecodeError{Error.what()});
  }
  return Request;
}

void PoolPolicy::updateVacancies(const std::vector<MachineInfo> &Machines,
                                 const std::vector<PoolDemand> &Demands,
                                 TimePoint Now) {
  std::map<MachineName, VacancyRecord> Seen;
  for (const MachineInfo &Machine : Machines)
    for (const PoolDemand &Demand : Demands) {
      if (Demand.Pool != Machine.Pool ||
          !Demand.Vacant.contains(Machine.Executor))
        continue;
      const auto Known = this->Vacancies.find(Machine.Name);
      const bool IsSame = Known != this->Vacancies.end() &&
                          Known->second.Executor == Machine.Executor;
      Seen[Machine.Name] = {Machine.Executor,
                            IsSame ? Known->second.Since : Now};
    }
  this->Vacancies = std::move(Seen);
}

namespace {

double coresOf(const MachineInfo &Machine) {
  return static_cast<double>(Machine.Capacity.MilliCores) / MilliCoresPerCore;
}

double meanCoresOf(const std::vector<MachineInfo> &Machines) {
  double Sum = 0;
  for (const MachineInfo &Machine : Machines)
    Sum += coresOf(Machine);
  return Machines.empty()
             ? 1
             : std::max(Sum / static_cast<double>(Machines.size()), 1.0);
}

/// State of a pool during one rebalancing pass.
struct PoolState {
  const PoolDemand *Demand = nullptr;
  size_t Machines = 0;
  size_t Vacant = 0;
  /// Number of machines on their way to the pool, and their cores.
  size_t IncomingMachines = 0;
  double IncomingCores = 0;
  /// Cores of the machines that the pool gives away in this pass.
  double GivenCores = 0;

  void addIncoming(double Cores) {
    ++this->IncomingMachines;
    this->IncomingCores += Cores;
  }

  /// Number of displaced long-running tasks that have no executor even with the
  /// incoming machines, counting one machine per task.
  size_t unplacedTasks() const {
    return this->Demand->Displaced > this->IncomingMachines
               ? this->Demand->Displaced - this->IncomingMachines
               : 0;
  }

  /// Cores of the pool once all machines have arrived and left.
  double cores() const {
    return this->Demand->Cores + this->IncomingCores - this->GivenCores;
  }

  /// Cores that keep up with the work that can be on time.
  double requiredCores() const {
    return this->Demand->ArrivingWork +
           this->Demand->WaitingWork / ClearSeconds;
  }

  double surplusCores() const {
    return this->unplacedTasks() > 0
               ? 0
               : std::max(this->cores() - this->requiredCores(), 0.0);
  }

  /// Number of additional machines of this size that the pool needs for work
  /// that can be on time and for long-running tasks.
  size_t neededMachines(double CoresOfMachine) const {
    return this->machinesFor(this->requiredCores(), CoresOfMachine);
  }

  /// Number of additional machines of this size that the pool can use, also for
  /// late work.
  size_t wantedMachines(double CoresOfMachine) const {
    return this->machinesFor(this->requiredCores() +
                                 this->Demand->LateWork / LateSeconds,
                             CoresOfMachine);
  }

private:
  size_t machinesFor(double Required, double CoresOfMachine) const {
    const double Missing = std::max(Required - this->cores(), 0.0);
    return std::max(this->unplacedTasks(),
                    static_cast<size_t>(std::ceil(Missing / CoresOfMachine)));
  }
};

/// One rebalancing pass: matches available machines with the pools that need
/// them.
class RebalancingPass {
public:
  RebalancingPass(const std::vector<MachineInfo> &Machines,
                  const std::vector<PoolDemand> &Demands, ServiceName Spare)
      : Spare(std::move(Spare)), MeanCores(meanCoresOf(Machines)) {
    for (const PoolDemand &Demand : Demands)
      this->Pools[Demand.Pool].Demand = &Demand;
  }

  void add(const MachineInfo &Machine, bool IsVacant, bool IsReserved);
  /// The pools in order of need, highest first.
  std::vector<ServiceName> poolsByNeed() const;
  /// Assigns machines to \p Name as long as it can use more and any are
  /// available.
  void assignMachines(const ServiceName &Name);
  /// Vacant machines that were not assigned to another pool.
  const std::vector<const MachineInfo *> &vacantMachines() const {
    return this->VacantMachines;
  }
  /// Sends a vacant machine to the spare pool if its own pool does not need it.
  void returnToSpare(const MachineInfo &Machine);
  std::vector<MoveProposal> takeMoves() { return std::move(this->Moves); }
  /// Number of machines that each pool should empty for those that need more
  /// than is available.
  std::map<ServiceName, size_t> releases() const;

private:
  bool canGive(const MachineInfo &Machine, const ServiceName &To,
               bool IsForUnplaced);
  const MachineInfo *takeMachine(const ServiceName &To, bool IsForUnplaced,
                                 const std::string &Label);
  void proposeMove(const MachineInfo &Machine, const ServiceName &To);

  ServiceName Spare;
  /// Cores of a machine, on average.
  double MeanCores = 1;
  std::map<ServiceName, PoolState> Pools;
  std::vector<const MachineInfo *> SpareMachines;
  std::vector<const MachineInfo *> VacantMachines;
  std::vector<MoveProposal> Moves;
};

void RebalancingPass::add(const MachineInfo &Machine, bool IsVacant,
                          bool IsReserved) {
  const auto Pool = this->Pools.find(Machine.Pool);
  const bool IsUp = Machine.State == MachineState::Up;
  if (Pool != this->Pools.end()) {
    ++Pool->second.Machines;
    if (!IsUp)
      Pool->second.addIncoming(coresOf(Machine));
  }
  if (!IsUp || IsReserved)
    return;
  if (Machine.Pool == this->Spare) {
    this->SpareMachines.push_back(&Machine);
  } else if (Pool != this->Pools.end() && IsVacant) {
    ++Pool->second.Vacant;
    this->VacantMachines.push_back(&Machine);
  }
}

std::vector<ServiceName> RebalancingPass::poolsByNeed() const {
  // Pools with displaced long-running tasks come first, then those with the
  // most waiting work per core.
  std::vector<std::tuple<bool, double, ServiceName>> Order;
  for (const auto &[Name, Pool] : this->Pools)
    Order.emplace_back(
        Pool.unplacedTasks() == 0,
        -Pool.Demand->WaitingWork / std::max(Pool.Demand->Cores, 1.0), Name);
  std::sort(Order.begin(), Order.end());
  std::vector<ServiceName> Names;
  Names.reserve(Order.size());
  for (const auto &[IsSatisfied, Pressure, Name] : Order)
    Names.push_back(Name);
  return Names;
}

bool RebalancingPass::canGive(const MachineInfo &Machine, const ServiceName &To,
                              bool IsForUnplaced) {
  const PoolState &Pool = this->Pools[Machine.Pool];
  if (Machine.Pool == To || Pool.Machines <= MinMachines)
    return false;
  if (IsForUnplaced)
    return Pool.unplacedTasks() == 0;
  return Pool.Vacant > MinVacantMachines && Pool.neededMachines(1) == 0;
}

/// Removes and returns an available machine, spare ones first. If \p Label is
/// not empty, the machine must have it.
const MachineInfo *RebalancingPass::takeMachine(const ServiceName &To,
                                                bool IsForUnplaced,
                                                const std::string &Label) {
  const auto HasLabel = [&Label](const MachineInfo *Each) {
    return Label.empty() || std::find(Each->Labels.begin(), Each->Labels.end(),
                                      Label) != Each->Labels.end();
  };
  const auto CanBeGiven = [&](const MachineInfo *Each) {
    return HasLabel(Each) && this->canGive(*Each, To, IsForUnplaced);
  };
  const auto Take = [](std::vector<const MachineInfo *> &From, auto Found) {
    const MachineInfo *Taken = *Found;
    From.erase(Found);
    return Taken;
  };
  const auto SpareFound = std::find_if(this->SpareMachines.begin(),
                                       this->SpareMachines.end(), HasLabel);
  if (SpareFound != this->SpareMachines.end())
    return Take(this->SpareMachines, SpareFound);
  const auto VacantFound = std::find_if(this->VacantMachines.begin(),
                                        this->VacantMachines.end(), CanBeGiven);
  if (VacantFound != this->VacantMachines.end())
    return Take(this->VacantMachines, VacantFound);
  return nullptr;
}

void RebalancingPass::proposeMove(const MachineInfo &Machine,
                                  const ServiceName &To) {
  this->Moves.push_back({Machine, To});
  const auto From = this->Pools.find(Machine.Pool);
  if (From == this->Pools.end())
    return;
  --From->second.Machines;
  --From->second.Vacant;
  From->second.GivenCores += coresOf(Machine);
}

void RebalancingPass::assignMachines(const ServiceName &Name) {
  PoolState &Pool = this->Pools[Name];
  std::vector<std::string> Labels = Pool.Demand->DisplacedLabels;
  while (true) {
    const bool IsForUnplaced = Pool.unplacedTasks() > 0;
    std::string Label;
    if (IsForUnplaced && !Labels.empty()) {
      Label = Labels.back();
      Labels.pop_back();
    }
    const MachineInfo *Chosen = this->takeMachine(Name, IsForUnplaced, Label);
    if (!Chosen && !Label.empty())
      continue;
    if (!Chosen)
      return;
    if (Pool.wantedMachines(coresOf(*Chosen)) == 0) {
      (Chosen->Pool == this->Spare ? this->SpareMachines : this->VacantMachines)
          .push_back(Chosen);
      return;
    }
    this->proposeMove(*Chosen, Name);
    Pool.addIncoming(coresOf(*Chosen));
  }
}

std::map<ServiceName, size_t> RebalancingPass::releases() const {
  size_t Lacking = 0;
  for (const auto &[Name, Pool] : this->Pools)
    Lacking += Pool.neededMachines(this->MeanCores);
  std::vector<std::pair<size_t, ServiceName>> Surplus;
  for (const auto &[Name, Pool] : this->Pools) {
    const auto Machines =
        static_cast<size_t>(Pool.surplusCores() / this->MeanCores);
    // Vacant machines are given away without being emptied first.
    const size_t Kept = MinMachines + Pool.Vacant;
    if (Machines > Kept)
      Surplus.emplace_back(Machines - Kept, Name);
  }
  std::sort(Surplus.rbegin(), Surplus.rend());
  std::map<ServiceName, size_t> Releases;
  for (const auto &[Machines, Name] : Surplus) {
    const size_t Released = std::min(Machines, Lacking);
    Lacking -= Released;
    if (Released > 0)
      Releases[Name] = Released;
  }
  return Releases;
}

void RebalancingPass::returnToSpare(const MachineInfo &Machine) {
  if (this->canGive(Machine, this->Spare, false))
    this->proposeMove(Machine, this->Spare);
}

} // namespace

PoolDecision PoolPolicy::decide(const std::vector<MachineInfo> &Machines,
                                const std::vector<PoolDemand> &Demands,
                                const ServiceName &Spare,
                                const std::set<MachineName> &Reserved,
                                TimePoint Now) {
  this->updateVacancies(Machines, Demands, Now);
  RebalancingPass Pass(Machines, Demands, Spare);
  for (const MachineInfo &Machine : Machines)
    Pass.add(Machine, this->Vacancies.contains(Machine.Name),
             Reserved.contains(Machine.Name));
  for (const ServiceName &Name : Pass.poolsByNeed())
    Pass.assignMachines(Name);
  PoolDecision Decision;
  Decision.Releases = Pass.releases();
  if (!Spare.isEmpty())
    for (const MachineInfo *Machine : Pass.vacantMachines())
      if (Now - this->Vacancies[Machine->Name].Since >= IdleMachineRetention)
        Pass.returnToSpare(*Machine);
  Decision.Moves = Pass.takeMoves();
  return Decision;
}

} // namespace whintack::jobs
