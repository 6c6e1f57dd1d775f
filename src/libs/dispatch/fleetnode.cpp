#include "whintack/dispatch/fleetnode.h"

#include "claimseeker.h"
#include "executorboard.h"
#include "jobdoor.h"
#include "membership.h"
#include "poolkeeper.h"
#include "serviceshard.h"
#include "storekeys.h"
#include "storerelay.h"
#include "wavekeeper.h"

#include "whintack/base/eventjournal.h"

#include <atomic>
#include <condition_variable>
#include <future>
#include <thread>

namespace whintack::dispatch {

using namespace Internal;

/// Time for the first look at who else lives before shards are claimed, so
/// that they spread at the first start.
static constexpr Duration SettleTime = std::chrono::milliseconds(800);
/// How often claims and shards are compared without a change.
static constexpr Duration ReviewInterval = std::chrono::milliseconds(500);
/// Longest time for handing shards over at a stop.
static constexpr Duration HandOverTimeout = std::chrono::milliseconds(1200);
/// How long connections are taken after this VM has said that it stops; the
/// platform asks each second and believes the second answer.
static constexpr Duration LameDuckTime = std::chrono::milliseconds(2500);
static constexpr size_t TimelineCapacity = 1000;

class FleetNode::Private : public std::enable_shared_from_this<Private> {
public:
  Private(settings::EntrySettings Settings, NodeConnections Connections,
          Clock Time, Random Source, TimerQueue &Loop, TimerQueue &Timers);

  Result<void, NodeError> open();
  void begin();
  void review();
  void takeOperatorItems(const ItemMap &Items);
  void adopt(jobs::FleetConfiguration Newest);
  void takeWon(const WonClaim &Won);
  void loseShard(const std::string &Shard, const std::string &Cause);
  void stopKeepers();
  void checkClaims();
  void dropStrayClaim(const std::string &Shard, const Claim &Stray);
  bool answerLocally(const peers::ServiceCall &Asked, const AnswerBack &Back);
  void takeMessage(const EntryName &From, const peers::Message &Received);
  std::vector<EntryName> usablePeers() const;
  /// Whether another process has taken the place of \p Process on its VM.
  bool hasEnded(const OrderingProcess &Process) const;
  void handOver(const std::function<void()> &Done);
  void releaseClaim(const std::string &Shard, uint64_t Token,
                    const std::function<void()> &Done);
  /// Returns the newest queues each time it is called.
  std::function<std::shared_ptr<const jobs::QueueTable>()> queueSource();
  bool isReady() const;
  peers::PeerNetworkSetup peerSetup() const;
  http::ServerLimits serverLimits() const;

  settings::EntrySettings Settings;
  NodeConnections Connections;
  Context Shared;
  /// Tells this process from earlier ones on this VM.
  uint64_t Incarnation;
  TimerQueue &Timers;
  HybridClock Stamps;
  EventJournal Journal;
  std::unique_ptr<peers::PeerNetwork> Peers;
  std::shared_ptr<StoreRelay> Relay;
  std::shared_ptr<NodeLease> Lease;
  std::shared_ptr<ClaimBoard> Board;
  std::shared_ptr<ClaimSeeker> Seeker;
  std::shared_ptr<Membership> Members;
  std::shared_ptr<ExecutorBoard> Executors;
  std::shared_ptr<ServiceCalls> Calls;
  std::shared_ptr<JobDoor> Door;
  std::shared_ptr<PrefixWatch> OperatorItems;
  std::unique_ptr<http::HttpServer> Front;
  std::unique_ptr<http::HttpServer> ReadyFront;
  std::shared_ptr<const jobs::QueueTable> Queues;
  std::vector<jobs::WaveRequest> Waves;
  std::map<std::string, WonClaim> Won;
  std::map<std::string, std::shared_ptr<ServiceShard>> Shards;
  std::shared_ptr<WaveKeeper> Keeper;
  std::shared_ptr<PoolKeeper> Mover;
  TimePoint SettledAt = TimePoint::max();
  std::atomic<bool> IsStopping{false};
  /// Read by the thread that answers the platform's question.
  std::atomic<bool> IsReadyNow{false};
};

FleetNode::Private::Private(settings::EntrySettings Given,
                            NodeConnections Connections, Clock Time,
                            Random Source, TimerQueue &Loop, TimerQueue &Timers)
    : Settings(std::move(Given)),
      Connections(std::move(Connections)), Shared{std::move(Time),
                                                  std::move(Source), Loop,
                                                  this->Connections.Store},
      Incarnation(this->Shared.Source()), Timers(Timers),
      Stamps(this->Shared.Time.WallNow),
      Journal(this->Settings.Name, this->Stamps, TimelineCapacity) {}

peers::PeerNetworkSetup FleetNode::Private::peerSetup() const {
  peers::PeerNetworkSetup Setup;
  Setup.Self = {this->Settings.Name, this->Incarnation,
                this->Settings.DataCentre};
  Setup.Listener = this->Settings.PeerListener;
  Setup.AcceptsNewcomers = true;
  return Setup;
}

http::ServerLimits FleetNode::Private::serverLimits() const {
  http::ServerLimits Limits;
  Limits.MaxBodyBytes = static_cast<size_t>(this->Settings.MaxBodyBytes);
  return Limits;
}

std::function<std::shared_ptr<const jobs::QueueTable>()>
FleetNode::Private::queueSource() {
  return [Weak = this->weak_from_this()]()
             -> std::shared_ptr<const jobs::QueueTable> {
    const auto Self = Weak.lock();
    return Self ? Self->Queues : nullptr;
  };
}

bool FleetNode::Private::isReady() const {
  const bool ReachesStore =
      this->Lease->isValid() ||
      (this->OperatorItems->isCurrent() && this->Members->isKnown());
  return this->Queues && ReachesStore && !this->IsStopping;
}

Result<void, NodeError> FleetNode::Private::open() {
  const std::weak_ptr<Private> Weak = this->weak_from_this();
  peers::PeerHooks Hooks;
  Hooks.MakeHeartbeat = [] { return peers::Heartbeat(); };
  Hooks.OnPeersChanged = [] {};
  Hooks.OnMessage = [Weak, &Loop = this->Shared.Loop](const EntryName &From,
                                                      peers::Message Received) {
    Loop.post([Weak, From, Received = std::move(Received)] {
      if (const auto Self = Weak.lock())
        Self->takeMessage(From, Received);
    });
  };
  this->Peers = std::make_unique<peers::PeerNetwork>(
      this->peerSetup(), std::move(Hooks), this->Shared.Time, this->Stamps,
      this->Journal, this->Shared.Source);
  if (const auto Opened = this->Peers->open(); !Opened)
    return failure(NodeError{Opened.error().Message});
  this->Front = std::make_unique<http::HttpServer>(
      this->Settings.CallerListener, this->serverLimits(), this->Shared.Time,
      this->Timers,
      [Weak, &Loop = this->Shared.Loop](http::HttpRequest Request,
                                        http::Responder Back) {
        Loop.post([Weak, Request = std::move(Request), Back = std::move(Back)] {
          if (const auto Self = Weak.lock())
            Self->Door->take(Request, Back);
        });
      });
  this->ReadyFront = std::make_unique<http::HttpServer>(
      this->Settings.Fleet.ReadyListener, http::ServerLimits(),
      this->Shared.Time, this->Timers,
      [Weak](const http::HttpRequest &, const http::Responder &Back) {
        const auto Self = Weak.lock();
        const bool IsReady = Self && Self->IsReadyNow;
        Back(http::jsonResponse(IsReady ? http::status::Ok
                                        : http::status::ServiceUnavailable,
                                "{}"));
      });
  this->Shared.Loop.post([Weak] {
    if (const auto Self = Weak.lock())
      Self->begin();
  });
  for (http::HttpServer *Server : {this->Front.get(), this->ReadyFront.get()})
    if (const auto Opened = Server->open(); !Opened)
      return failure(NodeError{Opened.error().Message});
  return success();
}

void FleetNode::Private::begin() {
  const std::weak_ptr<Private> Weak = this->weak_from_this();
  this->Relay = std::make_shared<StoreRelay>(
      this->Shared,
      StoreRelayHooks{[Weak](const EntryName &To, const peers::Message &Sent) {
                        const auto Self = Weak.lock();
                        return Self && Self->Peers->send(To, Sent);
                      },
                      [Weak] {
                        const auto Self = Weak.lock();
                        return Self ? Self->usablePeers()
                                    : std::vector<EntryName>();
                      }});
  this->Shared.Store = this->Relay->store();
  this->Lease = std::make_shared<NodeLease>(this->Shared);
  this->Board = std::make_shared<ClaimBoard>(this->Shared, [Weak] {
    if (const auto Self = Weak.lock())
      Self->checkClaims();
  });
  this->Calls = std::make_shared<ServiceCalls>(
      this->Shared, this->Settings.Name, this->Board,
      [Weak](const EntryName &To, const peers::Message &Sent) {
        const auto Self = Weak.lock();
        return Self && Self->Peers->send(To, Sent);
      },
      [Weak](const peers::ServiceCall &Asked, const AnswerBack &Back) {
        const auto Self = Weak.lock();
        return Self && Self->answerLocally(Asked, Back);
      });
  this->Door = std::make_shared<JobDoor>(this->Shared, this->Connections.Words,
                                         this->Calls, this->queueSource());
  this->Members = std::make_shared<Membership>(
      this->Shared,
      peers::PeerEndpoint{this->Settings.Name, this->Settings.DataCentre,
                          this->Settings.PeerListener},
      this->Lease, [Weak] {
        if (const auto Self = Weak.lock())
          Self->Peers->setPeers(Self->Members->others());
      });
  this->Seeker = std::make_shared<ClaimSeeker>(
      this->Shared, this->Settings.Name, this->Board, this->Lease,
      [Members = this->Members] { return Members->names(); },
      [Weak](const WonClaim &Won) {
        if (const auto Self = Weak.lock())
          Self->takeWon(Won);
      });
  this->Executors = std::make_shared<ExecutorBoard>(
      this->Shared, this->Connections.Words.ExecutorPrefix,
      this->Connections.Words.DecodeExecutor,
      [Weak] {
        const auto Self = Weak.lock();
        return Self && !Self->Shards.empty();
      },
      [Weak](const std::vector<jobs::ExecutorInfo> &Listed) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        for (const auto &[Name, Shard] : Self->Shards)
          Shard->setExecutors(Listed);
      });
  this->OperatorItems = std::make_shared<PrefixWatch>(
      this->Shared, this->Connections.Words.OperatorPrefix,
      [Weak](const ItemMap &Items, const std::set<std::string> &) {
        if (const auto Self = Weak.lock())
          Self->takeOperatorItems(Items);
      });
  this->Lease->onLapsed([Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    const std::map<std::string, WonClaim> Held = Self->Won;
    for (const auto &[Shard, Claim] : Held)
      Self->loseShard(Shard, "the lease lapsed");
  });
  this->Members->start();
  this->Lease->start();
  this->Board->start();
  this->Executors->start();
  this->OperatorItems->start();
  this->SettledAt = this->Shared.now() + SettleTime;
  this->review();
}

void FleetNode::Private::review() {
  this->IsReadyNow = this->isReady();
  if (this->IsStopping)
    return;
  if (this->Shared.now() >= this->SettledAt && this->Members->isKnown())
    this->checkClaims();
  constexpr Duration FirstReviews = std::chrono::milliseconds(200);
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() +
                  (this->IsReadyNow ? ReviewInterval : FirstReviews),
              [](Private &Self) { Self.review(); });
}

void FleetNode::Private::takeOperatorItems(const ItemMap &Items) {
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

void FleetNode::Private::adopt(jobs::FleetConfiguration Newest) {
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
  this->IsReadyNow = this->isReady();
}

void FleetNode::Private::takeWon(const WonClaim &Given) {
  if (this->IsStopping) {
    this->releaseClaim(Given.Shard, Given.Token, [] {});
    return;
  }
  this->Won[Given.Shard] = Given;
  const std::weak_ptr<Private> Weak = this->weak_from_this();
  const auto Lost = [Weak](const std::string &Shard, const std::string &Cause) {
    if (const auto Self = Weak.lock())
      Self->loseShard(Shard, Cause);
  };
  const auto ValidUntil = [Lease = this->Lease] { return Lease->validUntil(); };
  const auto Table = this->queueSource();
  if (Given.Shard == keys::FleetShard) {
    const auto Orders = std::make_shared<MachineOrders>(
        this->Shared, OrderingProcess{this->Settings.Name, this->Incarnation},
        store::ExpectedRevision{keys::Claims + Given.Shard, Given.Token},
        MachineOrdersHooks{
            [Board = this->Board,
             Now = this->Shared.Time.Now](uint64_t Revision) {
              return Board->revisions().writtenBy(Revision, Now());
            },
            [Weak](const OrderingProcess &Process) {
              const auto Self = Weak.lock();
              return Self && Self->hasEnded(Process);
            },
            [Lost, Shard = Given.Shard](const std::string &Cause) {
              Lost(Shard, Cause);
            }});
    Orders->load();
    const WaveEnvironment Environment{this->Connections.Machines,
                                      this->Connections.Words,
                                      this->Calls,
                                      Table,
                                      ValidUntil,
                                      Orders,
                                      Lost};
    this->Keeper = std::make_shared<WaveKeeper>(this->Shared, Environment,
                                                this->Settings.Name, Given);
    this->Keeper->start();
    this->Keeper->setWaves(this->Waves);
    this->Mover = std::make_shared<PoolKeeper>(
        this->Shared, Environment, this->Settings.Name, Given,
        [Keeper = this->Keeper] { return Keeper->machinesInWork(); });
    this->Mover->start();
    return;
  }
  ShardEnvironment Environment;
  Environment.Executors = this->Connections.Executors;
  Environment.Advice = this->Connections.Advice;
  Environment.DecodeJob = this->Connections.Words.DecodeJob;
  Environment.Queues = Table;
  Environment.ClaimValidUntil = ValidUntil;
  Environment.ListMachines = this->Connections.Machines.List;
  Environment.LookForExecutors = [Executors = this->Executors] {
    Executors->lookNow();
  };
  Environment.LongestLease = this->Settings.Fleet.LongestLease;
  Environment.OnLost = Lost;
  auto Shard = std::make_shared<ServiceShard>(this->Shared, Environment, Given);
  this->Shards[Given.Shard] = Shard;
  Shard->start();
}

void FleetNode::Private::stopKeepers() {
  if (!this->Keeper)
    return;
  this->Keeper->stop();
  this->Keeper.reset();
  this->Mover->stop();
  this->Mover.reset();
}

void FleetNode::Private::loseShard(const std::string &Shard,
                                   const std::string &Cause) {
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
void FleetNode::Private::checkClaims() {
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
    if (InStore.Holder == this->Settings.Name && !this->Won.contains(Shard) &&
        !this->Seeker->isPending(Shard))
      this->dropStrayClaim(Shard, InStore);
  if (this->Shared.now() >= this->SettledAt && !this->IsStopping)
    this->Seeker->seek();
}

/// Removes a claim in this process's name that it does not work under: an
/// earlier process left it, or its answer was lost.
void FleetNode::Private::dropStrayClaim(const std::string &Shard,
                                        const Claim &Stray) {
  logEvent(LogLevel::Info, "stray-claim",
           {{"shard", Shard}, {"token", Stray.Token}});
  this->releaseClaim(Shard, Stray.Token, [] {});
}

void FleetNode::Private::releaseClaim(const std::string &Shard, uint64_t Token,
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

bool FleetNode::Private::answerLocally(const peers::ServiceCall &Asked,
                                       const AnswerBack &Back) {
  const auto Found = this->Shards.find(Asked.Service.text());
  if (Found == this->Shards.end())
    return false;
  Found->second->answer(Asked, Back);
  return true;
}

void FleetNode::Private::takeMessage(const EntryName &From,
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

std::vector<EntryName> FleetNode::Private::usablePeers() const {
  std::vector<EntryName> Usable;
  for (const peers::PeerStatus &Peer : this->Peers->peers())
    if (Peer.IsUsable)
      Usable.push_back(Peer.Name);
  return Usable;
}

bool FleetNode::Private::hasEnded(const OrderingProcess &Process) const {
  if (Process.Vm == this->Settings.Name)
    return Process.Incarnation != this->Incarnation;
  const std::vector<peers::PeerStatus> Known = this->Peers->peers();
  return std::any_of(Known.begin(), Known.end(),
                     [&Process](const peers::PeerStatus &Peer) {
                       return Peer.Name == Process.Vm && Peer.IsUsable &&
                              Peer.Incarnation != Process.Incarnation;
                     });
}

/// Gives all claims back, after what is not stored yet has been.
void FleetNode::Private::handOver(const std::function<void()> &Done) {
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
    const std::weak_ptr<Private> Weak = this->weak_from_this();
    const auto Release = [Weak, Claimed = Claimed, Finish] {
      const auto Self = Weak.lock();
      if (!Self)
        return;
      if (const auto Shard = Self->Shards.find(Claimed.Shard);
          Shard != Self->Shards.end()) {
        Shard->second->stop();
        Self->Shards.erase(Shard);
      }
      Self->releaseClaim(Claimed.Shard, Claimed.Token, Finish);
    };
    if (Found == this->Shards.end())
      Release();
    else
      Found->second->drain(
          [Release, &Loop = this->Shared.Loop] { Loop.post(Release); });
  }
  Finish();
}

FleetNode::FleetNode(settings::EntrySettings Settings,
                     NodeConnections Connections, Clock Time, Random Source,
                     TimerQueue &Loop, TimerQueue &Timers)
    : D(std::make_shared<Private>(std::move(Settings), std::move(Connections),
                                  std::move(Time), std::move(Source), Loop,
                                  Timers)) {}

FleetNode::~FleetNode() = default;

Result<void, NodeError> FleetNode::start() { return this->D->open(); }

size_t FleetNode::stop() {
  const TimePoint Asked = this->D->Shared.now();
  this->D->IsStopping = true;
  this->D->IsReadyNow = false;
  auto HandedOver = std::make_shared<std::promise<void>>();
  std::future<void> Waiting = HandedOver->get_future();
  this->D->Shared.Loop.post([D = this->D, HandedOver] {
    D->handOver([HandedOver] { HandedOver->set_value(); });
  });
  Waiting.wait_for(HandOverTimeout);
  const Duration Left = Asked + LameDuckTime - this->D->Shared.now();
  if (Left > Duration::zero())
    std::this_thread::sleep_for(Left);
  const size_t CutOff =
      this->D->Front->close(Asked + this->D->Settings.StopTimeout);
  auto Ended = std::make_shared<std::promise<void>>();
  std::future<void> Ending = Ended->get_future();
  this->D->Shared.Loop.post(
      [D = this->D, Ended] { D->Lease->end([Ended] { Ended->set_value(); }); });
  constexpr Duration EndTimeout = std::chrono::milliseconds(300);
  Ending.wait_for(EndTimeout);
  this->D->ReadyFront->close(TimePoint::min());
  this->D->Peers->close();
  return CutOff;
}

} // namespace whintack::dispatch
