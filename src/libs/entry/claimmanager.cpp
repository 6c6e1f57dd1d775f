#include "claimmanager.h"

#include "whintack/base/log.h"

#include <algorithm>

namespace whintack::entry::Internal {

using routing::Claim;
using routing::ClaimState;
using routing::ClaimVerdict;

/// How long the outcome of a request with an idempotency key is stored.
static constexpr Duration ClaimRetention = std::chrono::minutes(10);
static constexpr size_t MaxClaimBytes = 32U << 20U;
static constexpr Duration OwnerAnswerTimeout = std::chrono::milliseconds(300);
/// Synchronization ends after this time even if some peers have not sent their
/// claims; these peers count as lost.
static constexpr Duration SynchronizeTimeout = std::chrono::seconds(5);
static constexpr size_t MaxClaimsPerPart = 500;
/// A longer gap between calls of synchronize() counts as a pause of the
/// process. This is five missed calls, and shorter than the time after which
/// peers count a process as lost.
static constexpr Duration MaxSynchronizeGap = std::chrono::seconds(1);

ClaimManager::ClaimManager(EntryName Self, uint64_t Incarnation,
                           std::vector<EntryName> Members, ClaimHooks Hooks,
                           Clock Time, TimerQueue &Timers)
    : Self(std::move(Self)), Members(std::move(Members)),
      Hooks(std::move(Hooks)), Time(std::move(Time)), Timers(Timers),
      LastSynchronize(this->Time.Now()), Table(ClaimRetention, MaxClaimBytes),
      LastCall(Incarnation) {
  this->restartSynchronization();
}

void ClaimManager::restartSynchronization() {
  this->SynchronizeDeadline = this->Time.Now() + SynchronizeTimeout;
  for (const EntryName &Member : this->Members)
    if (Member != this->Self)
      this->UnsynchronizedPeers.insert(Member);
  this->Table.setSynchronized(this->UnsynchronizedPeers.empty());
}

void ClaimManager::detectPause(TimePoint Now) {
  if (Now - this->LastSynchronize <= MaxSynchronizeGap)
    return;
  logEvent(LogLevel::Warning, "claims-outdated",
           {{"paused-ms", toMilliseconds(Now - this->LastSynchronize)},
            {"claims", this->Table.size()}});
  this->LastSynchronize = Now;
  this->restartSynchronization();
}

void ClaimManager::claim(const std::string &Key, const RequestId &Request,
                         const std::string &Digest, ClaimDone Done) {
  PendingClaim NewCall;
  NewCall.Key = Key;
  NewCall.Request = Request;
  NewCall.Digest = Digest;
  NewCall.Done = std::move(Done);
  Claim Wanted;
  Wanted.State = ClaimState::Running;
  Wanted.Holder = this->Self;
  Wanted.Request = Request;
  Wanted.Digest = Digest;
  std::vector<EntryName> Remote;
  for (const EntryName &Owner : routing::keyOwners(Key, this->Members)) {
    routing::OwnerAnswer Answer;
    Answer.Owner = Owner;
    if (Owner == this->Self) {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->detectPause(this->Time.Now());
      Answer.Before = this->Table.claim(Key, Wanted, this->Time.Now());
      Answer.HasAnswered = true;
    } else if (this->Hooks.IsUsable(Owner)) {
      Remote.push_back(Owner);
    }
    NewCall.Answers.push_back(std::move(Answer));
  }
  NewCall.MissingAnswers = Remote.size();
  if (Remote.empty()) {
    this->finish(NewCall);
    return;
  }
  peers::ClaimRequest Message;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Message.Id = ++this->LastCall;
    this->Calls.emplace(Message.Id, std::move(NewCall));
  }
  Message.Key = Key;
  Message.Wanted = Wanted;
  const std::weak_ptr<ClaimManager> Weak = this->weak_from_this();
  this->Timers.schedule(this->Time.Now() + OwnerAnswerTimeout,
                        [Weak, Id = Message.Id] {
                          if (const auto Manager = Weak.lock())
                            Manager->expireCall(Id);
                        });
  for (const EntryName &Owner : Remote)
    this->Hooks.SendToPeer(Owner, Message);
}

void ClaimManager::expireCall(peers::CallId Id) {
  PendingClaim Ended;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    Ended = std::move(Found->second);
    this->Calls.erase(Found);
  }
  this->finish(Ended);
}

void ClaimManager::handleAnswer(const EntryName &Peer,
                                const peers::ClaimAnswer &Answer) {
  PendingClaim Ended;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Calls.find(Answer.Id);
    if (Found == this->Calls.end())
      return;
    for (routing::OwnerAnswer &Expected : Found->second.Answers) {
      if (Expected.Owner != Peer || Expected.HasAnswered)
        continue;
      Expected.HasAnswered = true;
      Expected.Before = Answer.Before;
      --Found->second.MissingAnswers;
    }
    if (Found->second.MissingAnswers > 0)
      return;
    Ended = std::move(Found->second);
    this->Calls.erase(Found);
  }
  this->finish(Ended);
}

ClaimVerdict ClaimManager::decideVerdict(const PendingClaim &Ended) const {
  const ClaimVerdict Verdict =
      routing::resolveClaim(Ended.Answers, Ended.Digest);
  if (Verdict != ClaimVerdict::InUse)
    return Verdict;
  // A holder that is no longer usable will not report how its request ended.
  for (const routing::OwnerAnswer &Answer : Ended.Answers) {
    const EntryName &Holder = Answer.Before.Holder;
    const bool IsRunning = Answer.Before.State == ClaimState::Running;
    if (IsRunning && Holder != this->Self && !this->Hooks.IsUsable(Holder))
      return ClaimVerdict::Unknown;
  }
  return Verdict;
}

void ClaimManager::finish(const PendingClaim &Ended) {
  ClaimReply Reply;
  Reply.Verdict = this->decideVerdict(Ended);
  for (const routing::OwnerAnswer &Answer : Ended.Answers)
    if (Answer.Before.State == ClaimState::Done)
      Reply.Answer = Answer.Before.Answer;
  if (Reply.Verdict != ClaimVerdict::Send)
    this->forget(Ended.Key, Ended.Request);
  Ended.Done(std::move(Reply));
}

void ClaimManager::settle(const std::string &Key, const Claim &Ended) {
  for (const EntryName &Owner : routing::keyOwners(Key, this->Members)) {
    if (Owner != this->Self) {
      this->Hooks.SendToPeer(Owner, peers::ClaimSettle{Key, Ended});
      continue;
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.settle(Key, Ended, this->Time.Now());
  }
}

void ClaimManager::forget(const std::string &Key, const RequestId &Request) {
  for (const EntryName &Owner : routing::keyOwners(Key, this->Members)) {
    if (Owner != this->Self) {
      this->Hooks.SendToPeer(Owner, peers::ClaimForget{Key, Request});
      continue;
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.forget(Key, Request);
  }
}

void ClaimManager::sendTable(const EntryName &Peer) {
  std::vector<routing::KeyedClaim> Owned;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (routing::KeyedClaim &Keyed : this->Table.all()) {
      const auto Owners = routing::keyOwners(Keyed.Key, this->Members);
      if (std::find(Owners.begin(), Owners.end(), Peer) != Owners.end())
        Owned.push_back(std::move(Keyed));
    }
  }
  peers::ClaimTablePart Part;
  for (routing::KeyedClaim &Keyed : Owned) {
    Part.Claims.push_back(std::move(Keyed));
    if (Part.Claims.size() < MaxClaimsPerPart)
      continue;
    this->Hooks.SendToPeer(Peer, Part);
    Part.Claims.clear();
  }
  Part.IsLast = true;
  this->Hooks.SendToPeer(Peer, Part);
}

bool ClaimManager::handleMessage(const EntryName &Peer,
                                 const peers::Message &Received) {
  const TimePoint Now = this->Time.Now();
  if (const auto *Request = std::get_if<peers::ClaimRequest>(&Received)) {
    peers::ClaimAnswer Answer;
    Answer.Id = Request->Id;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->detectPause(Now);
      Answer.Before = this->Table.claim(Request->Key, Request->Wanted, Now);
    }
    this->Hooks.SendToPeer(Peer, Answer);
  } else if (const auto *Answer = std::get_if<peers::ClaimAnswer>(&Received)) {
    this->handleAnswer(Peer, *Answer);
  } else if (const auto *Ended = std::get_if<peers::ClaimSettle>(&Received)) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.settle(Ended->Key, Ended->Ended, Now);
  } else if (const auto *Freed = std::get_if<peers::ClaimForget>(&Received)) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.forget(Freed->Key, Freed->Request);
  } else if (std::holds_alternative<peers::ClaimTableRequest>(Received)) {
    this->sendTable(Peer);
  } else if (const auto *Part = std::get_if<peers::ClaimTablePart>(&Received)) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const routing::KeyedClaim &Keyed : Part->Claims)
      this->Table.merge(Keyed, Now);
    if (Part->IsLast)
      this->UnsynchronizedPeers.erase(Peer);
    if (this->UnsynchronizedPeers.empty() && !this->Table.isSynchronized()) {
      this->Table.setSynchronized(true);
      logEvent(LogLevel::Info, "claims-synchronized",
               {{"unheard", 0}, {"claims", this->Table.size()}});
    }
  } else {
    return false;
  }
  return true;
}

void ClaimManager::synchronize() {
  std::set<EntryName> Unsynchronized;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->detectPause(this->Time.Now());
    this->LastSynchronize = this->Time.Now();
    if (this->Table.isSynchronized())
      return;
    if (this->Time.Now() >= this->SynchronizeDeadline) {
      this->Table.setSynchronized(true);
      logEvent(LogLevel::Warning, "claims-synchronized",
               {{"unheard", this->UnsynchronizedPeers.size()},
                {"claims", this->Table.size()}});
      return;
    }
    Unsynchronized = this->UnsynchronizedPeers;
  }
  for (const EntryName &Peer : Unsynchronized)
    if (this->Hooks.IsUsable(Peer))
      this->Hooks.SendToPeer(Peer, peers::ClaimTableRequest());
}

bool ClaimManager::isSynchronized() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.isSynchronized();
}

size_t ClaimManager::size() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.size();
}

} // namespace whintack::entry::Internal
