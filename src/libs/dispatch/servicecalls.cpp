#include "servicecalls.h"

namespace whintack::dispatch::Internal {

ServiceCalls::ServiceCalls(
    Context Shared, EntryName Self, uint64_t Incarnation,
    std::shared_ptr<ClaimTracker> Tracker,
    std::function<bool(const EntryName &, const peers::Message &)> Send,
    std::function<bool(const peers::ServiceCall &, AnswerCallback)>
        AnswerLocally)
    : Shared(std::move(Shared)), Self(std::move(Self)),
      Tracker(std::move(Tracker)), Send(std::move(Send)),
      AnswerLocally(std::move(AnswerLocally)), LastId(Incarnation),
      Absences(logWarning) {}

static CallResult resultOf(const peers::ServiceAnswer &Answer) {
  switch (Answer.Outcome) {
  case peers::ServiceOutcome::Done:
    return {CallOutcome::Done, Answer.Content};
  case peers::ServiceOutcome::Unknown:
    return {CallOutcome::Unknown, Answer.Content};
  case peers::ServiceOutcome::OtherTenant:
    return {CallOutcome::OtherTenant, Answer.Content};
  case peers::ServiceOutcome::NotPlanner:
  case peers::ServiceOutcome::Failed:
    break;
  }
  return {CallOutcome::Unavailable, Answer.Content};
}

peers::CallId ServiceCalls::open(const ServiceName &Service, Duration Timeout,
                                 ResultCallback Done) {
  const peers::CallId Id = ++this->LastId;
  this->OpenCalls.emplace(Id,
                          PendingCall{std::move(Done), Service, EntryName()});
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + Timeout, [Id](ServiceCalls &Self) {
                Self.finish(Id, {CallOutcome::NoAnswer, ""});
              });
  return Id;
}

void ServiceCalls::send(const EntryName &Peer, const peers::ServiceCall &Call) {
  this->OpenCalls.at(Call.Id).Peer = Peer;
  if (!this->Send(Peer, Call))
    this->finish(Call.Id, {CallOutcome::Unavailable, ""});
}

void ServiceCalls::callPeer(const EntryName &Peer, peers::ServiceCall Call,
                            Duration Timeout, ResultCallback Done) {
  Call.Id = this->open(Call.Service, Timeout, std::move(Done));
  this->send(Peer, Call);
}

void ServiceCalls::call(peers::ServiceCall Call, Duration Timeout,
                        ResultCallback Done) {
  Call.Id = this->open(Call.Service, Timeout, std::move(Done));
  const bool IsLocal = this->AnswerLocally(
      Call,
      [Weak = this->weak_from_this()](const peers::ServiceAnswer &Answer) {
        if (const auto Alive = Weak.lock())
          Alive->finish(Answer.Id, resultOf(Answer));
      });
  if (IsLocal)
    return;
  const std::optional<Claim> Holder =
      this->Tracker->holder(ShardId::of(Call.Service));
  if (!Holder || Holder->Holder == this->Self) {
    this->finish(Call.Id, {CallOutcome::Unavailable, ""});
    return;
  }
  this->send(Holder->Holder, Call);
}

void ServiceCalls::handle(const EntryName &From,
                          const peers::ServiceCall &Call) {
  const auto Respond = [Weak = this->weak_from_this(),
                        From](const peers::ServiceAnswer &Answer) {
    if (const auto Alive = Weak.lock())
      Alive->Send(From, Answer);
  };
  if (!this->AnswerLocally(Call, Respond))
    Respond({Call.Id, peers::ServiceOutcome::NotPlanner, ""});
}

void ServiceCalls::handle(const EntryName &From,
                          const peers::ServiceAnswer &Answer) {
  const auto Found = this->OpenCalls.find(Answer.Id);
  if (Found == this->OpenCalls.end() || Found->second.Peer != From)
    return;
  this->finish(Answer.Id, resultOf(Answer));
}

void ServiceCalls::finish(peers::CallId Id, CallResult Result) {
  const auto Found = this->OpenCalls.find(Id);
  if (Found == this->OpenCalls.end())
    return;
  const ResultCallback Done = std::move(Found->second.Done);
  this->notePlanner(Found->second, Result.Outcome);
  this->OpenCalls.erase(Found);
  Done(std::move(Result));
}

void ServiceCalls::notePlanner(const PendingCall &Call, CallOutcome Outcome) {
  if (Call.Service.isEmpty())
    return;
  switch (Outcome) {
  case CallOutcome::Done:
  case CallOutcome::Unknown:
  case CallOutcome::OtherTenant:
    this->Absences.notePresent(Call.Service);
    return;
  case CallOutcome::Unavailable:
    this->Absences.noteAbsent(Call.Service, Call.Peer, this->Shared.now());
    return;
  case CallOutcome::NoAnswer:
    return;
  }
}

} // namespace whintack::dispatch::Internal
