#include "whintack/routing/router.h"

#include "router_p.h"

#include <algorithm>

namespace whintack::routing {

using Internal::PendingRequest;
using Internal::ServiceState;
using Internal::Timer;
using Internal::TimerKind;

/// Attempts per request, including the first one.
static constexpr unsigned MaxAttempts = 4;
/// Consecutive failures after which an executor is ejected.
static constexpr unsigned FailuresToEject = 5;
/// Maximum length of the first ejection; doubles with each further one. Also
/// the time after which a caller may retry if the service has no executor.
static constexpr Duration InitialEjectionTime = std::chrono::seconds(1);
static constexpr unsigned MaxEjectionDoublings = 5;
static constexpr Duration ProbeTimeout = std::chrono::seconds(1);
/// Percentage of the executors of a service that may be ejected at a time.
static constexpr size_t MaxEjectedPercent = 50;
/// Percentage of a queue that the requests of one caller may fill.
static constexpr size_t MaxQueuePercentPerCaller = 75;
/// The newest duration enters the moving average with the inverse of this as
/// its weight.
static constexpr int64_t MeanWeightDivisor = 16;
/// An attempt is limited to half of the remaining time only if that half
/// exceeds the mean duration by this factor.
static constexpr int64_t MinMeansPerAttempt = 4;
static constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

Router::Private::Private(RouterIdentity Identity, ChoicePolicy Policy,
                         Random Source)
    : Identity(std::move(Identity)), Source(std::move(Source)),
      Table(this->Identity.DataCentre, Policy, this->Source) {}

ServiceState *Router::Private::service(const ServiceName &Name) {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

void Router::Private::schedule(Timer Scheduled) {
  this->Timers.push(std::move(Scheduled));
}

void Router::Private::addEvent(EventKind Kind, ExecutorIndex Index,
                               std::string Text, RouterActions &Actions) const {
  Event Added;
  Added.Kind = Kind;
  Added.Vm = this->Table.at(Index).Info.Name;
  Added.Service = this->Table.at(Index).Info.Service;
  Added.Text = std::move(Text);
  Actions.Events.push_back(std::move(Added));
}

Duration Router::Private::estimatedWait(const ServiceState &Service) const {
  const auto Ahead = static_cast<int64_t>(Service.Queue.size()) + 1;
  return Service.MeanDuration * Ahead / std::max<int64_t>(1, Service.Running);
}

void Router::Private::end(RequestHandle Handle, RequestOutcome Outcome,
                          OutcomeReason Reason, Duration RetryAfter,
                          RouterActions &Actions) {
  this->Requests.erase(Handle);
  if (Outcome == RequestOutcome::NotRun)
    ++this->Counts.NotRun;
  else if (Outcome == RequestOutcome::Unknown)
    ++this->Counts.Unknown;
  Actions.Answers.push_back({Handle, Outcome, Reason, RetryAfter});
}

bool Router::Private::refuseIfOverloaded(RequestHandle Handle,
                                         const PendingRequest &Request,
                                         const ServiceState &Service,
                                         RouterActions &Actions) {
  const Duration Wait = this->estimatedWait(Service);
  const Duration RetryAfter = std::max(Wait, MinRetryAfter);
  const size_t CallerQueued = Service.Queue.waiting(Request.Info.Caller);
  const size_t Limit = Service.Limits.QueueLength;
  const bool IsFull = Service.Queue.size() >= Limit;
  const bool IsCallerOverLimit =
      CallerQueued * 100 >= Limit * MaxQueuePercentPerCaller &&
      Service.Queue.size() > 0;
  if (IsFull || IsCallerOverLimit) {
    this->end(Handle, RequestOutcome::NotRun, OutcomeReason::QueueFull,
              RetryAfter, Actions);
    return true;
  }
  const Duration Allowed = Request.Info.RequestedDuration == Duration::zero()
                               ? Service.Limits.DefaultDuration
                               : std::min(Request.Info.RequestedDuration,
                                          Service.Limits.MaxDuration);
  if (Wait <= Allowed)
    return false;
  this->end(Handle, RequestOutcome::NotRun, OutcomeReason::Overloaded,
            RetryAfter, Actions);
  return true;
}

void Router::Private::submit(RequestHandle Handle, const RequestInfo &Info,
                             TimePoint Now, RouterActions &Actions) {
  ++this->Counts.Submitted;
  ServiceState *Service = this->service(Info.Service);
  const auto Refuse = [&](OutcomeReason Reason, Duration RetryAfter) {
    this->end(Handle, RequestOutcome::NotRun, Reason, RetryAfter, Actions);
  };
  if (this->IsStopping)
    return Refuse(OutcomeReason::Stopping, MinRetryAfter);
  if (!Service)
    return Refuse(this->Services.empty() ? OutcomeReason::NotConfigured
                                         : OutcomeReason::UnknownService,
                  Duration::zero());
  if (this->Table.executorsOf(Info.Service).All.empty())
    return Refuse(OutcomeReason::NoExecutor, InitialEjectionTime);
  Service->Retries.recordRequest();
  PendingRequest Request;
  Request.Info = Info;
  const Duration Wanted = Info.RequestedDuration == Duration::zero()
                              ? Service->Limits.DefaultDuration
                              : Info.RequestedDuration;
  Request.Deadline = Now + std::min(Wanted, Service->Limits.MaxDuration);
  if (Service->Queue.isEmpty()) {
    if (const auto Index = this->Table.choose(Info.Service, {})) {
      this->Requests.emplace(Handle, std::move(Request));
      this->send(Handle, *Index, Now, Actions);
      return;
    }
  }
  if (this->refuseIfOverloaded(Handle, Request, *Service, Actions))
    return;
  Request.IsQueued = true;
  this->schedule({Request.Deadline, TimerKind::RequestDeadline, Handle, 0, {}});
  Service->Queue.push(Info.Caller, Handle);
  this->Requests.emplace(Handle, std::move(Request));
  this->dispatch(*Service, Now, Actions);
}

void Router::Private::dispatch(ServiceState &Service, TimePoint Now,
                               RouterActions &Actions) {
  while (!Service.Queue.isEmpty()) {
    const ServiceExecutors &Executors =
        this->Table.executorsOf(Service.Limits.Name);
    if (Executors.Available[0].empty() && Executors.Available[1].empty())
      break;
    const RequestHandle Handle = *Service.Queue.pop();
    PendingRequest &Request = this->Requests.at(Handle);
    Request.IsQueued = false;
    if (Request.Deadline <= Now) {
      this->expireRequest(Handle, Now, Actions);
      continue;
    }
    const auto Index =
        this->Table.choose(Service.Limits.Name, Request.TriedExecutors);
    this->send(Handle, *Index, Now, Actions);
  }
  if (!Service.Queue.isEmpty())
    this->requestLoan(Service, Now, Actions);
}

TimePoint Router::Private::attemptDeadline(const PendingRequest &Request,
                                           const ServiceState &Service,
                                           TimePoint Now) const {
  const Duration HalfRemaining = (Request.Deadline - Now) / 2;
  const bool CanRetry =
      Request.Info.IsIdempotent && Request.Attempts + 1 < MaxAttempts;
  const bool HasMeanDuration = Service.MeanDuration > Duration::zero();
  if (CanRetry && HasMeanDuration &&
      HalfRemaining > Service.MeanDuration * MinMeansPerAttempt)
    return Now + HalfRemaining;
  return Request.Deadline;
}

void Router::Private::send(RequestHandle Handle, ExecutorIndex Index,
                           TimePoint Now, RouterActions &Actions) {
  PendingRequest &Request = this->Requests.at(Handle);
  ServiceState &Service = *this->service(Request.Info.Service);
  Executor &Target = this->Table.at(Index);
  Request.Permit = *Target.Slots.take(Now);
  Request.RunsOn = Index;
  Request.SentAt = Now;
  SendAction Sent;
  Sent.Request = Handle;
  Sent.Executor = Target.Info.Name;
  Sent.Deadline = this->attemptDeadline(Request, Service, Now);
  Sent.NeedsFreshConnection = !Request.Info.IsIdempotent;
  ++Request.Attempts;
  Sent.Attempt = Request.Attempts;
  ++Service.Running;
  ++this->Counts.Sent;
  this->Table.refresh(Index, Now);
  Actions.Sends.push_back(std::move(Sent));
}

void Router::Private::releaseSlot(const PendingRequest &Request,
                                  AttemptResult Result, TimePoint Now,
                                  RouterActions &Actions) {
  Executor &Target = this->Table.at(Request.RunsOn);
  ServiceState *Service = this->service(Request.Info.Service);
  const Duration MaxDuration =
      Service ? Service->Limits.MaxDuration : Duration::zero();
  const TimePoint EndsBy = Request.SentAt + MaxDuration;
  const bool MayStillRun =
      Result == AttemptResult::TimedOut || Result == AttemptResult::TooLarge;
  if (MayStillRun && EndsBy > Now) {
    Target.Slots.hold(Request.Permit, EndsBy);
    this->schedule({EndsBy, TimerKind::SlotExpiry, 0, Request.RunsOn, {}});
  } else if (const auto Loan = Target.Slots.release(Request.Permit, Now)) {
    this->returnLoan(Request.RunsOn, *Loan, Actions);
  }
  if (Service)
    --Service->Running;
  this->Table.refresh(Request.RunsOn, Now);
}

void Router::Private::probe(ExecutorIndex Index, TimePoint Now,
                            RouterActions &Actions) {
  this->Table.setState(Index, ExecutorState::Suspect);
  this->Table.refresh(Index, Now);
  Actions.Probes.push_back(
      {this->Table.at(Index).Info.Name, Now + ProbeTimeout});
}

void Router::Private::eject(ExecutorIndex Index, TimePoint Now,
                            RouterActions &Actions) {
  Executor &Failing = this->Table.at(Index);
  const ServiceExecutors &Service =
      this->Table.executorsOf(Failing.Info.Service);
  const bool IsTooMany =
      (Service.Ejected + 1) * 100 > Service.All.size() * MaxEjectedPercent;
  if (IsTooMany) {
    // Too many executors are ejected already. One that may work is better than
    // none, so this one stays in use.
    this->Table.setState(Index, ExecutorState::Live);
    this->Table.refresh(Index, Now);
    Failing.Failures = FailuresToEject - 1;
    return;
  }
  const unsigned Doublings = std::min(Failing.Ejections, MaxEjectionDoublings);
  const Duration MaxEjectionTime =
      InitialEjectionTime * (int64_t(1) << Doublings);
  const auto Jitter = static_cast<int64_t>(
      this->Source() % static_cast<uint64_t>(MaxEjectionTime.count() / 2));
  ++Failing.Ejections;
  Failing.EjectedUntil = Now + MaxEjectionTime / 2 + Duration(Jitter);
  this->Table.setState(Index, ExecutorState::Ejected);
  this->Table.refresh(Index, Now);
  Actions.DroppedConnections.push_back(Failing.Info.Name);
  this->schedule({Failing.EjectedUntil, TimerKind::EjectionEnd, 0, Index, {}});
  this->addEvent(EventKind::ExecutorEjected, Index,
                 "failures=" + std::to_string(Failing.Failures), Actions);
}

void Router::Private::recordFailure(ExecutorIndex Index, TimePoint Now,
                                    RouterActions &Actions) {
  Executor &Failing = this->Table.at(Index);
  ++Failing.Failures;
  if (Failing.State == ExecutorState::Live &&
      Failing.Failures >= FailuresToEject)
    this->eject(Index, Now, Actions);
}

void Router::Private::updateExecutorHealth(const PendingRequest &Request,
                                           AttemptResult Result, TimePoint Now,
                                           RouterActions &Actions) {
  const ExecutorIndex Index = Request.RunsOn;
  Executor &Target = this->Table.at(Index);
  switch (Result) {
  case AttemptResult::Answered:
  case AttemptResult::TooLarge:
    Target.Failures = 0;
    Target.Ejections = 0;
    Target.LastAnsweredSentAt =
        std::max(Target.LastAnsweredSentAt, Request.SentAt);
    return;
  case AttemptResult::RefusedByServer:
    return;
  case AttemptResult::AnsweredWithFailure:
  case AttemptResult::NeverSent:
  case AttemptResult::Broken:
    this->recordFailure(Index, Now, Actions);
    return;
  case AttemptResult::TimedOut:
    // The time-out may be the fault of the connection, so the executor is
    // ejected only if a probe on a fresh connection fails too.
    Actions.DroppedConnections.push_back(Target.Info.Name);
    if (Target.State == ExecutorState::Live &&
        Target.LastAnsweredSentAt < Request.SentAt)
      this->probe(Index, Now, Actions);
    return;
  }
}

static void updateMean(ServiceState &Service, Duration NewestDuration) {
  if (Service.MeanDuration == Duration::zero())
    Service.MeanDuration = NewestDuration;
  else
    Service.MeanDuration +=
        (NewestDuration - Service.MeanDuration) / MeanWeightDivisor;
}

void Router::Private::finish(const AttemptReport &Report, TimePoint Now,
                             RouterActions &Actions) {
  const auto Found = this->Requests.find(Report.Request);
  if (Found == this->Requests.end() || Found->second.IsQueued)
    return;
  const PendingRequest Request = Found->second;
  ServiceState *Service = this->service(Request.Info.Service);
  this->releaseSlot(Request, Report.Result, Now, Actions);
  this->updateExecutorHealth(Request, Report.Result, Now, Actions);
  if (Report.IsServerLeaving) {
    const Executor &Server = this->Table.at(Request.RunsOn);
    this->handleLeaving({Server.Info.Name, Server.Info.Incarnation}, true, Now,
                        Actions);
  }
  const bool IsAnswered = Report.Result == AttemptResult::Answered ||
                          Report.Result == AttemptResult::AnsweredWithFailure;
  if (IsAnswered) {
    ++this->Counts.Answered;
    this->Requests.erase(Report.Request);
    if (Service)
      updateMean(*Service, Now - Request.SentAt);
  } else {
    this->retryOrEnd(Report.Request, Report.Result, Now, Actions);
  }
  if (Service)
    this->dispatch(*Service, Now, Actions);
}

static OutcomeReason reasonOf(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::NeverSent:
    return OutcomeReason::ConnectionFailed;
  case AttemptResult::RefusedByServer:
    return OutcomeReason::RefusedByServer;
  case AttemptResult::TooLarge:
    return OutcomeReason::AnswerTooLarge;
  case AttemptResult::TimedOut:
    return OutcomeReason::TimedOut;
  case AttemptResult::Broken:
  case AttemptResult::Answered:
  case AttemptResult::AnsweredWithFailure:
    return OutcomeReason::ConnectionBroken;
  }
  return OutcomeReason::None;
}

void Router::Private::retryOrEnd(RequestHandle Handle, AttemptResult Result,
                                 TimePoint Now, RouterActions &Actions) {
  PendingRequest &Request = this->Requests.at(Handle);
  ServiceState *Service = this->service(Request.Info.Service);
  const bool WasCertainlyNotRun = Result == AttemptResult::NeverSent ||
                                  Result == AttemptResult::RefusedByServer;
  if (!WasCertainlyNotRun)
    Request.MayHaveRun = true;
  Request.TriedExecutors.push_back(this->Table.at(Request.RunsOn).Info.Name);
  const bool IsRetrySafe = Request.Info.IsIdempotent || !Request.MayHaveRun;
  const bool HasTime = Now < Request.Deadline;
  const bool IsWorthwhile = Result != AttemptResult::TooLarge;
  const bool CanRetry = IsRetrySafe && HasTime && IsWorthwhile && Service &&
                        Request.Attempts < MaxAttempts;
  if (CanRetry && Service->Retries.takeRetry()) {
    ++this->Counts.Retried;
    Request.IsQueued = true;
    this->schedule(
        {Request.Deadline, TimerKind::RequestDeadline, Handle, 0, {}});
    Service->Queue.pushFront(Request.Info.Caller, Handle);
    return;
  }
  const RequestOutcome Outcome =
      Request.MayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
  const Duration RetryAfter =
      Outcome == RequestOutcome::NotRun ? MinRetryAfter : Duration::zero();
  this->end(Handle, Outcome, reasonOf(Result), RetryAfter, Actions);
}

void Router::Private::expireRequest(RequestHandle Handle, TimePoint,
                                    RouterActions &Actions) {
  const PendingRequest &Request = this->Requests.at(Handle);
  const RequestOutcome Outcome =
      Request.MayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
  this->end(Handle, Outcome, OutcomeReason::DeadlinePassed, MinRetryAfter,
            Actions);
}

void Router::Private::reportLeaving(ExecutorIndex Index,
                                    RouterActions &Actions) {
  this->addEvent(EventKind::ExecutorLeaving, Index, "", Actions);
  Actions.DroppedConnections.push_back(this->Table.at(Index).Info.Name);
}

void Router::Private::handleLeaving(const LeavingNotice &Notice, bool TellPeers,
                                    TimePoint Now, RouterActions &Actions) {
  if (!this->Table.markLeaving(Notice.Executor, Notice.Incarnation))
    return;
  const ExecutorIndex Index = *this->Table.find(Notice.Executor);
  this->Table.refresh(Index, Now);
  this->reportLeaving(Index, Actions);
  if (TellPeers)
    Actions.Notices.push_back(Notice);
}

void Router::Private::handleTimer(const Timer &Due, TimePoint Now,
                                  RouterActions &Actions) {
  switch (Due.Kind) {
  case TimerKind::RequestDeadline: {
    const auto Found = this->Requests.find(Due.Request);
    if (Found == this->Requests.end() || !Found->second.IsQueued)
      return;
    ServiceState *Service = this->service(Found->second.Info.Service);
    if (Service)
      Service->Queue.remove(Found->second.Info.Caller, Due.Request);
    this->expireRequest(Due.Request, Now, Actions);
    return;
  }
  case TimerKind::SlotExpiry:
    this->expireSlots(Due.Executor, Now, Actions);
    return;
  case TimerKind::EjectionEnd: {
    const Executor &Waiting = this->Table.at(Due.Executor);
    if (Waiting.State == ExecutorState::Ejected && Waiting.EjectedUntil <= Now)
      this->probe(Due.Executor, Now, Actions);
    return;
  }
  case TimerKind::LoanRetry:
    if (ServiceState *Service = this->service(Due.Service))
      this->dispatch(*Service, Now, Actions);
    return;
  }
}

Router::Router(RouterIdentity Identity, ChoicePolicy Policy, Random Source)
    : D(std::make_unique<Private>(std::move(Identity), Policy,
                                  std::move(Source))) {}

Router::~Router() = default;

RouterActions Router::setServices(const std::vector<ServiceLimits> &Services,
                                  TimePoint Now) {
  RouterActions Actions;
  std::map<ServiceName, ServiceState> Kept;
  for (const ServiceLimits &Limits : Services) {
    const auto Known = this->D->Services.find(Limits.Name);
    ServiceState State;
    if (Known != this->D->Services.end())
      State = std::move(Known->second);
    else
      State.Retries = RetryBudget(Limits.RetryPercent);
    State.Limits = Limits;
    State.Retries.setPercent(Limits.RetryPercent);
    Kept.insert_or_assign(Limits.Name, std::move(State));
  }
  for (auto &[Name, Removed] : this->D->Services) {
    if (Kept.contains(Name))
      continue;
    while (const auto Handle = Removed.Queue.pop())
      this->D->end(*Handle, RequestOutcome::NotRun,
                   OutcomeReason::UnknownService, Duration::zero(), Actions);
  }
  this->D->Services = std::move(Kept);
  this->D->applyShares(Now);
  for (auto &[Name, Service] : this->D->Services)
    this->D->dispatch(Service, Now, Actions);
  return Actions;
}

RouterActions Router::setExecutors(const std::vector<ExecutorInfo> &Listed,
                                   TimePoint Now) {
  RouterActions Actions;
  for (const ExecutorIndex Index : this->D->Table.update(Listed))
    this->D->reportLeaving(Index, Actions);
  this->D->Table.removeIdleUnlisted();
  this->D->applyShares(Now);
  for (auto &[Name, Service] : this->D->Services)
    this->D->dispatch(Service, Now, Actions);
  return Actions;
}

void Router::setPeers(const std::vector<PeerInfo> &Peers) {
  this->D->Peers = Peers;
}

RouterActions Router::submit(RequestHandle Request, const RequestInfo &Info,
                             TimePoint Now) {
  RouterActions Actions;
  this->D->submit(Request, Info, Now, Actions);
  return Actions;
}

RouterActions Router::finish(const AttemptReport &Report, TimePoint Now) {
  RouterActions Actions;
  this->D->finish(Report, Now, Actions);
  return Actions;
}

RouterActions Router::finishProbe(const VmName &Name, bool IsAnswered,
                                  TimePoint Now) {
  RouterActions Actions;
  const std::optional<ExecutorIndex> Index = this->D->Table.find(Name);
  if (!Index || this->D->Table.at(*Index).State != ExecutorState::Suspect)
    return Actions;
  if (!IsAnswered) {
    this->D->eject(*Index, Now, Actions);
    return Actions;
  }
  Executor &Probed = this->D->Table.at(*Index);
  Probed.Failures = 0;
  this->D->Table.setState(*Index, ExecutorState::Live);
  this->D->Table.refresh(*Index, Now);
  if (Probed.Ejections > 0)
    this->D->addEvent(EventKind::ExecutorReturned, *Index, "", Actions);
  if (ServiceState *Service = this->D->service(Probed.Info.Service))
    this->D->dispatch(*Service, Now, Actions);
  return Actions;
}

RouterActions Router::stop(TimePoint) {
  this->D->IsStopping = true;
  return {};
}

RouterActions Router::handleLeavingNotice(const LeavingNotice &Message,
                                          TimePoint Now) {
  RouterActions Actions;
  this->D->handleLeaving(Message, false, Now, Actions);
  return Actions;
}

RouterActions Router::tick(TimePoint Now) {
  RouterActions Actions;
  while (!this->D->Timers.empty() && this->D->Timers.top().Deadline <= Now) {
    const Timer Due = this->D->Timers.top();
    this->D->Timers.pop();
    this->D->handleTimer(Due, Now, Actions);
  }
  return Actions;
}

TimePoint Router::nextDeadline() const {
  return this->D->Timers.empty() ? TimePoint::max()
                                 : this->D->Timers.top().Deadline;
}

size_t Router::pending() const { return this->D->Requests.size(); }

const RouterCounts &Router::counts() const { return this->D->Counts; }

std::vector<ExecutorReport> Router::executors() const {
  std::vector<ExecutorReport> Reports;
  this->D->Table.forEach([&Reports](ExecutorIndex, Executor &Known) {
    ExecutorReport Report;
    Report.Name = Known.Info.Name;
    Report.Service = Known.Info.Service;
    Report.DataCentre = Known.Info.DataCentre;
    Report.State = Known.State;
    Report.Owned = Known.Slots.owned();
    Report.Running = Known.Slots.running();
    Report.Lent = static_cast<int64_t>(Known.Slots.lentCount());
    Reports.push_back(std::move(Report));
  });
  return Reports;
}

} // namespace whintack::routing
