#include "claimdesk.h"

#include "whintack/base/log.h"

#include <algorithm>

namespace whintack::entry::Internal {

using routing::Claim;
using routing::ClaimState;
using routing::ClaimVerdict;

/// How long the outcome of a keyed request is kept.
static constexpr Duration ClaimsKeptFor = std::chrono::minutes(10);
static constexpr size_t MostClaimBytes = 32U << 20U;
static constexpr Duration OwnerTimeout = std::chrono::milliseconds(300);
/// After this an owner that could not be asked counts as lost.
static constexpr Duration SynchronizeTimeout = std::chrono::seconds(5);
static constexpr size_t ClaimsPerPart = 500;
/// Five missed looks; peers take longer to count a process as lost.
static constexpr Duration LongestPause = std::chrono::seconds(1);

ClaimDesk::ClaimDesk(EntryName Self, std::vector<EntryName> Members,
                     ClaimHooks Hooks, Clock Time, TimerQueue &Timers)
    : Self(std::move(Self)), Members(std::move(Members)),
      Hooks(std::move(Hooks)), Time(std::move(Time)), Timers(Timers),
      LastLook(this->Time.Now()), Table(ClaimsKeptFor, MostClaimBytes) {
  this->expectAllTables();
}

void ClaimDesk::expectAllTables() {
  this->SynchronizedBy = this->Time.Now() + SynchronizeTimeout;
  for (const EntryName &Member : this->Members)
    if (Member != this->Self)
      this->Unheard.insert(Member);
  this->Table.setSynchronized(this->Unheard.empty());
}

void ClaimDesk::noticePause(TimePoint Now) {
  if (Now - this->LastLook <= LongestPause)
    return;
  logEvent(LogLevel::Warning, "claims-outdated",
           {{"paused-ms", toMilliseconds(Now - this->LastLook)},
            {"claims", this->Table.size()}});
  this->LastLook = Now;
  this->expectAllTables();
}

void ClaimDesk::claim(const std::string &Key, const RequestId &Request,
                      const std::string &Digest, ClaimDone Done) {
  Pending Asked;
  Asked.Key = Key;
  Asked.Request = Request;
  Asked.Digest = Digest;
  Asked.Done = std::move(Done);
  Claim Wanted;
  Wanted.State = ClaimState::Running;
  Wanted.Holder = this->Self;
  Wanted.Request = Request;
  Wanted.Digest = Digest;
  std::vector<EntryName> Remote;
  for (const EntryName &Owner : routing::ownersOf(Key, this->Members)) {
    routing::OwnerAnswer Answer;
    Answer.Owner = Owner;
    if (Owner == this->Self) {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->noticePause(this->Time.Now());
      Answer.Before = this->Table.claim(Key, Wanted, this->Time.Now());
      Answer.HasAnswered = true;
    } else if (this->Hooks.IsUsable(Owner)) {
      Remote.push_back(Owner);
    }
    Asked.Answers.push_back(std::move(Answer));
  }
  Asked.Missing = Remote.size();
  if (Remote.empty()) {
    this->finish(Asked);
    return;
  }
  peers::ClaimRequest Message;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Message.Id = ++this->LastCall;
    this->Calls.emplace(Message.Id, std::move(Asked));
  }
  Message.Key = Key;
  Message.Wanted = Wanted;
  const std::weak_ptr<ClaimDesk> Weak = this->weak_from_this();
  this->Timers.schedule(this->Time.Now() + OwnerTimeout,
                        [Weak, Id = Message.Id] {
                          if (const auto Desk = Weak.lock())
                            Desk->expire(Id);
                        });
  for (const EntryName &Owner : Remote)
    this->Hooks.SendToPeer(Owner, Message);
}

void ClaimDesk::expire(peers::CallId Id) {
  Pending Ended;
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

void ClaimDesk::takeAnswer(const EntryName &Peer,
                           const peers::ClaimAnswer &Answer) {
  Pending Ended;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Calls.find(Answer.Id);
    if (Found == this->Calls.end())
      return;
    for (routing::OwnerAnswer &Asked : Found->second.Answers) {
      if (Asked.Owner != Peer || Asked.HasAnswered)
        continue;
      Asked.HasAnswered = true;
      Asked.Before = Answer.Before;
      --Found->second.Missing;
    }
    if (Found->second.Missing > 0)
      return;
    Ended = std::move(Found->second);
    this->Calls.erase(Found);
  }
  this->finish(Ended);
}

ClaimVerdict ClaimDesk::judge(const Pending &Ended) const {
  const ClaimVerdict Verdict = routing::judgeClaim(Ended.Answers, Ended.Digest);
  if (Verdict != ClaimVerdict::InUse)
    return Verdict;
  // A holder that is gone will not say any more how its request ended.
  for (const routing::OwnerAnswer &Answer : Ended.Answers) {
    const EntryName &Holder = Answer.Before.Holder;
    const bool IsRunning = Answer.Before.State == ClaimState::Running;
    if (IsRunning && Holder != this->Self && !this->Hooks.IsUsable(Holder))
      return ClaimVerdict::Unknown;
  }
  return Verdict;
}

void ClaimDesk::finish(const Pending &Ended) {
  ClaimReply Reply;
  Reply.Verdict = this->judge(Ended);
  for (const routing::OwnerAnswer &Answer : Ended.Answers)
    if (Answer.Before.State == ClaimState::Done)
      Reply.Answer = Answer.Before.Answer;
  if (Reply.Verdict != ClaimVerdict::Send)
    this->forget(Ended.Key, Ended.Request);
  Ended.Done(std::move(Reply));
}

void ClaimDesk::settle(const std::string &Key, const Claim &Ended) {
  for (const EntryName &Owner : routing::ownersOf(Key, this->Members)) {
    if (Owner != this->Self) {
      this->Hooks.SendToPeer(Owner, peers::ClaimSettle{Key, Ended});
      continue;
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.settle(Key, Ended, this->Time.Now());
  }
}

void ClaimDesk::forget(const std::string &Key, const RequestId &Request) {
  for (const EntryName &Owner : routing::ownersOf(Key, this->Members)) {
    if (Owner != this->Self) {
      this->Hooks.SendToPeer(Owner, peers::ClaimForget{Key, Request});
      continue;
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.forget(Key, Request);
  }
}

void ClaimDesk::sendTable(const EntryName &Peer) {
  std::vector<routing::KeyedClaim> Owned;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (routing::KeyedClaim &Keyed : this->Table.all()) {
      const auto Owners = routing::ownersOf(Keyed.Key, this->Members);
      if (std::find(Owners.begin(), Owners.end(), Peer) != Owners.end())
        Owned.push_back(std::move(Keyed));
    }
  }
  peers::ClaimTablePart Part;
  for (routing::KeyedClaim &Keyed : Owned) {
    Part.Claims.push_back(std::move(Keyed));
    if (Part.Claims.size() < ClaimsPerPart)
      continue;
    this->Hooks.SendToPeer(Peer, Part);
    Part.Claims.clear();
  }
  Part.IsLast = true;
  this->Hooks.SendToPeer(Peer, Part);
}

bool ClaimDesk::takeMessage(const EntryName &Peer,
                            const peers::Message &Received) {
  const TimePoint Now = this->Time.Now();
  if (const auto *Asked = std::get_if<peers::ClaimRequest>(&Received)) {
    peers::ClaimAnswer Answer;
    Answer.Id = Asked->Id;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->noticePause(Now);
      Answer.Before = this->Table.claim(Asked->Key, Asked->Wanted, Now);
    }
    this->Hooks.SendToPeer(Peer, Answer);
  } else if (const auto *Answer = std::get_if<peers::ClaimAnswer>(&Received)) {
    this->takeAnswer(Peer, *Answer);
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
      this->Unheard.erase(Peer);
    if (this->Unheard.empty() && !this->Table.isSynchronized()) {
      this->Table.setSynchronized(true);
      logEvent(LogLevel::Info, "claims-synchronized",
               {{"unheard", 0}, {"claims", this->Table.size()}});
    }
  } else {
    return false;
  }
  return true;
}

void ClaimDesk::synchronize() {
  std::set<EntryName> Asked;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->noticePause(this->Time.Now());
    this->LastLook = this->Time.Now();
    if (this->Table.isSynchronized())
      return;
    if (this->Time.Now() >= this->SynchronizedBy) {
      this->Table.setSynchronized(true);
      logEvent(
          LogLevel::Warning, "claims-synchronized",
          {{"unheard", this->Unheard.size()}, {"claims", this->Table.size()}});
      return;
    }
    Asked = this->Unheard;
  }
  for (const EntryName &Peer : Asked)
    if (this->Hooks.IsUsable(Peer))
      this->Hooks.SendToPeer(Peer, peers::ClaimTableRequest());
}

bool ClaimDesk::isSynchronized() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.isSynchronized();
}

size_t ClaimDesk::size() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.size();
}

} // namespace whintack::entry::Internal
