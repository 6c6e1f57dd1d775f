#include "whintack/peers/peernetwork.h"

#include "frame.h"
#include "incominglink.h"
#include "outgoinglink.h"
#include "whintack/peers/messagecodec.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace whintack::peers {

namespace asio = boost::asio;
using boost::system::error_code;

static constexpr Duration MinHeartbeatInterval = std::chrono::milliseconds(500);
/// The heartbeat interval grows by this for each peer, which bounds the
/// heartbeat traffic of a large fleet.
static constexpr Duration HeartbeatIntervalPerPeer =
    std::chrono::milliseconds(25);
/// A peer is considered lost after this many missed heartbeats.
static constexpr int64_t MaxMissedHeartbeats = 4;

namespace Internal {

/// State of a peer as its messages report it.
struct PeerState {
  DataCentreName DataCentre;
  TimePoint AliveUntil = TimePoint::min();
  bool HearsThisProcess = false;
  bool WasUsable = false;
  uint64_t Incarnation = 0;
  uint64_t HeadRevision = 0;
  bool IsReady = false;
};

/// Traffic counters, updated by several threads.
struct TrafficCounters {
  std::atomic<uint64_t> MessagesSent{0};
  std::atomic<uint64_t> BytesSent{0};
  std::atomic<uint64_t> MessagesReceived{0};
  std::atomic<uint64_t> BytesReceived{0};
};

} // namespace Internal

class PeerNetwork::Private
    : public std::enable_shared_from_this<PeerNetwork::Private> {
public:
  Private(PeerNetworkSetup Setup, PeerHooks Hooks, Clock Time,
          HybridClock &MessageClock, EventJournal &Journal, Random Source);

  void open();
  void close();
  void accept();
  void startLinks();
  void sendHeartbeats();
  void sendHeartbeat(Internal::OutgoingLink &Link);
  void checkPeers();
  bool handlePayload(const std::shared_ptr<EntryName> &Sender,
                     const std::string &Payload);
  void handleHello(const EntryName &Sender, const Hello &Received);
  void handleHeartbeat(const EntryName &Sender, const Heartbeat &Received);
  std::shared_ptr<const std::string> encode(const Message &Outgoing);
  bool isAlive(const Internal::PeerState &State) const;
  Duration heartbeatInterval() const;

  PeerNetworkSetup Setup;
  PeerHooks Hooks;
  Clock Time;
  HybridClock &MessageClock;
  EventJournal &Journal;
  Random Source;
  std::shared_ptr<asio::ssl::context> Tls;
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor{Context};
  asio::steady_timer HeartbeatTimer{Context};
  using LinkMap = std::map<EntryName, std::shared_ptr<Internal::OutgoingLink>>;
  LinkMap links() const;
  std::shared_ptr<Internal::OutgoingLink> link(const EntryName &Peer) const;
  void openLink(const PeerEndpoint &Peer);
  void setPeers(const std::vector<PeerEndpoint> &Peers);

  std::string HelloFrame;
  mutable std::mutex LinksMutex;
  LinkMap Links;
  std::vector<std::weak_ptr<Internal::IncomingLink>> Incoming;
  mutable std::mutex Mutex;
  std::map<EntryName, Internal::PeerState> States;
  Internal::TrafficCounters Traffic;
  std::thread Thread;
};

PeerNetwork::Private::Private(PeerNetworkSetup Setup, PeerHooks Hooks,
                              Clock Time, HybridClock &MessageClock,
                              EventJournal &Journal, Random Source)
    : Setup(std::move(Setup)), Hooks(std::move(Hooks)), Time(std::move(Time)),
      MessageClock(MessageClock), Journal(Journal), Source(std::move(Source)) {
  for (const PeerEndpoint &Peer : this->Setup.Peers)
    this->States[Peer.Name].DataCentre = Peer.DataCentre;
}

Duration PeerNetwork::Private::heartbeatInterval() const {
  const auto Count = static_cast<int64_t>(this->Setup.Peers.size());
  return std::max(MinHeartbeatInterval, HeartbeatIntervalPerPeer * Count);
}

bool PeerNetwork::Private::isAlive(const Internal::PeerState &State) const {
  return this->Time.Now() < State.AliveUntil;
}

std::shared_ptr<const std::string>
PeerNetwork::Private::encode(const Message &Outgoing) {
  return std::make_shared<const std::string>(
      Internal::frame(encodeMessage({this->MessageClock.tick(), Outgoing})));
}

void PeerNetwork::Private::open() {
  this->Tls = Internal::makeTlsContext(this->Setup.Tls);
  const asio::ip::tcp::endpoint Endpoint(
      asio::ip::make_address(this->Setup.Listener.Ip),
      this->Setup.Listener.Port);
  this->Acceptor.open(Endpoint.protocol());
  this->Acceptor.set_option(asio::socket_base::reuse_address(true));
  this->Acceptor.bind(Endpoint);
  this->Acceptor.listen();
  this->accept();
  this->startLinks();
  this->sendHeartbeats();
  this->Thread = std::thread([this] { this->Context.run(); });
}

PeerNetwork::Private::LinkMap PeerNetwork::Private::links() const {
  const std::lock_guard<std::mutex> Lock(this->LinksMutex);
  return this->Links;
}

std::shared_ptr<Internal::OutgoingLink>
PeerNetwork::Private::link(const EntryName &Peer) const {
  const std::lock_guard<std::mutex> Lock(this->LinksMutex);
  const auto Found = this->Links.find(Peer);
  return Found == this->Links.end() ? nullptr : Found->second;
}

void PeerNetwork::Private::openLink(const PeerEndpoint &Peer) {
  auto Link = std::make_shared<Internal::OutgoingLink>(
      this->Context, Peer, this->Tls, this->HelloFrame, this->Source);
  {
    const std::lock_guard<std::mutex> Lock(this->LinksMutex);
    this->Links[Peer.Name] = Link;
  }
  Link->start();
  this->sendHeartbeat(*Link);
}

void PeerNetwork::Private::startLinks() {
  this->HelloFrame = *this->encode(this->Setup.Self);
  for (const PeerEndpoint &Peer : this->Setup.Peers)
    this->openLink(Peer);
}

/// Runs on the network's thread.
void PeerNetwork::Private::setPeers(const std::vector<PeerEndpoint> &Peers) {
  std::map<EntryName, PeerEndpoint> Wanted;
  for (const PeerEndpoint &Peer : Peers)
    Wanted.emplace(Peer.Name, Peer);
  for (const auto &[Name, Link] : this->links()) {
    const auto Kept = Wanted.find(Name);
    if (Kept != Wanted.end() && Kept->second.Link == Link->peer().Link) {
      Wanted.erase(Kept);
      continue;
    }
    Link->stop();
    const std::lock_guard<std::mutex> Lock(this->LinksMutex);
    this->Links.erase(Name);
  }
  this->Setup.Peers = Peers;
  for (const auto &[Name, Peer] : Wanted) {
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->States[Name].DataCentre = Peer.DataCentre;
    }
    this->openLink(Peer);
  }
}

void PeerNetwork::Private::close() {
  if (!this->Thread.joinable())
    return;
  asio::post(this->Context, [this] {
    error_code Ignored;
    this->Acceptor.close(Ignored);
    this->HeartbeatTimer.cancel();
    for (const auto &[Name, Link] : this->links())
      Link->stop();
    for (const auto &Weak : this->Incoming)
      if (const auto Link = Weak.lock())
        Link->close();
    this->Context.stop();
  });
  this->Thread.join();
}

void PeerNetwork::Private::accept() {
  this->Acceptor.async_accept(
      [this](const error_code &Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error) {
          auto Sender = std::make_shared<EntryName>();
          auto Link = std::make_shared<Internal::IncomingLink>(
              std::move(Socket), this->Tls,
              [this, Sender](const std::string &Payload) {
                return this->handlePayload(Sender, Payload);
              });
          std::erase_if(this->Incoming,
                        [](const auto &Weak) { return Weak.expired(); });
          this->Incoming.push_back(Link);
          Link->start();
        }
        this->accept();
      });
}

void PeerNetwork::Private::sendHeartbeat(Internal::OutgoingLink &Link) {
  Heartbeat Outgoing = this->Hooks.MakeHeartbeat();
  Outgoing.Interval = this->heartbeatInterval();
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Outgoing.HearsReceiver = this->isAlive(this->States[Link.peer().Name]);
  }
  const auto Frame = this->encode(Outgoing);
  ++this->Traffic.MessagesSent;
  this->Traffic.BytesSent += Frame->size();
  Link.send(Frame);
}

void PeerNetwork::Private::sendHeartbeats() {
  for (const auto &[Name, Link] : this->links())
    this->sendHeartbeat(*Link);
  this->checkPeers();
  this->HeartbeatTimer.expires_after(this->heartbeatInterval());
  this->HeartbeatTimer.async_wait([this](const error_code &Error) {
    if (!Error)
      this->sendHeartbeats();
  });
}

/// Records in the event journal which peers have become usable or unusable.
/// Reconnects the link to a peer that has become unusable.
void PeerNetwork::Private::checkPeers() {
  std::vector<Event> Changes;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (auto &[Name, State] : this->States) {
      const bool IsUsable = this->isAlive(State) && State.HearsThisProcess;
      if (IsUsable == State.WasUsable)
        continue;
      State.WasUsable = IsUsable;
      Event Change;
      Change.Kind = IsUsable ? EventKind::PeerFound : EventKind::PeerLost;
      Change.Text = "peer " + Name.text();
      Changes.push_back(std::move(Change));
      const auto Link = this->link(Name);
      if (!IsUsable && Link)
        Link->restart();
    }
  }
  for (Event &Change : Changes)
    this->Journal.record(std::move(Change));
  if (!Changes.empty())
    this->Hooks.OnPeersChanged();
}

void PeerNetwork::Private::handleHello(const EntryName &Sender,
                                       const Hello &Received) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Internal::PeerState &State = this->States[Sender];
  State.Incarnation = Received.Incarnation;
  // After its start the peer has not received a heartbeat of this process yet.
  State.HearsThisProcess = false;
}

void PeerNetwork::Private::handleHeartbeat(const EntryName &Sender,
                                           const Heartbeat &Received) {
  bool IsNewlyAlive = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Internal::PeerState &State = this->States[Sender];
    IsNewlyAlive = !this->isAlive(State);
    State.AliveUntil =
        this->Time.Now() + Received.Interval * MaxMissedHeartbeats;
    State.HearsThisProcess = Received.HearsReceiver;
    State.HeadRevision = Received.HeadRevision;
    State.IsReady = Received.IsReady;
  }
  const auto Link = this->link(Sender);
  if (IsNewlyAlive && Link)
    this->sendHeartbeat(*Link);
  this->checkPeers();
}

/// Handles a payload that arrived on a link whose peer is \p Sender, which is
/// empty until the peer's Hello has arrived. Returns false to close the link.
bool PeerNetwork::Private::handlePayload(
    const std::shared_ptr<EntryName> &Sender, const std::string &Payload) {
  std::optional<StampedMessage> Received = decodeMessage(Payload);
  if (!Received)
    return false;
  ++this->Traffic.MessagesReceived;
  this->Traffic.BytesReceived += Payload.size();
  this->MessageClock.observe(Received->Stamp);
  if (const auto *ReceivedHello = std::get_if<Hello>(&Received->Body)) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->States.contains(ReceivedHello->Name) &&
        !this->Setup.AcceptsUnlistedPeers)
      return false;
    *Sender = ReceivedHello->Name;
  }
  if (Sender->isEmpty())
    return false;
  if (const auto *ReceivedHello = std::get_if<Hello>(&Received->Body))
    this->handleHello(*Sender, *ReceivedHello);
  else if (const auto *ReceivedHeartbeat =
               std::get_if<Heartbeat>(&Received->Body))
    this->handleHeartbeat(*Sender, *ReceivedHeartbeat);
  this->Hooks.OnMessage(*Sender, std::move(Received->Body));
  return true;
}

PeerNetwork::PeerNetwork(PeerNetworkSetup Setup, PeerHooks Hooks, Clock Time,
                         HybridClock &MessageClock, EventJournal &Journal,
                         Random Source)
    : D(std::make_shared<Private>(std::move(Setup), std::move(Hooks),
                                  std::move(Time), MessageClock, Journal,
                                  std::move(Source))) {}

PeerNetwork::~PeerNetwork() { this->close(); }

Result<void, PeerError> PeerNetwork::open() {
  try {
    this->D->open();
  } catch (const std::exception &Error) {
    return failure(PeerError{"cannot listen for peers on " +
                             this->D->Setup.Listener.text() + ": " +
                             Error.what()});
  }
  return success();
}

void PeerNetwork::close() { this->D->close(); }

void PeerNetwork::setPeers(const std::vector<PeerEndpoint> &Peers) {
  asio::post(this->D->Context, [D = this->D, Peers] { D->setPeers(Peers); });
}

bool PeerNetwork::send(const EntryName &Peer, const Message &Outgoing) {
  const auto Link = this->D->link(Peer);
  if (!Link)
    return false;
  const auto Frame = this->D->encode(Outgoing);
  ++this->D->Traffic.MessagesSent;
  this->D->Traffic.BytesSent += Frame->size();
  asio::post(this->D->Context, [Link, Frame] { Link->send(Frame); });
  return true;
}

void PeerNetwork::broadcast(const Message &Outgoing) {
  for (const auto &[Name, Link] : this->D->links())
    this->send(Name, Outgoing);
}

std::vector<PeerStatus> PeerNetwork::peers() const {
  std::vector<PeerStatus> Statuses;
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  for (const auto &[Name, State] : this->D->States) {
    PeerStatus Status;
    Status.Name = Name;
    Status.DataCentre = State.DataCentre;
    Status.IsUsable = this->D->isAlive(State) && State.HearsThisProcess;
    Status.Incarnation = State.Incarnation;
    Status.HeadRevision = State.HeadRevision;
    Status.IsReady = State.IsReady;
    Statuses.push_back(std::move(Status));
  }
  return Statuses;
}

bool PeerNetwork::isUsable(const EntryName &Peer) const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  const auto Found = this->D->States.find(Peer);
  return Found != this->D->States.end() && this->D->isAlive(Found->second) &&
         Found->second.HearsThisProcess;
}

PeerTraffic PeerNetwork::traffic() const {
  const Internal::TrafficCounters &Counters = this->D->Traffic;
  return {Counters.MessagesSent, Counters.BytesSent, Counters.MessagesReceived,
          Counters.BytesReceived};
}

} // namespace whintack::peers
