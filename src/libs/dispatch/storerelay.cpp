#include "storerelay.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

using store::StoreCallKind;
using store::StoreError;
using store::StoreErrorCode;

/// How long the direct path is not used after a failure. A lease of 2 s is
/// still renewed often enough in the meantime, and one call per second finds
/// out whether the path works again.
static constexpr Duration DirectRetryDelay = std::chrono::seconds(1);
/// How long no peer is asked after the peers could not reach the store either.
static constexpr Duration PeersRetryDelay = std::chrono::seconds(1);
/// Time after which a repeatable call is also sent to a peer: a call usually
/// takes a tenth of a second while the store is slow, and a lease lasts 2 s.
static constexpr Duration HedgeDelay = std::chrono::milliseconds(500);
/// Maximum wait for a peer's answer, on top of the wait of the call itself.
static constexpr Duration PeerTimeout = std::chrono::milliseconds(1000);
static constexpr unsigned MaxPeersTried = 2;
/// Time after the wait of a watch at which its answer is overdue.
static constexpr Duration WatchHedgeDelay = std::chrono::milliseconds(300);
/// Wait of a watch that repeats an overdue one: it only looks for changes.
static constexpr Duration OverdueWatchWait = std::chrono::milliseconds(10);

/// Calls that take longer than they wait by this time are logged.
static constexpr Duration SlowCallTime = std::chrono::seconds(1);
/// Answers of this size are logged: they take a link of 10 Mbit/s for 0.2 s.
static constexpr size_t LargeAnswerBytes = 256000;
/// Maximum number of lines a second on commits that failed, or were answered
/// late.
static constexpr size_t MaxCommitLines = 30;
static constexpr size_t MaxLoggedKeyBytes = 120;

/// Whether a failed call of this kind indicates that the store is unreachable.
/// A waiting watch is also cut off when nothing is wrong.
static bool indicatesReachability(StoreCallKind Kind) {
  return Kind != StoreCallKind::Watch;
}

/// Whether the error means that the store could not be reached, as opposed to
/// an error that the store answered.
static bool isUnreachable(const StoreError &Error) {
  return Error.Code == StoreErrorCode::Unreachable ||
         Error.Code == StoreErrorCode::Ambiguous;
}

/// Whether a call that is not answered soon is also sent on another path.
static bool mayBeHedged(const store::StoreCall &Call) {
  const bool IsBulk =
      Call.Kind == StoreCallKind::Range && Call.Read == store::ReadKind::Bulk;
  return store::isRepeatable(Call) && !IsBulk;
}

/// Time after which a call that may be hedged is sent a second time.
static Duration hedgeDelay(const store::StoreCall &Call) {
  return Call.Kind == StoreCallKind::Watch ? Call.Length + WatchHedgeDelay
                                           : HedgeDelay;
}

/// Time after which a peer that has not answered is given up.
static Duration peerTimeout(const store::StoreCall &Call) {
  return Call.Kind == StoreCallKind::Watch ? Call.Length + WatchHedgeDelay
                                           : PeerTimeout;
}

/// What the call is about, for the log.
static std::string subjectOf(const store::StoreCall &Call) {
  if (Call.Kind != StoreCallKind::Commit)
    return Call.Prefix;
  if (!Call.Change.Puts.empty())
    return Call.Change.Puts.front().Key.substr(0, MaxLoggedKeyBytes);
  return Call.Change.Removals.empty()
             ? std::string()
             : Call.Change.Removals.front().substr(0, MaxLoggedKeyBytes);
}

static std::string_view
outcomeOf(const store::StoreResult<store::StoreReply> &Answer,
          StoreCallKind Kind) {
  if (!Answer)
    return nameOf(store::StoreErrorNames, Answer.error().Code);
  if (Kind != StoreCallKind::Commit)
    return "answered";
  return Answer.value().Committed.IsCommitted ? "committed" : "conflict";
}

StoreRelay::StoreRelay(Context Shared, uint64_t Incarnation,
                       StoreRelayHooks Hooks)
    : Shared(std::move(Shared)), Hooks(std::move(Hooks)), LastId(Incarnation),
      AttemptLines(MaxCommitLines), LateCommitLines(MaxCommitLines) {}

void StoreRelay::PendingCall::noteOutcome(const EntryName &To,
                                          const Reply &Answer) {
  for (Attempt &Each : this->Attempts)
    if (Each.Peer == To && Each.Outcome.empty()) {
      Each.Outcome = outcomeOf(Answer, this->Call.Kind);
      return;
    }
}

store::StorePath StoreRelay::PendingCall::path() const {
  if (this->Attempts.empty())
    return store::StorePath::Unknown;
  if (this->Attempts.size() > 1)
    return store::StorePath::Several;
  return this->Attempts.front().Peer.isEmpty() ? store::StorePath::Direct
                                               : store::StorePath::Peer;
}

store::AsyncStore StoreRelay::store() {
  return store::makeForwardingStore(
      [Weak = this->weak_from_this()](
          store::StoreCall Call, store::StoreCallback<store::StoreReply> Done) {
        if (const auto Self = Weak.lock())
          Self->call(std::move(Call), std::move(Done));
      });
}

bool StoreRelay::canAskPeers() const {
  return this->Shared.now() >= this->PeersBlockedUntil;
}

void StoreRelay::call(store::StoreCall Call,
                      store::StoreCallback<store::StoreReply> Done) {
  const peers::CallId Id = ++this->LastId;
  const bool IsRepeatable = store::isRepeatable(Call);
  const bool IsBulk = this->isBulk(Call);
  const bool MayBeHedged = mayBeHedged(Call) && !IsBulk;
  const TimePoint HedgeAt = this->Shared.now() + hedgeDelay(Call);
  PendingCall &Opened = this->OpenCalls[Id];
  Opened.Call = std::move(Call);
  Opened.Done = std::move(Done);
  Opened.IsBulk = IsBulk;
  Opened.Opened = this->Shared.now();
  // Only a repeatable call may probe whether the direct path works again.
  const bool IsBlocked = this->Shared.now() < this->DirectBlockedUntil ||
                         (this->IsDirectDown && !IsRepeatable);
  if (!IsBlocked || !this->callPeer(Id))
    this->callDirectly(Id);
  if (MayBeHedged)
    scheduleFor(this->Shared.Loop, this->shared_from_this(), HedgeAt,
                [Id](StoreRelay &Self) { Self.hedge(Id); });
}

/// Sends a call that has not been answered on a second path.
void StoreRelay::hedge(peers::CallId Id) {
  const auto Found = this->OpenCalls.find(Id);
  if (Found == this->OpenCalls.end())
    return;
  PendingCall &Current = Found->second;
  this->shortenOverdueWatch(Current.Call);
  if (!Current.Peer.isEmpty()) {
    if (!Current.IsDirectTried)
      this->callDirectly(Id);
    return;
  }
  // Without a peer, another connection to the store may answer.
  const bool IsWatch = Current.Call.Kind == StoreCallKind::Watch;
  if (!this->callPeer(Id) && IsWatch)
    this->callDirectly(Id);
}

void StoreRelay::shortenOverdueWatch(store::StoreCall &Call) const {
  if (Call.Kind != StoreCallKind::Watch || Call.Length <= OverdueWatchWait)
    return;
  logEvent(LogLevel::Warning, "watch-overdue",
           {{"prefix", Call.Prefix}, {"after", Call.AfterRevision}});
  Call.Length = OverdueWatchWait;
}

void StoreRelay::callDirectly(peers::CallId Id) {
  PendingCall &Current = this->OpenCalls.at(Id);
  ++Current.OpenDirectCalls;
  Current.IsDirectTried = true;
  Current.Attempts.push_back({EntryName(), ""});
  // The call may end before executeStoreCall returns, which would destroy
  // Current.
  const store::StoreCall Call = Current.Call;
  store::executeStoreCall(
      this->Shared.Store, Call,
      onLoop<StoreRelay, Reply>(
          this->Shared.Loop, this->shared_from_this(),
          [Id, Subject = CallSubject{Call.Kind, subjectOf(Call)}](
              StoreRelay &Self, Reply Answer) {
            Self.handleDirectReply(Id, Subject, std::move(Answer));
          }));
}

void StoreRelay::noteDirectFailure(const StoreError &Cause) {
  this->DirectBlockedUntil = this->Shared.now() + DirectRetryDelay;
  if (std::exchange(this->IsDirectDown, true))
    return;
  logEvent(LogLevel::Warning, "store-lost",
           {{"code", nameOf(store::StoreErrorNames, Cause.Code)},
            {"cause", Cause.Message},
            {"peers", this->Hooks.UsablePeers().size()}});
}

void StoreRelay::handleDirectReply(peers::CallId Id, const CallSubject &Subject,
                                   Reply Answer) {
  const bool IsReached = Answer || !isUnreachable(Answer.error());
  const auto Found = this->OpenCalls.find(Id);
  const bool IsIndicative = indicatesReachability(Subject.Kind);
  if (IsReached && IsIndicative && std::exchange(this->IsDirectDown, false)) {
    this->DirectBlockedUntil = TimePoint::min();
    logEvent(LogLevel::Info, "store-regained", {});
  }
  if (!IsReached && IsIndicative)
    this->noteDirectFailure(Answer.error());
  if (Found == this->OpenCalls.end()) {
    this->logLateCommit(Id, EntryName(), Subject.Prefix, Answer);
    if (const size_t Bytes = Answer ? store::contentBytes(Answer.value()) : 0;
        Bytes >= LargeAnswerBytes)
      logEvent(LogLevel::Warning, "store-answer-discarded",
               {{"call", nameOf(store::StoreCallNames, Subject.Kind)},
                {"prefix", Subject.Prefix},
                {"bytes", Bytes}});
    return;
  }
  PendingCall &Current = Found->second;
  --Current.OpenDirectCalls;
  Current.noteOutcome(EntryName(), Answer);
  if (IsReached) {
    this->finish(Id, std::move(Answer));
    return;
  }
  Current.noteFailure(Answer.error());
  // The answer on the path that was taken in the meantime decides.
  if (!Current.Peer.isEmpty() || Current.isDirectOpen())
    return;
  const bool CanRepeat = Current.Failure.Code == StoreErrorCode::Unreachable ||
                         (store::isRepeatable(Current.Call) && IsIndicative);
  if (!CanRepeat || !this->callPeer(Id))
    this->finish(Id, failure(StoreError(Current.Failure)));
}

bool StoreRelay::callPeer(peers::CallId Id) {
  PendingCall &Current = this->OpenCalls.at(Id);
  if (Current.IsBulk || !this->canAskPeers())
    return false;
  std::vector<EntryName> Peers = this->Hooks.UsablePeers();
  std::erase(Peers, Current.Peer);
  const auto Known = std::find(Peers.begin(), Peers.end(), this->PreferredPeer);
  if (Known != Peers.end())
    std::iter_swap(Peers.begin(), Known);
  else if (!Peers.empty())
    std::iter_swap(Peers.begin(),
                   Peers.begin() + static_cast<ptrdiff_t>(
                                       this->Shared.Source() % Peers.size()));
  for (const EntryName &Peer : Peers) {
    if (Current.PeersTried >= MaxPeersTried)
      return false;
    ++Current.PeersTried;
    if (!this->Hooks.Send(Peer, peers::StoreRequest{Id, Current.Call}))
      continue;
    Current.Peer = Peer;
    Current.Attempts.push_back({Peer, ""});
    scheduleFor(
        this->Shared.Loop, this->shared_from_this(),
        this->Shared.now() + peerTimeout(Current.Call),
        [Id, Peer](StoreRelay &Self) {
          const auto Found = Self.OpenCalls.find(Id);
          if (Found == Self.OpenCalls.end() || Found->second.Peer != Peer)
            return;
          Self.shortenOverdueWatch(Found->second.Call);
          Self.handlePeerReply(
              Id, failure(StoreError{StoreErrorCode::Ambiguous,
                                     Peer.text() + " did not answer in time"}));
        });
    return true;
  }
  return false;
}

void StoreRelay::handlePeerReply(peers::CallId Id, Reply Answer) {
  PendingCall &Current = this->OpenCalls.at(Id);
  Current.noteOutcome(Current.Peer, Answer);
  if (Answer || !isUnreachable(Answer.error())) {
    this->PreferredPeer = Current.Peer;
    if (Current.isDirectOpen() && indicatesReachability(Current.Call.Kind))
      this->noteDirectFailure({StoreErrorCode::Ambiguous, "no answer yet"});
    if (Answer) {
      Answer.value().Page.Via = Current.Peer;
      Answer.value().Watched.Via = Current.Peer;
    }
    this->finish(Id, std::move(Answer));
    return;
  }
  if (this->PreferredPeer == Current.Peer)
    this->PreferredPeer = EntryName();
  Current.noteFailure(Answer.error());
  const bool CanRepeat = Current.Failure.Code == StoreErrorCode::Unreachable ||
                         store::isRepeatable(Current.Call);
  if (CanRepeat && this->callPeer(Id))
    return;
  Current.Peer = EntryName();
  if (CanRepeat && !Current.isDirectOpen())
    this->PeersBlockedUntil = this->Shared.now() + PeersRetryDelay;
  if (CanRepeat && !Current.IsDirectTried) {
    this->callDirectly(Id);
    return;
  }
  // A direct call that is still open may succeed.
  if (!Current.isDirectOpen())
    this->finish(Id, failure(StoreError(Current.Failure)));
}

void StoreRelay::logSlowCall(const PendingCall &Ended,
                             const Reply &Answer) const {
  const Duration Took = this->Shared.now() - Ended.Opened;
  const bool IsWatch = Ended.Call.Kind == StoreCallKind::Watch;
  const Duration Wait = IsWatch ? Ended.Call.Length : Duration::zero();
  const size_t Bytes = Answer ? store::contentBytes(Answer.value()) : 0;
  if (Took < Wait + SlowCallTime && Bytes < LargeAnswerBytes)
    return;
  logEvent(LogLevel::Info, "store-call-slow",
           {{"call", nameOf(store::StoreCallNames, Ended.Call.Kind)},
            {"prefix", Ended.Call.Prefix},
            {"took-ms", toMilliseconds(Took)},
            {"bytes", Bytes},
            {"answered", Answer ? "yes" : "no"},
            {"peer", Ended.Peer},
            {"peers-tried", Ended.PeersTried}});
}

void StoreRelay::logAttempts(peers::CallId Id, const PendingCall &Ended,
                             const Reply &Answer) {
  if (Ended.Call.Kind != StoreCallKind::Commit ||
      (Answer && Ended.Attempts.size() <= 1))
    return;
  const TimePoint Now = this->Shared.now();
  const std::optional<size_t> NotLogged = this->AttemptLines.admit(Now);
  if (!NotLogged)
    return;
  std::string Attempts;
  for (const Attempt &Each : Ended.Attempts) {
    if (!Attempts.empty())
      Attempts += ",";
    Attempts += Each.Peer.isEmpty() ? "direct" : Each.Peer.text();
    Attempts += ":";
    Attempts += Each.Outcome.empty() ? "open" : Each.Outcome;
  }
  logEvent(LogLevel::Info, "commit-attempts",
           {{"number", Id},
            {"key", subjectOf(Ended.Call)},
            {"outcome", outcomeOf(Answer, Ended.Call.Kind)},
            {"attempts", Attempts},
            {"cause", Answer ? "" : Answer.error().Message},
            {"took-ms", toMilliseconds(Now - Ended.Opened)},
            {"not-logged", *NotLogged}});
}

void StoreRelay::logLateCommit(peers::CallId Id, const EntryName &Peer,
                               const std::string &Key, const Reply &Answer) {
  if (!Answer || !Answer.value().Committed.IsCommitted)
    return;
  const std::optional<size_t> NotLogged =
      this->LateCommitLines.admit(this->Shared.now());
  if (!NotLogged)
    return;
  logEvent(LogLevel::Info, "late-commit",
           {{"number", Id},
            {"key", Key},
            {"path", Peer.isEmpty() ? "direct" : Peer.text()},
            {"revision", Answer.value().Committed.Revision},
            {"not-logged", *NotLogged}});
}

void StoreRelay::finish(peers::CallId Id, Reply Answer) {
  const auto Found = this->OpenCalls.find(Id);
  this->logSlowCall(Found->second, Answer);
  // An attempt that was refused does not undo an earlier one.
  const bool IsUnknown = !Answer &&
                         Answer.error().Code == StoreErrorCode::Unreachable &&
                         Found->second.IsOutcomeUnknown;
  if (!Answer)
    Answer = failure(
        StoreError{IsUnknown ? StoreErrorCode::Ambiguous : Answer.error().Code,
                   Answer.error().Message, Found->second.path()});
  this->logAttempts(Id, Found->second, Answer);
  const auto Done = std::move(Found->second.Done);
  this->OpenCalls.erase(Found);
  Done(std::move(Answer));
}

void StoreRelay::handle(const EntryName &From,
                        const peers::StoreRequest &Request) {
  // The call goes directly to the store: if this VM cannot reach it either, the
  // peer learns that at once.
  store::executeStoreCall(
      this->Shared.Store, Request.Call,
      [Weak = this->weak_from_this(), From, Id = Request.Id](Reply Answer) {
        if (const auto Self = Weak.lock())
          Self->Hooks.Send(From, peers::StoreResponse{Id, std::move(Answer)});
      });
}

void StoreRelay::handle(const EntryName &From,
                        const peers::StoreResponse &Answer) {
  const auto Found = this->OpenCalls.find(Answer.Id);
  if (Found == this->OpenCalls.end() || Found->second.Peer != From) {
    this->logLateCommit(Answer.Id, From, "", Answer.Result);
    return;
  }
  this->handlePeerReply(Answer.Id, Answer.Result);
}

} // namespace whintack::dispatch::Internal
