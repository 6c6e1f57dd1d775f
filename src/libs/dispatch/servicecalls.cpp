#include "servicecalls.h"

namespace whintack::dispatch::Internal {

ServiceCalls::ServiceCalls(
    Context Shared, EntryName Self, std::shared_ptr<ClaimBoard> Board,
    std::function<bool(const EntryName &, const peers::Message &)> Send,
    std::function<bool(const peers::ServiceCall &, AnswerBack)> Local)
    : Shared(std::move(Shared)), Self(std::move(Self)), Board(std::move(Board)),
      Send(std::move(Send)), Local(std::move(Local)) {}

static CallResult resultOf(const peers::ServiceAnswer &Answer) {
  switch (Answer.Outcome) {
  case peers::ServiceOutcome::Done:
    return {CallOutcome::Done, Answer.Content};
  case peers::ServiceOutcome::Unknown:
    return {CallOutcome::Unknown, Answer.Content};
  case peers::ServiceOutcome::NotPlanner:
  case peers::ServiceOutcome::Failed:
    break;
  }
  return {CallOutcome::Unavailable, Answer.Content};
}

void ServiceCalls::call(peers::ServiceCall Asked, Duration Timeout,
                        CallDone Done) {
  Asked.Id = ++this->LastId;
  this->Open.emplace(Asked.Id, std::move(Done));
  const peers::CallId Id = Asked.Id;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + Timeout, [Id](ServiceCalls &Self) {
                Self.finish(Id, {CallOutcome::NoAnswer, ""});
              });
  const bool IsLocal = this->Local(
      Asked, [Weak = this->weak_from_this()](const peers::ServiceAnswer &Made) {
        if (const auto Alive = Weak.lock())
          Alive->finish(Made.Id, resultOf(Made));
      });
  if (IsLocal)
    return;
  const std::optional<Claim> Holder = this->Board->holder(Asked.Service.text());
  if (!Holder || Holder->Holder == this->Self ||
      !this->Send(Holder->Holder, Asked))
    this->finish(Id, {CallOutcome::Unavailable, ""});
}

void ServiceCalls::take(const EntryName &From,
                        const peers::ServiceCall &Asked) {
  const auto Answer = [Weak = this->weak_from_this(),
                       From](const peers::ServiceAnswer &Made) {
    if (const auto Alive = Weak.lock())
      Alive->Send(From, Made);
  };
  if (!this->Local(Asked, Answer))
    Answer({Asked.Id, peers::ServiceOutcome::NotPlanner, ""});
}

void ServiceCalls::take(const peers::ServiceAnswer &Answer) {
  this->finish(Answer.Id, resultOf(Answer));
}

void ServiceCalls::finish(peers::CallId Id, CallResult Result) {
  const auto Found = this->Open.find(Id);
  if (Found == this->Open.end())
    return;
  const CallDone Done = std::move(Found->second);
  this->Open.erase(Found);
  Done(std::move(Result));
}

} // namespace whintack::dispatch::Internal
