#include "executorlink.h"

namespace whintack::dispatch::Internal {

/// How long the executor holds the call back while nothing ends; half of what
/// executors accept, so that a silent connection is noticed within 2 s.
static constexpr Duration ReportWait = std::chrono::milliseconds(1000);
/// Added to that for travel and a slow executor.
static constexpr Duration ReportSlack = std::chrono::milliseconds(700);
/// Ends that come within this time are taken in one report.
static constexpr Duration CoalesceTime = std::chrono::milliseconds(10);
/// How long a report waits until what the last one said is stored.
static constexpr Duration LongestAcknowledgement =
    std::chrono::milliseconds(150);
/// Time in which an executor answers an order; orders take it milliseconds.
static constexpr Duration OrderTimeout = std::chrono::milliseconds(800);
static constexpr Duration FirstRetry = std::chrono::milliseconds(100);
static constexpr int64_t MostRetryDoublings = 3;
/// Orders to start on their way to one executor at a time: enough to hide the
/// travel time, few enough to need few of its 64 connections.
static constexpr size_t MostOpenStarts = 6;

ExecutorLink::ExecutorLink(Context Shared, jobs::ExecutorGateway Gateway,
                           LinkSetup Setup, LinkHooks Hooks)
    : Shared(std::move(Shared)), Gateway(std::move(Gateway)),
      Setup(std::move(Setup)), Hooks(std::move(Hooks)) {}

void ExecutorLink::open() { this->report(); }

jobs::ExecutorTime ExecutorLink::nextLease() {
  const jobs::ExecutorTime Until = this->Clocks.estimate(this->Shared.now()) +
                                   toMilliseconds(this->Setup.LongestLease);
  this->Clocks.noteLease(Until);
  return Until;
}

void ExecutorLink::again(Duration Pause) {
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + Pause,
              [](ExecutorLink &Self) { Self.report(); });
}

void ExecutorLink::report() {
  if (this->IsClosed)
    return;
  if (!this->Hooks.MayOrder()) {
    this->checkLapse();
    this->again(FirstRetry);
    return;
  }
  if (!this->canAcknowledge()) {
    this->again(CoalesceTime);
    return;
  }
  jobs::ReportRequest Wanted;
  Wanted.Token = this->Setup.Token;
  Wanted.ForgetThrough = this->Hooks.ForgettableEnd(this->Setup.To.Id);
  // The first call tells the executor's clock, and all that runs there.
  // One that does not answer is lent no more time: what it runs has to be over
  // before it is started elsewhere.
  if (this->Clocks.isKnown() && this->IsReachable) {
    Wanted.LeaseUntil = this->nextLease();
    Wanted.Wait = ReportWait;
  }
  this->Gateway.Report(
      this->Setup.To, Wanted, this->Shared.now() + Wanted.Wait + ReportSlack,
      onLoop<ExecutorLink, jobs::GatewayResult<jobs::ExecutorReport>>(
          this->Shared.Loop, this->shared_from_this(),
          [](ExecutorLink &Self,
             jobs::GatewayResult<jobs::ExecutorReport> Answer) {
            Self.takeReport(std::move(Answer));
          }));
}

void ExecutorLink::takeReport(
    jobs::GatewayResult<jobs::ExecutorReport> Answer) {
  if (this->IsClosed)
    return;
  if (!Answer) {
    this->noteFailure(Answer.error());
    return;
  }
  this->Failures = 0;
  this->HasReported = true;
  this->IsEmptyTold = false;
  this->Clocks.note(Answer.value().At, this->Shared.now());
  if (!this->IsReachable) {
    this->IsReachable = true;
    this->Hooks.OnReachable(this->Setup.To.Id, true);
  }
  this->LastEnd =
      Answer.value().Ended.empty() ? 0 : Answer.value().Ended.back().Number;
  this->Hooks.OnReport(this->Setup.To.Id, Answer.value());
  if (this->LastEnd == 0) {
    this->again(Duration::zero());
    return;
  }
  this->AcknowledgeBy = this->Shared.now() + LongestAcknowledgement;
  this->again(CoalesceTime);
}

/// Whether the ends of the last report can be acknowledged. Until then the
/// executor would answer at once, with the same ends.
bool ExecutorLink::canAcknowledge() const {
  return this->LastEnd == 0 || this->Shared.now() >= this->AcknowledgeBy ||
         this->Hooks.ForgettableEnd(this->Setup.To.Id) >= this->LastEnd;
}

void ExecutorLink::noteFailure(const jobs::GatewayError &Cause) {
  switch (Cause.Code) {
  case jobs::GatewayErrorCode::OtherIncarnation:
    this->Hooks.OnEmpty(this->Setup.To.Id, "replaced");
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
             {{"executor", this->Setup.To.Id},
              {"code", nameOf(jobs::GatewayErrorNames, Cause.Code)},
              {"cause", Cause.Message}});
    this->Hooks.OnReachable(this->Setup.To.Id, false);
  }
  this->checkLapse();
  const int64_t Doublings = std::min(this->Failures - 1, MostRetryDoublings);
  this->again(this->Shared.jittered(FirstRetry * (1 << Doublings)));
}

/// Tells once when nothing can run on an executor that does not answer.
void ExecutorLink::checkLapse() {
  if (this->IsEmptyTold)
    return;
  TimePoint Over = this->Clocks.lapsedBy();
  if (!this->HasReported)
    Over = std::max(Over, this->Setup.EarlierLeasesOver);
  if (this->Shared.now() <= Over)
    return;
  this->IsEmptyTold = true;
  this->Hooks.OnEmpty(this->Setup.To.Id, "leases lapsed");
}

void ExecutorLink::start(jobs::StartOrder Order) {
  this->Waiting.push_back(std::move(Order));
  this->sendStarts();
}

void ExecutorLink::sendStarts() {
  while (!this->Waiting.empty() && this->OpenStarts < MostOpenStarts) {
    const jobs::StartOrder Order = std::move(this->Waiting.front());
    this->Waiting.pop_front();
    if (this->IsClosed || !this->Hooks.MayOrder() || !this->Clocks.isKnown()) {
      // Nothing was sent, so nothing was done.
      this->Hooks.OnStart(Order, jobs::StartOutcome::Unhealthy, 0);
      continue;
    }
    ++this->OpenStarts;
    this->Gateway.Start(
        this->Setup.To, Order, this->Setup.Token, this->nextLease(),
        this->Shared.now() + OrderTimeout,
        onLoop<ExecutorLink, jobs::StartAnswer>(
            this->Shared.Loop, this->shared_from_this(),
            [Order](ExecutorLink &Self, const jobs::StartAnswer &Answer) {
              Self.takeStart(Order, Answer);
            }));
  }
}

void ExecutorLink::takeStart(const jobs::StartOrder &Order,
                             const jobs::StartAnswer &Answer) {
  --this->OpenStarts;
  if (Answer.At)
    this->Clocks.note(*Answer.At, this->Shared.now());
  if (Answer.Outcome == jobs::StartOutcome::Fenced)
    this->Hooks.OnFenced();
  this->Hooks.OnStart(Order, Answer.Outcome, Answer.At.value_or(0));
  this->sendStarts();
}

void ExecutorLink::stop(const jobs::StopOrder &Order) {
  // An order to start that has not left yet is dropped.
  for (auto Each = this->Waiting.begin(); Each != this->Waiting.end(); ++Each)
    if (Each->Task == Order.Task && Each->Run == Order.Run) {
      const jobs::StartOrder Dropped = *Each;
      this->Waiting.erase(Each);
      this->Hooks.OnStart(Dropped, jobs::StartOutcome::Unhealthy, 0);
      return;
    }
  if (this->IsClosed || !this->Hooks.MayOrder()) {
    this->Hooks.OnStop(Order, std::nullopt);
    return;
  }
  this->Gateway.Stop(
      this->Setup.To, Order, this->Setup.Token,
      this->Shared.now() + OrderTimeout,
      onLoop<ExecutorLink, jobs::GatewayResult<jobs::ExecutorTime>>(
          this->Shared.Loop, this->shared_from_this(),
          [Order](ExecutorLink &Self,
                  const jobs::GatewayResult<jobs::ExecutorTime> &Answer) {
            std::optional<jobs::ExecutorTime> At;
            if (Answer)
              At = Answer.value();
            Self.Hooks.OnStop(Order, At);
          }));
}

void ExecutorLink::pace(const jobs::PaceOrder &Order) {
  if (this->IsClosed || !this->Hooks.MayOrder())
    return;
  this->Gateway.Pace(
      this->Setup.To, Order, this->Setup.Token,
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
