#include "submissiontracker.h"

namespace whintack::dispatch::Internal {

/// How long a job that may be stored is remembered: longer than clients repeat
/// a request and than the store holds a call back.
static constexpr Duration RetentionTime = std::chrono::seconds(60);
/// Time after which the store is taken to carry out no call that it has not
/// answered.
static constexpr Duration SettlingTime = std::chrono::seconds(15);
static constexpr size_t MaxKnown = 20000;

static Duration lengthOf(SubmissionScope Scope) {
  return Scope == SubmissionScope::Repeatable ? RetentionTime : SettlingTime;
}

/// One question to all VMs.
struct SubmissionTracker::Question {
  SubmissionReport Report;
  size_t Unanswered = 0;
  std::function<void(const SubmissionReport &)> Done;

  void finish(SubmissionOutcome Outcome, const EntryName &NotDeniedBy) {
    this->Report.Outcome = Outcome;
    this->Report.NotDeniedBy = NotDeniedBy;
    if (const auto Callback = std::exchange(this->Done, nullptr))
      Callback(this->Report);
  }
};

SubmissionTracker::SubmissionTracker(Context Shared,
                                     std::shared_ptr<ServiceCalls> Calls)
    : Shared(std::move(Shared)), Calls(std::move(Calls)),
      CompleteFrom(this->Shared.now() + RetentionTime),
      UnsettledCompleteFrom(this->Shared.now() + SettlingTime) {}

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
  const TimePoint SettledAt = this->Shared.now() + SettlingTime;
  if (this->Expiries.size() >= MaxKnown) {
    this->CompleteFrom = Until;
    this->UnsettledCompleteFrom = SettledAt;
    return;
  }
  Submissions &Noted = this->Known[Id];
  Noted.KeptUntil = Until;
  Noted.SettledAt = SettledAt;
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

SubmissionOutcome SubmissionTracker::ownOutcome(const jobs::JobId &Id,
                                                SubmissionScope Scope) {
  this->forgetExpired();
  const TimePoint Now = this->Shared.now();
  const bool IsRepeatable = Scope == SubmissionScope::Repeatable;
  if (const auto Found = this->Known.find(Id); Found != this->Known.end())
    if (IsRepeatable || Found->second.Open > 0 || Found->second.SettledAt > Now)
      return SubmissionOutcome::MayBeStored;
  const TimePoint Complete =
      IsRepeatable ? this->CompleteFrom : this->UnsettledCompleteFrom;
  return Now < Complete ? SubmissionOutcome::NotKnown
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

void SubmissionTracker::ask(
    const jobs::JobId &Id, SubmissionScope Scope, Duration Timeout,
    std::function<void(const SubmissionReport &)> Done) {
  const TimePoint Now = this->Shared.now();
  SubmissionOutcome Own = this->ownOutcome(Id, Scope);
  if (Own == SubmissionOutcome::NotStored && !this->AreMembersKnown)
    Own = SubmissionOutcome::NotKnown;
  std::vector<EntryName> Asked;
  for (const auto &[Name, LastMember] : this->Peers)
    if (this->Members.contains(Name) || Now < LastMember + lengthOf(Scope))
      Asked.push_back(Name);
  if (Own != SubmissionOutcome::NotStored || Asked.empty()) {
    Done({Own});
    return;
  }
  const auto Open = std::make_shared<Question>();
  Open->Unanswered = Asked.size();
  Open->Report.Asked = Asked.size();
  Open->Done = std::move(Done);
  for (const EntryName &Peer : Asked) {
    // The first VM that cannot deny it decides.
    if (!Open->Done)
      return;
    this->Calls->callPeer(
        Peer,
        {0, ServiceName(), peers::ServiceCallKind::JobState, Id.text(),
         std::string(nameOf(SubmissionScopeNames, Scope))},
        Timeout,
        [Open, Self = this->shared_from_this(), Id, Scope,
         Peer](const CallResult &Answer) {
          --Open->Unanswered;
          const SubmissionOutcome Outcome = outcomeOf(Answer);
          if (Outcome != SubmissionOutcome::NotStored) {
            Open->finish(Outcome, Peer);
            return;
          }
          ++Open->Report.Denied;
          // Another request for the job may have arrived here meanwhile.
          if (Open->Unanswered == 0)
            Open->finish(Self->ownOutcome(Id, Scope), EntryName());
        });
  }
}

/// Logs what keeps another VM from denying a job.
void SubmissionTracker::logUndenied(const peers::ServiceCall &Call,
                                    SubmissionScope Scope,
                                    SubmissionOutcome Outcome) {
  const TimePoint Now = this->Shared.now();
  const std::optional<size_t> NotLogged = this->Lines.admit(Now);
  if (!NotLogged)
    return;
  const auto Found = this->Known.find(jobs::JobId(Call.Subject));
  const bool IsKnown = Found != this->Known.end();
  const auto TimeLeft = [Now](TimePoint End) {
    return toMilliseconds(std::max(End, Now) - Now);
  };
  logEvent(LogLevel::Info, "submission-not-denied",
           {{"job", Call.Subject},
            {"scope", nameOf(SubmissionScopeNames, Scope)},
            {"outcome", nameOf(SubmissionOutcomeNames, Outcome)},
            {"open", IsKnown ? Found->second.Open : 0},
            {"unsettled-ms", TimeLeft(IsKnown ? Found->second.SettledAt
                                              : this->UnsettledCompleteFrom)},
            {"kept-ms",
             TimeLeft(IsKnown ? Found->second.KeptUntil : this->CompleteFrom)},
            {"not-logged", *NotLogged}});
}

void SubmissionTracker::answer(const peers::ServiceCall &Call,
                               const AnswerCallback &Respond) {
  // An earlier version names no scope.
  const SubmissionScope Scope = valueOf(SubmissionScopeNames, Call.Content)
                                    .value_or(SubmissionScope::Repeatable);
  const SubmissionOutcome Own =
      this->ownOutcome(jobs::JobId(Call.Subject), Scope);
  peers::ServiceOutcome Outcome = peers::ServiceOutcome::Failed;
  if (Own == SubmissionOutcome::MayBeStored)
    Outcome = peers::ServiceOutcome::Done;
  else if (Own == SubmissionOutcome::NotStored)
    Outcome = peers::ServiceOutcome::Unknown;
  if (Own != SubmissionOutcome::NotStored)
    this->logUndenied(Call, Scope, Own);
  Respond({Call.Id, Outcome, ""});
}

} // namespace whintack::dispatch::Internal
