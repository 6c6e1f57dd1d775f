#include "whintack/entry/entrynode.h"

#include "claimmanager.h"
#include "configurationwatcher.h"
#include "directorywatcher.h"
#include "draintracker.h"
#include "metrics.h"
#include "operatorserver.h"
#include "shareplanmanager.h"
#include "timelinecollector.h"
#include "whintack/controller/fleetcontroller.h"
#include "whintack/controller/fleetreader.h"
#include "whintack/controller/shardclaims.h"

#include "whintack/base/supervisor.h"
#include "whintack/entry/callerserver.h"
#include "whintack/peers/peernetwork.h"
#include "whintack/store/httpplatform.h"

#include <algorithm>
#include <atomic>

namespace whintack::entry {

using namespace Internal;
using controller::FleetController;
using controller::FleetControllerHooks;
using controller::FleetReader;
using controller::ShardClaims;

static constexpr Duration PlatformCallTimeout = std::chrono::seconds(1);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);
/// How long a stop waits until this entry VM has left the share plan, so that
/// the other entry VMs of the data centre can use its slots. Otherwise the
/// slots are lost until the platform lists this VM as gone.
static constexpr Duration LeaveTimeout = std::chrono::seconds(5);
static constexpr Duration HousekeepingInterval = std::chrono::milliseconds(200);
/// Time between failing the readiness check and refusing requests, so that the
/// platform's load balancer sees the failed check first.
static constexpr Duration ReadinessFailureDelay =
    std::chrono::milliseconds(500);

class EntryNode::Private {
public:
  Private(settings::EntrySettings Settings, Clock Time, Random Source,
          TimerQueue &Timers);

  peers::PeerHooks peerHooks();
  void handleMessage(const EntryName &Peer, const peers::Message &Received);
  void updatePeers();
  void updateVms(const std::vector<store::VmInfo> &Vms);
  void applyConfiguration(const configuration::Configuration &InForce);
  bool isFrequentPoller() const;
  std::vector<EntryName> readyEntries() const;
  std::optional<std::vector<EntryName>> listedEntries() const;
  bool probe(const store::VmInfo &Vm);
  EntryStatus status() const;
  std::string metrics();
  void startThreads();
  void runHousekeeping(const StopSignal &Stop);
  bool isReady() const;

  settings::EntrySettings Settings;
  Clock Time;
  Random Source;
  TimerQueue &Timers;
  uint64_t Incarnation;
  HybridClock Stamps;
  EventJournal Journal;
  std::atomic<bool> IsStopping{false};
  store::HttpPlatform Platform;
  store::RecordClient Records;
  configuration::ConfigurationManager Configurations;
  configuration::ChangeClient Changes;
  std::unique_ptr<peers::PeerNetwork> Network;
  std::unique_ptr<Forwarder> Forwarding;
  std::shared_ptr<ClaimManager> Claims;
  std::unique_ptr<ConfigurationWatcher> Watcher;
  std::unique_ptr<DirectoryWatcher> Directory;
  std::unique_ptr<SharePlanManager> Shares;
  std::unique_ptr<DrainTracker> Drains;
  std::unique_ptr<TimelineCollector> Timeline;
  std::unique_ptr<FleetReader> Reader;
  std::unique_ptr<ShardClaims> Shards;
  std::unique_ptr<FleetController> Control;
  std::unique_ptr<OperatorServer> Operators;
  std::unique_ptr<CallerServer> Callers;
  Metrics MetricsRenderer;
  std::unique_ptr<Supervisor> Threads;
};

static http::ClientTls platformTls(const settings::TlsFiles &Files) {
  return {!Files.Authority.empty(), Files.Authority};
}

static std::vector<EntryName>
peerNames(const settings::EntrySettings &Settings) {
  std::vector<EntryName> Names;
  for (const settings::PeerAddress &Peer : Settings.Peers)
    Names.push_back(Peer.Name);
  return Names;
}

static std::vector<EntryName>
dataCentreMembers(const settings::EntrySettings &Settings) {
  std::vector<EntryName> Names = {Settings.Name};
  for (const settings::PeerAddress &Peer : Settings.Peers)
    if (Peer.DataCentre == Settings.DataCentre)
      Names.push_back(Peer.Name);
  return Names;
}

static peers::PeerNetworkSetup
networkSetup(const settings::EntrySettings &Settings, uint64_t Incarnation) {
  peers::PeerNetworkSetup Setup;
  Setup.Self = {Settings.Name, Incarnation, Settings.DataCentre};
  Setup.Listener = Settings.PeerListener;
  for (const settings::PeerAddress &Peer : Settings.Peers)
    Setup.Peers.push_back({Peer.Name, Peer.DataCentre, Peer.PeerListener});
  Setup.Tls = {Settings.PeerTls.Certificate, Settings.PeerTls.Key,
               Settings.PeerTls.Authority};
  return Setup;
}

EntryNode::Private::Private(settings::EntrySettings Given, Clock GivenTime,
                            Random GivenSource, TimerQueue &Timers)
    : Settings(std::move(Given)), Time(std::move(GivenTime)),
      Source(std::move(GivenSource)), Timers(Timers),
      Incarnation(static_cast<uint64_t>(toMicroseconds(Time.WallNow()))),
      Stamps(Time.WallNow),
      Journal(Settings.Name, Stamps,
              static_cast<size_t>(Settings.TimelineCapacity)),
      Platform(Settings.Platform, PlatformCallTimeout, Time, Timers,
               platformTls(Settings.PlatformTls)),
      Records(Platform.store(), Settings.PlatformCallsPerSecond, Time, Source),
      Changes(Records, Time) {
  const routing::RouterIdentity Identity{
      {this->Settings.Name, this->Incarnation}, this->Settings.DataCentre};
  const auto Send = [this](const EntryName &Peer, const peers::Message &Sent) {
    return this->Network->send(Peer, Sent) && this->Network->isUsable(Peer);
  };
  const auto Broadcast = [this](const peers::Message &Sent) {
    this->Network->broadcast(Sent);
  };
  const auto IsUsable = [this](const EntryName &Peer) {
    return this->Network->isUsable(Peer);
  };
  this->Network = std::make_unique<peers::PeerNetwork>(
      networkSetup(this->Settings, this->Incarnation), this->peerHooks(),
      this->Time, this->Stamps, this->Journal, this->Source);
  ForwarderLimits Limits;
  Limits.MaxAnswerBytes = static_cast<size_t>(this->Settings.MaxBodyBytes);
  Limits.MaxRequests = static_cast<size_t>(this->Settings.MaxRequests);
  ForwarderHooks Hooks;
  Hooks.SendToPeer = Send;
  Hooks.Broadcast = Broadcast;
  Hooks.Connect = [this, Limits](const Address &Server) {
    return std::make_shared<http::HttpConnection>(Server, Limits.MaxAnswerBytes,
                                                  this->Timers);
  };
  this->Forwarding = std::make_unique<Forwarder>(
      Identity, routing::ChoicePolicy::TwoChoices, Limits, Hooks, this->Time,
      this->Source, Timers, this->Journal);
  this->Claims = std::make_shared<ClaimManager>(
      this->Settings.Name, this->Incarnation, dataCentreMembers(this->Settings),
      ClaimHooks{Send, IsUsable}, this->Time, Timers);
  this->Watcher = std::make_unique<ConfigurationWatcher>(
      this->Configurations, this->Changes,
      ConfigurationHooks{Send, Broadcast,
                         [this] { return this->isFrequentPoller(); },
                         [this](const configuration::Configuration &InForce) {
                           this->applyConfiguration(InForce);
                         }},
      this->Settings.PollInterval, this->Time, this->Journal);
  this->Directory = std::make_unique<DirectoryWatcher>(
      this->Platform.directory(), this->Settings.PollInterval,
      [this](const std::vector<store::VmInfo> &Vms) { this->updateVms(Vms); });
  this->Shares = std::make_unique<SharePlanManager>(
      Identity, this->Records, *this->Forwarding,
      [this] { return this->listedEntries(); }, this->Time, this->Source,
      this->Journal);
  this->Drains = std::make_unique<DrainTracker>(
      this->Incarnation, peerNames(this->Settings),
      DrainTrackerHooks{Send, IsUsable}, *this->Forwarding, this->Time);
  this->Timeline = std::make_unique<TimelineCollector>(
      peerNames(this->Settings), Send, this->Journal);
  this->Reader = std::make_unique<FleetReader>(this->Records, this->Time);
  this->Shards = std::make_unique<ShardClaims>(
      this->Settings.Name, this->Incarnation, this->Records,
      [this] { return this->readyEntries(); }, this->Time, this->Source,
      this->Journal);
  this->Control = std::make_unique<FleetController>(
      this->Records, this->Platform.workers(), *this->Reader, *this->Shards,
      controller::DrainHooks{
          [this](const VmName &Vm, uint64_t VmIncarnation) {
            this->Drains->queryPeers({Vm, VmIncarnation});
          },
          [this](const VmName &Vm) {
            return this->Drains->runningRequests(Vm);
          },
          [this](const VmName &Vm) { this->Drains->forget(Vm); }},
      FleetControllerHooks{
          [this] { return this->Configurations.current(); },
          [this] { return this->Directory->vms(); },
          [this](const store::VmInfo &Vm) { return this->probe(Vm); }},
      this->Time, this->Source, this->Journal);
  this->Operators = std::make_unique<OperatorServer>(
      this->Settings.OperatorListener,
      http::ServerTls{this->Settings.OperatorTls.Certificate,
                      this->Settings.OperatorTls.Key},
      OperatorAuth(this->Settings.Operators),
      OperatorHooks{[this] { return this->status(); },
                    [this] { return this->metrics(); },
                    [this](const EventFilter &Filter, size_t Limit) {
                      return this->Timeline->collect(Filter, Limit);
                    },
                    [this] { this->Watcher->pollNow(); }},
      *this->Reader, this->Changes, this->Records, this->Time, this->Source,
      Timers, this->Journal);
  http::ServerLimits CallerLimits;
  CallerLimits.MaxBodyBytes = static_cast<size_t>(this->Settings.MaxBodyBytes);
  this->Callers = std::make_unique<CallerServer>(
      this->Settings.Name, this->Settings.CallerListener, CallerLimits,
      http::ServerTls{this->Settings.CallerTls.Certificate,
                      this->Settings.CallerTls.Key},
      CallerServerHooks{[this] { return this->isReady(); },
                        [this] { return this->Configurations.revision(); }},
      *this->Forwarding, this->Claims, this->Time, this->Source, Timers);
  this->Threads = std::make_unique<Supervisor>(this->Journal, this->Source);
}

bool EntryNode::Private::isReady() const {
  return !this->IsStopping && this->Configurations.revision() > 0 &&
         this->Directory->hasList();
}

peers::PeerHooks EntryNode::Private::peerHooks() {
  peers::PeerHooks Hooks;
  Hooks.MakeHeartbeat = [this] {
    peers::Heartbeat Message;
    Message.HeadRevision = this->Configurations.revision();
    Message.IsReady = !this->IsStopping && Message.HeadRevision > 0;
    return Message;
  };
  Hooks.OnMessage = [this](const EntryName &Peer,
                           const peers::Message &Received) {
    this->handleMessage(Peer, Received);
  };
  Hooks.OnPeersChanged = [this] { this->updatePeers(); };
  return Hooks;
}

void EntryNode::Private::handleMessage(const EntryName &Peer,
                                       const peers::Message &Received) {
  const bool IsHandled = this->Forwarding->handleMessage(Peer, Received) ||
                         this->Claims->handleMessage(Peer, Received) ||
                         this->Watcher->handleMessage(Peer, Received) ||
                         this->Drains->handleMessage(Peer, Received) ||
                         this->Timeline->handleMessage(Peer, Received);
  if (!IsHandled && !std::holds_alternative<peers::Hello>(Received))
    logEvent(LogLevel::Warning, "peer-message-unknown",
             {{"peer", Peer}, {"kind", Received.index()}});
}

void EntryNode::Private::updatePeers() {
  std::vector<routing::PeerInfo> Usable;
  for (const peers::PeerStatus &Peer : this->Network->peers())
    if (Peer.IsUsable)
      Usable.push_back({Peer.Name, Peer.DataCentre});
  this->Forwarding->setPeers(Usable);
}

void EntryNode::Private::updateVms(const std::vector<store::VmInfo> &Vms) {
  const auto InForce = this->Configurations.current();
  std::map<PoolName, ServiceName> ServiceOfPool;
  if (InForce)
    for (const auto &[Name, Service] : InForce->Declared.Services)
      ServiceOfPool[Service.HostPool] = Name;
  this->Forwarding->setVms(Vms, ServiceOfPool);
}

void EntryNode::Private::applyConfiguration(
    const configuration::Configuration &InForce) {
  std::vector<routing::ServiceLimits> Services;
  for (const auto &[Name, Service] : InForce.Declared.Services) {
    routing::ServiceLimits Limits;
    Limits.Name = Name;
    Limits.Slots = Service.Slots;
    Limits.Connections = Service.Connections;
    Limits.MaxDuration = Service.MaxDuration;
    Limits.DefaultDuration = Service.DefaultDuration;
    Limits.QueueLength = static_cast<size_t>(Service.QueueLength);
    Limits.RetryPercent = Service.RetryPercent;
    Services.push_back(std::move(Limits));
  }
  this->Forwarding->setServices(Services);
  if (this->Directory->hasList())
    this->updateVms(this->Directory->vms());
}

bool EntryNode::Private::isFrequentPoller() const {
  for (const peers::PeerStatus &Peer : this->Network->peers())
    if (Peer.DataCentre == this->Settings.DataCentre && Peer.IsUsable &&
        Peer.Name < this->Settings.Name)
      return false;
  return true;
}

std::vector<EntryName> EntryNode::Private::readyEntries() const {
  std::vector<EntryName> Ready = {this->Settings.Name};
  for (const peers::PeerStatus &Peer : this->Network->peers())
    if (Peer.IsUsable && Peer.IsReady)
      Ready.push_back(Peer.Name);
  return Ready;
}

std::optional<std::vector<EntryName>>
EntryNode::Private::listedEntries() const {
  if (!this->Directory->hasList())
    return std::nullopt;
  std::vector<EntryName> Entries;
  for (const store::VmInfo &Vm : this->Directory->vms())
    if (Vm.Role == store::VmRole::Entry && Vm.State != store::VmState::Gone)
      Entries.emplace_back(Vm.Name.text());
  return Entries;
}

bool EntryNode::Private::probe(const store::VmInfo &Vm) {
  http::HttpRequest Request;
  Request.Method = "GET";
  Request.Target = "/healthz";
  const auto Answer = http::callAndWait(
      Vm.Server, Request, this->Time.Now() + ProbeTimeout, this->Timers);
  return Answer && Answer.value().Status == http::status::Ok;
}

EntryStatus EntryNode::Private::status() const {
  EntryStatus Status;
  Status.Name = this->Settings.Name;
  Status.DataCentre = this->Settings.DataCentre;
  Status.InForce = this->Configurations.current();
  Status.IsReady = !this->IsStopping && Status.InForce;
  Status.Platform = this->Watcher->contact();
  Status.Peers = this->Network->peers();
  Status.Counts = this->Forwarding->counts();
  Status.Executors = this->Forwarding->executors();
  Status.Fleet = this->Reader->last();
  Status.Listed = this->Directory->vms();
  Status.Now = this->Time.WallNow();
  return Status;
}

std::string EntryNode::Private::metrics() {
  MetricsInput Input;
  Input.Requests = this->Forwarding->counts();
  Input.Executors = this->Forwarding->executors();
  Input.Traffic = this->Network->traffic();
  Input.Peers = this->Network->peers();
  Input.PlatformCalls = this->Records.calls();
  Input.Revision = this->Configurations.revision();
  Input.IsPlatformReachable = this->Watcher->contact().IsReachable;
  Input.Pending = this->Forwarding->pending();
  return this->MetricsRenderer.render(Input);
}

void EntryNode::Private::runHousekeeping(const StopSignal &Stop) {
  while (!Stop.isRequested()) {
    this->Claims->synchronize();
    this->updatePeers();
    Stop.waitFor(HousekeepingInterval);
  }
}

void EntryNode::Private::startThreads() {
  this->Threads->start({"operators", [this](const StopSignal &Stop) {
                          this->Operators->run(Stop);
                        }});
  this->Threads->start({"directory", [this](const StopSignal &Stop) {
                          this->Directory->run(Stop);
                        }});
  this->Threads->start({"configuration", [this](const StopSignal &Stop) {
                          this->Watcher->run(Stop);
                        }});
  this->Threads->start(
      {"shares", [this](const StopSignal &Stop) { this->Shares->run(Stop); }});
  this->Threads->start({"housekeeping", [this](const StopSignal &Stop) {
                          this->runHousekeeping(Stop);
                        }});
  this->Threads->start({"steward", [this](const StopSignal &Stop) {
                          this->Control->run(Stop);
                        }});
}

EntryNode::EntryNode(settings::EntrySettings Settings, Clock Time,
                     Random Source, TimerQueue &Timers)
    : D(std::make_unique<Private>(std::move(Settings), std::move(Time),
                                  std::move(Source), Timers)) {}

// Requests cut off by the stop end here, while the servers that answer them
// exist.
EntryNode::~EntryNode() { this->D->Forwarding->close(); }

Result<void, EntryError> EntryNode::start() {
  if (auto Opened = this->D->Network->open(); !Opened)
    return failure(EntryError{Opened.error().Message});
  if (auto Opened = this->D->Operators->open(); !Opened)
    return failure(EntryError{Opened.error().Message});
  if (auto Opened = this->D->Callers->open(); !Opened)
    return failure(EntryError{Opened.error().Message});
  Event Noted;
  Noted.Kind = EventKind::ProcessStarted;
  Noted.Text = "incarnation=" + std::to_string(this->D->Incarnation);
  this->D->Journal.record(std::move(Noted));
  this->D->startThreads();
  return success();
}

StopReport EntryNode::stop() {
  Private &Node = *this->D;
  Event Noted;
  Noted.Kind = EventKind::ProcessStopping;
  Node.Journal.record(std::move(Noted));
  const TimePoint Deadline = Node.Time.Now() + Node.Settings.StopTimeout;
  Node.IsStopping = true;
  StopSignal Waiter;
  Waiter.waitFor(ReadinessFailureDelay);
  StopReport Report;
  // New requests are answered "not run" from now on, so that only the requests
  // already accepted remain.
  Node.Forwarding->stop();
  while (Node.Forwarding->pending() > 0 && Node.Time.Now() < Deadline)
    Waiter.waitFor(HousekeepingInterval);
  Report.CutOff = Node.Callers->close(Deadline);
  // Lent slots are returned within moments; then the share plan can be left.
  const TimePoint LeaveDeadline =
      std::min(Deadline, Node.Time.Now() + LeaveTimeout);
  while (!Node.Shares->leave() && Node.Time.Now() < LeaveDeadline)
    Waiter.waitFor(HousekeepingInterval);
  Node.Threads->stop();
  Node.Operators->close(Deadline);
  Node.Network->close();
  return Report;
}

bool EntryNode::isReady() const { return this->D->isReady(); }

uint64_t EntryNode::revision() const {
  return this->D->Configurations.revision();
}

std::string EntryNode::preset() const {
  const auto InForce = this->D->Configurations.current();
  return InForce ? InForce->Current.Preset.text() : std::string();
}

routing::RouterCounts EntryNode::counts() const {
  return this->D->Forwarding->counts();
}

size_t EntryNode::usablePeers() const {
  size_t Usable = 0;
  for (const peers::PeerStatus &Peer : this->D->Network->peers())
    Usable += Peer.IsUsable ? 1 : 0;
  return Usable;
}

} // namespace whintack::entry
