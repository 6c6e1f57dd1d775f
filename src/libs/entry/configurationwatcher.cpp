#include "configurationwatcher.h"

#include "whintack/base/log.h"

namespace whintack::entry::Internal {

using configuration::AdoptOutcome;
using configuration::Configuration;
using configuration::Head;

/// The other processes of a data centre poll the platform too, but this many
/// times less often than the frequent poller.
static constexpr int64_t InfrequentPollFactor = 10;
static constexpr Duration WaitInterval = std::chrono::milliseconds(50);
static constexpr Duration ContentTimeout = std::chrono::seconds(2);
static constexpr size_t MaxProposals = 64;

ConfigurationWatcher::ConfigurationWatcher(
    configuration::ConfigurationManager &Configurations,
    configuration::ChangeClient &Changes, ConfigurationHooks Hooks,
    Duration PollInterval, Clock Time, EventJournal &Journal)
    : Configurations(Configurations), Changes(Changes), Hooks(std::move(Hooks)),
      PollInterval(PollInterval), Time(std::move(Time)), Journal(Journal) {}

PlatformContact ConfigurationWatcher::contact() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Contact;
}

void ConfigurationWatcher::recordContact(bool IsReachable) {
  bool HasChanged = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    HasChanged = this->Contact.IsReachable != IsReachable;
    this->Contact.IsReachable = IsReachable;
    if (IsReachable)
      this->Contact.LastHeard = this->Time.WallNow();
  }
  if (!HasChanged)
    return;
  Event Noted;
  Noted.Kind = IsReachable ? EventKind::PlatformFound : EventKind::PlatformLost;
  this->Journal.record(std::move(Noted));
}

void ConfigurationWatcher::pollNow() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->IsPollRequested = true;
  this->Changed.notify_all();
}

void ConfigurationWatcher::poll() {
  auto Read = this->Changes.readHead();
  this->recordContact(Read.has_value());
  if (Read && Read.value().Revision > 0)
    this->adopt({Read.value(), EntryName()});
}

void ConfigurationWatcher::adopt(const Proposal &Proposed) {
  if (Proposed.Head.Revision <= this->Configurations.revision())
    return;
  std::vector<configuration::ContentSource> Sources;
  if (!Proposed.Peer.isEmpty())
    Sources.push_back(this->peerSource(Proposed.Peer));
  Sources.push_back(this->Changes.contentSource());
  const AdoptOutcome Outcome =
      this->Configurations.adopt(Proposed.Head, Sources);
  if (Outcome == AdoptOutcome::Invalid) {
    logEvent(LogLevel::Error, "revision-invalid",
             {{"revision", Proposed.Head.Revision}});
    return;
  }
  if (Outcome != AdoptOutcome::Adopted)
    return;
  Event Noted;
  Noted.Kind = EventKind::RevisionInForce;
  Noted.Revision = Proposed.Head.Revision;
  Noted.Operator = Proposed.Head.ChangedBy;
  Noted.Text =
      "preset=" + Proposed.Head.Preset.text() + " " + Proposed.Head.Summary;
  this->Journal.record(std::move(Noted));
  this->Hooks.Broadcast(
      peers::HeadNotice{configuration::encodeHead(Proposed.Head)});
  this->Hooks.OnConfigurationChange(*this->Configurations.current());
}

void ConfigurationWatcher::run(const StopSignal &Stop) {
  TimePoint NextPoll = this->Time.Now();
  while (!Stop.isRequested()) {
    std::optional<Proposal> Next;
    bool IsDue = this->Time.Now() >= NextPoll;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      if (this->Proposals.empty() && !this->IsPollRequested && !IsDue)
        this->Changed.wait_for(Lock, WaitInterval);
      if (!this->Proposals.empty()) {
        Next = std::move(this->Proposals.front());
        this->Proposals.pop_front();
      }
      IsDue = IsDue || this->IsPollRequested;
      this->IsPollRequested = false;
    }
    if (Next)
      this->adopt(*Next);
    if (!IsDue)
      continue;
    this->poll();
    const bool IsFrequent =
        this->Hooks.IsFrequentPoller() || this->Configurations.revision() == 0;
    NextPoll = this->Time.Now() +
               this->PollInterval * (IsFrequent ? 1 : InfrequentPollFactor);
  }
}

configuration::ContentSource
ConfigurationWatcher::peerSource(const EntryName &Peer) {
  return [this, Peer](const std::vector<std::string> &Digests) {
    return this->fetchFromPeer(Peer, Digests);
  };
}

std::vector<std::string>
ConfigurationWatcher::fetchFromPeer(const EntryName &Peer,
                                    const std::vector<std::string> &Digests) {
  peers::ContentRequest Request;
  Request.Digests = Digests;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Request.Id = ++this->LastCall;
    this->Calls[Request.Id];
  }
  if (!this->Hooks.SendToPeer(Peer, Request)) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Calls.erase(Request.Id);
    return {};
  }
  std::unique_lock<std::mutex> Lock(this->Mutex);
  ContentCall &Call = this->Calls[Request.Id];
  this->Changed.wait_for(Lock, ContentTimeout,
                         [&Call] { return Call.IsAnswered; });
  std::vector<std::string> Contents = std::move(Call.Contents);
  this->Calls.erase(Request.Id);
  return Contents;
}

void ConfigurationWatcher::sendContent(const EntryName &Peer,
                                       const peers::ContentRequest &Request) {
  peers::ContentAnswer Answer;
  Answer.Id = Request.Id;
  for (const std::string &Digest : Request.Digests)
    Answer.Contents.push_back(
        this->Configurations.contents().find(Digest).value_or(""));
  this->Hooks.SendToPeer(Peer, Answer);
}

bool ConfigurationWatcher::handleMessage(const EntryName &Peer,
                                         const peers::Message &Received) {
  if (const auto *Notice = std::get_if<peers::HeadNotice>(&Received)) {
    const std::optional<Head> Proposed =
        configuration::decodeHead(Notice->Head);
    if (!Proposed || Proposed->Revision <= this->Configurations.revision())
      return true;
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Proposals.size() < MaxProposals)
      this->Proposals.push_back({*Proposed, Peer});
    this->Changed.notify_all();
    return true;
  }
  if (const auto *Beat = std::get_if<peers::Heartbeat>(&Received)) {
    // Sends the head to a peer with an older one, as after a network partition.
    const auto Present = this->Configurations.current();
    if (Present && Beat->HeadRevision < Present->Current.Revision)
      this->Hooks.SendToPeer(
          Peer, peers::HeadNotice{configuration::encodeHead(Present->Current)});
    return true;
  }
  if (const auto *Request = std::get_if<peers::ContentRequest>(&Received)) {
    this->sendContent(Peer, *Request);
    return true;
  }
  if (const auto *Answer = std::get_if<peers::ContentAnswer>(&Received)) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Call = this->Calls.find(Answer->Id);
    if (Call != this->Calls.end()) {
      Call->second.Contents = Answer->Contents;
      Call->second.IsAnswered = true;
      this->Changed.notify_all();
    }
    return true;
  }
  return false;
}

} // namespace whintack::entry::Internal
