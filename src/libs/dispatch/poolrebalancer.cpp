#include "poolrebalancer.h"

#include "whintack/jobs/planner.h"

namespace whintack::dispatch::Internal {

/// Interval between two checks of the demand: a tenth of a queue's turn of 4 s.
static constexpr Duration TickInterval = std::chrono::milliseconds(400);
static constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
static constexpr Duration PlannerTimeout = std::chrono::milliseconds(300);
static constexpr Duration OrderTimeout = std::chrono::milliseconds(1000);
/// How long an ordered machine is left alone unless the list shows that it has
/// arrived; a move takes 1.5 s.
static constexpr Duration ArrivalTimeout = std::chrono::milliseconds(2500);

PoolRebalancer::PoolRebalancer(
    Context Shared, FleetShardEnvironment Environment, EntryName Self,
    HeldClaim OwnClaim, std::function<std::set<jobs::MachineName>()> Reserved)
    : Shared(std::move(Shared)), Environment(std::move(Environment)),
      Self(std::move(Self)), OwnClaim(std::move(OwnClaim)),
      Reserved(std::move(Reserved)) {}

void PoolRebalancer::start() { this->tick(); }

bool PoolRebalancer::canOrder() const {
  return !this->IsStopped && this->Environment.Orders->isLoaded() &&
         this->Shared.now() < this->Environment.ClaimValidUntil();
}

void PoolRebalancer::tick() {
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
              if (!Found)
                return;
              Self.Machines = std::move(Found).value();
              Self.requestDemands();
            }));
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + TickInterval,
              [](PoolRebalancer &Owner) { Owner.tick(); });
}

void PoolRebalancer::requestDemands() {
  const auto Queues = this->Environment.Queues();
  auto Current = std::make_shared<Round>();
  for (const jobs::ServicePolicy &Service : Queues->configuration().Services)
    if (!Service.IsSpare)
      ++Current->OpenCalls;
  for (const jobs::ServicePolicy &Service : Queues->configuration().Services) {
    if (Service.IsSpare)
      continue;
    this->Environment.Calls->call(
        {0, Service.Name, peers::ServiceCallKind::PoolDemand, "", ""},
        PlannerTimeout,
        [Weak = this->weak_from_this(), Current,
         Pool = Service.Name](const CallResult &Answer) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          if (Answer.Outcome == CallOutcome::Done) {
            auto Demand = jobs::decodeDemand(Pool, Answer.Content);
            if (Demand)
              Current->Demands.push_back(std::move(Demand).value());
            else
              logEvent(LogLevel::Error, "demand-unreadable",
                       {{"pool", Pool}, {"cause", Demand.error().Message}});
          }
          if (--Current->OpenCalls == 0)
            Self->decide(Current->Demands);
        });
  }
}

bool PoolRebalancer::isInTransit(const jobs::MachineInfo &Machine,
                                 TimePoint Now) {
  const auto Found = this->LastOrders.find(Machine.Name);
  if (Found == this->LastOrders.end())
    return false;
  const bool HasArrived = Machine.Pool == Found->second.Pool &&
                          Machine.State == jobs::MachineState::Up;
  if (!HasArrived && Now < Found->second.Until)
    return true;
  this->LastOrders.erase(Found);
  return false;
}

void PoolRebalancer::decide(const std::vector<jobs::PoolDemand> &Demands) {
  if (!this->canOrder())
    return;
  const TimePoint Now = this->Shared.now();
  std::set<jobs::MachineName> Excluded = this->Reserved();
  for (const jobs::MachineInfo &Machine : this->Machines)
    if (this->isInTransit(Machine, Now) ||
        this->Environment.Orders->isHeld(Machine.Name))
      Excluded.insert(Machine.Name);
  for (const jobs::PoolDemand &Demand : Demands)
    logEvent(LogLevel::Info, "pool-demand",
             {{"pool", Demand.Pool},
              {"cores", Demand.Cores},
              {"waiting-work", Demand.WaitingWork},
              {"arriving-work", Demand.ArrivingWork},
              {"displaced", Demand.Displaced},
              {"vacant", Demand.Vacant.size()}});
  ServiceName Spare;
  const auto Queues = this->Environment.Queues();
  for (const jobs::ServicePolicy &Service : Queues->configuration().Services)
    if (Service.IsSpare)
      Spare = Service.Name;
  for (const jobs::MoveProposal &Move :
       this->Policy.decide(this->Machines, Demands, Spare, Excluded, Now)) {
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
      PlannerTimeout,
      [Weak = this->weak_from_this(), Move, Now](const CallResult &Answer) {
        const auto Self = Weak.lock();
        const bool IsVacant = Answer.Outcome == CallOutcome::Done &&
                              valueOf(jobs::OccupancyNames, Answer.Content) ==
                                  jobs::Occupancy::Vacant;
        if (Self && IsVacant && Self->canOrder())
          Self->order(Move, Now + jobs::EvacuationTimeout / 2);
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
