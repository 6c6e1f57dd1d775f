#include "serviceshard.h"

#include "jobrecords.h"
#include "storekeys.h"

namespace whintack::dispatch::Internal {

/// Minimum time between two planning passes. A pass looks at all executors and
/// waiting jobs, so reports that arrive together share one.
static constexpr Duration MinPlanInterval = std::chrono::milliseconds(5);
/// Time after which a planning pass, or the restoring of jobs, is interrupted,
/// so that the loop can renew the lease and answer calls.
static constexpr Duration TurnTime = std::chrono::milliseconds(10);
static constexpr Duration WaitLogInterval = std::chrono::seconds(1);
static constexpr Duration DiscoveryTimeout = std::chrono::milliseconds(1000);
/// Wait of one watch call for notices. While none come, what is known is as old
/// as two calls, which must stay below MaxKnowledgeAge also with slow answers.
static constexpr Duration NoticeWait = std::chrono::milliseconds(500);
/// Time after which an earlier planner's claim has certainly expired.
static constexpr Duration RescanDelay =
    NodeLease::Length + std::chrono::seconds(1);
/// Time in which executors whose registrations expired in an outage of the
/// store have registered again, if they are up.
static constexpr Duration RegistrationTime = std::chrono::seconds(2);
static constexpr Duration DiscoveryRetryDelay = std::chrono::milliseconds(200);
static constexpr Duration MissedJobsRetryDelay = std::chrono::milliseconds(500);

ServiceShard::ServiceShard(Context Shared, ShardEnvironment Environment,
                           HeldClaim OwnClaim)
    : Shared(std::move(Shared)), Environment(std::move(Environment)),
      OwnClaim(std::move(OwnClaim)), Service(this->OwnClaim.Shard.service()),
      Planner(
          {this->Service, this->OwnClaim.Generation,
           [Service = this->Service](std::string_view Event,
                                     std::initializer_list<LogField> Fields) {
             logEvent(LogLevel::Info, Event, Fields);
           },
           this->Environment.ReservesRoom,
           [this] { return this->Shared.now() >= this->TurnEnd; }}),
      BacklogMonitor(this->Service, logWarning),
      OrderTimes(this->Service, logWarning),
      Load(this->Service, this->Environment.ProcessorTime,
           this->Environment.Longest, logWarning),
      PassTimes(this->Service, logWarning),
      LostExecutors(this->Service, [this](const jobs::ExecutorId &Id) {
        return this->mayBeRegistered(Id);
      }) {}

void ServiceShard::start() {
  this->ClaimedAt = this->Shared.now();
  // An earlier planner may have sent leases until its own claim expired and its
  // grace ended, each at most as long as the maximum that executors grant.
  if (this->OwnClaim.Generation > 1)
    this->EarlierLeasesEnd = this->ClaimedAt + NodeLease::Length +
                             this->Environment.StoreOutageGrace +
                             jobs::longestLease(this->Environment.MaxLease);
  if (this->OwnClaim.Generation > 1) {
    this->Discovery = DiscoveryState::Needed;
    this->Planner.beginExecutorDiscovery();
    this->Planner.beginCatchUp();
    this->IsCatchingUp = true;
  }
  this->LoadDeadline = this->ClaimedAt + this->Environment.LoadTime;
  this->checkLoaded();
  this->Writer = this->makeWriter();
  this->Records = std::make_shared<ShardStore>(
      this->Shared, this->Environment.Loads, this->Service);
  this->Records->load(
      this->hasQuotas(),
      [Weak = this->weak_from_this()](const ShardStore::Contents &Loaded) {
        if (const auto Self = Weak.lock())
          Self->handleContents(Loaded);
      });
}

/// Gives the shard up if it is not loaded by the deadline: another VM may be
/// able to load it.
void ServiceShard::checkLoaded() {
  const bool IsRead = this->LoadDeadline == TimePoint::max();
  if (this->IsStopped || this->IsLoaded || IsRead)
    return;
  const TimePoint Now = this->Shared.now();
  // While the store cannot be reached, nobody can load the shard.
  if (Now >= this->Environment.ClaimValidUntil())
    this->LoadDeadline = Now + this->Environment.LoadTime;
  if (Now >= this->LoadDeadline) {
    this->Shared.Loop.post(
        [OnOverdue = this->Environment.OnOverdue,
         Shard = this->OwnClaim.Shard] { OnOverdue(Shard); });
    return;
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(), this->LoadDeadline,
              [](ServiceShard &Self) { Self.checkLoaded(); });
}

void ServiceShard::stop() {
  this->IsStopped = true;
  this->Records->stop();
  this->Writer->stop();
  if (this->Notices)
    this->Notices->stop();
  for (const auto &[Id, Link] : this->Links)
    Link->close();
  this->Links.clear();
}

/// The policy of an accepted job that belongs to \p Service: the present one of
/// its queue, or the one by which it was accepted if the queue is gone or goes
/// to another service.
static jobs::Queue policyOf(const StoredJob &Job,
                            const jobs::QueueTable &Queues,
                            const ServiceName &Service) {
  if (const jobs::Queue *Current = Queues.named(Job.QueueName, Service))
    return *Current;
  jobs::Queue Policy;
  if (Job.Policy)
    Policy = *Job.Policy;
  else if (const jobs::Queue *Moved = Queues.named(Job.QueueName))
    Policy = *Moved;
  Policy.Name = Job.QueueName;
  Policy.Service = Service;
  return Policy;
}

bool ServiceShard::addStoredJob(const jobs::JobId &Id, const std::string &Text,
                                jobs::JobSource Source,
                                const jobs::JobProgress *Earlier) {
  const auto Stored = decodeStoredJob(Text);
  if (!Stored) {
    logEvent(LogLevel::Error, "job-unreadable",
             {{"job", Id}, {"cause", Stored.error().Message}});
    return false;
  }
  this->Origins[Id] = {Stored.value().QueueName, Stored.value().Tenant};
  if (Stored.value().End) {
    this->Planner.restoreFinalJob(Id, *Stored.value().End);
    this->cancelIfPending(Id);
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
  Job.Policy = policyOf(Stored.value(), *Queues, this->Service);
  Job.Tenant = Stored.value().Tenant;
  const Duration Age = this->Shared.Time.WallNow() - Stored.value().Accepted;
  Job.Accepted = this->Shared.now() - std::max(Age, Duration::zero());
  Job.MayHaveRun = Earlier != nullptr || this->IsCatchingUp;
  Job.Source = Source;
  if (Earlier)
    this->Planner.restoreJob(std::move(Job), *Earlier, this->Shared.now());
  else
    this->Planner.addJob(std::move(Job));
  this->cancelIfPending(Id);
  return true;
}

void ServiceShard::restore(
    const store::StoreItem &Item, jobs::JobSource Source,
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
  this->addStoredJob(jobs::JobId(Id), Item.Value, Source, &Known);
}

void ServiceShard::handleContents(const ShardStore::Contents &Loaded) {
  if (this->IsStopped)
    return;
  this->adoptStoredQuotas(Loaded);
  auto Found = std::make_shared<StoredState>();
  Found->Contents = Loaded;
  for (const store::StoreItem &Item : Found->Contents.Progress)
    Found->Progress[Item.Key.substr(keys::progress(this->Service).size())] =
        Item.Value;
  // Another VM would take as long to decode it.
  this->LoadDeadline = TimePoint::max();
  this->restoreJobs(Found);
}

/// Restores jobs until the turn has used its time, then goes on in the next
/// one.
void ServiceShard::restoreJobs(const std::shared_ptr<StoredState> &Found) {
  if (this->IsStopped)
    return;
  const std::vector<store::StoreItem> &Jobs = Found->Contents.Jobs;
  const TimePoint End = this->Shared.now() + TurnTime;
  this->Load.measure(PlannerWork::Load, Jobs.size(), [&] {
    while (Found->Restored < Jobs.size() && this->Shared.now() < End)
      this->restore(Jobs[Found->Restored++], jobs::JobSource::TakeOver,
                    Found->Progress);
  });
  if (Found->Restored < Jobs.size()) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(), this->Shared.now(),
                [Found](ServiceShard &Self) { Self.restoreJobs(Found); });
    return;
  }
  this->endLoading(Found->Contents);
}

void ServiceShard::endLoading(const ShardStore::Contents &Loaded) {
  this->KnownAsOf = Loaded.AsOf;
  this->IsLoaded = true;
  logEvent(LogLevel::Info, "shard-loaded",
           {{"shard", this->OwnClaim.Shard},
            {"generation", this->OwnClaim.Generation},
            {"jobs", Loaded.Jobs.size()},
            {"progress", Loaded.Progress.size()},
            {"took-ms", toMilliseconds(this->Shared.now() - this->ClaimedAt)}});
  this->setQueues(*this->Environment.Queues());
  this->Notices = std::make_shared<PrefixWatch>(
      this->Shared, keys::notices(this->Service),
      [Weak = this->weak_from_this()](const ItemMap &Items,
                                      const std::set<std::string> &Changed) {
        if (const auto Self = Weak.lock())
          Self->handleNotices(Items, Changed);
      });
  this->Notices->setCallWait(NoticeWait);
  this->Notices->readInPortions(
      {keys::newJobs(this->Service), keys::cancellations(this->Service)});
  this->Notices->start();
  if (this->OwnClaim.Generation > 1 &&
      Loaded.Began >= this->ClaimedAt + RescanDelay)
    this->endCatchUp();
  else if (this->OwnClaim.Generation > 1)
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->ClaimedAt + RescanDelay,
                [](ServiceShard &Self) { Self.rescan(); });
  // The current list may predate the claim, so a new one is requested.
  this->Environment.RefreshExecutors();
  this->Writer->flush();
}

void ServiceShard::setQueues(const jobs::QueueTable &Queues) {
  this->Planner.setQueues(Queues);
  this->requestPlan();
}

void ServiceShard::setExecutors(const std::vector<jobs::ExecutorInfo> &Listed) {
  if (this->IsStopped)
    return;
  if (!this->IsLoaded)
    return;
  // A successor may already place tasks on executors that are new. The list is
  // delivered again after the next read.
  if (this->mayBeSucceeded()) {
    this->IsListDropped = true;
    return;
  }
  this->IsListDropped = false;
  this->Planner.setExecutors(Listed);
  std::set<jobs::ExecutorId> Seen;
  for (const jobs::ExecutorInfo &Info : Listed) {
    if (Info.Service != this->Service)
      continue;
    Seen.insert(Info.Id);
    const auto Known = this->Links.find(Info.Id);
    if (Known == this->Links.end() ||
        Known->second->isReplacedBy(Info.Incarnation))
      this->openLink(Info);
    else
      Known->second->setAddress(Info.Server);
  }
  if (this->Discovery == DiscoveryState::Needed) {
    this->Planner.awaitReports({Seen.begin(), Seen.end()});
    this->discoverExecutors();
  }
  std::erase_if(this->Links, [&](const auto &Entry) {
    // A link stays open until nothing can run on the executor, because the list
    // may be wrong.
    const bool IsObsolete = !Seen.contains(Entry.first) &&
                            !this->Planner.isKnownExecutor(Entry.first);
    if (IsObsolete) {
      Entry.second->close();
      this->noteClosed(Entry.first, *Entry.second);
    }
    return IsObsolete;
  });
  this->requestPlan();
}

void ServiceShard::listMachines(MachineListHandler Handle) {
  this->Environment.ListMachines(
      this->Shared.now() + DiscoveryTimeout,
      onLoop<ServiceShard, MachineList>(
          this->Shared.Loop, this->shared_from_this(),
          [Handle = std::move(Handle)](ServiceShard &Self,
                                       const MachineList &Found) {
            Handle(Self, Found);
          }));
}

/// Finds executors that are missing from the list in the store because their
/// entries expired: tasks of an earlier planner may run on them.
void ServiceShard::discoverExecutors() {
  this->Discovery = DiscoveryState::InProgress;
  this->listMachines(&ServiceShard::handleMachines);
}

void ServiceShard::handleMachines(const MachineList &Found) {
  if (this->IsStopped)
    return;
  const TimePoint Now = this->Shared.now();
  // While there may be a successor, machines can have been moved since, and
  // leases extended by it.
  if (this->mayBeSucceeded() || (!Found && Now < this->EarlierLeasesEnd)) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                Now + DiscoveryRetryDelay,
                [](ServiceShard &Self) { Self.discoverExecutors(); });
    return;
  }
  std::vector<jobs::ExecutorId> Unlisted;
  if (Found)
    this->learnMachines(Found.value());
  if (Found)
    for (const jobs::MachineInfo &Machine : Found.value())
      if (Machine.Pool == this->Service && !Machine.Executor.isEmpty() &&
          !this->Links.contains(Machine.Executor))
        Unlisted.push_back(Machine.Executor);
  logEvent(LogLevel::Info, "census-taken",
           {{"shard", this->OwnClaim.Shard},
            {"machines", Found ? Found.value().size() : 0},
            {"hidden", Unlisted.size()}});
  this->Planner.awaitReports(Unlisted);
  this->Planner.endExecutorDiscovery();
  this->Discovery = DiscoveryState::Done;
  scheduleFor(
      this->Shared.Loop, this->shared_from_this(), this->EarlierLeasesEnd,
      [Unlisted](ServiceShard &Self) { Self.noteUnlistedEmpty(Unlisted); });
  if (!Unlisted.empty())
    scheduleFor(
        this->Shared.Loop, this->shared_from_this(), Now + RegistrationTime,
        [Unlisted](ServiceShard &Self) { Self.watchUnlisted(Unlisted); });
  this->requestPlan();
}

/// Looks for jobs that request handlers announced to an earlier planner while
/// this one read the records.
void ServiceShard::rescan() {
  this->readMissedJobs(jobs::JobSource::TakeOver,
                       [](ServiceShard &Self) { Self.endCatchUp(); });
}

void ServiceShard::handleLostHandler() {
  this->IsHandlerLost = true;
  // During the catch-up, runs of a job that an earlier planner started may not
  // be known yet.
  if (!this->IsStopped && this->IsLoaded && !this->IsCatchingUp)
    this->readLostAnnouncements();
}

void ServiceShard::readLostAnnouncements() {
  if (this->IsReadingMissed)
    return;
  this->IsReadingMissed = true;
  this->IsHandlerLost = false;
  this->readMissedJobs(jobs::JobSource::LostProcess, [](ServiceShard &Self) {
    Self.IsReadingMissed = false;
    // A read that had begun may predate what the handler stored last.
    if (Self.IsHandlerLost)
      Self.readLostAnnouncements();
  });
}

/// Adds the jobs that are stored and were not announced to this planner, then
/// calls \p Done.
void ServiceShard::readMissedJobs(jobs::JobSource Source,
                                  std::function<void(ServiceShard &)> Done) {
  if (this->IsStopped)
    return;
  this->Records->readChangedJobs(
      this->KnownAsOf,
      [Weak = this->weak_from_this(), Source, Done = std::move(Done)](
          const std::vector<store::StoreItem> &Changed, uint64_t Through) {
        const auto Self = Weak.lock();
        if (!Self || Self->IsStopped)
          return;
        // A successor may have read the same jobs and started them.
        if (Self->mayBeSucceeded()) {
          scheduleFor(Self->Shared.Loop, Self,
                      Self->Shared.now() + MissedJobsRetryDelay,
                      [Source, Done](ServiceShard &Owner) {
                        Owner.readMissedJobs(Source, Done);
                      });
          return;
        }
        const size_t Prefix = keys::jobs(Self->Service).size();
        size_t Missed = 0;
        for (const store::StoreItem &Item : Changed) {
          const jobs::JobId Id(Item.Key.substr(Prefix));
          if (Self->Planner.shownState(Id))
            continue;
          Self->restore(Item, Source, {});
          ++Missed;
        }
        logEvent(LogLevel::Info, "missed-jobs-read",
                 {{"shard", Self->OwnClaim.Shard},
                  {"changed", Changed.size()},
                  {"missed", Missed}});
        Self->KnownAsOf = std::max(Self->KnownAsOf, Through);
        Self->requestPlan();
        Done(*Self);
      });
}

void ServiceShard::endCatchUp() {
  this->IsCatchingUp = false;
  this->Planner.endCatchUp();
  if (this->IsHandlerLost)
    this->readLostAnnouncements();
  this->requestFlush();
  this->requestPlan();
}

void ServiceShard::requestPlan() {
  if (this->IsPlanRequested || this->IsStopped)
    return;
  this->IsPlanRequested = true;
  // Events that are already queued on the loop are handled first.
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              std::max(this->Shared.now(), this->LastPlan + MinPlanInterval),
              [](ServiceShard &Self) { Self.plan(); });
}

/// Works on a planning pass for one turn, if tasks may be started.
void ServiceShard::makePass(TimePoint Now) {
  if (this->canStartTasks()) {
    this->TurnEnd = Now + TurnTime;
    this->Planner.plan(Now, this->Shared.Time.WallNow());
    return;
  }
  // It would be outdated once tasks may start again.
  this->Planner.abandonPass();
  if (this->canOrder())
    this->Planner.repeatStops(Now);
}

void ServiceShard::plan() {
  this->IsPlanRequested = false;
  const TimePoint Now = this->Shared.now();
  if (this->IsStopped || !this->IsLoaded)
    return;
  if (this->isClaimValid())
    this->endGrace();
  this->reportStartPause();
  this->checkConfigurationAge();
  const bool WasInterrupted = this->Planner.openPass().has_value();
  this->Load.measure(PlannerWork::Pass, this->Planner.startableJobs(),
                     [this, Now] { this->makePass(Now); });
  const std::vector<jobs::Order> Orders = this->Planner.takeOrders();
  this->Load.measure(PlannerWork::Orders, Orders.size(), [&] {
    for (const jobs::Order &Order : Orders)
      this->execute(Order);
  });
  this->Load.update(this->Planner.startableJobs(), Now);
  this->PassTimes.update(this->Planner.openPass(), Now);
  this->checkBacklog();
  if (Now >= this->NextWaitLog) {
    this->NextWaitLog = Now + WaitLogInterval;
    this->Planner.logWaits(Now);
  }
  this->requestFlush();
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Planner.nextPlan(Now), [Now](ServiceShard &Self) {
                if (Self.LastPlan <= Now)
                  Self.requestPlan();
              });
  this->LastPlan = Now;
  // A pass that took several turns has not seen what happened meanwhile.
  if (WasInterrupted || this->Planner.openPass())
    this->requestPlan();
}

JobOrigin ServiceShard::originOf(const jobs::JobId &Job) const {
  const auto Found = this->Origins.find(Job);
  return Found == this->Origins.end() ? JobOrigin() : Found->second;
}

void ServiceShard::reportLoss(const std::string &Cause) {
  if (this->IsStopped)
    return;
  logEvent(LogLevel::Warning, "shard-lost",
           {{"shard", this->OwnClaim.Shard},
            {"token", this->OwnClaim.Token},
            {"cause", Cause}});
  // The owner may destroy this object while it is still in use further up the
  // call stack.
  this->Shared.Loop.post([Environment = this->Environment,
                          Shard = this->OwnClaim.Shard,
                          Cause] { Environment.OnLost(Shard, Cause); });
}

} // namespace whintack::dispatch::Internal
