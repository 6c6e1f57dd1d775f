#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

namespace whintack::tests {

using dispatch::Internal::Context;
using dispatch::Internal::CoreIdentity;
using dispatch::Internal::FleetCore;
using dispatch::Internal::PeerTransport;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time-out of a commit, as in the client of the real platform.
static constexpr Duration CommitTimeout = milliseconds(1500);
/// When a commit is carried out that is late.
static constexpr Duration LateCommitDelay = seconds(3);

/// Number of bytes of an answer of the store that a peer passes on.
static size_t wireSize(const peers::StoreResponse &Response) {
  if (!Response.Result)
    return 0;
  const store::StoreReply &Reply = Response.Result.value();
  return simulation::wireSize(Reply.Page) +
         simulation::wireSize(Reply.Watched) +
         simulation::wireSize(Reply.Committed);
}

static size_t wireSize(const peers::ItemsAnswer &Answer) {
  constexpr size_t RowBytes = 100;
  return Answer.Items.size() * RowBytes;
}

static size_t wireSize(const peers::ContentAnswer &Answer) {
  constexpr size_t RowBytes = 12;
  size_t Bytes = 0;
  for (const std::string &Content : Answer.Contents)
    Bytes += RowBytes + Content.size();
  return Bytes;
}

/// Number of bytes of a message between two VMs; 0 if it is small.
static size_t wireSize(const peers::Message &Sent) {
  if (const auto *Response = std::get_if<peers::StoreResponse>(&Sent))
    return wireSize(*Response);
  if (const auto *Items = std::get_if<peers::ItemsAnswer>(&Sent))
    return wireSize(*Items);
  if (const auto *Contents = std::get_if<peers::ContentAnswer>(&Sent))
    return wireSize(*Contents);
  return 0;
}

SimulatedFleet::SimulatedFleet(uint64_t Seed)
    : Source(seededRandom(Seed)),
      Platform(this->Loop.Time.clock(), this->Loop.Queue, this->Source) {
  this->setMaxLease(seconds(6));
}

void SimulatedFleet::setMaxLease(Duration Length) {
  this->MaxLease = Length;
  this->Platform.setMaxLease(Length);
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::startAll() {
  simulation::addExampleFleet(this->Platform);
  this->startNode("e1", "d1");
  this->startNode("e2", "d2");
  this->startNode("e3", "d1");
  this->runFor(seconds(5));
}

Clock SimulatedFleet::clock() const {
  Clock Time = this->Loop.Time.clock();
  Time.WallNow = [Direct = Time.WallNow, Offset = this->WallOffset] {
    return Direct() + *Offset;
  };
  return Time;
}

void SimulatedFleet::startNode(const std::string &Name,
                               const std::string &DataCentre,
                               double ProcessorShare) {
  Node &Started = this->Nodes[Name];
  Started.DataCentre = DataCentre;
  Started.ProcessorShare = ProcessorShare;
  Started.Incarnation = this->Source();
  const EntryName Vm(Name);
  dispatch::NodeConnections Connections;
  Connections.Store = this->storeOf(Name);
  if (this->WrapStore)
    Connections.Store = this->WrapStore(std::move(Connections.Store));
  Connections.Executors = this->Platform.executors(Vm);
  if (this->WrapExecutors)
    Connections.Executors =
        this->WrapExecutors(std::move(Connections.Executors));
  Connections.Machines = this->Platform.machines(Vm);
  if (this->WrapMachines)
    Connections.Machines = this->WrapMachines(std::move(Connections.Machines));
  Connections.Advice = this->Advice;
  Connections.Codec = this->Platform.codec();
  if (this->WrapCodec)
    Connections.Codec = this->WrapCodec(std::move(Connections.Codec));
  Context Shared{this->clock(), this->Source, this->Loop.Queue,
                 Connections.Store};
  CoreIdentity Self{Vm,
                    DataCentreName(DataCentre),
                    Address{"127.0.0.1", 9000},
                    Started.Incarnation,
                    ProcessorShare,
                    this->MaxLease};
  Self.RefusesStaleKeys = this->KeyRevocationTime.has_value();
  Self.KeyRevocationTime =
      this->KeyRevocationTime.value_or(Self.KeyRevocationTime);
  Self.StoreOutageGrace = this->StoreOutageGrace;
  Self.MachineOrderGrace = this->MachineOrderGrace;
  constexpr double BytesPerMegabit = 1e6 / 8;
  Self.Bandwidth = this->LinkRates[Name] / BytesPerMegabit;
  Started.Core = std::make_shared<FleetCore>(Self, Connections, Shared,
                                             this->transportOf(Name));
  this->Loop.Queue.post([Core = std::weak_ptr(Started.Core)] {
    if (const auto Alive = Core.lock())
      Alive->begin();
  });
}

void SimulatedFleet::setLinkRate(const std::string &Name,
                                 double BytesPerSecond) {
  this->LinkRates[Name] = BytesPerSecond;
  this->Platform.store().setLinkRate(EntryName(Name), BytesPerSecond);
}

store::AsyncStore SimulatedFleet::storeOf(const std::string &Name) {
  store::AsyncStore Store = this->Platform.store().interface(EntryName(Name));
  Store.Commit = [this, Name, Direct = Store.Commit](
                     const store::StoreTransaction &Change,
                     const store::StoreCallback<store::CommitAnswer> &Done) {
    const std::function<CommitFault()> &Decide = this->CommitFaults[Name];
    const CommitFault Fault = Decide ? Decide() : CommitFault::None;
    if (Fault == CommitFault::None) {
      Direct(Change, Done);
      return;
    }
    const TimePoint Now = this->Loop.Time.now();
    const Duration Delay = Fault == CommitFault::CarriedOutLate
                               ? LateCommitDelay
                               : Duration::zero();
    this->Loop.Queue.schedule(Now + Delay, [Direct, Change] {
      Direct(Change, [](const store::StoreResult<store::CommitAnswer> &) {});
    });
    this->Loop.Queue.schedule(Now + CommitTimeout, [Done] {
      Done(failure(
          store::StoreError{store::StoreErrorCode::Ambiguous, "no answer"}));
    });
  };
  return Store;
}

void SimulatedFleet::killNode(const std::string &Name) {
  this->Nodes.at(Name).Core.reset();
  this->Nodes.at(Name).Known.clear();
  this->Platform.noteHolderEnded(EntryName(Name));
}

void SimulatedFleet::restartNode(const std::string &Name) {
  const Node &Known = this->Nodes.at(Name);
  if (!Known.Core)
    this->startNode(Name, std::string(Known.DataCentre), Known.ProcessorShare);
}

void SimulatedFleet::stopNode(const std::string &Name) {
  const std::shared_ptr<FleetCore> Core = this->Nodes.at(Name).Core;
  Core->announceStop();
  this->Loop.Queue.post([Core] { Core->handOver([] {}); });
  this->runFor(milliseconds(1200));
  this->Loop.Queue.post([Core] { Core->endLease([] {}); });
  this->runFor(milliseconds(300));
  this->killNode(Name);
}

void SimulatedFleet::setCut(const std::string &Name, bool IsCut) {
  if (IsCut)
    this->CutOff.insert(Name);
  else
    this->CutOff.erase(Name);
  const EntryName Vm(Name);
  this->Platform.store().setFaultMode(
      Vm, IsCut ? simulation::StoreFaultMode::Silent
                : simulation::StoreFaultMode::Served);
  const std::string &Own = this->Nodes.at(Name).DataCentre;
  for (const char *DataCentre : {"d1", "d2"})
    if (Own != DataCentre)
      this->Platform.setCut(Vm, DataCentreName(DataCentre), IsCut);
}

void SimulatedFleet::breakWatches(const std::string &Name) {
  this->CutOff.insert(Name);
  this->Platform.store().setFaultMode(
      EntryName(Name), simulation::StoreFaultMode::WatchesSilent);
}

std::vector<std::string> SimulatedFleet::nodeNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : this->Nodes)
    Names.push_back(Name);
  return Names;
}

double SimulatedFleet::processorShareOf(const std::string &Name) const {
  return this->Nodes.at(Name).ProcessorShare;
}

std::string SimulatedFleet::plannerOf(const std::string &Service) const {
  const auto Text = this->Platform.store().value("whintack/claim/" + Service);
  if (!Text)
    return {};
  store::StoreItem Item;
  Item.Value = *Text;
  const auto Claim = dispatch::Internal::decodeClaim(Item);
  return Claim ? Claim->Holder.text() : std::string();
}

bool SimulatedFleet::areLinked(const std::string &First,
                               const std::string &Second) const {
  const auto IsUp = [this](const std::string &Name) {
    const auto Found = this->Nodes.find(Name);
    return Found != this->Nodes.end() && Found->second.Core &&
           !this->CutOff.contains(Name);
  };
  return IsUp(First) && IsUp(Second);
}

PeerTransport SimulatedFleet::transportOf(const std::string &Name) {
  PeerTransport Transport;
  Transport.Send = [this, Name](const EntryName &To,
                                const peers::Message &Sent) {
    if (!this->areLinked(Name, To.text()))
      return false;
    if (this->OnMessage)
      this->OnMessage(Sent);
    const auto Deliver = [this, Name, To, Sent] {
      if (this->areLinked(Name, To.text()))
        this->Nodes.at(To.text()).Core->handleMessage(EntryName(Name), Sent);
    };
    this->Loop.Queue.schedule(
        this->Loop.Time.now() + milliseconds(1) + this->SendDelays[Name],
        [this, To, Sent, Deliver] {
          const size_t Bytes = wireSize(Sent);
          simulation::SharedLink *Link = this->Platform.store().linkOf(To);
          if (Link && Bytes > 0)
            Link->start(Bytes, Deliver);
          else
            Deliver();
        });
    return true;
  };
  Transport.SetPeers = [this,
                        Name](const std::vector<peers::PeerEndpoint> &Others) {
    this->Nodes.at(Name).Known = Others;
  };
  Transport.Peers = [this, Name] {
    std::vector<peers::PeerStatus> Peers;
    for (const peers::PeerEndpoint &Other : this->Nodes.at(Name).Known) {
      peers::PeerStatus Status;
      Status.Name = Other.Name;
      Status.IsUsable = this->areLinked(Name, Other.Name.text());
      Status.Incarnation = this->Nodes.at(Other.Name.text()).Incarnation;
      Peers.push_back(std::move(Status));
    }
    return Peers;
  };
  return Transport;
}

std::shared_ptr<ClientAnswer> SimulatedFleet::send(const std::string &Node,
                                                   const std::string &Method,
                                                   const std::string &Path,
                                                   const std::string &Body) {
  auto Answer = std::make_shared<ClientAnswer>();
  http::HttpRequest Request;
  Request.Method = Method;
  Request.Target = Path;
  Request.Headers.set("Host", simulation::ExampleHost);
  if (!this->Key.empty())
    Request.Headers.set("Key", this->Key);
  Request.Body = Body;
  if (const auto Core = this->Nodes.at(Node).Core)
    this->Loop.Queue.post([Weak = std::weak_ptr(Core), Request, Answer] {
      if (const auto Alive = Weak.lock())
        Alive->handleRequest(
            Request, [Answer](const http::HttpResponse &Response) {
              Answer->Status = Response.Status;
              Answer->Body = Response.Body;
              Answer->RetryAfter =
                  Response.Headers.find("Retry-After").value_or("");
            });
    });
  return Answer;
}

std::string SimulatedFleet::submit(const std::string &Queue,
                                   const std::string &Template) {
  constexpr uint64_t FirstId = 0x1000000000000000;
  std::ostringstream Path;
  Path << "/" << Queue << "/" << std::hex << FirstId + ++this->LastJob;
  const std::string Id = Path.str().substr(Queue.size() + 2);
  auto Spec = this->Platform.codec().DecodeJob(jobs::JobId(Id), Template);
  this->Platform.runChecker().noteSubmitted(Spec.value(),
                                            simulation::ExampleMaxAttempts);
  this->tryToSubmit(Path.str(), Template, this->Source());
  return Path.str();
}

void SimulatedFleet::tryToSubmit(const std::string &Path,
                                 const std::string &Template, size_t Attempt) {
  constexpr unsigned MaxAttempts = 8;
  if (++this->Attempts[Path] > MaxAttempts)
    return;
  const std::vector<std::string> Names = this->nodeNames();
  const auto Answer =
      this->send(Names[Attempt % Names.size()], "POST", Path, Template);
  this->Loop.Queue.schedule(this->Loop.Time.now() + milliseconds(3000),
                            [=, this] {
                              constexpr int Ok = 200;
                              if (Answer->Status == Ok)
                                this->Accepted.insert(Path);
                              else
                                this->tryToSubmit(Path, Template, Attempt + 1);
                            });
}

std::string SimulatedFleet::stateOf(const std::string &Path) {
  for (int Try = 0; Try < 3; ++Try)
    for (const std::string &Name : this->nodeNames()) {
      const auto Answer = this->send(Name, "GET", Path);
      this->runFor(milliseconds(1500));
      constexpr int Ok = 200;
      constexpr int Gone = 410;
      if (Answer->Status == Ok)
        return Answer->Body;
      if (Answer->Status == Gone)
        return std::to_string(Answer->Status);
    }
  return "no answer";
}

void SimulatedFleet::cancel(const std::string &Path) {
  const std::vector<std::string> Names = this->nodeNames();
  const auto Answer =
      this->send(Names[this->Source() % Names.size()], "DELETE", Path);
  this->runFor(seconds(2));
  constexpr int Ok = 200;
  if (Answer->Status != Ok)
    return;
  this->Cancelled.insert(Path);
  this->Platform.runChecker().noteCancelled(
      jobs::JobId(Path.substr(Path.rfind('/') + 1)), this->Loop.Time.now());
}

} // namespace whintack::tests
