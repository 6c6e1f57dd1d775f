#include "fleetcore.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

/// Time for the first look at who else lives before shards are claimed, so
/// that they spread at the first start.
static constexpr Duration SettleTime = std::chrono::milliseconds(800);
/// How often claims and shards are compared without a change.
static constexpr Duration ReviewInterval = std::chrono::milliseconds(500);
static constexpr Duration FirstReviews = std::chrono::milliseconds(200);

FleetCore::FleetCore(CoreIdentity Self, NodeConnections Connections,
                     Context Shared, PeerTransport Transport)
    : Self(std::move(Self)), Connections(std::move(Connections)),
      Shared(std::move(Shared)), Transport(std::move(Transport)) {}

std::function<std::shared_ptr<const jobs::QueueTable>()>
FleetCore::queueSource() {
  return [Weak = this->weak_from_this()]()
             -> std::shared_ptr<const jobs::QueueTable> {
    const auto Alive = Weak.lock();
    return Alive ? Alive->Queues : nullptr;
  };
}

std::function<void(const std::string &Shard, const std::string &Cause)>
FleetCore::loser() {
  return [Weak = this->weak_from_this()](const std::string &Shard,
                                         const std::string &Cause) {
    if (const auto Alive = Weak.lock())
      Alive->loseShard(Shard, Cause);
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
  this->openWatches();
  this->Members->start();
  this->Lease->start();
  this->Board->start();
  this->Executors->start();
  this->OperatorItems->start();
  this->SettledAt = this->Shared.now() + SettleTime;
  this->review();
}

void FleetCore::openStore() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  StoreRelayHooks Hooks;
  Hooks.Send = this->Transport.Send;
  Hooks.UsablePeers = [Weak] {
    const auto Alive = Weak.lock();
    return Alive ? Alive->usablePeers() : std::vector<EntryName>();
  };
  this->Relay = std::make_shared<StoreRelay>(this->Shared, std::move(Hooks));
  this->Shared.Store = this->Relay->store();
}

void FleetCore::openMembership() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  this->Lease = std::make_shared<NodeLease>(this->Shared);
  this->Members = std::make_shared<Membership>(
      this->Shared,
      Member{peers::PeerEndpoint{this->Self.Name, this->Self.DataCentre,
                                 this->Self.PeerListener},
             this->Self.Strength},
      this->Lease, [Weak] {
        if (const auto Alive = Weak.lock())
          Alive->Transport.SetPeers(Alive->Members->others());
      });
  this->Lease->onLapsed([Weak] {
    const auto Alive = Weak.lock();
    if (!Alive)
      return;
    const std::map<std::string, WonClaim> Held = Alive->Won;
    for (const auto &[Shard, Claim] : Held)
      Alive->loseShard(Shard, "the lease lapsed");
  });
}

void FleetCore::openClaims() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  this->Board = std::make_shared<ClaimBoard>(this->Shared, [Weak] {
    if (const auto Alive = Weak.lock())
      Alive->checkClaims();
  });
  this->Calls = std::make_shared<ServiceCalls>(
      this->Shared, this->Self.Name, this->Board, this->Transport.Send,
      [Weak](const peers::ServiceCall &Asked, const AnswerBack &Back) {
        const auto Alive = Weak.lock();
        return Alive && Alive->answerLocally(Asked, Back);
      });
  this->Door = std::make_shared<JobDoor>(this->Shared, this->Connections.Words,
                                         this->Calls, this->queueSource());
  this->Seeker = std::make_shared<ClaimSeeker>(
      this->Shared, this->Self.Name, this->Board, this->Lease,
      [Members = this->Members] { return Members->all(); },
      [Weak](const WonClaim &Won) {
        if (const auto Alive = Weak.lock())
          Alive->takeWon(Won);
      });
}

void FleetCore::openWatches() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  this->Executors = std::make_shared<ExecutorBoard>(
      this->Shared, this->Connections.Words.ExecutorPrefix,
      this->Connections.Words.DecodeExecutor,
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
  this->OperatorItems = std::make_shared<PrefixWatch>(
      this->Shared, this->Connections.Words.OperatorPrefix,
      [Weak](const ItemMap &Items, const std::set<std::string> &) {
        if (const auto Alive = Weak.lock())
          Alive->takeOperatorItems(Items);
      });
}

void FleetCore::take(const http::HttpRequest &Request,
                     const http::Responder &Back) {
  this->Door->take(Request, Back);
}

void FleetCore::endLease(const std::function<void()> &Done) {
  this->Lease->end(Done);
}

void FleetCore::review() {
  this->IsReadyNow = this->canServe();
  if (this->IsStopping)
    return;
  if (this->Shared.now() >= this->SettledAt && this->Members->isKnown())
    this->checkClaims();
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() +
                  (this->IsReadyNow ? ReviewInterval : FirstReviews),
              [](FleetCore &Again) { Again.review(); });
}

void FleetCore::takeOperatorItems(const ItemMap &Items) {
  const jobs::PlatformWords &Words = this->Connections.Words;
  this->Waves.clear();
  for (const auto &[Key, Item] : Items) {
    if (Key == Words.ConfigurationKey) {
      auto Read = Words.DecodeConfiguration(Item.Value);
      if (Read)
        this->adopt(std::move(Read).value());
      else
        logEvent(LogLevel::Error, "configuration-unreadable",
                 {{"cause", Read.error().Message}});
    } else if (Key.starts_with(Words.WavePrefix)) {
      auto Read = Words.DecodeWave(Item.Value);
      if (Read)
        this->Waves.push_back(std::move(Read).value());
      else
        logEvent(LogLevel::Error, "wave-unreadable",
                 {{"key", Key}, {"cause", Read.error().Message}});
    }
  }
  if (this->Keeper)
    this->Keeper->setWaves(this->Waves);
}

void FleetCore::adopt(jobs::FleetConfiguration Newest) {
  if (this->Queues && Newest.Version <= this->Queues->configuration().Version)
    return;
  logEvent(LogLevel::Info, "configuration-adopted",
           {{"version", Newest.Version},
            {"queues", Newest.Queues.size()},
            {"services", Newest.Services.size()}});
  this->Queues = std::make_shared<const jobs::QueueTable>(std::move(Newest));
  std::set<std::string> Wanted = {keys::FleetShard};
  for (const jobs::ServicePolicy &Service :
       this->Queues->configuration().Services)
    if (!Service.IsSpare)
      Wanted.insert(Service.Name.text());
  for (const auto &[Name, Shard] : this->Shards)
    Shard->setQueues(*this->Queues);
  this->Seeker->setShards(std::move(Wanted));
  this->IsReadyNow = this->canServe();
}

void FleetCore::takeWon(const WonClaim &Given) {
  if (this->IsStopping) {
    this->releaseClaim(Given.Shard, Given.Token, [] {});
    return;
  }
  this->Won[Given.Shard] = Given;
  if (Given.Shard == keys::FleetShard)
    this->openKeepers(Given);
  else
    this->openShard(Given);
}

void FleetCore::openKeepers(const WonClaim &Given) {
  MachineOrdersHooks Hooks;
  Hooks.WrittenBy = [Board = this->Board,
                     Now = this->Shared.Time.Now](uint64_t Revision) {
    return Board->revisions().writtenBy(Revision, Now());
  };
  Hooks.HasEnded =
      [Weak = this->weak_from_this()](const OrderingProcess &Process) {
        const auto Alive = Weak.lock();
        return Alive && Alive->hasEnded(Process);
      };
  Hooks.OnLost = [Lose = this->loser(), Shard = Given.Shard](
                     const std::string &Cause) { Lose(Shard, Cause); };
  const auto Orders = std::make_shared<MachineOrders>(
      this->Shared, OrderingProcess{this->Self.Name, this->Self.Incarnation},
      store::ExpectedRevision{keys::Claims + Given.Shard, Given.Token},
      std::move(Hooks));
  Orders->load();
  const WaveEnvironment Environment{this->Connections.Machines,
                                    this->Connections.Words,
                                    this->Calls,
                                    this->queueSource(),
                                    this->claimValidity(),
                                    Orders,
                                    this->loser()};
  this->Keeper = std::make_shared<WaveKeeper>(this->Shared, Environment,
                                              this->Self.Name, Given);
  this->Keeper->start();
  this->Keeper->setWaves(this->Waves);
  this->Mover = std::make_shared<PoolKeeper>(
      this->Shared, Environment, this->Self.Name, Given,
      [Keeper = this->Keeper] { return Keeper->machinesInWork(); });
  this->Mover->start();
}

void FleetCore::openShard(const WonClaim &Given) {
  ShardEnvironment Environment;
  Environment.Executors = this->Connections.Executors;
  Environment.Advice = this->Connections.Advice;
  Environment.DecodeJob = this->Connections.Words.DecodeJob;
  Environment.Queues = this->queueSource();
  Environment.ClaimValidUntil = this->claimValidity();
  Environment.ListMachines = this->Connections.Machines.List;
  Environment.LookForExecutors = [Executors = this->Executors] {
    Executors->lookNow();
  };
  Environment.LongestLease = this->Self.LongestLease;
  Environment.OnLost = this->loser();
  auto Shard = std::make_shared<ServiceShard>(this->Shared, Environment, Given);
  this->Shards[Given.Shard] = Shard;
  Shard->start();
}

void FleetCore::stopKeepers() {
  if (!this->Keeper)
    return;
  this->Keeper->stop();
  this->Keeper.reset();
  this->Mover->stop();
  this->Mover.reset();
}

void FleetCore::loseShard(const std::string &Shard, const std::string &Cause) {
  if (this->Won.erase(Shard) == 0)
    return;
  logEvent(LogLevel::Warning, "shard-dropped",
           {{"shard", Shard}, {"cause", Cause}});
  if (Shard == keys::FleetShard)
    this->stopKeepers();
  if (const auto Found = this->Shards.find(Shard);
      Found != this->Shards.end()) {
    Found->second->stop();
    this->Shards.erase(Found);
  }
}

/// Compares the claims that this process works under with those in the store.
void FleetCore::checkClaims() {
  if (!this->Board->isKnown())
    return;
  const std::map<std::string, WonClaim> Held = this->Won;
  for (const auto &[Shard, Claimed] : Held) {
    const std::optional<Claim> InStore = this->Board->holder(Shard);
    const bool IsCurrent = this->Board->asOf() >= Claimed.Token;
    if (IsCurrent && (!InStore || InStore->Token != Claimed.Token))
      this->loseShard(Shard, "the claim is gone from the store");
  }
  for (const auto &[Shard, InStore] : this->Board->holders())
    if (InStore.Holder == this->Self.Name && !this->Won.contains(Shard) &&
        !this->Seeker->isPending(Shard))
      this->dropStrayClaim(Shard, InStore);
  if (this->Shared.now() >= this->SettledAt && !this->IsStopping)
    this->Seeker->seek();
}

/// Removes a claim in this process's name that it does not work under: an
/// earlier process left it, or its answer was lost.
void FleetCore::dropStrayClaim(const std::string &Shard, const Claim &Stray) {
  logEvent(LogLevel::Info, "stray-claim",
           {{"shard", Shard}, {"token", Stray.Token}});
  this->releaseClaim(Shard, Stray.Token, [] {});
}

void FleetCore::releaseClaim(const std::string &Shard, uint64_t Token,
                             const std::function<void()> &Done) {
  store::StoreTransaction Change;
  Change.Expect = {{keys::Claims + Shard, Token}};
  Change.Removals = {keys::Claims + Shard};
  this->Shared.Store.Commit(
      Change, [Done](const store::StoreResult<store::CommitAnswer> &) {
        // A claim that could not be removed lapses with its lease.
        Done();
      });
}

bool FleetCore::answerLocally(const peers::ServiceCall &Asked,
                              const AnswerBack &Back) {
  const auto Found = this->Shards.find(Asked.Service.text());
  if (Found == this->Shards.end())
    return false;
  Found->second->answer(Asked, Back);
  return true;
}

void FleetCore::takeMessage(const EntryName &From,
                            const peers::Message &Received) {
  if (!this->Calls)
    return;
  if (const auto *Asked = std::get_if<peers::ServiceCall>(&Received))
    this->Calls->take(From, *Asked);
  else if (const auto *Answer = std::get_if<peers::ServiceAnswer>(&Received))
    this->Calls->take(*Answer);
  else if (const auto *Passed = std::get_if<peers::StoreRequest>(&Received))
    this->Relay->take(From, *Passed);
  else if (const auto *Made = std::get_if<peers::StoreResponse>(&Received))
    this->Relay->take(From, *Made);
}

std::vector<EntryName> FleetCore::usablePeers() const {
  std::vector<EntryName> Usable;
  for (const peers::PeerStatus &Peer : this->Transport.Peers())
    if (Peer.IsUsable)
      Usable.push_back(Peer.Name);
  return Usable;
}

bool FleetCore::hasEnded(const OrderingProcess &Process) const {
  if (Process.Vm == this->Self.Name)
    return Process.Incarnation != this->Self.Incarnation;
  const std::vector<peers::PeerStatus> Known = this->Transport.Peers();
  return std::any_of(Known.begin(), Known.end(),
                     [&Process](const peers::PeerStatus &Peer) {
                       return Peer.Name == Process.Vm && Peer.IsUsable &&
                              Peer.Incarnation != Process.Incarnation;
                     });
}

/// Gives all claims back, after what is not stored yet has been.
void FleetCore::handOver(const std::function<void()> &Done) {
  this->Seeker->stop();
  auto Left = std::make_shared<size_t>(this->Won.size() + 1);
  const auto Finish = [Left, Done, &Loop = this->Shared.Loop] {
    Loop.post([Left, Done] {
      if (--*Left == 0)
        Done();
    });
  };
  this->stopKeepers();
  for (const auto &[Name, Claimed] : this->Won) {
    const auto Found = this->Shards.find(Name);
    const auto Release = [Weak = this->weak_from_this(), Claimed = Claimed,
                          Finish] {
      const auto Alive = Weak.lock();
      if (!Alive)
        return;
      if (const auto Shard = Alive->Shards.find(Claimed.Shard);
          Shard != Alive->Shards.end()) {
        Shard->second->stop();
        Alive->Shards.erase(Shard);
      }
      Alive->releaseClaim(Claimed.Shard, Claimed.Token, Finish);
    };
    if (Found == this->Shards.end())
      Release();
    else
      Found->second->drain(
          [Release, &Loop = this->Shared.Loop] { Loop.post(Release); });
  }
  Finish();
}

} // namespace whintack::dispatch::Internal
