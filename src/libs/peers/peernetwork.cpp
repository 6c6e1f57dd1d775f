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

static constexpr Duration ShortestHeartbeat = std::chrono::milliseconds(500);
/// Added to the heartbeat interval for each peer, so that the traffic of a
/// large fleet stays bounded.
static constexpr Duration HeartbeatPerPeer = std::chrono::milliseconds(25);
/// A peer is lost after missing this many heartbeats.
static constexpr int64_t MissedHeartbeats = 4;

namespace Internal {

/// What has been heard of a peer.
struct PeerState {
  DataCentreName DataCentre;
  TimePoint HeardUntil = TimePoint::min();
  bool HearsUs = false;
  bool WasUsable = false;
  uint64_t Incarnation = 0;
  uint64_t HeadRevision = 0;
  bool IsReady = false;
};

/// Counters of traffic, written by several threads.
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
          HybridClock &Stamps, EventJournal &Journal, Random Source);

  void open();
  void close();
  void accept();
  void startLinks();
  void beat();
  void sendHeartbeat(Internal::OutgoingLink &Link);
  void checkPeers();
  bool take(const std::shared_ptr<EntryName> &Sender,
            const std::string &Payload);
  void noteHello(const EntryName &Sender, const Hello &Received);
  void noteHeartbeat(const EntryName &Sender, const Heartbeat &Received);
  std::shared_ptr<const std::string> encode(const Message &Sent);
  bool isHeard(const Internal::PeerState &State) const;
  Duration heartbeatInterval() const;

  PeerNetworkSetup Setup;
  PeerHooks Hooks;
  Clock Time;
  HybridClock &Stamps;
  EventJournal &Journal;
  Random Source;
  std::shared_ptr<asio::ssl::context> Tls;
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor{Context};
  asio::steady_timer BeatTimer{Context};
  using LinkMap = std::map<EntryName, std::shared_ptr<Internal::OutgoingLink>>;
  LinkMap links() const;
  std::shared_ptr<Internal::OutgoingLink> link(const EntryName &Peer) const;
  void openLink(const PeerEndpoint &Peer);
  void setPeers(const std::vector<PeerEndpoint> &Peers);

  std::string Greeting;
  mutable std::mutex LinksMutex;
  LinkMap Links;
  std::vector<std::weak_ptr<Internal::IncomingLink>> Incoming;
  mutable std::mutex Mutex;
  std::map<EntryName, Internal::PeerState> States;
  Internal::TrafficCounters Traffic;
  std::thread Thread;
};

PeerNetwork::Private::Private(PeerNetworkSetup Setup, PeerHooks Hooks,
                              Clock Time, HybridClock &Stamps,
                              EventJournal &Journal, Random Source)
    : Setup(std::move(Setup)), Hooks(std::move(Hooks)), Time(std::move(Time)),
      Stamps(Stamps), Journal(Journal), Source(std::move(Source)) {
  for (const PeerEndpoint &Peer : this->Setup.Peers)
    this->States[Peer.Name].DataCentre = Peer.DataCentre;
}

Duration PeerNetwork::Private::heartbeatInterval() const {
  const auto Count = static_cast<int64_t>(this->Setup.Peers.size());
  return std::max(ShortestHeartbeat, HeartbeatPerPeer * Count);
}

bool PeerNetwork::Private::isHeard(const Internal::PeerState &State) const {
  return this->Time.Now() < State.HeardUntil;
}

std::shared_ptr<const std::string>
PeerNetwork::Private::encode(const Message &Sent) {
  return std::make_shared<const std::string>(
      Internal::frame(encodeMessage({this->Stamps.tick(), Sent})));
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
  this->beat();
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
      this->Context, Peer, this->Tls, this->Greeting, this->Source);
  {
    const std::lock_guard<std::mutex> Lock(this->LinksMutex);
    this->Links[Peer.Name] = Link;
  }
  Link->start();
  this->sendHeartbeat(*Link);
}

void PeerNetwork::Private::startLinks() {
  this->Greeting = *this->encode(this->Setup.Self);
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
    this->BeatTimer.cancel();
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
                return this->take(Sender, Payload);
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
  Heartbeat Beat = this->Hooks.MakeHeartbeat();
  Beat.Interval = this->heartbeatInterval();
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Beat.HearsYou = this->isHeard(this->States[Link.peer().Name]);
  }
  const auto Framed = this->encode(Beat);
  ++this->Traffic.MessagesSent;
  this->Traffic.BytesSent += Framed->size();
  Link.send(Framed);
}

void PeerNetwork::Private::beat() {
  for (const auto &[Name, Link] : this->links())
    this->sendHeartbeat(*Link);
  this->checkPeers();
  this->BeatTimer.expires_after(this->heartbeatInterval());
  this->BeatTimer.async_wait([this](const error_code &Error) {
    if (!Error)
      this->beat();
  });
}

/// Notes which peers came and went; a peer that went quiet gets a fresh link.
void PeerNetwork::Private::checkPeers() {
  std::vector<Event> Changes;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (auto &[Name, State] : this->States) {
      const bool IsUsable = this->isHeard(State) && State.HearsUs;
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

void PeerNetwork::Private::noteHello(const EntryName &Sender,
                                     const Hello &Received) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Internal::PeerState &State = this->States[Sender];
  State.Incarnation = Received.Incarnation;
  // A fresh start has not heard us yet.
  State.HearsUs = false;
}

void PeerNetwork::Private::noteHeartbeat(const EntryName &Sender,
                                         const Heartbeat &Received) {
  bool IsNewlyHeard = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Internal::PeerState &State = this->States[Sender];
    IsNewlyHeard = !this->isHeard(State);
    State.HeardUntil = this->Time.Now() + Received.Interval * MissedHeartbeats;
    State.HearsUs = Received.HearsYou;
    State.HeadRevision = Received.HeadRevision;
    State.IsReady = Received.IsReady;
  }
  const auto Link = this->link(Sender);
  if (IsNewlyHeard && Link)
    this->sendHeartbeat(*Link);
  this->checkPeers();
}

bool PeerNetwork::Private::take(const std::shared_ptr<EntryName> &Sender,
                                const std::string &Payload) {
  std::optional<StampedMessage> Received = decodeMessage(Payload);
  if (!Received)
    return false;
  ++this->Traffic.MessagesReceived;
  this->Traffic.BytesReceived += Payload.size();
  this->Stamps.observe(Received->Stamp);
  if (const auto *Greeting = std::get_if<Hello>(&Received->Body)) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->States.contains(Greeting->Name) && !this->Setup.AcceptsNewcomers)
      return false;
    *Sender = Greeting->Name;
  }
  if (Sender->isEmpty())
    return false;
  if (const auto *Greeting = std::get_if<Hello>(&Received->Body))
    this->noteHello(*Sender, *Greeting);
  else if (const auto *Beat = std::get_if<Heartbeat>(&Received->Body))
    this->noteHeartbeat(*Sender, *Beat);
  this->Hooks.OnMessage(*Sender, std::move(Received->Body));
  return true;
}

PeerNetwork::PeerNetwork(PeerNetworkSetup Setup, PeerHooks Hooks, Clock Time,
                         HybridClock &Stamps, EventJournal &Journal,
                         Random Source)
    : D(std::make_shared<Private>(std::move(Setup), std::move(Hooks),
                                  std::move(Time), Stamps, Journal,
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

bool PeerNetwork::send(const EntryName &Peer, const Message &Sent) {
  const auto Link = this->D->link(Peer);
  if (!Link)
    return false;
  const auto Framed = this->D->encode(Sent);
  ++this->D->Traffic.MessagesSent;
  this->D->Traffic.BytesSent += Framed->size();
  asio::post(this->D->Context, [Link, Framed] { Link->send(Framed); });
  return this->isUsable(Peer);
}

void PeerNetwork::broadcast(const Message &Sent) {
  for (const auto &[Name, Link] : this->D->links())
    this->send(Name, Sent);
}

std::vector<PeerStatus> PeerNetwork::peers() const {
  std::vector<PeerStatus> Statuses;
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  for (const auto &[Name, State] : this->D->States) {
    PeerStatus Status;
    Status.Name = Name;
    Status.DataCentre = State.DataCentre;
    Status.IsUsable = this->D->isHeard(State) && State.HearsUs;
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
  return Found != this->D->States.end() && this->D->isHeard(Found->second) &&
         Found->second.HearsUs;
}

PeerTraffic PeerNetwork::traffic() const {
  const Internal::TrafficCounters &Counters = this->D->Traffic;
  return {Counters.MessagesSent, Counters.BytesSent, Counters.MessagesReceived,
          Counters.BytesReceived};
}

} // namespace whintack::peers
