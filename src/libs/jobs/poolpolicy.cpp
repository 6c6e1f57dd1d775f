#include "whintack/jobs/poolpolicy.h"

#include <algorithm>
#include <cmath>
#include <cpprest/json.h>
#include <tuple>

namespace whintack::jobs {

using web::json::value;

/// Waiting work that a pool can complete without more machines, in seconds of
/// all its cores. About half of a short job's time to its objective.
static constexpr double TolerableWaitSeconds = 0.7;
/// Time for which an added machine is still useful, in seconds. A queue's turn
/// lasts 4 s, of which detecting the demand and moving the machine take 2 s.
static constexpr double UsefulSeconds = 2.5;
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

/// State of a pool during one rebalancing pass.
struct PoolState {
  const PoolDemand *Demand = nullptr;
  size_t Machines = 0;
  size_t Vacant = 0;
  /// Number of machines on their way to the pool, and their cores.
  size_t IncomingMachines = 0;
  double IncomingCores = 0;

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

  /// Number of additional machines of this size that the pool can use.
  size_t wantedMachines(double CoresOfMachine) const {
    const double Cores = this->Demand->Cores + this->IncomingCores;
    const double Excess =
        this->Demand->WaitingWork - Cores * TolerableWaitSeconds;
    const size_t ForUnplaced = this->unplacedTasks();
    const double ForWaiting = Excess / (CoresOfMachine * UsefulSeconds);
    const double ForArriving =
        (this->Demand->ArrivingWork - Cores) / CoresOfMachine;
    const double Wanted = std::ceil(std::max({ForWaiting, ForArriving, 0.0}));
    return std::max(ForUnplaced, static_cast<size_t>(Wanted));
  }
};

/// One rebalancing pass: matches available machines with the pools that need
/// them.
class RebalancingPass {
public:
  RebalancingPass(const std::vector<PoolDemand> &Demands, ServiceName Spare)
      : Spare(std::move(Spare)) {
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

private:
  bool canGive(const MachineInfo &Machine, const ServiceName &To,
               bool IsForUnplaced);
  const MachineInfo *takeMachine(const ServiceName &To, bool IsForUnplaced,
                                 const std::string &Label);
  void proposeMove(const MachineInfo &Machine, const ServiceName &To);

  ServiceName Spare;
  std::map<ServiceName, PoolState> Pools;
  std::vector<const MachineInfo *> SpareMachines;
  std::vector<const MachineInfo *> VacantMachines;
  std::vector<MoveProposal> Moves;
};

double coresOf(const MachineInfo &Machine) {
  return static_cast<double>(Machine.Capacity.MilliCores) / MilliCoresPerCore;
}

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
  return Pool.Vacant > MinVacantMachines && Pool.wantedMachines(1) == 0;
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

void RebalancingPass::returnToSpare(const MachineInfo &Machine) {
  if (this->canGive(Machine, this->Spare, false))
    this->proposeMove(Machine, this->Spare);
}

} // namespace

std::vector<MoveProposal>
PoolPolicy::decide(const std::vector<MachineInfo> &Machines,
                   const std::vector<PoolDemand> &Demands,
                   const ServiceName &Spare,
                   const std::set<MachineName> &Reserved, TimePoint Now) {
  this->updateVacancies(Machines, Demands, Now);
  RebalancingPass Pass(Demands, Spare);
  for (const MachineInfo &Machine : Machines)
    Pass.add(Machine, this->Vacancies.contains(Machine.Name),
             Reserved.contains(Machine.Name));
  for (const ServiceName &Name : Pass.poolsByNeed())
    Pass.assignMachines(Name);
  if (!Spare.isEmpty())
    for (const MachineInfo *Machine : Pass.vacantMachines())
      if (Now - this->Vacancies[Machine->Name].Since >= IdleMachineRetention)
        Pass.returnToSpare(*Machine);
  return Pass.takeMoves();
}

} // namespace whintack::jobs
