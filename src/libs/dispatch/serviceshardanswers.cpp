#include "serviceshard.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

void ServiceShard::answerCancel(const peers::ServiceCall &Call,
                                const AnswerCallback &Respond) {
  const std::optional<uint64_t> Change =
      this->Planner.cancel(jobs::JobId(Call.Subject), this->Shared.now());
  if (!Change) {
    Respond({Call.Id, peers::ServiceOutcome::Unknown, ""});
    return;
  }
  this->answerWhenStored(jobs::JobId(Call.Subject), *Change,
                         [Id = Call.Id, Respond] {
                           Respond({Id, peers::ServiceOutcome::Done, ""});
                         });
  this->Writer->flush();
  this->requestPlan();
}

void ServiceShard::answerDemand(const peers::ServiceCall &Call,
                                const AnswerCallback &Respond) {
  const auto Request = jobs::decodeDemandRequest(Call.Content);
  if (!Request) {
    logEvent(
        LogLevel::Error, "demand-request-unreadable",
        {{"shard", this->OwnClaim.Shard}, {"cause", Request.error().Message}});
    Respond({Call.Id, peers::ServiceOutcome::Failed, ""});
    return;
  }
  const TimePoint Now = this->Shared.now();
  const std::vector<jobs::ArrivedExecutor> &Arrived = Request.value().Arrived;
  if (Request.value().Release > 0)
    this->Planner.release(Request.value().Release, Now);
  Respond({Call.Id, peers::ServiceOutcome::Done,
           jobs::encodeDemand(this->Planner.demand(Now, Arrived))});
  const bool IsListOutdated =
      std::any_of(Arrived.begin(), Arrived.end(), [this](const auto &Each) {
        return !this->Planner.isKnownExecutor(Each.Id);
      });
  if (IsListOutdated)
    this->Environment.RefreshExecutors();
}

size_t ServiceShard::countWaiting(const std::string &QueueName) const {
  if (const jobs::Queue *Current = this->Environment.Queues()->named(QueueName))
    return this->Planner.waitingJobs(*Current);
  jobs::Queue Unknown;
  Unknown.Name = QueueName;
  return this->Planner.waitingJobs(Unknown);
}

bool ServiceShard::isOtherTenant(const peers::ServiceCall &Call) const {
  return !mayAccess(*this->Environment.Queues(), TenantName(Call.Content),
                    this->originOf(jobs::JobId(Call.Subject)));
}

void ServiceShard::answer(const peers::ServiceCall &Call,
                          const AnswerCallback &Respond) {
  using peers::ServiceOutcome;
  // What these answers lead to is undone if there is a successor: a machine
  // that it uses may be moved, and its runs start again. The other answers
  // commit this planner to something that a successor must know.
  const bool IsAnsweredInGrace =
      Call.Kind == peers::ServiceCallKind::PoolDemand ||
      Call.Kind == peers::ServiceCallKind::EvacuateExecutor;
  const bool MayAnswer =
      IsAnsweredInGrace ? this->canOrder() : this->isClaimValid();
  if (this->IsStopped || !this->IsLoaded || !MayAnswer) {
    Respond({Call.Id, ServiceOutcome::NotPlanner, ""});
    return;
  }
  switch (Call.Kind) {
  case peers::ServiceCallKind::SubmitJob: {
    const bool IsAdded =
        this->addStoredJob(jobs::JobId(Call.Subject), Call.Content,
                           jobs::JobSource::Announced, nullptr);
    Respond(
        {Call.Id, IsAdded ? ServiceOutcome::Done : ServiceOutcome::Failed, ""});
    this->requestPlan();
    return;
  }
  case peers::ServiceCallKind::CancelJob:
    if (this->isOtherTenant(Call))
      Respond({Call.Id, ServiceOutcome::OtherTenant, ""});
    else
      this->answerCancel(Call, Respond);
    return;
  case peers::ServiceCallKind::JobState: {
    if (this->isOtherTenant(Call)) {
      Respond({Call.Id, ServiceOutcome::OtherTenant, ""});
      return;
    }
    const auto State = this->Planner.shownState(jobs::JobId(Call.Subject));
    if (State)
      Respond({Call.Id, ServiceOutcome::Done,
               std::string(nameOf(jobs::JobStateNames, *State))});
    else
      Respond({Call.Id, ServiceOutcome::Unknown, ""});
    return;
  }
  case peers::ServiceCallKind::WaitingJobs:
    Respond({Call.Id, ServiceOutcome::Done,
             std::to_string(this->countWaiting(Call.Subject))});
    return;
  case peers::ServiceCallKind::PoolDemand:
    this->answerDemand(Call, Respond);
    return;
  case peers::ServiceCallKind::TenantQuota:
    this->answerQuota(Call, Respond);
    return;
  case peers::ServiceCallKind::EvacuateExecutor: {
    const jobs::ExecutorId Id(Call.Subject);
    this->Planner.evacuate(Id, this->Shared.now());
    Respond({Call.Id, ServiceOutcome::Done,
             std::string(
                 nameOf(jobs::OccupancyNames, this->Planner.occupancy(Id)))});
    this->requestPlan();
    return;
  }
  }
}

} // namespace whintack::dispatch::Internal
