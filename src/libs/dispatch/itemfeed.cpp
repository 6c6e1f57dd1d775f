#include "itemfeed.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

static constexpr Duration CheckInterval = std::chrono::milliseconds(100);
/// Added to the wait of a request to give its time-out.
static constexpr Duration AnswerTimeout = std::chrono::milliseconds(300);
/// Time-out of a content answer, which takes a link of 10 Mbit/s for 50 ms.
static constexpr Duration ContentTimeout = std::chrono::milliseconds(600);
/// A second source is asked when the items were last confirmed this long ago.
/// In a quiet fleet they are up to two waits of the reader's watch old.
static constexpr Duration MaxItemAge = std::chrono::milliseconds(1300);
/// A peer whose own items are older is not asked again for a while.
static constexpr Duration MaxSourceAge = std::chrono::milliseconds(1500);
static constexpr Duration SilentPeerDelay = std::chrono::seconds(1);
static constexpr Duration StalePeerDelay = std::chrono::milliseconds(500);
static constexpr Duration MinRequestInterval = std::chrono::milliseconds(20);
/// The first read is left this time before a peer is asked for the items too.
static constexpr Duration FirstReadTime = std::chrono::milliseconds(1500);
/// Contents have about 1 KB each.
static constexpr size_t MaxDigestsPerRequest = 64;
/// Further contents are left out of an answer that has reached this size.
static constexpr size_t MaxAnswerBytes = 128000;
static constexpr size_t MaxWaitingRequests = 1000;

ItemFeed::ItemFeed(Context Shared, uint64_t Incarnation,
                   std::shared_ptr<PrefixWatch> Items, ItemFeedHooks Hooks)
    : Shared(std::move(Shared)), Items(std::move(Items)),
      Hooks(std::move(Hooks)), LastId(Incarnation) {}

void ItemFeed::start() {
  this->PeersFrom = this->Shared.now() + FirstReadTime;
  this->checkPeriodically();
}

void ItemFeed::noteReport(bool IsChanged) {
  if (IsChanged) {
    this->ChangedAsOf = this->Items->asOf();
    this->IsContentsCurrent = false;
  }
  this->answerWaiting(TimePoint::max());
}

void ItemFeed::answer(const Waiting &Request) {
  const TimePoint Now = this->Shared.now();
  peers::ItemsAnswer Answer;
  Answer.Id = Request.Request.Id;
  Answer.AsOf = this->Items->asOf();
  Answer.Age = Now - this->Items->knownThrough();
  Answer.Held = Now - Request.Arrived;
  Answer.IsChanged = Request.Request.AsOf < this->ChangedAsOf;
  if (Answer.IsChanged) {
    this->updateContents();
    Answer.Items = this->Contents.summaries();
  }
  this->Hooks.Send(Request.Peer, Answer);
}

void ItemFeed::updateContents() {
  if (std::exchange(this->IsContentsCurrent, true))
    return;
  this->Contents.update(this->Items->items());
}

/// Answers the requests whose wait ends at \p Now or before.
void ItemFeed::answerWaiting(TimePoint Now) {
  for (const Waiting &Each : std::exchange(this->WaitingRequests, {}))
    if (Each.Deadline <= Now)
      this->answer(Each);
    else
      this->WaitingRequests.push_back(Each);
}

void ItemFeed::handle(const EntryName &From,
                      const peers::ItemsRequest &Request) {
  // A VM that knows nothing yet is soon given up by the peer.
  if (this->Items->knownThrough() == TimePoint::min())
    return;
  const TimePoint Now = this->Shared.now();
  const Waiting Arrived{From, Request, Now, Now + Request.Wait};
  const bool MustWait = Request.AsOf >= this->ChangedAsOf &&
                        Request.Wait > Duration::zero() &&
                        this->WaitingRequests.size() < MaxWaitingRequests;
  if (MustWait)
    this->WaitingRequests.push_back(Arrived);
  else
    this->answer(Arrived);
}

void ItemFeed::handle(const EntryName &From,
                      const peers::ContentRequest &Request) {
  this->updateContents();
  peers::ContentAnswer Answer;
  Answer.Id = Request.Id;
  size_t Bytes = 0;
  for (const std::string &Digest : Request.Digests) {
    Answer.Contents.push_back(this->Contents.cache().find(Digest).value_or(""));
    Bytes += Answer.Contents.back().size();
    if (Bytes >= MaxAnswerBytes)
      break;
  }
  this->Hooks.Send(From, Answer);
}

void ItemFeed::checkPeriodically() {
  const TimePoint Now = this->Shared.now();
  this->answerWaiting(Now);
  this->check();
  scheduleFor(this->Shared.Loop, this->shared_from_this(), Now + CheckInterval,
              [](ItemFeed &Self) { Self.checkPeriodically(); });
}

/// Whether the source in use has said nothing for too long, or what it says is
/// too old.
bool ItemFeed::isLate() const {
  const TimePoint Now = this->Shared.now();
  return Now > this->Items->lastAnswerAt() + this->Items->callWait() +
                   AnswerTimeout ||
         Now > this->Items->knownThrough() + MaxItemAge;
}

bool ItemFeed::needsPeers() const {
  const bool HasItems = this->Items->knownThrough() != TimePoint::min();
  if (!HasItems)
    return this->Shared.now() >= this->PeersFrom;
  return !this->Hooks.IsReader() || !this->Items->isCurrent() || this->isLate();
}

void ItemFeed::check() {
  if (this->Open && this->Shared.now() >= this->Open->Deadline)
    this->handleTimeout();
  const bool HasItems = this->Items->knownThrough() != TimePoint::min();
  // A transfer from a peer must not share the link with a second copy.
  const bool MustRead =
      this->Hooks.IsReader() || (!this->Current && this->isLate());
  this->Items->setPaused(HasItems && !MustRead);
  if (!this->Open && this->Shared.now() >= this->NextRequest &&
      this->needsPeers())
    this->askPeer();
}

void ItemFeed::avoid(const EntryName &Peer, Duration Length) {
  this->Avoided[Peer] = this->Shared.now() + Length;
}

bool ItemFeed::open(const EntryName &Peer, const peers::Message &Call,
                    Duration Wait) {
  const TimePoint Now = this->Shared.now();
  if (!this->Hooks.Send(Peer, Call))
    return false;
  this->Open = {this->LastId, Peer, Now, Now + Wait};
  scheduleFor(this->Shared.Loop, this->shared_from_this(), this->Open->Deadline,
              [](ItemFeed &Self) { Self.check(); });
  return true;
}

void ItemFeed::askPeer() {
  const TimePoint Now = this->Shared.now();
  std::erase_if(this->Avoided,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  const bool IsUrgent = this->isLate() || !this->Items->isCurrent();
  const Duration Wait = IsUrgent ? Duration::zero() : this->Items->callWait();
  for (const EntryName &Peer : this->Hooks.Sources()) {
    if (this->Avoided.contains(Peer))
      continue;
    const peers::ItemsRequest Request{++this->LastId, this->Items->asOf(),
                                      Wait};
    if (this->open(Peer, Request, Wait + AnswerTimeout))
      return;
  }
  this->NextRequest = Now + CheckInterval;
}

/// Ends the open call if the answer belongs to it.
bool ItemFeed::closeCall(const EntryName &From, peers::CallId Id) {
  if (!this->Open || this->Open->Id != Id || this->Open->Peer != From)
    return false;
  this->Open.reset();
  return true;
}

void ItemFeed::handleTimeout() {
  logEvent(LogLevel::Warning, "item-source-silent",
           {{"peer", this->Open->Peer},
            {"as-of", this->Items->asOf()},
            {"transfer", this->Current ? "yes" : "no"}});
  this->avoid(this->Open->Peer, SilentPeerDelay);
  this->Open.reset();
  // What has arrived of a transfer stays in the cache for the next one.
  this->Current.reset();
}

void ItemFeed::handle(const EntryName &From, const peers::ItemsAnswer &Answer) {
  const TimePoint Sent = this->Open ? this->Open->Sent : TimePoint::min();
  if (!this->closeCall(From, Answer.Id))
    return;
  const TimePoint Now = this->Shared.now();
  this->NextRequest = Sent + MinRequestInterval;
  // Counted from the request, because its way took an unknown time.
  const TimePoint KnownThrough =
      Sent + std::clamp(Answer.Held, Duration::zero(), Now - Sent) -
      std::max(Answer.Age, Duration::zero());
  if (Answer.Age > MaxSourceAge)
    this->avoid(From, StalePeerDelay);
  if (!Answer.IsChanged) {
    this->Items->confirm(Answer.AsOf, KnownThrough, From);
  } else if (Answer.AsOf > this->Items->asOf()) {
    this->NewestAsOf = std::max(this->NewestAsOf, Answer.AsOf);
    this->Current = {From, Answer, KnownThrough, {}, 0, Now};
    this->updateContents();
    this->fetch();
  }
  this->check();
}

/// Requests what is missing of the transfer, or adopts its items.
void ItemFeed::fetch() {
  ItemMap Assembled;
  std::vector<std::string> Missing;
  for (const peers::ItemSummary &Each : this->Current->Announced.Items) {
    const auto Known = this->Items->items().find(Each.Key);
    if (Known != this->Items->items().end() &&
        Known->second.Revision == Each.Revision) {
      Assembled.insert(*Known);
      continue;
    }
    configuration::AssembledText Found = configuration::assembleText(
        this->Contents.cache(), {Each.Depth, Each.Root});
    if (Found.IsMalformed) {
      this->abandonTransfer();
      return;
    }
    Missing.insert(Missing.end(), Found.Missing.begin(), Found.Missing.end());
    if (Found.Text)
      Assembled[Each.Key] = {Each.Key, std::move(*Found.Text), Each.Revision,
                             0};
  }
  if (Missing.empty()) {
    this->finishTransfer(std::move(Assembled));
    return;
  }
  if (Missing.size() > MaxDigestsPerRequest)
    Missing.resize(MaxDigestsPerRequest);
  this->Current->Requested = Missing;
  const EntryName Peer = this->Current->Peer;
  if (!this->open(Peer, peers::ContentRequest{++this->LastId, Missing},
                  ContentTimeout))
    this->abandonTransfer();
}

void ItemFeed::abandonTransfer() {
  this->avoid(this->Current->Peer, SilentPeerDelay);
  this->Current.reset();
}

void ItemFeed::handle(const EntryName &From,
                      const peers::ContentAnswer &Answer) {
  if (!this->closeCall(From, Answer.Id) || !this->Current)
    return;
  const std::vector<std::string> &Requested = this->Current->Requested;
  const size_t Count = std::min(Requested.size(), Answer.Contents.size());
  bool IsComplete = Count > 0;
  for (size_t Index = 0; Index < Count && IsComplete; ++Index) {
    this->Current->BytesFetched += Answer.Contents[Index].size();
    IsComplete =
        this->Contents.cache().add(Requested[Index], Answer.Contents[Index]);
  }
  // A peer that no longer has the contents has newer items.
  if (!IsComplete) {
    this->Current.reset();
    this->NextRequest = this->Shared.now() + MinRequestInterval;
  } else {
    this->fetch();
  }
  this->check();
}

void ItemFeed::finishTransfer(ItemMap Assembled) {
  const Transfer Ended = std::move(*this->Current);
  this->Current.reset();
  logEvent(LogLevel::Info, "items-fetched",
           {{"peer", Ended.Peer},
            {"as-of", Ended.Announced.AsOf},
            {"bytes", Ended.BytesFetched},
            {"took-ms", toMilliseconds(this->Shared.now() - Ended.Began)}});
  this->Contents.update(Assembled, Ended.Announced.Items);
  this->Items->adopt(std::move(Assembled), Ended.Announced.AsOf,
                     Ended.KnownThrough, Ended.Peer);
}

} // namespace whintack::dispatch::Internal
