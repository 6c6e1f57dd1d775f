#include "wavemanager.h"

#include "storekeys.h"

#include "whintack/jobs/planner.h"

#include <algorithm>
#include <charconv>
#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

static constexpr Duration TickInterval = std::chrono::milliseconds(400);
static constexpr Duration ListTimeout = std::chrono::milliseconds(1500);
/// Time-out of an order; an order without an answer may have been carried out.
static constexpr Duration OrderTimeout = std::chrono::milliseconds(1000);
static constexpr Duration PlannerTimeout = std::chrono::milliseconds(500);
/// Reserved from a wave's duration for the answers of the last machines.
static constexpr Duration EndMargin = std::chrono::seconds(2);

WaveManager::WaveManager(Context Shared, FleetShardEnvironment Environment,
                         EntryName Self, HeldClaim OwnClaim)
    : Shared(std::move(Shared)), Environment(std::move(Environment)),
      Self(std::move(Self)), OwnClaim(std::move(OwnClaim)) {}

void WaveManager::start() {
  this->load();
  this->tick();
}

bool WaveManager::canOrder() const {
  return !this->IsStopped && this->Environment.Orders->isLoaded() &&
         !this->Environment.Orders->mustWait() &&
         this->Environment.Phase() == ClaimPhase::Valid;
}

void WaveManager::load() {
  this->Shared.Store.Range(
      keys::Waves, "", store::ReadKind::Current,
      onLoop<WaveManager, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](WaveManager &Self, store::StoreResult<store::StorePage> Answer) {
            Self.handleRecords(std::move(Answer));
          }));
}

/// The number in the key of a wave's record; std::nullopt if there is none.
static std::optional<uint64_t> waveNumber(const std::string &Key) {
  uint64_t Number = 0;
  const char *Begin = Key.data() + keys::Waves.size();
  const char *End = Key.data() + Key.size();
  const auto Read = std::from_chars(Begin, End, Number);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Number;
}

void WaveManager::handleRecords(store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(TickInterval),
                [](WaveManager &Owner) { Owner.load(); });
    return;
  }
  for (const store::StoreItem &Item : Answer.value().Items)
    if (const auto Number = waveNumber(Item.Key))
      this->Records[*Number] = Item;
    else
      logEvent(LogLevel::Error, "wave-unreadable",
               {{"key", Item.Key}, {"cause", "the key names no wave"}});
  this->IsLoaded = true;
  this->setWaves(this->Requests);
}

void WaveManager::setWaves(const std::vector<jobs::WaveRequest> &Requested) {
  this->Requests = Requested;
  if (!this->IsLoaded)
    return;
  for (auto &[Number, Each] : this->Waves)
    Each.IsRequested = false;
  for (const jobs::WaveRequest &Request : Requested) {
    const auto Known = this->Waves.find(Request.Number);
    if (Known == this->Waves.end())
      this->openWave(Request);
    else
      this->changeWave(Known->second, Request);
  }
}

void WaveManager::changeWave(Wave &Changed, const jobs::WaveRequest &Request) {
  Changed.IsRequested = true;
  if (Changed.Scheduler->request() == Request)
    return;
  Changed.Scheduler->setRequest(Request, this->deadlineOf(Changed, Request));
  logEvent(LogLevel::Info, "wave-changed",
           {{"wave", Request.Number},
            {"machines", Request.Machines.size()},
            {"begun", Changed.Scheduler->begun().size()},
            {"at-once", Request.MaxConcurrent},
            {"length-ms", toMilliseconds(Request.Length)}});
}

TimePoint WaveManager::deadlineOf(const Wave &Of,
                                  const jobs::WaveRequest &Request) const {
  const Duration Age = this->Shared.Time.WallNow() - Of.Begun;
  return this->Shared.now() + Request.Length - Age - EndMargin;
}

void WaveManager::openWave(const jobs::WaveRequest &Request) {
  Wave &Opened = this->Waves[Request.Number];
  Opened.Begun = this->Shared.Time.WallNow();
  std::set<jobs::MachineName> Begun;
  if (const auto Stored = this->Records.find(Request.Number);
      Stored != this->Records.end()) {
    try {
      Opened.Revision = Stored->second.Revision;
      const value Record = value::parse(Stored->second.Value);
      Opened.Begun = wallTimeFromMicroseconds(
          Record.at("begun-us").as_number().to_int64());
      for (const value &Name : Record.at("machines").as_array())
        Begun.insert(jobs::MachineName(Name.as_string()));
      Opened.IsStored = true;
    } catch (const std::exception &Error) {
      logEvent(LogLevel::Error, "wave-unreadable",
               {{"wave", Request.Number}, {"cause", Error.what()}});
    }
  }
  Opened.StoredBegun = Begun.size();
  Opened.Scheduler = std::make_unique<jobs::WaveScheduler>(
      Request, this->deadlineOf(Opened, Request), Begun);
  logEvent(LogLevel::Info, "wave-opened",
           {{"wave", Request.Number},
            {"machines", Request.Machines.size()},
            {"begun", Begun.size()},
            {"at-once", Request.MaxConcurrent},
            {"length-ms", toMilliseconds(Request.Length)}});
  if (!Opened.IsStored)
    this->record(Opened);
}

/// Stores which machines have begun maintenance, and reports the state of the
/// wave to the operator.
void WaveManager::record(Wave &Current) {
  if (Current.IsWriting)
    return;
  const std::set<jobs::MachineName> Begun = Current.Scheduler->begun();
  const bool IsCompleted = Current.Scheduler->isCompleted();
  value Names = value::array();
  size_t Next = 0;
  for (const jobs::MachineName &Name : Begun)
    Names[Next++] = value::string(Name.text());
  value Record = value::object();
  Record["begun-us"] = value::number(toMicroseconds(Current.Begun));
  Record["machines"] = Names;
  const uint64_t Number = Current.Scheduler->request().Number;
  store::StoreTransaction Change;
  Change.Expect = {{keys::claim(this->OwnClaim.Shard), this->OwnClaim.Token},
                   {keys::Waves + std::to_string(Number), Current.Revision}};
  Change.Puts = {{keys::Waves + std::to_string(Number), Record.serialize(), 0},
                 {this->Environment.Codec.WaveStatusKey(Number),
                  this->Environment.Codec.EncodeWaveStatus(IsCompleted), 0}};
  Current.IsWriting = true;
  this->Shared.Store.Commit(
      Change,
      onLoop<WaveManager, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Number, Count = Begun.size(),
           IsCompleted](WaveManager &Self,
                        const store::StoreResult<store::CommitAnswer> &Answer) {
            Wave &Written = Self.Waves[Number];
            Written.IsWriting = false;
            if (!Answer)
              return;
            if (!Answer.value().IsCommitted) {
              Self.handleRecordConflict(Written, Answer.value());
              return;
            }
            Written.Revision = Answer.value().Revision;
            Written.IsStored = true;
            Written.StoredBegun = Count;
            if (IsCompleted && Written.ReportedCompletion != true)
              logEvent(LogLevel::Info, "wave-completed", {{"wave", Number}});
            Written.ReportedCompletion = IsCompleted;
          }));
}

/// The claim is lost, or an earlier copy of a write took effect after its
/// time-out. The record is written again by the next tick.
void WaveManager::handleRecordConflict(Wave &Current,
                                       const store::CommitAnswer &Answer) {
  const std::string Claim = keys::claim(this->OwnClaim.Shard);
  if (store::revisionOf(Answer.Current, Claim) != this->OwnClaim.Token) {
    this->Environment.OnLost(this->OwnClaim.Shard,
                             "another process holds the claim");
    return;
  }
  const uint64_t Number = Current.Scheduler->request().Number;
  Current.Revision =
      store::revisionOf(Answer.Current, keys::Waves + std::to_string(Number));
}

void WaveManager::tick() {
  if (this->IsStopped)
    return;
  bool IsAnyOpen = false;
  for (auto &[Number, Current] : this->Waves) {
    if (!Current.isOpen())
      continue;
    IsAnyOpen = true;
    this->advance(Current);
  }
  if (IsAnyOpen && !this->IsListing) {
    this->IsListing = true;
    this->ListRequestedAt = this->Shared.now();
    this->Environment.Machines.List(
        this->Shared.now() + ListTimeout,
        onLoop<WaveManager,
               jobs::GatewayResult<std::vector<jobs::MachineInfo>>>(
            this->Shared.Loop, this->shared_from_this(),
            [](WaveManager &Self,
               jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found) {
              Self.handleMachines(std::move(Found));
            }));
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + TickInterval,
              [](WaveManager &Owner) { Owner.tick(); });
}

void WaveManager::handleMachines(
    jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found) {
  this->IsListing = false;
  if (!Found) {
    logEvent(LogLevel::Warning, "machines-not-listed",
             {{"code", nameOf(jobs::GatewayErrorNames, Found.error().Code)},
              {"cause", Found.error().Message}});
    return;
  }
  // The last machine of a completed wave may still be in maintenance, which
  // matters to the other waves.
  for (auto &[Number, Current] : this->Waves)
    Current.Scheduler->noteMachines(Found.value(), this->ListRequestedAt);
  for (auto &[Number, Current] : this->Waves)
    if (Current.isOpen())
      this->advance(Current);
}

std::set<jobs::MachineName> WaveManager::machinesInProgress() const {
  std::set<jobs::MachineName> Names;
  for (const auto &[Number, Current] : this->Waves)
    if (Current.isOpen())
      Names.merge(Current.Scheduler->machinesInProgress());
  return Names;
}

void WaveManager::advance(Wave &Current) {
  if (!Current.IsStored ||
      Current.StoredBegun != Current.Scheduler->begun().size() ||
      (Current.Scheduler->hasList() &&
       Current.Scheduler->isCompleted() != Current.ReportedCompletion))
    this->record(Current);
  if (!this->canOrder() || !Current.IsStored)
    return;
  const uint64_t Number = Current.Scheduler->request().Number;
  Current.Scheduler->setHeld(this->Environment.Orders->heldFor(Number));
  for (const jobs::MachineInfo &Machine : Current.Scheduler->machinesToEvacuate(
           this->Shared.now(),
           [this](const jobs::MachineInfo &Each) { return this->useOf(Each); }))
    if (!this->mustAwaitEnd(Number, Machine) &&
        this->InFlight.insert(Machine.Name).second)
      this->vacate(Number, Machine);
}

jobs::MachineUse WaveManager::useOf(const jobs::MachineInfo &Machine) const {
  const auto Queues = this->Environment.Queues();
  const jobs::ServicePolicy *Policy = Queues->service(Machine.Pool);
  if (Machine.Executor.isEmpty() || (Policy && Policy->IsSpare))
    return jobs::MachineUse::Unused;
  const bool IsVacant = this->Environment.Demands->isVacant(
      Machine.Pool, Machine.Executor, this->Shared.now());
  return IsVacant ? jobs::MachineUse::Vacant : jobs::MachineUse::Busy;
}

bool WaveManager::mustAwaitEnd(uint64_t Number,
                               const jobs::MachineInfo &Machine) const {
  // A repeated order that arrives after the end of another wave's maintenance
  // is carried out, so the new executor has to be vacated first.
  return Machine.State == jobs::MachineState::Maintenance &&
         std::any_of(this->Waves.begin(), this->Waves.end(),
                     [&](const auto &Entry) {
                       return Entry.first != Number &&
                              Entry.second.Scheduler->mayBeDown(Machine.Name);
                     });
}

void WaveManager::vacate(uint64_t Number, const jobs::MachineInfo &Machine) {
  const TimePoint SendBy = this->Shared.now() + jobs::EvacuationTimeout / 2;
  const auto OrderIfAllowed = [this, Number, Machine,
                               SendBy](jobs::Occupancy Remaining) {
    this->InFlight.erase(Machine.Name);
    const jobs::WaveScheduler &Scheduler = *this->Waves[Number].Scheduler;
    if (this->canOrder() && !this->Environment.Orders->isHeld(Machine.Name) &&
        Scheduler.canOrder(Machine.Name, Remaining, this->Shared.now()))
      this->order(Number, Machine, SendBy);
  };
  if (Machine.State == jobs::MachineState::Maintenance ||
      this->useOf(Machine) == jobs::MachineUse::Unused) {
    OrderIfAllowed(jobs::Occupancy::Vacant);
    return;
  }
  this->Environment.Calls->call(
      {0, Machine.Pool, peers::ServiceCallKind::EvacuateExecutor,
       Machine.Executor.text(), ""},
      PlannerTimeout,
      [Weak = this->weak_from_this(),
       OrderIfAllowed](const CallResult &Answer) {
        if (!Weak.lock())
          return;
        const auto Remaining = valueOf(jobs::OccupancyNames, Answer.Content);
        const bool IsKnown = Answer.Outcome == CallOutcome::Done && Remaining;
        OrderIfAllowed(IsKnown ? *Remaining : jobs::Occupancy::Protected);
      });
}

void WaveManager::order(uint64_t Number, const jobs::MachineInfo &Machine,
                        TimePoint SendBy) {
  this->Waves[Number].Scheduler->noteOrdered(Machine.Name);
  this->InFlight.insert(Machine.Name);
  this->Environment.Orders->recordAndSend(
      Machine.Name, SendBy,
      [Weak = this->weak_from_this(), Number, Machine] {
        const auto Self = Weak.lock();
        if (Self && Self->canOrder())
          Self->send(Number, Machine);
        else if (Self)
          Self->noteNotOrdered(Number, Machine.Name);
      },
      [Weak = this->weak_from_this(), Number, Name = Machine.Name] {
        if (const auto Self = Weak.lock())
          Self->noteNotOrdered(Number, Name);
      },
      Number);
}

void WaveManager::noteNotOrdered(uint64_t Number,
                                 const jobs::MachineName &Machine) {
  this->InFlight.erase(Machine);
  this->Waves[Number].Scheduler->noteRefused(Machine);
}

void WaveManager::send(uint64_t Number, const jobs::MachineInfo &Machine) {
  logEvent(LogLevel::Info, "machine-maintained",
           {{"wave", Number},
            {"machine", Machine.Name},
            {"executor", Machine.Executor},
            {"token", this->OwnClaim.Token}});
  this->Environment.Machines.Maintain(
      {this->Self.text(), this->OwnClaim.Token}, Machine.Name, Number,
      this->Shared.now() + OrderTimeout,
      onLoop<WaveManager, jobs::GatewayResult<void>>(
          this->Shared.Loop, this->shared_from_this(),
          [Number, Machine](WaveManager &Self,
                            const jobs::GatewayResult<void> &Answer) {
            Self.handleOrderAnswer(Number, Machine, Answer);
          }));
}

void WaveManager::handleOrderAnswer(uint64_t Number,
                                    const jobs::MachineInfo &Machine,
                                    const jobs::GatewayResult<void> &Answer) {
  this->InFlight.erase(Machine.Name);
  Wave &Current = this->Waves[Number];
  if (Answer) {
    // The platform also confirms an order that it carried out for an earlier
    // holder, so this does not mean that the executor has just ended.
    logEvent(LogLevel::Info, "machine-maintenance-confirmed",
             {{"wave", Number},
              {"machine", Machine.Name},
              {"listed", nameOf(jobs::MachineStateNames, Machine.State)}});
    Current.Scheduler->noteBegun(Machine.Name, this->Shared.now());
    this->advance(Current);
    return;
  }
  logEvent(LogLevel::Warning, "machine-not-maintained",
           {{"wave", Number},
            {"machine", Machine.Name},
            {"code", nameOf(jobs::GatewayErrorNames, Answer.error().Code)},
            {"cause", Answer.error().Message}});
  switch (Answer.error().Code) {
  case jobs::GatewayErrorCode::NoAnswer:
  case jobs::GatewayErrorCode::BadAnswer:
    Current.Scheduler->noteUnanswered(Machine.Name);
    return;
  case jobs::GatewayErrorCode::Fenced:
    this->Environment.OnLost(this->OwnClaim.Shard, "fenced by a later holder");
    return;
  case jobs::GatewayErrorCode::Refused:
    Current.Scheduler->noteRejected(Machine.Name);
    return;
  case jobs::GatewayErrorCode::Busy:
  case jobs::GatewayErrorCode::OtherIncarnation:
    Current.Scheduler->noteRefused(Machine.Name);
    return;
  }
}

} // namespace whintack::dispatch::Internal
