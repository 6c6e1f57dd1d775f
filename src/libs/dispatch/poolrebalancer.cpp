#include "poolrebalancer.h"

#include "whintack/jobs/planner.h"

namespace whintack::dispatch::Internal {

/// Interval between two reads of the list of machines, which is a priced call.
static constexpr Duration ListInterval = std::chrono::milliseconds(400);
/// Interval between two checks of the demand. Every interval is one by which a
/// pool gets its machines later.
static constexpr Duration DemandInterval = std::chrono::milliseconds(150);
static constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
/// How long a decision waits for the answers of the planners.
static constexpr Duration DecisionTimeout = std::chrono::milliseconds(300);
/// Time after which a planner that has not reported its demand is asked again.
/// Later answers are out of date.
static constexpr Duration DemandTimeout = std::chrono::milliseconds(2000);
/// Time for an evacuation to be confirmed, within the time that an order to the
/// machine may take to be sent.
static constexpr Duration EvacuationAnswerTimeout =
    jobs::EvacuationTimeout / 2 - std::chrono::milliseconds(100);
static constexpr Duration OrderTimeout = std::chrono::milliseconds(1000);
/// How long an ordered machine is left alone unless the list shows that it has
/// arrived; a move takes 1.5 s.
static constexpr Duration ArrivalTimeout = std::chrono::milliseconds(2500);
/// How long a pool's planner is told that a machine has arrived. By then it has
/// read the executor's entry, or the executor never registered.
static constexpr Duration AnnounceTime = std::chrono::milliseconds(2000);

PoolRebalancer::PoolRebalancer(
    Context Shared, FleetShardEnvironment Environment, EntryName Self,
    HeldClaim OwnClaim, std::function<std::set<jobs::MachineName>()> Reserved)
    : Shared(std::move(Shared)), Environment(std::move(Environment)),
      Self(std::move(Self)), OwnClaim(std::move(OwnClaim)),
      Reserved(std::move(Reserved)) {}

void PoolRebalancer::start() {
  this->listMachines();
  this->checkDemand();
}

bool PoolRebalancer::canOrder() const {
  if (this->IsStopped || !this->Environment.Orders->isLoaded())
    return false;
  switch (this->Environment.Phase()) {
  case ClaimPhase::Valid:
    return true;
  case ClaimPhase::Grace:
    return this->Environment.Orders->mayOrderInGrace();
  case ClaimPhase::Over:
    break;
  }
  return false;
}

void PoolRebalancer::listMachines() {
  if (this->IsStopped)
    return;
  if (this->canOrder())
    this->Environment.Machines.List(
        this->Shared.now() + ListTimeout,
        onLoop<PoolRebalancer,
               jobs::GatewayResult<std::vector<jobs::MachineInfo>>>(
            this->Shared.Loop, this->shared_from_this(),
            [](PoolRebalancer &Self,
               jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found) {
              if (Found)
                Self.handleMachines(std::move(Found).value());
            }));
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + ListInterval,
              [](PoolRebalancer &Owner) { Owner.listMachines(); });
}

void PoolRebalancer::handleMachines(std::vector<jobs::MachineInfo> Listed) {
  const TimePoint Now = this->Shared.now();
  this->Machines = std::move(Listed);
  for (const jobs::MachineInfo &Machine : this->Machines)
    this->noteIfArrived(Machine, Now);
  std::erase_if(this->Arrivals, [Now](const auto &Entry) {
    return Now >= Entry.second.AnnouncedUntil;
  });
}

void PoolRebalancer::checkDemand() {
  if (this->IsStopped)
    return;
  if (this->canOrder() && !this->Machines.empty())
    this->requestDemands();
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + DemandInterval,
              [](PoolRebalancer &Owner) { Owner.checkDemand(); });
}

void PoolRebalancer::requestDemands() {
  const auto Queues = this->Environment.Queues();
  auto Current = std::make_shared<Round>();
  // Counts this function itself, so that the round ends only after all calls
  // are made.
  Current->OpenCalls = 1;
  for (const jobs::ServicePolicy &Service : Queues->configuration().Services)
    if (!Service.IsSpare &&
        !this->Environment.Demands->isRequestOpen(Service.Name))
      this->requestDemand(Service.Name, Current);
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + DecisionTimeout,
              [Current](PoolRebalancer &Self) { Self.finishRound(*Current); });
  if (--Current->OpenCalls == 0)
    this->finishRound(*Current);
}

void PoolRebalancer::requestDemand(const ServiceName &Pool,
                                   const std::shared_ptr<Round> &Current) {
  ++Current->OpenCalls;
  this->Environment.Demands->noteRequest(Pool);
  jobs::DemandRequest Request;
  for (const auto &[Name, Each] : this->Arrivals)
    if (Each.Pool == Pool)
      Request.Arrived.push_back(Each.Executor);
  if (const auto Found = this->Releases.find(Pool);
      Found != this->Releases.end())
    Request.Release = Found->second;
  this->Environment.Calls->call(
      {0, Pool, peers::ServiceCallKind::PoolDemand, "",
       jobs::encodeDemandRequest(Request)},
      DemandTimeout,
      [Weak = this->weak_from_this(), Current, Pool](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        Self->handleDemand(Pool, Answer);
        if (--Current->OpenCalls == 0)
          Self->finishRound(*Current);
      });
}

void PoolRebalancer::handleDemand(const ServiceName &Pool,
                                  const CallResult &Answer) {
  this->Environment.Demands->noteRequestEnd(Pool);
  if (Answer.Outcome != CallOutcome::Done) {
    logEvent(LogLevel::Warning, "demand-unknown",
             {{"pool", Pool},
              {"outcome", nameOf(CallOutcomeNames, Answer.Outcome)}});
    return;
  }
  auto Demand = jobs::decodeDemand(Pool, Answer.Content);
  if (Demand)
    this->Environment.Demands->note(std::move(Demand).value(),
                                    this->Shared.now());
  else
    logEvent(LogLevel::Error, "demand-unreadable",
             {{"pool", Pool}, {"cause", Demand.error().Message}});
}

void PoolRebalancer::finishRound(Round &Current) {
  if (!std::exchange(Current.IsDecided, true))
    this->decide();
}

void PoolRebalancer::noteIfArrived(const jobs::MachineInfo &Machine,
                                   TimePoint Now) {
  const auto Found = this->LastOrders.find(Machine.Name);
  if (Found == this->LastOrders.end() || Machine.Pool != Found->second.Pool ||
      Machine.State != jobs::MachineState::Up)
    return;
  this->LastOrders.erase(Found);
  const double Cores = static_cast<double>(Machine.Capacity.MilliCores) /
                       jobs::MilliCoresPerCore;
  this->Environment.Demands->noteArrival(Machine.Pool, Cores);
  if (!Machine.Executor.isEmpty())
    this->Arrivals[Machine.Name] = {
        Machine.Pool, {Machine.Executor, Cores}, Now + AnnounceTime};
}

std::vector<jobs::MachineInfo> PoolRebalancer::expectedMachines() const {
  std::vector<jobs::MachineInfo> Expected = this->Machines;
  for (jobs::MachineInfo &Machine : Expected) {
    const auto Found = this->LastOrders.find(Machine.Name);
    if (Found == this->LastOrders.end() || Found->second.IsAbandoned)
      continue;
    Machine.Pool = Found->second.Pool;
    Machine.State = jobs::MachineState::Moving;
  }
  return Expected;
}

void PoolRebalancer::decide() {
  if (!this->canOrder() || this->Environment.Orders->mustWait())
    return;
  const TimePoint Now = this->Shared.now();
  std::erase_if(this->LastOrders,
                [Now](const auto &Entry) { return Now >= Entry.second.Until; });
  std::set<jobs::MachineName> Excluded = this->Reserved();
  for (const jobs::MachineInfo &Machine : this->Machines)
    if (this->LastOrders.contains(Machine.Name) ||
        this->Environment.Orders->isHeld(Machine.Name))
      Excluded.insert(Machine.Name);
  const std::vector<jobs::PoolDemand> Demands =
      this->Environment.Demands->current(Now);
  for (const jobs::PoolDemand &Demand : Demands)
    logEvent(LogLevel::Info, "pool-demand",
             {{"pool", Demand.Pool},
              {"cores", Demand.Cores},
              {"waiting-work", Demand.WaitingWork},
              {"late-work", Demand.LateWork},
              {"arriving-work", Demand.ArrivingWork},
              {"displaced", Demand.Displaced},
              {"vacant", Demand.Vacant.size()}});
  ServiceName Spare;
  const auto Queues = this->Environment.Queues();
  for (const jobs::ServicePolicy &Service : Queues->configuration().Services)
    if (Service.IsSpare)
      Spare = Service.Name;
  jobs::PoolDecision Decision = this->Policy.decide(
      this->expectedMachines(), Demands, Spare, Excluded, Now);
  this->Releases = std::move(Decision.Releases);
  for (const auto &[Pool, Machines] : this->Releases)
    logEvent(LogLevel::Info, "release-requested",
             {{"pool", Pool}, {"machines", Machines}});
  for (const jobs::MoveProposal &Move : Decision.Moves) {
    this->LastOrders[Move.Machine.Name] = {Move.TargetPool,
                                           Now + ArrivalTimeout};
    this->evacuateAndMove(Move);
  }
}

/// Has the planner evacuate the machine, then orders the move.
void PoolRebalancer::evacuateAndMove(const jobs::MoveProposal &Move) {
  const jobs::ServicePolicy *CurrentPool =
      this->Environment.Queues()->service(Move.Machine.Pool);
  const TimePoint Now = this->Shared.now();
  if (Move.Machine.Executor.isEmpty() ||
      (CurrentPool && CurrentPool->IsSpare)) {
    this->order(Move, Now + jobs::EvacuationTimeout / 2);
    return;
  }
  this->Environment.Calls->call(
      {0, Move.Machine.Pool, peers::ServiceCallKind::EvacuateExecutor,
       Move.Machine.Executor.text(), ""},
      EvacuationAnswerTimeout,
      [Weak = this->weak_from_this(), Move, Now](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        const bool IsVacant = Answer.Outcome == CallOutcome::Done &&
                              valueOf(jobs::OccupancyNames, Answer.Content) ==
                                  jobs::Occupancy::Vacant;
        if (IsVacant && Self->canOrder())
          Self->order(Move, Now + jobs::EvacuationTimeout / 2);
        else if (const auto Found = Self->LastOrders.find(Move.Machine.Name);
                 Found != Self->LastOrders.end())
          Found->second.IsAbandoned = true;
      });
}

void PoolRebalancer::order(const jobs::MoveProposal &Move, TimePoint SendBy) {
  this->Environment.Orders->recordAndSend(
      Move.Machine.Name, SendBy,
      [Weak = this->weak_from_this(), Move] {
        const auto Self = Weak.lock();
        if (Self && Self->canOrder())
          Self->send(Move);
      },
      [] {});
}

void PoolRebalancer::send(const jobs::MoveProposal &Move) {
  logEvent(LogLevel::Info, "machine-moved",
           {{"machine", Move.Machine.Name},
            {"from", Move.Machine.Pool},
            {"to", Move.TargetPool},
            {"token", this->OwnClaim.Token}});
  this->Environment.Machines.Move(
      {this->Self.text(), this->OwnClaim.Token}, Move.Machine.Name,
      Move.TargetPool, this->Shared.now() + OrderTimeout,
      [Move](const jobs::GatewayResult<void> &Answer) {
        if (!Answer)
          logEvent(
              LogLevel::Warning, "machine-not-moved",
              {{"machine", Move.Machine.Name},
               {"code", nameOf(jobs::GatewayErrorNames, Answer.error().Code)},
               {"cause", Answer.error().Message}});
      });
}

} // namespace whintack::dispatch::Internal
