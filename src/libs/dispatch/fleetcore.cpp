#include "fleetcore.h"

#include "storekeys.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Interval at which claims and shards are reconciled even without a change.
static constexpr Duration CheckInterval = std::chrono::milliseconds(500);
/// Interval of the reconciliation while this VM is not ready yet.
static constexpr Duration StartupCheckInterval = std::chrono::milliseconds(200);
/// Time to store the last changes of a shard that is handed over.
static constexpr Duration DrainTimeout = std::chrono::milliseconds(1500);
/// Time in which a claimed shard must be loaded. Leaves a second holder as much
/// within the 12 s in which service must have recovered.
static constexpr Duration LoadTime = std::chrono::seconds(5);
/// Number of times that a process doubles the time for a shard that it gave up.
static constexpr unsigned MaxDoublings = 3;
/// Time for which a shard that was given up is left to the other VMs.
static constexpr Duration HoldOffTime = std::chrono::seconds(30);

FleetCore::FleetCore(CoreIdentity Self, NodeConnections Connections,
                     Context Shared, PeerTransport Transport)
    : Self(std::move(Self)), Connections(std::move(Connections)),
      Shared(std::move(Shared)), Transport(std::move(Transport)),
      Loads(std::make_shared<LoadQueue>(this->Shared.Loop)),
      Advice(std::make_shared<AdviceClient>(this->Shared,
                                            this->Connections.Advice)),
      Processor(this->Self.ProcessorShare, this->Connections.ProcessorTime,
                logWarning),
      Longest(std::make_shared<LongestWork>(this->Shared.Time)) {
  // The lease knows of one grace only. A successor would wait in vain for more.
  this->Self.MachineOrderGrace =
      std::min(this->Self.MachineOrderGrace, this->Self.StoreOutageGrace);
}

std::function<std::shared_ptr<const jobs::QueueTable>()>
FleetCore::queueSource() {
  return [Weak = this->weak_from_this()]()
             -> std::shared_ptr<const jobs::QueueTable> {
    const auto Alive = Weak.lock();
    return Alive ? Alive->Queues : nullptr;
  };
}

std::function<void(const ShardId &Shard, const std::string &Cause)>
FleetCore::shardLossHandler() {
  return [Weak = this->weak_from_this()](const ShardId &Shard,
                                         const std::string &Cause) {
    if (const auto Alive = Weak.lock())
      Alive->dropShard(Shard, Cause);
  };
}

std::function<TimePoint()> FleetCore::claimValidity() const {
  return [Lease = this->Lease] { return Lease->validUntil(); };
}

bool FleetCore::canServe() const {
  const bool ReachesStore =
      this->Lease->isValid() ||
      (this->OperatorItems->isCurrent() && this->Members->isKnown());
  return this->Queues && ReachesStore && !this->IsStopping;
}

void FleetCore::announceStop() {
  this->IsStopping = true;
  this->IsReadyNow = false;
}

void FleetCore::begin() {
  this->openStore();
  this->openMembership();
  this->openClaims();
  this->openExecutorCalls();
  this->openBalancer();
  this->openWatches();
  this->openGraceMonitor();
  this->Members->start();
  this->Lease->start();
  this->Tracker->start();
  this->Executors->start();
  this->OperatorItems->start();
  this->Feed->start();
  this->NextCheck = this->Shared.now();
  this->checkPeriodically();
}

void FleetCore::openStore() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  StoreRelayHooks Hooks;
  Hooks.Send = this->Transport.Send;
  Hooks.UsablePeers = [Weak] {
    const auto Alive = Weak.lock();
    return Alive ? Alive->usablePeers() : std::vector<EntryName>();
  };
  Hooks.IsBulk = [Weak](const store::StoreCall &Call) {
    const auto Alive = Weak.lock();
    return Alive && Alive->isBulkCall(Call);
  };
  this->Relay = std::make_shared<StoreRelay>(
      this->Shared, this->Self.Incarnation, std::move(Hooks));
  this->Shared.Store = this->Relay->store();
}

void FleetCore::openMembership() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  this->Lease =
      std::make_shared<NodeLease>(this->Shared, this->Self.StoreOutageGrace);
  this->Members = std::make_shared<Membership>(
      this->Shared,
      Member{peers::PeerEndpoint{this->Self.Name, this->Self.DataCentre,
                                 this->Self.PeerListener},
             this->Self.ProcessorShare, this->Self.Bandwidth},
      this->Lease, [Weak] {
        const auto Alive = Weak.lock();
        if (!Alive)
          return;
        Alive->Transport.SetPeers(Alive->Members->others());
        Alive->Submissions->setPeers(Alive->Members->others());
        Alive->updateItemSources();
        Alive->reconcileClaims();
      });
  this->Members->onLost([Weak] {
    const auto Alive = Weak.lock();
    if (!Alive)
      return;
    for (const auto &[Name, Shard] : Alive->Shards)
      Shard->handleLostHandler();
  });
  this->Lease->onExpired([Weak] {
    const auto Alive = Weak.lock();
    if (!Alive)
      return;
    const std::map<ShardId, HeldClaim> Held = Alive->OwnClaims;
    for (const auto &[Shard, Claim] : Held)
      Alive->dropShard(Shard, "the lease expired");
  });
}

void FleetCore::openClaims() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  this->Tracker = std::make_shared<ClaimTracker>(this->Shared, [Weak] {
    if (const auto Alive = Weak.lock())
      Alive->reconcileClaims();
  });
  this->Calls = std::make_shared<ServiceCalls>(
      this->Shared, this->Self.Name, this->Self.Incarnation, this->Tracker,
      this->Transport.Send,
      [Weak](const peers::ServiceCall &Call, const AnswerCallback &Respond) {
        const auto Alive = Weak.lock();
        return Alive && Alive->answerLocally(Call, Respond);
      });
  this->Submissions =
      std::make_shared<SubmissionTracker>(this->Shared, this->Calls);
  tenants::AccessBounds Bounds;
  Bounds.ConfigurationTime = this->Self.ConfigurationTime;
  if (this->Self.RefusesStaleKeys)
    Bounds.RevocationTime = this->Self.KeyRevocationTime;
  this->RequestHandler = std::make_shared<JobRequestHandler>(
      this->Shared, this->Connections.Codec, this->Calls, this->Submissions,
      this->configurationHooks(), Bounds);
  this->Claimer = std::make_shared<ShardClaimer>(
      this->Shared, this->Self.Name, this->Tracker, this->Lease, this->Members,
      [Weak](const HeldClaim &Acquired) {
        if (const auto Alive = Weak.lock())
          Alive->handleClaimAcquired(Acquired);
      });
}

void FleetCore::openBalancer() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  ShardBalancerHooks Hooks;
  Hooks.Movable = [Weak] {
    const auto Alive = Weak.lock();
    return Alive ? Alive->movableShards() : std::vector<HeldClaim>();
  };
  Hooks.IsLinked = [Weak](const EntryName &Name) {
    const auto Alive = Weak.lock();
    if (!Alive)
      return false;
    const std::vector<EntryName> Usable = Alive->usablePeers();
    return std::find(Usable.begin(), Usable.end(), Name) != Usable.end();
  };
  Hooks.HandOver = [Weak](const ShardId &Shard) {
    if (const auto Alive = Weak.lock())
      Alive->handOverShard(Shard);
  };
  this->Balancer = std::make_shared<ShardBalancer>(
      this->Shared, this->Self.Name, this->Claimer, this->Members, this->Lease,
      std::move(Hooks));
}

void FleetCore::openGraceMonitor() {
  this->Grace = std::make_shared<GraceMonitor>(
      this->Shared, this->Lease, [Weak = this->weak_from_this()] {
        std::set<ShardId> Held;
        if (const auto Alive = Weak.lock())
          for (const auto &[Shard, Claimed] : Alive->OwnClaims)
            Held.insert(Shard);
        return Held;
      });
  if (this->Self.StoreOutageGrace > Duration::zero())
    this->Grace->start();
}

void FleetCore::openWatches() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  this->Executors = std::make_shared<ExecutorListMonitor>(
      this->Shared, this->Connections.Codec.ExecutorPrefix,
      this->Connections.Codec.DecodeExecutor,
      [Weak] {
        const auto Alive = Weak.lock();
        return Alive && !Alive->Shards.empty();
      },
      [Weak](const std::vector<jobs::ExecutorInfo> &Listed) {
        const auto Alive = Weak.lock();
        if (!Alive)
          return;
        for (const auto &[Name, Shard] : Alive->Shards)
          Shard->setExecutors(Listed);
      });
  this->openOperatorItems();
}

void FleetCore::handleRequest(const http::HttpRequest &Request,
                              const http::Responder &Respond) {
  this->RequestHandler->handle(Request, Respond);
}

void FleetCore::endLease(const std::function<void()> &Done) {
  this->Lease->end(Done);
}

void FleetCore::checkPeriodically() {
  this->reportLoopDelay();
  this->Processor.update(this->Shared.now());
  this->IsReadyNow = this->canServe();
  if (this->IsStopping)
    return;
  this->reconcileClaims();
  this->updateItemSources();
  this->Balancer->check();
  this->NextCheck = this->Shared.now() +
                    (this->IsReadyNow ? CheckInterval : StartupCheckInterval);
  scheduleFor(this->Shared.Loop, this->shared_from_this(), this->NextCheck,
              [](FleetCore &Owner) { Owner.checkPeriodically(); });
}

void FleetCore::handleClaimAcquired(const HeldClaim &Acquired) {
  if (this->IsStopping) {
    this->releaseClaim(Acquired.Shard, Acquired.Token, [] {});
    return;
  }
  this->OwnClaims.insert_or_assign(Acquired.Shard, Acquired);
  if (Acquired.Shard.isFleet())
    this->openFleetShard(Acquired);
  else
    this->openServiceShard(Acquired);
}

void FleetCore::openServiceShard(const HeldClaim &Acquired) {
  ShardEnvironment Environment;
  Environment.Executors = this->ExecutorCalls->gateway();
  Environment.AskAdvice =
      [Advice = this->Advice](const jobs::AdviceOrder &Request,
                              jobs::GatewayCallback<jobs::AdviceAnswer> Done) {
        Advice->ask(Request, std::move(Done));
      };
  Environment.DecodeJob = this->Connections.Codec.DecodeJob;
  Environment.Queues = this->queueSource();
  Environment.ClaimValidUntil = this->claimValidity();
  Environment.GraceUntil = [Lease = this->Lease] {
    return Lease->graceUntil();
  };
  Environment.StoreOutageGrace = this->Self.StoreOutageGrace;
  Environment.ListMachines = this->Connections.Machines.List;
  Environment.RefreshExecutors = [Executors = this->Executors] {
    Executors->refresh();
  };
  Environment.ExecutorsKnownThrough = [Executors = this->Executors] {
    return Executors->knownThrough();
  };
  Environment.ConfigurationKnownThrough = [Items = this->OperatorItems] {
    return Items->knownThrough();
  };
  Environment.MaxConfigurationAge = maxConfigurationAge();
  Environment.Longest = this->Longest;
  Environment.Loads = this->Loads;
  Environment.ProcessorTime = this->Connections.ProcessorTime;
  Environment.MaxLease = this->Self.MaxLease;
  Environment.ReservesRoom = this->Self.ReservesRoom;
  Environment.OnLost = this->shardLossHandler();
  Environment.LoadTime =
      LoadTime * (1U << std::min(this->GiveUps[Acquired.Shard], MaxDoublings));
  Environment.OnOverdue = [Weak =
                               this->weak_from_this()](const ShardId &Shard) {
    if (const auto Alive = Weak.lock())
      Alive->giveUpShard(Shard);
  };
  auto Shard =
      std::make_shared<ServiceShard>(this->Shared, Environment, Acquired);
  this->Shards[Acquired.Shard] = Shard;
  Shard->start();
}

void FleetCore::dropShard(const ShardId &Shard, const std::string &Cause) {
  if (this->OwnClaims.erase(Shard) == 0)
    return;
  logEvent(LogLevel::Warning, "shard-dropped",
           {{"shard", Shard}, {"cause", Cause}});
  this->Grace->noteDropped(Shard, Cause);
  if (Shard.isFleet())
    this->closeFleetShard();
  if (const auto Found = this->Shards.find(Shard);
      Found != this->Shards.end()) {
    Found->second->stop();
    this->Shards.erase(Found);
  }
}

void FleetCore::giveUpShard(const ShardId &Shard) {
  const auto Held = this->OwnClaims.find(Shard);
  if (Held == this->OwnClaims.end())
    return;
  const uint64_t Token = Held->second.Token;
  ++this->GiveUps[Shard];
  this->Claimer->holdOff(Shard, this->Shared.now() + HoldOffTime);
  this->dropShard(Shard, "not loaded in time");
  this->releaseClaim(Shard, Token, [] {});
}

/// Reconciles the claims under which this process works with those in the
/// store.
void FleetCore::reconcileClaims() {
  if (!this->Tracker->isKnown())
    return;
  const std::map<ShardId, HeldClaim> Held = this->OwnClaims;
  for (const auto &[Shard, Claimed] : Held) {
    const std::optional<Claim> InStore = this->Tracker->holder(Shard);
    const bool IsCurrent = this->Tracker->asOf() >= Claimed.Token;
    if (IsCurrent && (!InStore || InStore->Token != Claimed.Token))
      this->dropShard(Shard, "the claim is gone from the store");
  }
  for (const auto &[Shard, InStore] : this->Tracker->holders())
    if (InStore.Holder == this->Self.Name && !this->OwnClaims.contains(Shard) &&
        !this->Claimer->isPending(Shard))
      this->releaseStrayClaim(Shard, InStore);
  if (!this->IsStopping)
    this->Claimer->claimShards();
}

/// Removes a claim in this process's name under which it does not work: an
/// earlier process left it behind, or the answer to the commit was lost.
void FleetCore::releaseStrayClaim(const ShardId &Shard, const Claim &Stray) {
  logEvent(LogLevel::Info, "stray-claim",
           {{"shard", Shard}, {"token", Stray.Token}});
  this->releaseClaim(Shard, Stray.Token, [] {});
}

void FleetCore::releaseClaim(const ShardId &Shard, uint64_t Token,
                             const std::function<void()> &Done) {
  store::StoreTransaction Change;
  Change.Expect = {{keys::claim(Shard), Token}};
  Change.Removals = {keys::claim(Shard)};
  Change.IsRepeatable = true;
  // The members must not prefer this VM for the shard that it releases.
  if (const auto Registration = this->Members->registration();
      Registration && this->IsStopping)
    Change.Puts = {*Registration};
  this->Shared.Store.Commit(
      Change, [Done](const store::StoreResult<store::CommitAnswer> &) {
        // A claim that could not be removed expires with its lease.
        Done();
      });
}

void FleetCore::handleMessage(const EntryName &From,
                              const peers::Message &Received) {
  if (!this->Calls)
    return;
  if (const auto *Call = std::get_if<peers::ServiceCall>(&Received))
    this->Calls->handle(From, *Call);
  else if (const auto *Answer = std::get_if<peers::ServiceAnswer>(&Received))
    this->Calls->handle(From, *Answer);
  else if (const auto *Request = std::get_if<peers::StoreRequest>(&Received))
    this->Relay->handle(From, *Request);
  else if (const auto *Response = std::get_if<peers::StoreResponse>(&Received))
    this->Relay->handle(From, *Response);
  else if (const auto *Wanted = std::get_if<peers::ExecutorCalls>(&Received))
    this->RelayedCalls->handle(From, *Wanted);
  else if (const auto *Made = std::get_if<peers::ExecutorAnswers>(&Received))
    this->ExecutorCalls->handle(From, *Made);
  else
    this->handleItemMessage(From, Received);
}

std::vector<EntryName> FleetCore::usablePeers() const {
  std::vector<EntryName> Usable;
  for (const peers::PeerStatus &Peer : this->Transport.Peers())
    if (Peer.IsUsable)
      Usable.push_back(Peer.Name);
  return Usable;
}

std::vector<HeldClaim> FleetCore::movableShards() const {
  std::vector<HeldClaim> Movable;
  if (this->IsStopping || this->HandingOver != 0)
    return Movable;
  for (const auto &[Name, Claimed] : this->OwnClaims) {
    const auto Found = this->Shards.find(Name);
    if (Found == this->Shards.end() || Found->second->isRecovered())
      Movable.push_back(Claimed);
  }
  return Movable;
}

/// Stores what is not stored yet and releases the claim. A shard whose changes
/// do not end is released without the last ones, which its next planner learns
/// from the executors.
void FleetCore::handOverShard(const ShardId &Shard) {
  const HeldClaim Claimed = this->OwnClaims.at(Shard);
  this->HandingOver = Claimed.Token;
  const auto Release = [Weak = this->weak_from_this(), Claimed] {
    const auto Alive = Weak.lock();
    if (!Alive || Alive->HandingOver != Claimed.Token)
      return;
    Alive->HandingOver = 0;
    const auto Held = Alive->OwnClaims.find(Claimed.Shard);
    if (Alive->IsStopping || !Alive->Lease->isValid() ||
        Held == Alive->OwnClaims.end() || Held->second.Token != Claimed.Token)
      return;
    Alive->OwnClaims.erase(Held);
    if (Claimed.Shard.isFleet())
      Alive->closeFleetShard();
    Alive->releaseShard(Claimed, [] {});
  };
  this->Shared.Loop.schedule(this->Shared.now() + DrainTimeout, Release);
  if (const auto Found = this->Shards.find(Shard); Found != this->Shards.end())
    Found->second->drain(
        [Release, &Loop = this->Shared.Loop] { Loop.post(Release); });
  else
    Release();
}

void FleetCore::releaseShard(const HeldClaim &Claimed,
                             const std::function<void()> &Done) {
  if (const auto Found = this->Shards.find(Claimed.Shard);
      Found != this->Shards.end()) {
    Found->second->stop();
    this->Shards.erase(Found);
  }
  this->releaseClaim(Claimed.Shard, Claimed.Token, Done);
}

/// Releases all claims after storing what is not stored yet.
void FleetCore::handOver(const std::function<void()> &Done) {
  this->Claimer->stop();
  this->Members->announceStop();
  auto Remaining = std::make_shared<size_t>(this->OwnClaims.size() + 1);
  const auto Finish = [Remaining, Done, Loop = this->Shared.Loop.ref()] {
    Loop.post([Remaining, Done] {
      if (--*Remaining == 0)
        Done();
    });
  };
  this->closeFleetShard();
  for (const auto &[Name, Claimed] : this->OwnClaims) {
    const auto Found = this->Shards.find(Name);
    const auto Release = [Weak = this->weak_from_this(), Claimed = Claimed,
                          Finish] {
      if (const auto Alive = Weak.lock())
        Alive->releaseShard(Claimed, Finish);
    };
    if (Found == this->Shards.end())
      Release();
    else
      Found->second->drain(
          [Release, Loop = this->Shared.Loop.ref()] { Loop.post(Release); });
  }
  Finish();
}

} // namespace whintack::dispatch::Internal
