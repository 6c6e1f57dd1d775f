#include "executorlink.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// How long the executor holds a report call while no run ends. This is half of
/// the maximum that executors accept, so that a silent connection is noticed
/// within 2 s.
static constexpr Duration ReportWait = std::chrono::milliseconds(1000);
/// The same for an executor on which nothing runs. Its next start order notices
/// a silent connection as well. Executors accept at most 2 s.
static constexpr Duration IdleReportWait = std::chrono::milliseconds(1900);
/// Time-out margin of a report call on top of ReportWait, for the network and a
/// slow executor.
static constexpr Duration ReportMargin = std::chrono::milliseconds(700);
/// Runs that end within this time share one report.
static constexpr Duration CoalesceTime = std::chrono::milliseconds(10);
/// Maximum delay of the next report call until the ends from the last report
/// are stored.
static constexpr Duration MaxAcknowledgementDelay =
    std::chrono::milliseconds(150);
/// Time-out of an order; executors take milliseconds to answer one.
static constexpr Duration OrderTimeout = std::chrono::milliseconds(800);
static constexpr Duration MinRetryDelay = std::chrono::milliseconds(100);
static constexpr int64_t MaxRetryDoublings = 3;
/// Maximum number of start orders in flight to one executor: enough to hide the
/// network latency, few enough to use only some of the executor's 64
/// connections.
static constexpr size_t MaxOpenStarts = 6;
/// Minimum time between two log lines about the ends of one executor.
static constexpr Duration EndsLogInterval = std::chrono::seconds(5);

ExecutorLink::ExecutorLink(Context Shared, jobs::ExecutorGateway Gateway,
                           LinkSetup Setup, LinkHooks Hooks)
    : Shared(std::move(Shared)), Gateway(std::move(Gateway)),
      Setup(std::move(Setup)), Hooks(std::move(Hooks)) {}

void ExecutorLink::open() { this->report(); }

jobs::ExecutorTime ExecutorLink::nextLease() {
  this->LastLeaseSentAt = this->Shared.now();
  const jobs::ExecutorTime Until =
      this->Clocks.estimate(this->LastLeaseSentAt) +
      toMilliseconds(this->Setup.MaxLease);
  this->Clocks.noteLease(Until);
  return Until;
}

void ExecutorLink::scheduleReport(Duration Delay) {
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + Delay,
              [](ExecutorLink &Self) { Self.report(); });
}

bool ExecutorLink::isIdle() const {
  return !this->HasRuns && this->OpenStarts == 0 && this->QueuedStarts.empty();
}

void ExecutorLink::report() {
  if (this->IsClosed)
    return;
  if (!this->Hooks.CanOrder()) {
    this->checkLeaseExpiry();
    this->scheduleReport(MinRetryDelay);
    return;
  }
  if (!this->canAcknowledge()) {
    this->scheduleReport(CoalesceTime);
    return;
  }
  // What an executor reports for the first time may be all that is left of
  // what a successor has already read there.
  if (!this->Clocks.isKnown() && !this->canConcludeLoss()) {
    this->scheduleReport(MinRetryDelay);
    return;
  }
  jobs::ReportRequest Request;
  Request.Token = this->Setup.Token;
  // The first call returns the executor's clock and everything that runs there.
  // An executor that does not answer gets no longer lease: its runs must have
  // ended before they are started elsewhere. It discards nothing either, since
  // it may have started again and number its ends anew.
  if (this->Clocks.isKnown() && this->IsReachable) {
    // Also a call that is carried out late may reach another incarnation, so it
    // names no more than the ends that the executor still keeps.
    Request.DiscardThrough = std::min(
        this->Hooks.LastDiscardableEnd(this->Setup.Executor.Id), this->LastEnd);
    Request.LeaseUntil = this->nextLease();
    Request.Wait = this->isIdle() ? IdleReportWait : ReportWait;
  }
  this->noteAcknowledged(Request.DiscardThrough);
  this->Gateway.Report(
      this->Setup.Executor, Request,
      this->Shared.now() + Request.Wait + ReportMargin,
      onLoop<ExecutorLink, jobs::GatewayResult<jobs::ExecutorReport>>(
          this->Shared.Loop, this->shared_from_this(),
          [Call = this->callContext(),
           HadLease = Request.LeaseUntil.has_value()](
              ExecutorLink &Self,
              jobs::GatewayResult<jobs::ExecutorReport> Answer) {
            Self.handleReport(Call, HadLease, std::move(Answer));
          }));
}

void ExecutorLink::beginIncarnation() {
  ++this->IncarnationsSeen;
  this->Clocks = jobs::ExecutorClock();
  this->LastListedEnd = 0;
  this->ListedEnds.clear();
  this->dropQueuedStarts();
  // Calls that were meant for an earlier incarnation may give this one a lease.
  // Those that are still open are noted if they turn out to be unanswered.
  this->Setup.LateLeasesEnd = std::max(
      {this->Setup.LateLeasesEnd, this->lateLeaseEnd(this->LastUnansweredLease),
       this->Shared.now() + OrderTimeout +
           jobs::longestLease(this->Setup.MaxLease)});
}

void ExecutorLink::noteUnansweredLease(const CallContext &Call) {
  this->LastUnansweredLease = std::max(this->LastUnansweredLease, Call.SentAt);
  if (Call.Incarnations != this->IncarnationsSeen)
    this->Setup.LateLeasesEnd =
        std::max(this->Setup.LateLeasesEnd, this->lateLeaseEnd(Call.SentAt));
}

ExecutorLink::CallContext ExecutorLink::callContext() const {
  return {this->Shared.now(), this->IncarnationsSeen, this->Clocks.latest()};
}

bool ExecutorLink::isFromSameIncarnation(
    const CallContext &Call, std::optional<jobs::ExecutorTime> At) const {
  // The clock of one incarnation does not go back.
  return Call.Incarnations == this->IncarnationsSeen &&
         (!At || *At >= Call.Latest);
}

void ExecutorLink::dropQueuedStarts() {
  for (const QueuedStart &Dropped : std::exchange(this->QueuedStarts, {}))
    this->Hooks.OnStart(Dropped.Order, jobs::StartOutcome::Unhealthy, 0);
}

void ExecutorLink::handleReport(
    const CallContext &Call, bool HadLease,
    jobs::GatewayResult<jobs::ExecutorReport> Answer) {
  if (this->IsClosed)
    return;
  if (!Answer) {
    if (HadLease && Answer.error().Code == jobs::GatewayErrorCode::NoAnswer)
      this->noteUnansweredLease(Call);
    this->handleFailure(Answer.error());
    return;
  }
  const bool IsOther = this->Incarnation != 0 &&
                       Answer.value().Incarnation != 0 &&
                       Answer.value().Incarnation != this->Incarnation;
  if ((IsOther || !this->Clocks.isKnown()) && !this->canConcludeLoss()) {
    this->handleFailure(
        {jobs::GatewayErrorCode::NoAnswer, "unknown incarnation"});
    return;
  }
  this->Failures = 0;
  this->noteAnswerAfterExpiry(Answer.value());
  Answer.value().RequestedAt = Call.SentAt;
  // Only one report call is open at a time, so this is the present incarnation,
  // also if its number is lower.
  const jobs::ExecutorIncarnation Reported = Answer.value().Incarnation;
  if (Reported != 0 && Reported != this->Incarnation) {
    if (this->Incarnation != 0) {
      // The answer may be that to a copy without the lease.
      if (HadLease)
        this->noteUnansweredLease(Call);
      this->beginIncarnation();
    }
    this->Incarnation = Reported;
  }
  // From now on the executor refuses calls of earlier planners.
  if (!this->Clocks.isKnown())
    this->Setup.EarlierLeasesEnd =
        std::min(this->Setup.EarlierLeasesEnd,
                 this->Shared.now() + jobs::longestLease(this->Setup.MaxLease));
  this->Clocks.note(Answer.value().At, this->Shared.now());
  if (!this->IsReachable) {
    this->IsReachable = true;
    this->Hooks.OnReachable(this->Setup.Executor.Id, true);
  }
  this->HasRuns = !Answer.value().Running.empty();
  this->LastEnd =
      Answer.value().Ended.empty() ? 0 : Answer.value().Ended.back().Number;
  this->noteListed(Answer.value().Ended);
  this->Hooks.OnReport(this->Setup.Executor.Id, Answer.value());
  if (this->LastEnd == 0) {
    this->scheduleReport(Duration::zero());
    return;
  }
  this->AcknowledgeDeadline = this->Shared.now() + MaxAcknowledgementDelay;
  this->scheduleReport(CoalesceTime);
}

/// Logs what an executor reports for the first time after its leases were taken
/// as expired. By its own clock they must have expired, too. Leases that were
/// sent since do not count.
void ExecutorLink::noteAnswerAfterExpiry(const jobs::ExecutorReport &Report) {
  if (!std::exchange(this->IsEmptyReported, false))
    return;
  const bool IsSame =
      Report.Incarnation == 0 || Report.Incarnation == this->Incarnation;
  const bool IsComparable =
      IsSame && this->Expiry.Bound == LeaseBound::OwnLease;
  const jobs::ExecutorTime Left = this->Expiry.LeaseEnd - Report.At;
  logEvent(IsComparable && Left > 0 ? LogLevel::Error : LogLevel::Info,
           "executor-back",
           {{"executor", this->Setup.Executor.Id},
            {"incarnation", Report.Incarnation},
            {"same-incarnation", IsSame ? "yes" : "no"},
            {"bound", nameOf(LeaseBoundNames, this->Expiry.Bound)},
            {"lease-end", this->Expiry.LeaseEnd},
            {"clock", Report.At},
            {"lease-left-ms", IsComparable ? std::to_string(Left) : "unknown"},
            {"given-up-ms",
             toMilliseconds(this->Shared.now() - this->Expiry.ConcludedAt)},
            {"running", Report.Running.size()},
            {"ended", Report.Ended.size()}});
}

void ExecutorLink::noteListed(const std::vector<jobs::EndReport> &Ended) {
  ++this->Traffic.Reports;
  for (const jobs::EndReport &End : Ended)
    if (End.Number > this->LastListedEnd) {
      this->LastListedEnd = End.Number;
      this->ListedEnds.emplace_back(End.Number, this->Shared.now());
    } else {
      ++this->Traffic.RepeatedEnds;
    }
}

void ExecutorLink::noteAcknowledged(uint64_t Through) {
  const TimePoint Now = this->Shared.now();
  if (!this->ListedEnds.empty() && this->ListedEnds.front().first <= Through)
    this->Hooks.OnAcknowledged(this->Setup.Executor.Id, Through);
  while (!this->ListedEnds.empty() &&
         this->ListedEnds.front().first <= Through) {
    ++this->Traffic.AcknowledgedEnds;
    this->Traffic.LongestWait = std::max(this->Traffic.LongestWait,
                                         Now - this->ListedEnds.front().second);
    this->ListedEnds.pop_front();
  }
  if (Now < this->NextEndsLog)
    return;
  this->NextEndsLog = Now + EndsLogInterval;
  const EndTraffic Counted = std::exchange(this->Traffic, EndTraffic());
  if (Counted.RepeatedEnds == 0)
    return;
  const Duration OldestAge = this->ListedEnds.empty()
                                 ? Duration::zero()
                                 : Now - this->ListedEnds.front().second;
  logEvent(LogLevel::Info, "ends-repeated",
           {{"executor", this->Setup.Executor.Id},
            {"reports", Counted.Reports},
            {"repeated", Counted.RepeatedEnds},
            {"acknowledged", Counted.AcknowledgedEnds},
            {"longest-wait-ms", toMilliseconds(Counted.LongestWait)},
            {"waiting", this->ListedEnds.size()},
            {"oldest-ms", toMilliseconds(OldestAge)}});
}

/// Whether the ends of the last report can be acknowledged. Until they are
/// acknowledged, the executor would answer the next call at once with the same
/// ends.
bool ExecutorLink::canAcknowledge() const {
  return this->LastEnd == 0 ||
         this->Shared.now() >= this->AcknowledgeDeadline ||
         this->Hooks.LastDiscardableEnd(this->Setup.Executor.Id) >=
             this->LastEnd;
}

void ExecutorLink::handleFailure(const jobs::GatewayError &Cause) {
  switch (Cause.Code) {
  case jobs::GatewayErrorCode::OtherIncarnation:
    if (!this->canConcludeLoss())
      break;
    this->Hooks.OnEmpty(this->Setup.Executor.Id, jobs::ExecutorLoss::Replaced);
    this->IsClosed = true;
    return;
  case jobs::GatewayErrorCode::Fenced:
    this->Hooks.OnFenced();
    return;
  case jobs::GatewayErrorCode::NoAnswer:
  case jobs::GatewayErrorCode::Busy:
  case jobs::GatewayErrorCode::Refused:
  case jobs::GatewayErrorCode::BadAnswer:
    break;
  }
  ++this->Failures;
  if (this->IsReachable) {
    this->IsReachable = false;
    logEvent(LogLevel::Warning, "executor-silent",
             {{"executor", this->Setup.Executor.Id},
              {"code", nameOf(jobs::GatewayErrorNames, Cause.Code)},
              {"cause", Cause.Message}});
    this->Hooks.OnReachable(this->Setup.Executor.Id, false);
  }
  this->checkLeaseExpiry();
  const int64_t Doublings = std::min(this->Failures - 1, MaxRetryDoublings);
  this->scheduleReport(this->Shared.jittered(MinRetryDelay * (1 << Doublings)));
}

/// Reports once that all leases of an executor that does not answer have
/// expired, so that nothing can run there.
void ExecutorLink::checkLeaseExpiry() {
  if (this->IsEmptyReported || !this->canConcludeLoss())
    return;
  // The leases of earlier planners and those from late calls may end after the
  // last one that was meant for this incarnation.
  const TimePoint OwnLeasesEnd = this->Clocks.leasesExpiredAt();
  const TimePoint OtherLeasesEnd =
      std::max(this->Setup.EarlierLeasesEnd, this->Setup.LateLeasesEnd);
  const bool IsOwnLeaseLast =
      OwnLeasesEnd != TimePoint::min() && OwnLeasesEnd >= OtherLeasesEnd;
  const TimePoint LeasesEnd = std::max(OwnLeasesEnd, OtherLeasesEnd);
  if (this->Shared.now() <= LeasesEnd)
    return;
  this->IsEmptyReported = true;
  this->Expiry = {IsOwnLeaseLast ? LeaseBound::OwnLease
                                 : LeaseBound::OtherLeases,
                  this->Clocks.latestLeaseEnd(), this->Shared.now()};
  logEvent(LogLevel::Info, "leases-expired",
           {{"executor", this->Setup.Executor.Id},
            {"incarnation", this->Incarnation},
            {"bound", nameOf(LeaseBoundNames, this->Expiry.Bound)},
            {"lease-end", this->Expiry.LeaseEnd},
            {"last-clock", this->Clocks.latest()},
            {"answered-ms", this->Clocks.isKnown()
                                ? toMilliseconds(this->Shared.now() -
                                                 this->Clocks.answeredAt())
                                : -1},
            {"past-ms", toMilliseconds(this->Shared.now() - LeasesEnd)}});
  this->Hooks.OnEmpty(this->Setup.Executor.Id,
                      jobs::ExecutorLoss::LeasesExpired);
}

void ExecutorLink::start(jobs::StartOrder Order) {
  this->QueuedStarts.push_back({std::move(Order), this->Shared.now()});
  this->sendStarts();
}

void ExecutorLink::sendStarts() {
  while (!this->QueuedStarts.empty() && this->OpenStarts < MaxOpenStarts) {
    const auto [Order, DecidedAt] = std::move(this->QueuedStarts.front());
    this->QueuedStarts.pop_front();
    // An order that was not sent cannot have started the task. While it waited,
    // the executor may have been declared empty and the task started elsewhere.
    if (!this->Hooks.CanStart() || !this->Hooks.IsCurrent(Order)) {
      this->Hooks.OnStart(Order, jobs::StartOutcome::Late, 0);
      continue;
    }
    if (this->IsClosed || !this->Clocks.isKnown()) {
      this->Hooks.OnStart(Order, jobs::StartOutcome::Unhealthy, 0);
      continue;
    }
    ++this->OpenStarts;
    this->Hooks.OnStartSent(Order);
    this->Gateway.Start(
        this->Setup.Executor, Order, this->Setup.Token, this->nextLease(),
        this->Shared.now() + OrderTimeout,
        onLoop<ExecutorLink, jobs::StartAnswer>(
            this->Shared.Loop, this->shared_from_this(),
            [Order = Order, DecidedAt = DecidedAt, Call = this->callContext()](
                ExecutorLink &Self, const jobs::StartAnswer &Answer) {
              Self.Hooks.OnStartAnswered(DecidedAt, Call.SentAt);
              Self.handleStartAnswer(Order, Call, Answer);
            }));
  }
}

/// Whether the outcome says something about the runs on the incarnation that
/// answered, and not only that the order was refused.
static bool dependsOnIncarnation(jobs::StartOutcome Outcome) {
  return Outcome == jobs::StartOutcome::Started ||
         Outcome == jobs::StartOutcome::Outdated;
}

void ExecutorLink::handleStartAnswer(const jobs::StartOrder &Order,
                                     const CallContext &Call,
                                     const jobs::StartAnswer &Answer) {
  --this->OpenStarts;
  if (Answer.Outcome == jobs::StartOutcome::Unknown)
    this->noteUnansweredLease(Call);
  const bool IsOther = Answer.Incarnation != 0 && this->Incarnation != 0 &&
                       Answer.Incarnation != this->Incarnation;
  const bool IsSame = !IsOther && this->isFromSameIncarnation(Call, Answer.At);
  if (IsSame && Answer.At)
    this->Clocks.note(*Answer.At, this->Shared.now());
  if (Answer.Outcome == jobs::StartOutcome::Fenced)
    this->Hooks.OnFenced();
  // If the answer is from another incarnation than the reports, only the next
  // report tells whether the run exists.
  if (!IsSame && dependsOnIncarnation(Answer.Outcome))
    this->Hooks.OnStart(Order, jobs::StartOutcome::Unknown, 0);
  else
    this->Hooks.OnStart(Order, Answer.Outcome, Answer.At.value_or(0));
  this->sendStarts();
}

void ExecutorLink::stop(const jobs::StopOrder &Order) {
  // A start order that has not been sent yet is dropped.
  for (auto Each = this->QueuedStarts.begin(); Each != this->QueuedStarts.end();
       ++Each)
    if (Each->Order.Task == Order.Task && Each->Order.Run == Order.Run) {
      const jobs::StartOrder Dropped = Each->Order;
      this->QueuedStarts.erase(Each);
      this->Hooks.OnStart(Dropped, jobs::StartOutcome::Unhealthy, 0);
      return;
    }
  if (this->IsClosed || !this->Hooks.CanOrder()) {
    this->Hooks.OnStop(Order, std::nullopt);
    return;
  }
  this->Gateway.Stop(
      this->Setup.Executor, Order, this->Setup.Token,
      this->Shared.now() + OrderTimeout,
      onLoop<ExecutorLink, jobs::GatewayResult<jobs::ExecutorTime>>(
          this->Shared.Loop, this->shared_from_this(),
          [Order, Call = this->callContext()](
              ExecutorLink &Self,
              const jobs::GatewayResult<jobs::ExecutorTime> &Answer) {
            std::optional<jobs::ExecutorTime> At;
            if (Answer && Self.isFromSameIncarnation(Call, Answer.value()))
              At = Answer.value();
            Self.Hooks.OnStop(Order, At);
          }));
}

void ExecutorLink::pace(const jobs::PaceOrder &Order) {
  if (this->IsClosed || !this->Hooks.CanOrder())
    return;
  this->Gateway.Pace(
      this->Setup.Executor, Order, this->Setup.Token,
      this->Shared.now() + OrderTimeout,
      [Order](const jobs::GatewayResult<jobs::ExecutorTime> &Answer) {
        if (!Answer)
          logEvent(
              LogLevel::Warning, "pace-failed",
              {{"task", Order.Task.text()},
               {"percent", Order.Percent},
               {"code", nameOf(jobs::GatewayErrorNames, Answer.error().Code)}});
      });
}

} // namespace whintack::dispatch::Internal
