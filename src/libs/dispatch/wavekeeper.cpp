#include "wavekeeper.h"

#include "storekeys.h"

#include "whintack/jobs/planner.h"

#include <cpprest/json.h>

namespace whintack::dispatch::Internal {

using web::json::value;

static constexpr Duration TickInterval = std::chrono::milliseconds(400);
static constexpr Duration ListTimeout = std::chrono::milliseconds(1500);
/// Time for one order; an order without an answer may have been carried out.
static constexpr Duration OrderTimeout = std::chrono::milliseconds(1000);
static constexpr Duration PlannerTimeout = std::chrono::milliseconds(500);
/// Kept of a wave's time for the last machines' answers.
static constexpr Duration EndMargin = std::chrono::seconds(2);

WaveKeeper::WaveKeeper(Context Shared, WaveEnvironment Environment,
                       EntryName Self, WonClaim Won)
    : Shared(std::move(Shared)), Environment(std::move(Environment)),
      Self(std::move(Self)), Won(std::move(Won)) {}

void WaveKeeper::start() {
  this->load();
  this->tick();
}

bool WaveKeeper::mayOrder() const {
  return !this->IsStopped && this->Environment.Orders->isLoaded() &&
         this->Shared.now() < this->Environment.ClaimValidUntil();
}

void WaveKeeper::load() {
  this->Shared.Store.Range(
      keys::Waves, "", store::ReadKind::Current,
      onLoop<WaveKeeper, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](WaveKeeper &Self, store::StoreResult<store::StorePage> Answer) {
            Self.takeRecords(std::move(Answer));
          }));
}

void WaveKeeper::takeRecords(store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(TickInterval),
                [](WaveKeeper &Again) { Again.load(); });
    return;
  }
  for (const store::StoreItem &Item : Answer.value().Items)
    this->Records[std::stoull(Item.Key.substr(keys::Waves.size()))] =
        Item.Value;
  this->IsLoaded = true;
  this->setWaves(this->Requests);
}

void WaveKeeper::setWaves(const std::vector<jobs::WaveRequest> &Given) {
  this->Requests = Given;
  if (!this->IsLoaded)
    return;
  for (const jobs::WaveRequest &Request : Given)
    if (!this->Waves.contains(Request.Number))
      this->openWave(Request);
}

void WaveKeeper::openWave(const jobs::WaveRequest &Request) {
  Wave &Opened = this->Waves[Request.Number];
  Opened.Begun = this->Shared.Time.WallNow();
  std::set<jobs::MachineName> Begun;
  if (const auto Stored = this->Records.find(Request.Number);
      Stored != this->Records.end()) {
    try {
      const value Record = value::parse(Stored->second);
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
  const Duration Age = this->Shared.Time.WallNow() - Opened.Begun;
  Opened.Course = std::make_unique<jobs::WaveCourse>(
      Request, this->Shared.now() + Request.Length - Age - EndMargin, Begun);
  logEvent(LogLevel::Info, "wave-opened",
           {{"wave", Request.Number},
            {"machines", Request.Machines.size()},
            {"begun", Begun.size()},
            {"at-once", Request.MostAtOnce},
            {"length-ms", toMilliseconds(Request.Length)}});
  if (!Opened.IsStored)
    this->record(Opened);
}

/// Stores which machines have begun, and tells the operator how the wave
/// stands.
void WaveKeeper::record(Wave &Of) {
  if (Of.IsWriting)
    return;
  const std::set<jobs::MachineName> Begun = Of.Course->begun();
  const bool IsCompleted = Of.Course->isCompleted();
  value Names = value::array();
  size_t Next = 0;
  for (const jobs::MachineName &Name : Begun)
    Names[Next++] = value::string(Name.text());
  value Record = value::object();
  Record["begun-us"] = value::number(toMicroseconds(Of.Begun));
  Record["machines"] = Names;
  const uint64_t Number = Of.Course->request().Number;
  store::StoreTransaction Change;
  Change.Expect = {{keys::Claims + this->Won.Shard, this->Won.Token}};
  Change.Puts = {{keys::Waves + std::to_string(Number), Record.serialize(), 0},
                 {this->Environment.Words.WaveStatusKey(Number),
                  this->Environment.Words.EncodeWaveStatus(IsCompleted), 0}};
  Of.IsWriting = true;
  this->Shared.Store.Commit(
      Change,
      onLoop<WaveKeeper, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Number, Count = Begun.size(),
           IsCompleted](WaveKeeper &Self,
                        const store::StoreResult<store::CommitAnswer> &Answer) {
            Wave &Written = Self.Waves[Number];
            Written.IsWriting = false;
            if (!Answer)
              return;
            if (!Answer.value().IsCommitted) {
              Self.Environment.OnLost(Self.Won.Shard,
                                      "another holds the claim");
              return;
            }
            Written.IsStored = true;
            Written.StoredBegun = Count;
            if (IsCompleted && !Written.IsReported)
              logEvent(LogLevel::Info, "wave-completed", {{"wave", Number}});
            Written.IsReported = IsCompleted;
          }));
}

void WaveKeeper::tick() {
  if (this->IsStopped)
    return;
  bool IsAnyOpen = false;
  for (auto &[Number, Of] : this->Waves) {
    if (Of.IsReported)
      continue;
    IsAnyOpen = true;
    this->step(Of);
  }
  if (IsAnyOpen && !this->IsListing) {
    this->IsListing = true;
    this->ListAskedAt = this->Shared.now();
    this->Environment.Machines.List(
        this->Shared.now() + ListTimeout,
        onLoop<WaveKeeper, jobs::GatewayResult<std::vector<jobs::MachineInfo>>>(
            this->Shared.Loop, this->shared_from_this(),
            [](WaveKeeper &Self,
               jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found) {
              Self.takeMachines(std::move(Found));
            }));
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + TickInterval,
              [](WaveKeeper &Again) { Again.tick(); });
}

void WaveKeeper::takeMachines(
    jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found) {
  this->IsListing = false;
  if (!Found) {
    logEvent(LogLevel::Warning, "machines-not-listed",
             {{"code", nameOf(jobs::GatewayErrorNames, Found.error().Code)},
              {"cause", Found.error().Message}});
    return;
  }
  for (auto &[Number, Of] : this->Waves)
    if (!Of.IsReported) {
      Of.Course->noteMachines(Found.value(), this->ListAskedAt);
      this->step(Of);
    }
}

std::set<jobs::MachineName> WaveKeeper::machinesInWork() const {
  std::set<jobs::MachineName> Names;
  for (const auto &[Number, Of] : this->Waves)
    if (!Of.IsReported)
      Names.merge(Of.Course->inWork());
  return Names;
}

void WaveKeeper::step(Wave &Of) {
  if (!Of.IsStored || Of.StoredBegun != Of.Course->begun().size() ||
      (Of.Course->isCompleted() && !Of.IsReported))
    this->record(Of);
  if (!this->mayOrder() || !Of.IsStored)
    return;
  const uint64_t Number = Of.Course->request().Number;
  for (const jobs::MachineInfo &Machine : Of.Course->vacate(this->Shared.now()))
    if (this->Busy.insert(Machine.Name).second)
      this->vacate(Number, Machine);
}

void WaveKeeper::vacate(uint64_t Number, const jobs::MachineInfo &Machine) {
  const jobs::ServicePolicy *Policy =
      this->Environment.Queues()->service(Machine.Pool);
  const bool IsOff = Machine.Executor.isEmpty() || (Policy && Policy->IsSpare);
  const TimePoint SendBy = this->Shared.now() + jobs::EvacuationTime / 2;
  const auto Go = [this, Number, Machine, SendBy](jobs::Occupancy Left) {
    this->Busy.erase(Machine.Name);
    const jobs::WaveCourse &Course = *this->Waves[Number].Course;
    if (this->mayOrder() && !this->Environment.Orders->isHeld(Machine.Name) &&
        Course.mayOrder(Machine.Name, Left, this->Shared.now()))
      this->order(Number, Machine, SendBy);
  };
  if (IsOff) {
    Go(jobs::Occupancy::Vacant);
    return;
  }
  this->Environment.Calls->call(
      {0, Machine.Pool, peers::ServiceCallKind::EvacuateExecutor,
       Machine.Executor.text(), ""},
      PlannerTimeout,
      [Weak = this->weak_from_this(), Go](const CallResult &Answer) {
        if (!Weak.lock())
          return;
        const auto Left = valueOf(jobs::OccupancyNames, Answer.Content);
        const bool IsKnown = Answer.Outcome == CallOutcome::Done && Left;
        Go(IsKnown ? *Left : jobs::Occupancy::Protected);
      });
}

void WaveKeeper::order(uint64_t Number, const jobs::MachineInfo &Machine,
                       TimePoint SendBy) {
  this->Waves[Number].Course->noteOrdered(Machine.Name);
  this->Busy.insert(Machine.Name);
  this->Environment.Orders->announce(
      Machine.Name, SendBy,
      [Weak = this->weak_from_this(), Number, Machine] {
        const auto Self = Weak.lock();
        if (Self && Self->mayOrder())
          Self->send(Number, Machine);
        else if (Self)
          Self->noteNotOrdered(Number, Machine.Name);
      },
      [Weak = this->weak_from_this(), Number, Name = Machine.Name] {
        if (const auto Self = Weak.lock())
          Self->noteNotOrdered(Number, Name);
      });
}

void WaveKeeper::noteNotOrdered(uint64_t Number,
                                const jobs::MachineName &Machine) {
  this->Busy.erase(Machine);
  this->Waves[Number].Course->noteRefused(Machine);
}

void WaveKeeper::send(uint64_t Number, const jobs::MachineInfo &Machine) {
  logEvent(LogLevel::Info, "machine-maintained",
           {{"wave", Number},
            {"machine", Machine.Name},
            {"executor", Machine.Executor},
            {"token", this->Won.Token}});
  this->Environment.Machines.Maintain(
      {this->Self.text(), this->Won.Token}, Machine.Name, Number,
      this->Shared.now() + OrderTimeout,
      onLoop<WaveKeeper, jobs::GatewayResult<void>>(
          this->Shared.Loop, this->shared_from_this(),
          [Number, Machine](WaveKeeper &Self,
                            const jobs::GatewayResult<void> &Answer) {
            Self.takeOrdered(Number, Machine, Answer);
          }));
}

void WaveKeeper::takeOrdered(uint64_t Number, const jobs::MachineInfo &Machine,
                             const jobs::GatewayResult<void> &Answer) {
  this->Busy.erase(Machine.Name);
  Wave &Of = this->Waves[Number];
  if (Answer) {
    // The platform also confirms what it did for an earlier holder, so this
    // does not tell that the executor has just ended.
    Of.Course->noteBegun(Machine.Name, this->Shared.now());
    this->step(Of);
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
    Of.Course->noteUnanswered(Machine.Name);
    return;
  case jobs::GatewayErrorCode::Fenced:
    this->Environment.OnLost(this->Won.Shard, "fenced by a later holder");
    return;
  case jobs::GatewayErrorCode::Busy:
  case jobs::GatewayErrorCode::Refused:
  case jobs::GatewayErrorCode::OtherIncarnation:
    Of.Course->noteRefused(Machine.Name);
    return;
  }
}

} // namespace whintack::dispatch::Internal
