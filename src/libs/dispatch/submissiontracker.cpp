#include "submissiontracker.h"

namespace whintack::dispatch::Internal {

/// How long a job that may be stored is remembered: longer than clients repeat
/// a request and than the store holds a call back.
static constexpr Duration RetentionTime = std::chrono::seconds(60);
static constexpr size_t MaxKnown = 20000;

/// One question to all VMs.
struct SubmissionTracker::Question {
  size_t Unanswered = 0;
  std::function<void(SubmissionOutcome)> Done;

  void finish(SubmissionOutcome Outcome) {
    if (const auto Callback = std::exchange(this->Done, nullptr))
      Callback(Outcome);
  }
};

SubmissionTracker::SubmissionTracker(Context Shared,
                                     std::shared_ptr<ServiceCalls> Calls)
    : Shared(std::move(Shared)), Calls(std::move(Calls)),
      CompleteFrom(this->Shared.now() + RetentionTime) {}

SubmissionTracker::OpenSubmission
SubmissionTracker::open(const jobs::JobId &Id) {
  ++this->Known[Id].Open;
  return {nullptr, [Weak = this->weak_from_this(), Id](const void *) {
            if (const auto Self = Weak.lock())
              Self->close(Id);
          }};
}

void SubmissionTracker::close(const jobs::JobId &Id) {
  const auto Found = this->Known.find(Id);
  if (--Found->second.Open == 0 &&
      Found->second.KeptUntil <= this->Shared.now())
    this->Known.erase(Found);
}

void SubmissionTracker::noteMayBeStored(const jobs::JobId &Id) {
  this->forgetExpired();
  const TimePoint Until = this->Shared.now() + RetentionTime;
  if (this->Expiries.size() >= MaxKnown) {
    this->CompleteFrom = Until;
    return;
  }
  this->Known[Id].KeptUntil = Until;
  this->Expiries.emplace_back(Until, Id);
}

void SubmissionTracker::forgetExpired() {
  const TimePoint Now = this->Shared.now();
  while (!this->Expiries.empty() && this->Expiries.front().first <= Now) {
    const auto Found = this->Known.find(this->Expiries.front().second);
    this->Expiries.pop_front();
    if (Found != this->Known.end() && Found->second.Open == 0 &&
        Found->second.KeptUntil <= Now)
      this->Known.erase(Found);
  }
}

void SubmissionTracker::setPeers(
    const std::vector<peers::PeerEndpoint> &Others) {
  const TimePoint Now = this->Shared.now();
  this->AreMembersKnown = true;
  for (const EntryName &Name : std::exchange(this->Members, {}))
    this->Peers[Name] = Now;
  for (const peers::PeerEndpoint &Each : Others) {
    this->Members.insert(Each.Name);
    this->Peers[Each.Name] = Now;
  }
  // The process of a VM that left long ago can store nothing any more.
  std::erase_if(this->Peers, [this, Now](const auto &Peer) {
    return !this->Members.contains(Peer.first) &&
           Peer.second + RetentionTime <= Now;
  });
}

SubmissionOutcome SubmissionTracker::ownOutcome(const jobs::JobId &Id) {
  this->forgetExpired();
  if (this->Known.contains(Id))
    return SubmissionOutcome::MayBeStored;
  return this->Shared.now() < this->CompleteFrom ? SubmissionOutcome::NotKnown
                                                 : SubmissionOutcome::NotStored;
}

/// What an answer says; an earlier version answers that it plans no such
/// service.
static SubmissionOutcome outcomeOf(const CallResult &Answer) {
  switch (Answer.Outcome) {
  case CallOutcome::Done:
    return SubmissionOutcome::MayBeStored;
  case CallOutcome::Unknown:
    return SubmissionOutcome::NotStored;
  case CallOutcome::Unavailable:
  case CallOutcome::NoAnswer:
  case CallOutcome::OtherTenant:
    break;
  }
  return SubmissionOutcome::NotKnown;
}

void SubmissionTracker::ask(const jobs::JobId &Id, Duration Timeout,
                            std::function<void(SubmissionOutcome)> Done) {
  const TimePoint Now = this->Shared.now();
  SubmissionOutcome Own = this->ownOutcome(Id);
  if (Own == SubmissionOutcome::NotStored && !this->AreMembersKnown)
    Own = SubmissionOutcome::NotKnown;
  std::vector<EntryName> Asked;
  for (const auto &[Name, LastMember] : this->Peers)
    if (this->Members.contains(Name) || Now < LastMember + RetentionTime)
      Asked.push_back(Name);
  if (Own != SubmissionOutcome::NotStored || Asked.empty()) {
    Done(Own);
    return;
  }
  const auto Open = std::make_shared<Question>();
  Open->Unanswered = Asked.size();
  Open->Done = std::move(Done);
  for (const EntryName &Peer : Asked) {
    // The first VM that cannot deny it decides.
    if (!Open->Done)
      return;
    this->Calls->callPeer(
        Peer,
        {0, ServiceName(), peers::ServiceCallKind::JobState, Id.text(), ""},
        Timeout,
        [Open, Self = this->shared_from_this(), Id](const CallResult &Answer) {
          --Open->Unanswered;
          const SubmissionOutcome Outcome = outcomeOf(Answer);
          if (Outcome != SubmissionOutcome::NotStored)
            Open->finish(Outcome);
          else if (Open->Unanswered == 0)
            // Another request for the job may have arrived here meanwhile.
            Open->finish(Self->ownOutcome(Id));
        });
  }
}

void SubmissionTracker::answer(const peers::ServiceCall &Call,
                               const AnswerCallback &Respond) {
  peers::ServiceOutcome Outcome = peers::ServiceOutcome::Failed;
  switch (this->ownOutcome(jobs::JobId(Call.Subject))) {
  case SubmissionOutcome::MayBeStored:
    Outcome = peers::ServiceOutcome::Done;
    break;
  case SubmissionOutcome::NotStored:
    Outcome = peers::ServiceOutcome::Unknown;
    break;
  case SubmissionOutcome::NotKnown:
    break;
  }
  Respond({Call.Id, Outcome, ""});
}

} // namespace whintack::dispatch::Internal
