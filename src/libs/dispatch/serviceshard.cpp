#include "serviceshard.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

/// Changes are gathered for this long before they are stored: links wait for
/// it before they listen for the next end.
static constexpr Duration FlushInterval = std::chrono::milliseconds(15);
/// When what could not be stored is tried again.
static constexpr Duration FlushRetry = std::chrono::milliseconds(100);
/// How long the advice service may take beyond what the queue's policy says;
/// calls wait for each other there.
static constexpr Duration AdviceSlack = std::chrono::milliseconds(1500);
static constexpr Duration CensusTimeout = std::chrono::milliseconds(1000);
/// Time between two looks at the machines while executors are silent.
static constexpr Duration SilentLookInterval = std::chrono::milliseconds(600);
/// When an earlier planner's claim has certainly run out.
static constexpr Duration RescanDelay =
    NodeLease::Length + std::chrono::seconds(1);
/// A job accepted so short a while ago has been told to nobody else: a door
/// waits longer for a planner's answer.
static constexpr Duration FreshAge = std::chrono::milliseconds(300);
static constexpr Duration CensusRetry = std::chrono::milliseconds(200);
/// Kept of a ticket's validity for the order's way.
static constexpr Duration TicketMargin = std::chrono::milliseconds(100);

ServiceShard::ServiceShard(Context Shared, ShardEnvironment Environment,
                           WonClaim Won)
    : Shared(std::move(Shared)), Environment(std::move(Environment)),
      Won(std::move(Won)), Service(this->Won.Shard),
      Planner(
          {this->Service, this->Won.Generation,
           [Service = this->Service](std::string_view Event,
                                     std::initializer_list<LogField> Fields) {
             logEvent(LogLevel::Info, Event, Fields);
           }}) {}

void ServiceShard::start() {
  this->ClaimedAt = this->Shared.now();
  // An earlier planner may have sent leases until its own claim ran out, each
  // at most as long as executors grant.
  if (this->Won.Generation > 1)
    this->EarlierLeasesOver =
        this->ClaimedAt + NodeLease::Length +
        Duration(static_cast<int64_t>(
            static_cast<double>(this->Environment.LongestLease.count()) /
            jobs::SlowestClockRate));
  if (this->Won.Generation > 1) {
    this->Census = CensusState::Needed;
    this->Planner.beginCensus();
    this->Planner.beginCatchUp();
  }
  this->Records = std::make_shared<ShardStore>(this->Shared, this->Service,
                                               this->Won.Token);
  this->Records->load(
      [Weak = this->weak_from_this()](const ShardStore::Contents &Loaded) {
        if (const auto Self = Weak.lock())
          Self->takeContents(Loaded);
      });
}

void ServiceShard::stop() {
  this->IsStopped = true;
  this->Records->stop();
  if (this->Notices)
    this->Notices->stop();
  for (const auto &[Id, Link] : this->Links)
    Link->close();
  this->Links.clear();
}

/// Whether a job that this planner is told of may have been told to an earlier
/// one, which went on until its own claim ran out.
bool ServiceShard::mayHaveRunEarlier(Duration Age) const {
  const bool IsNew = Age >= Duration::zero() && Age < FreshAge;
  return this->Won.Generation > 1 && !IsNew &&
         this->Shared.now() < this->ClaimedAt + RescanDelay;
}

bool ServiceShard::addStored(const jobs::JobId &Id, const std::string &Text,
                             const jobs::JobProgress *Earlier) {
  const auto Stored = decodeStoredJob(Text);
  if (!Stored) {
    logEvent(LogLevel::Error, "job-unreadable",
             {{"job", Id}, {"cause", Stored.error().Message}});
    return false;
  }
  this->QueueNames[Id] = Stored.value().QueueName;
  if (Stored.value().End) {
    this->Planner.restoreFinalJob(Id, *Stored.value().End);
    return true;
  }
  const auto Spec = this->Environment.DecodeJob(Id, Stored.value().Body);
  const auto Queues = this->Environment.Queues();
  if (!Spec) {
    logEvent(LogLevel::Error, "job-unreadable",
             {{"job", Id}, {"cause", Spec.error().Message}});
    return false;
  }
  jobs::AcceptedJob Job;
  Job.Spec = Spec.value();
  if (const jobs::Queue *Policy = Queues->named(Stored.value().QueueName))
    Job.Policy = *Policy;
  else
    Job.Policy.Name = Stored.value().QueueName;
  const Duration Age = this->Shared.Time.WallNow() - Stored.value().Accepted;
  Job.Accepted = this->Shared.now() - std::max(Age, Duration::zero());
  Job.MayHaveRun = Earlier != nullptr || this->mayHaveRunEarlier(Age);
  if (Earlier)
    this->Planner.restoreJob(std::move(Job), *Earlier);
  else
    this->Planner.addJob(std::move(Job));
  return true;
}

void ServiceShard::restore(
    const store::StoreItem &Item,
    const std::unordered_map<std::string, std::string> &Progress) {
  const std::string Id = Item.Key.substr(keys::jobs(this->Service).size());
  jobs::JobProgress Known;
  if (const auto Found = Progress.find(Id); Found != Progress.end()) {
    auto Read = jobs::decodeProgress(jobs::JobId(Id), Found->second);
    if (!Read) {
      logEvent(LogLevel::Error, "progress-unreadable",
               {{"job", Id}, {"cause", Read.error().Message}});
      return;
    }
    Known = std::move(Read).value();
  }
  this->addStored(jobs::JobId(Id), Item.Value, &Known);
}

void ServiceShard::takeContents(const ShardStore::Contents &Loaded) {
  if (this->IsStopped)
    return;
  std::unordered_map<std::string, std::string> Progress;
  for (const store::StoreItem &Item : Loaded.Progress)
    Progress[Item.Key.substr(keys::progress(this->Service).size())] =
        Item.Value;
  for (const store::StoreItem &Item : Loaded.Jobs)
    this->restore(Item, Progress);
  this->IsLoaded = true;
  logEvent(LogLevel::Info, "shard-loaded",
           {{"shard", this->Won.Shard},
            {"generation", this->Won.Generation},
            {"jobs", Loaded.Jobs.size()},
            {"progress", Loaded.Progress.size()},
            {"took-ms", toMilliseconds(this->Shared.now() - this->ClaimedAt)}});
  this->setQueues(*this->Environment.Queues());
  this->Notices = std::make_shared<PrefixWatch>(
      this->Shared, keys::notices(this->Service),
      [Weak = this->weak_from_this()](const ItemMap &Items,
                                      const std::set<std::string> &) {
        if (const auto Self = Weak.lock())
          Self->takeNotices(Items);
      });
  this->Notices->start();
  if (this->Won.Generation > 1)
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->ClaimedAt + RescanDelay,
                [](ServiceShard &Self) { Self.rescan(); });
  // The list may be older than the claim; another is on its way.
  this->Environment.LookForExecutors();
  this->flush();
}

/// Takes in what doors could only leave in the store. The notices are removed
/// once their effect is stored.
void ServiceShard::takeNotices(const ItemMap &Items) {
  if (this->IsStopped || Items.empty())
    return;
  const std::string Jobs = keys::newJobs(this->Service);
  const std::string Cancels = keys::cancellations(this->Service);
  auto Taken = std::make_shared<store::StoreTransaction>();
  Taken->Expect = {{keys::Claims + this->Won.Shard, this->Won.Token}};
  uint64_t Through = 0;
  const auto IsFull = [&Taken] {
    return Taken->Removals.size() + 2 > store::MostTransactionEntries;
  };
  for (const auto &[Key, Item] : Items)
    if (Key.starts_with(Jobs) && !IsFull()) {
      this->addStored(jobs::JobId(Key.substr(Jobs.size())), Item.Value,
                      nullptr);
      Taken->Removals.push_back(Key);
    }
  for (const auto &[Key, Item] : Items) {
    if (!Key.starts_with(Cancels) || IsFull())
      continue;
    const auto Change =
        this->Planner.cancel(jobs::JobId(Key.substr(Cancels.size())));
    // The job itself may be told of later; its cancellation waits.
    if (!Change)
      continue;
    Through = std::max(Through, *Change);
    Taken->Removals.push_back(Key);
  }
  if (Taken->Removals.empty())
    return;
  this->AwaitingStore.emplace(Through, [Weak = this->weak_from_this(), Taken] {
    if (const auto Self = Weak.lock())
      Self->Shared.Store.Commit(
          *Taken, [](const store::StoreResult<store::CommitAnswer> &) {
            // A notice that stays is taken in again, which changes nothing.
          });
  });
  this->flush();
  this->requestPlan();
}

void ServiceShard::setQueues(const jobs::QueueTable &Queues) {
  this->Planner.setQueues(Queues);
  this->requestPlan();
}

void ServiceShard::setExecutors(const std::vector<jobs::ExecutorInfo> &Now) {
  if (this->IsStopped)
    return;
  if (!this->IsLoaded)
    return;
  this->Planner.setExecutors(Now);
  std::set<jobs::ExecutorId> Seen;
  for (const jobs::ExecutorInfo &Info : Now) {
    if (Info.Service != this->Service)
      continue;
    Seen.insert(Info.Id);
    const auto Known = this->Links.find(Info.Id);
    if (Known == this->Links.end())
      this->openLink(Info);
    else
      Known->second->setAddress(Info.Server);
  }
  if (this->Census == CensusState::Needed) {
    this->Planner.awaitReports({Seen.begin(), Seen.end()});
    this->takeCensus();
  }
  std::erase_if(this->Links, [&](const auto &Entry) {
    // A link stays until nothing can run there: the list may be wrong.
    const bool IsOver = !Seen.contains(Entry.first) &&
                        !this->Planner.isKnownExecutor(Entry.first);
    if (IsOver)
      Entry.second->close();
    return IsOver;
  });
  this->requestPlan();
}

void ServiceShard::listMachines(MachineHandler Take) {
  this->Environment.ListMachines(
      this->Shared.now() + CensusTimeout,
      onLoop<ServiceShard, MachineList>(
          this->Shared.Loop, this->shared_from_this(),
          [Take](ServiceShard &Self, const MachineList &Found) {
            (Self.*Take)(Found);
          }));
}

/// Learns of executors that the list of the store lacks, because their entries
/// lapsed: an earlier planner's tasks may run on them.
void ServiceShard::takeCensus() {
  this->Census = CensusState::Taking;
  this->listMachines(&ServiceShard::takeMachines);
}

void ServiceShard::takeMachines(const MachineList &Found) {
  if (this->IsStopped)
    return;
  const TimePoint Now = this->Shared.now();
  if (!Found && Now < this->EarlierLeasesOver) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(), Now + CensusRetry,
                [](ServiceShard &Self) { Self.takeCensus(); });
    return;
  }
  std::vector<jobs::ExecutorId> Hidden;
  if (Found)
    for (const jobs::MachineInfo &Machine : Found.value())
      if (Machine.Pool == this->Service && !Machine.Executor.isEmpty() &&
          !this->Links.contains(Machine.Executor))
        Hidden.push_back(Machine.Executor);
  logEvent(LogLevel::Info, "census-taken",
           {{"shard", this->Won.Shard},
            {"machines", Found ? Found.value().size() : 0},
            {"hidden", Hidden.size()}});
  this->Planner.awaitReports(Hidden);
  this->Planner.endCensus();
  this->Census = CensusState::Done;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->EarlierLeasesOver, [Hidden](ServiceShard &Self) {
                for (const jobs::ExecutorId &Id : Hidden)
                  if (!Self.Links.contains(Id))
                    Self.Planner.noteEmpty(Id, "leases lapsed");
                Self.requestPlan();
              });
  this->requestPlan();
}

LinkHooks ServiceShard::linkHooks() {
  // Links run on the loop, as this object does, and are closed with it.
  LinkHooks Hooks;
  Hooks.MayOrder = [this] {
    return !this->IsStopped &&
           this->Shared.now() < this->Environment.ClaimValidUntil();
  };
  Hooks.ForgettableEnd = [this](const jobs::ExecutorId &Id) {
    return this->Planner.forgettableEnd(Id);
  };
  Hooks.OnReport = [this](const jobs::ExecutorId &Id,
                          const jobs::ExecutorReport &Report) {
    this->Planner.noteReport(Id, Report, this->Shared.now());
    this->requestFlush();
    this->requestPlan();
  };
  Hooks.OnStart = [this](const jobs::StartOrder &Order,
                         jobs::StartOutcome Outcome, jobs::ExecutorTime At) {
    this->Planner.noteStart(Order, Outcome, At, this->Shared.now());
    if (Outcome != jobs::StartOutcome::Started)
      this->requestPlan();
  };
  Hooks.OnStop = [this](const jobs::StopOrder &Order,
                        std::optional<jobs::ExecutorTime> At) {
    this->Planner.noteStop(Order, At, this->Shared.now());
  };
  Hooks.OnReachable = [this](const jobs::ExecutorId &Id, bool IsReachable) {
    this->Planner.setReachable(Id, IsReachable);
    if (!IsReachable && this->Silent.insert(Id).second &&
        this->Silent.size() == 1)
      this->lookAtSilent();
    if (IsReachable)
      this->Silent.erase(Id);
    this->requestPlan();
  };
  Hooks.OnEmpty = [this](const jobs::ExecutorId &Id, std::string_view Cause) {
    this->Planner.noteEmpty(Id, Cause);
    this->requestPlan();
  };
  Hooks.OnFenced = [this] { this->lose("fenced by a later planner"); };
  return Hooks;
}

/// Asks the platform about executors that do not answer: one whose machine is
/// down, or runs another executor, runs nothing any more.
void ServiceShard::lookAtSilent() {
  this->SilentAsked = this->Silent;
  this->listMachines(&ServiceShard::judgeSilent);
}

void ServiceShard::judgeSilent(const MachineList &Found) {
  if (this->IsStopped)
    return;
  if (Found && !Found.value().empty()) {
    std::set<jobs::ExecutorId> Up;
    for (const jobs::MachineInfo &Machine : Found.value())
      if (Machine.State == jobs::MachineState::Up)
        Up.insert(Machine.Executor);
    std::erase_if(this->Silent, [&](const jobs::ExecutorId &Id) {
      // The list may have been made before this one fell silent.
      if (Up.contains(Id) || !this->SilentAsked.contains(Id))
        return false;
      this->Planner.noteEmpty(Id, "its machine is down or has been replaced");
      return true;
    });
    this->requestPlan();
  }
  if (this->Silent.empty())
    return;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + SilentLookInterval, [](ServiceShard &Self) {
                std::erase_if(Self.Silent, [&Self](const auto &Id) {
                  return Self.Planner.occupancy(Id) == jobs::Occupancy::Vacant;
                });
                if (!Self.IsStopped && !Self.Silent.empty())
                  Self.lookAtSilent();
              });
}

/// Looks for jobs that doors told an earlier planner of while this one read
/// the records.
void ServiceShard::rescan() {
  this->Records->load(
      [Weak = this->weak_from_this()](const ShardStore::Contents &Loaded) {
        const auto Self = Weak.lock();
        if (!Self || Self->IsStopped)
          return;
        const size_t Prefix = keys::jobs(Self->Service).size();
        for (const store::StoreItem &Item : Loaded.Jobs) {
          const jobs::JobId Id(Item.Key.substr(Prefix));
          if (!Self->Planner.shownState(Id))
            Self->restore(Item, {});
        }
        Self->Planner.endCatchUp();
        Self->requestFlush();
        Self->requestPlan();
      });
}

void ServiceShard::openLink(const jobs::ExecutorInfo &Info) {
  LinkSetup Setup;
  Setup.To = {Info.Id, Info.Server};
  Setup.Token = this->Won.Token;
  Setup.LongestLease = this->Environment.LongestLease;
  Setup.EarlierLeasesOver = this->EarlierLeasesOver;
  auto Link = std::make_shared<ExecutorLink>(
      this->Shared, this->Environment.Executors, Setup, this->linkHooks());
  this->Links[Info.Id] = Link;
  Link->open();
}

void ServiceShard::requestPlan() {
  if (this->IsPlanRequested || this->IsStopped)
    return;
  this->IsPlanRequested = true;
  // Events that are already waiting are taken in first.
  this->Shared.Loop.post([Weak = this->weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->plan();
  });
}

void ServiceShard::plan() {
  this->IsPlanRequested = false;
  const TimePoint Now = this->Shared.now();
  if (this->IsStopped || !this->IsLoaded)
    return;
  if (Now < this->Environment.ClaimValidUntil())
    this->Planner.plan(Now, this->Shared.Time.WallNow());
  for (const jobs::Order &Given : this->Planner.takeOrders())
    this->carryOut(Given);
  this->requestFlush();
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Planner.nextPlan(Now), [Now](ServiceShard &Self) {
                if (Self.LastPlan <= Now)
                  Self.requestPlan();
              });
  this->LastPlan = Now;
}

void ServiceShard::carryOut(const jobs::Order &Given) {
  const auto LinkTo = [this](const jobs::ExecutorId &Id) {
    const auto Found = this->Links.find(Id);
    return Found == this->Links.end() ? nullptr : Found->second;
  };
  if (const auto *Start = std::get_if<jobs::StartOrder>(&Given)) {
    if (const auto Link = LinkTo(Start->On))
      Link->start(*Start);
    else
      this->Planner.noteStart(*Start, jobs::StartOutcome::Unhealthy, 0,
                              this->Shared.now());
  } else if (const auto *Stop = std::get_if<jobs::StopOrder>(&Given)) {
    if (const auto Link = LinkTo(Stop->On))
      Link->stop(*Stop);
    else
      this->Planner.noteStop(*Stop, std::nullopt, this->Shared.now());
  } else if (const auto *Pace = std::get_if<jobs::PaceOrder>(&Given)) {
    if (const auto Link = LinkTo(Pace->On))
      Link->pace(*Pace);
  } else if (const auto *Question = std::get_if<jobs::AdviceOrder>(&Given)) {
    this->ask(*Question);
  }
}

void ServiceShard::ask(const jobs::AdviceOrder &Question) {
  const TimePoint Sent = this->Shared.now();
  this->Environment.Advice.Ask(
      Question, Sent + AdviceSlack,
      onLoop<ServiceShard, jobs::GatewayResult<jobs::AdviceAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Question](ServiceShard &Self,
                     const jobs::GatewayResult<jobs::AdviceAnswer> &Answer) {
            const TimePoint Now = Self.Shared.now();
            if (Answer)
              Self.Planner.noteAdvice(Question, Answer.value().Good,
                                      Now + Answer.value().Validity -
                                          TicketMargin);
            else
              Self.Planner.noteAdviceFailed(Question, Now);
            Self.requestPlan();
          }));
}

std::string ServiceShard::queueOf(const jobs::JobId &Job) const {
  const auto Found = this->QueueNames.find(Job);
  return Found == this->QueueNames.end() ? std::string() : Found->second;
}

void ServiceShard::requestFlush() {
  if (this->IsFlushRequested || this->IsWriting || this->IsStopped)
    return;
  this->IsFlushRequested = true;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              std::max(this->NextFlush, this->Shared.now()),
              [](ServiceShard &Self) {
                Self.IsFlushRequested = false;
                Self.flush();
              });
}

void ServiceShard::flush() {
  if (this->IsWriting || this->IsStopped)
    return;
  const std::vector<jobs::JobWrite> Writes =
      this->Planner.takeWrites(MostWritesAtOnce);
  if (Writes.empty()) {
    this->answerStored();
    return;
  }
  this->NextFlush = this->Shared.now() + FlushInterval;
  this->IsWriting = true;
  this->Records->write(
      Writes, [this](const jobs::JobId &Job) { return this->queueOf(Job); },
      [Weak = this->weak_from_this(),
       Writes](ShardStore::WriteOutcome Outcome) {
        if (const auto Self = Weak.lock())
          Self->takeWritten(Writes, Outcome);
      });
}

void ServiceShard::takeWritten(const std::vector<jobs::JobWrite> &Writes,
                               ShardStore::WriteOutcome Outcome) {
  this->IsWriting = false;
  switch (Outcome) {
  case ShardStore::WriteOutcome::Superseded:
    this->lose("another planner holds the claim");
    return;
  case ShardStore::WriteOutcome::Failed:
    this->Planner.noteWriteFailed(Writes);
    this->NextFlush = this->Shared.now() + FlushRetry;
    break;
  case ShardStore::WriteOutcome::Written:
    this->Planner.noteWritten(Writes);
    this->answerStored();
    break;
  }
  this->requestFlush();
}

void ServiceShard::answerStored() {
  const uint64_t Through = this->Planner.storedThrough();
  while (!this->AwaitingStore.empty() &&
         this->AwaitingStore.begin()->first <= Through) {
    const std::function<void()> Answer =
        std::move(this->AwaitingStore.begin()->second);
    this->AwaitingStore.erase(this->AwaitingStore.begin());
    Answer();
  }
  if (this->OnDrained && Through == this->Planner.changes()) {
    const std::function<void()> Done = std::exchange(this->OnDrained, nullptr);
    Done();
  }
}

void ServiceShard::drain(std::function<void()> Done) {
  this->OnDrained = std::move(Done);
  this->flush();
}

void ServiceShard::lose(const std::string &Cause) {
  if (this->IsStopped)
    return;
  logEvent(LogLevel::Warning, "shard-lost",
           {{"shard", this->Won.Shard},
            {"token", this->Won.Token},
            {"cause", Cause}});
  // The owner may destroy this object, which is in use further up the stack.
  this->Shared.Loop.post([Environment = this->Environment,
                          Shard = this->Won.Shard,
                          Cause] { Environment.OnLost(Shard, Cause); });
}

void ServiceShard::answerCancel(const peers::ServiceCall &Asked,
                                const AnswerBack &Back) {
  const std::optional<uint64_t> Change =
      this->Planner.cancel(jobs::JobId(Asked.Subject));
  if (!Change) {
    Back({Asked.Id, peers::ServiceOutcome::Unknown, ""});
    return;
  }
  this->AwaitingStore.emplace(*Change, [Id = Asked.Id, Back] {
    Back({Id, peers::ServiceOutcome::Done, ""});
  });
  this->flush();
  this->answerStored();
  this->requestPlan();
}

void ServiceShard::answer(const peers::ServiceCall &Asked,
                          const AnswerBack &Back) {
  using peers::ServiceOutcome;
  if (this->IsStopped || !this->IsLoaded ||
      this->Shared.now() >= this->Environment.ClaimValidUntil()) {
    Back({Asked.Id, ServiceOutcome::NotPlanner, ""});
    return;
  }
  switch (Asked.Kind) {
  case peers::ServiceCallKind::SubmitJob: {
    const bool IsTaken =
        this->addStored(jobs::JobId(Asked.Subject), Asked.Content, nullptr);
    Back({Asked.Id, IsTaken ? ServiceOutcome::Done : ServiceOutcome::Failed,
          ""});
    this->requestPlan();
    return;
  }
  case peers::ServiceCallKind::CancelJob:
    this->answerCancel(Asked, Back);
    return;
  case peers::ServiceCallKind::JobState: {
    const auto State = this->Planner.shownState(jobs::JobId(Asked.Subject));
    if (State)
      Back({Asked.Id, ServiceOutcome::Done,
            std::string(nameOf(jobs::JobStateNames, *State))});
    else
      Back({Asked.Id, ServiceOutcome::Unknown, ""});
    return;
  }
  case peers::ServiceCallKind::WaitingJobs:
    Back({Asked.Id, ServiceOutcome::Done,
          std::to_string(this->Planner.waitingJobs(Asked.Subject))});
    return;
  case peers::ServiceCallKind::PoolDemand:
    Back({Asked.Id, ServiceOutcome::Done,
          jobs::encodeDemand(this->Planner.demand(this->Shared.now()))});
    return;
  case peers::ServiceCallKind::EvacuateExecutor: {
    const jobs::ExecutorId Id(Asked.Subject);
    this->Planner.evacuate(Id, this->Shared.now());
    Back({Asked.Id, ServiceOutcome::Done,
          std::string(
              nameOf(jobs::OccupancyNames, this->Planner.occupancy(Id)))});
    this->requestPlan();
    return;
  }
  }
}

} // namespace whintack::dispatch::Internal
