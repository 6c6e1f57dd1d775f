#include "whintack/dispatch/fleetnode.h"

#include "fleetcore.h"

#include "whintack/base/eventjournal.h"

#include <future>
#include <thread>

namespace whintack::dispatch {

using namespace Internal;

/// Time-out for handing over the shards at a stop.
static constexpr Duration HandOverTimeout = std::chrono::milliseconds(1200);
/// How long connections are still accepted after this VM reports that it is not
/// ready: the platform polls once a second and acts on the second answer.
static constexpr Duration LameDuckTime = std::chrono::milliseconds(2500);
/// Time-out for ending the lease at a stop.
static constexpr Duration EndLeaseTimeout = std::chrono::milliseconds(300);
static constexpr size_t TimelineCapacity = 1000;

/// The listeners of an entry VM, its links to the other entry VMs, and its
/// core.
class FleetNode::Private : public std::enable_shared_from_this<Private> {
public:
  Private(settings::EntrySettings Settings, NodeConnections Connections,
          Clock Time, Random Source, TimerQueue &Loop, TimerQueue &Timers);

  Result<void, NodeError> open();
  void makeCore();
  Result<void, NodeError> openPeers();
  Result<void, NodeError> openListeners();
  size_t close();
  /// Calls \p Function with the core on the loop's thread.
  template <typename Call> void onCore(Call Function);

  settings::EntrySettings Settings;
  NodeConnections Connections;
  Context Shared;
  uint64_t Incarnation;
  TimerQueue &Timers;
  HybridClock EventClock;
  EventJournal Journal;
  std::unique_ptr<peers::PeerNetwork> Peers;
  std::shared_ptr<FleetCore> Core;
  std::unique_ptr<http::HttpServer> CallerServer;
  std::unique_ptr<http::HttpServer> ReadyServer;
};

FleetNode::Private::Private(settings::EntrySettings NodeSettings,
                            NodeConnections Connections, Clock Time,
                            Random Source, TimerQueue &Loop, TimerQueue &Timers)
    : Settings(std::move(NodeSettings)),
      Connections(std::move(Connections)), Shared{std::move(Time),
                                                  std::move(Source), Loop,
                                                  this->Connections.Store},
      Incarnation(this->Shared.Source()), Timers(Timers),
      EventClock(this->Shared.Time.WallNow),
      Journal(this->Settings.Name, this->EventClock, TimelineCapacity) {}

template <typename Call> void FleetNode::Private::onCore(Call Function) {
  this->Shared.Loop.post(
      [Core = this->Core, Function = std::move(Function)] { Function(*Core); });
}

void FleetNode::Private::makeCore() {
  const std::weak_ptr<Private> Weak = this->weak_from_this();
  PeerTransport Transport;
  Transport.Send = [Weak](const EntryName &To, const peers::Message &Sent) {
    const auto Self = Weak.lock();
    if (!Self)
      return false;
    const bool IsUsable = Self->Peers->isUsable(To);
    // The relay goes on as if a call that is not sent could not take effect.
    if (!IsUsable && std::holds_alternative<peers::StoreRequest>(Sent))
      return false;
    return Self->Peers->send(To, Sent) && IsUsable;
  };
  Transport.Peers = [Weak] {
    const auto Self = Weak.lock();
    return Self ? Self->Peers->peers() : std::vector<peers::PeerStatus>();
  };
  Transport.SetPeers = [Weak](const std::vector<peers::PeerEndpoint> &Others) {
    if (const auto Self = Weak.lock())
      Self->Peers->setPeers(Others);
  };
  this->Core = std::make_shared<FleetCore>(
      CoreIdentity{
          this->Settings.Name, this->Settings.DataCentre,
          this->Settings.PeerListener, this->Incarnation,
          this->Settings.Fleet.ProcessorShare, this->Settings.Fleet.MaxLease,
          this->Settings.Fleet.ConfigurationTime,
          this->Settings.Fleet.KeyRevocationTime,
          this->Settings.Fleet.RefusesStaleKeys,
          this->Settings.Fleet.StoreOutageGrace,
          this->Settings.Fleet.MachineOrderGrace,
          this->Settings.Fleet.ReservesRoom, this->Settings.Fleet.Bandwidth},
      this->Connections, this->Shared, std::move(Transport));
}

Result<void, NodeError> FleetNode::Private::openPeers() {
  peers::PeerNetworkSetup Setup;
  Setup.Self = {this->Settings.Name, this->Incarnation,
                this->Settings.DataCentre};
  Setup.Listener = this->Settings.PeerListener;
  Setup.AcceptsUnlistedPeers = true;
  peers::PeerHooks Hooks;
  Hooks.MakeHeartbeat = [] { return peers::Heartbeat(); };
  Hooks.OnPeersChanged = [] {};
  Hooks.OnMessage = [Weak = this->weak_from_this()](const EntryName &From,
                                                    peers::Message Received) {
    if (const auto Self = Weak.lock())
      Self->onCore([From, Received = std::move(Received)](FleetCore &Core) {
        Core.handleMessage(From, Received);
      });
  };
  this->Peers = std::make_unique<peers::PeerNetwork>(
      std::move(Setup), std::move(Hooks), this->Shared.Time, this->EventClock,
      this->Journal, this->Shared.Source);
  if (const auto Opened = this->Peers->open(); !Opened)
    return failure(NodeError{Opened.error().Message});
  return success();
}

Result<void, NodeError> FleetNode::Private::openListeners() {
  http::ServerLimits Limits;
  Limits.MaxBodyBytes = static_cast<size_t>(this->Settings.MaxBodyBytes);
  this->CallerServer = std::make_unique<http::HttpServer>(
      this->Settings.CallerListener, Limits, this->Shared.Time, this->Timers,
      [Weak = this->weak_from_this()](http::HttpRequest Request,
                                      http::Responder Respond) {
        if (const auto Self = Weak.lock())
          Self->onCore([Request = std::move(Request),
                        Respond = std::move(Respond)](FleetCore &Core) {
            Core.handleRequest(Request, Respond);
          });
      });
  this->ReadyServer = std::make_unique<http::HttpServer>(
      this->Settings.Fleet.ReadyListener, http::ServerLimits(),
      this->Shared.Time, this->Timers,
      [Core = this->Core](const http::HttpRequest &,
                          const http::Responder &Respond) {
        Respond(http::jsonResponse(Core->isReady()
                                       ? http::status::Ok
                                       : http::status::ServiceUnavailable,
                                   "{}"));
      });
  for (http::HttpServer *Server :
       {this->CallerServer.get(), this->ReadyServer.get()})
    if (const auto Opened = Server->open(); !Opened)
      return failure(NodeError{Opened.error().Message});
  return success();
}

Result<void, NodeError> FleetNode::Private::open() {
  this->makeCore();
  if (auto Opened = this->openPeers(); !Opened)
    return Opened;
  // Requests that arrive from now on are queued on the loop behind this call.
  this->onCore([](FleetCore &Core) { Core.begin(); });
  return this->openListeners();
}

size_t FleetNode::Private::close() {
  const TimePoint StopRequestedAt = this->Shared.now();
  this->Core->announceStop();
  auto HandedOver = std::make_shared<std::promise<void>>();
  std::future<void> HandOverFuture = HandedOver->get_future();
  this->onCore([HandedOver](FleetCore &Core) {
    Core.handOver([HandedOver] { HandedOver->set_value(); });
  });
  HandOverFuture.wait_for(HandOverTimeout);
  const Duration Remaining =
      StopRequestedAt + LameDuckTime - this->Shared.now();
  if (Remaining > Duration::zero())
    std::this_thread::sleep_for(Remaining);
  // The library cuts connections only when its last listener closes. Until then
  // it responds with 404 on the address of a closed one.
  this->ReadyServer->close(TimePoint::min());
  const size_t CutOff =
      this->CallerServer->close(StopRequestedAt + this->Settings.StopTimeout);
  auto Ended = std::make_shared<std::promise<void>>();
  std::future<void> EndFuture = Ended->get_future();
  this->onCore([Ended](FleetCore &Core) {
    Core.endLease([Ended] { Ended->set_value(); });
  });
  EndFuture.wait_for(EndLeaseTimeout);
  this->Peers->close();
  return CutOff;
}

FleetNode::FleetNode(settings::EntrySettings Settings,
                     NodeConnections Connections, Clock Time, Random Source,
                     TimerQueue &Loop, TimerQueue &Timers)
    : D(std::make_shared<Private>(std::move(Settings), std::move(Connections),
                                  std::move(Time), std::move(Source), Loop,
                                  Timers)) {}

FleetNode::~FleetNode() = default;

Result<void, NodeError> FleetNode::start() { return this->D->open(); }

size_t FleetNode::stop() { return this->D->close(); }

} // namespace whintack::dispatch
