#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// How long an executor that refused a task for lack of resources gets no new
/// tasks; about the time until a report tells what runs there.
static constexpr Duration NoRoomRetryDelay = std::chrono::milliseconds(100);
/// Delay before an order that was refused as malformed is tried again. Only a
/// newer configuration or program can change the outcome.
static constexpr Duration MalformedRetryDelay = std::chrono::seconds(1);

bool Planner::isCurrent(const StartOrder &Order) const {
  const TaskRecord *Task = this->D->findTask(Order.Task);
  return Task && Task->Current && Task->Current->Number == Order.Run &&
         Task->Current->Executor == Order.Executor;
}

void Planner::noteStart(const StartOrder &Order, StartOutcome Outcome,
                        ExecutorTime At, TimePoint Now) {
  const auto Found = this->D->Executors.find(Order.Executor);
  TaskRecord *Task = this->D->findTask(Order.Task);
  if (Outcome != StartOutcome::Started)
    this->D->log("start-refused",
                 {{"task", Order.Task.text()},
                  {"run", Order.Run},
                  {"executor", Order.Executor},
                  {"outcome", nameOf(StartOutcomeNames, Outcome)}});
  if (!this->isCurrent(Order) || Found == this->D->Executors.end())
    return;
  ExecutorRecord &Executor = Found->second;
  const StepKey Step = Order.Task.Step;
  JobRecord &Job = *this->D->findJob(Step.Job);
  const bool IsGang = this->D->stepSpec(Job, Step).IsGang;
  switch (Outcome) {
  case StartOutcome::Started:
    Task->Current->ConfirmedAt = At;
    Task->Current->AnsweredAt = Now;
    Task->Current->KnownSince = Now;
    this->D->noteStarted(Executor, Order.Task, Now);
    if (Task->Current->Phase == RunPhase::Starting)
      Task->Current->Phase = RunPhase::Running;
    Job.HasStarted = true;
    if (this->D->stepSpec(Job, Step).IsBestEffort &&
        Executor.Throttle.percent() < 100)
      this->D->Orders.push_back(PaceOrder{Order.Executor, Order.Task, Order.Run,
                                          Executor.Throttle.percent()});
    this->D->stopIfDraining(Executor, Order.Task);
    return;
  case StartOutcome::Unknown:
    // The run may exist. Wait for a report before stopping it needlessly.
    this->D->HealthTracker.noteUnavailable(Order.Executor, Now);
    Task->Current->StartTimeoutAt = Now + StartReportTimeout;
    return;
  case StartOutcome::OtherIncarnation:
    this->noteEmpty(Order.Executor, ExecutorLoss::Replaced, Now);
    return;
  case StartOutcome::NoRoom:
    Executor.NoRoomUntil = Now + NoRoomRetryDelay;
    break;
  case StartOutcome::NoTicket:
    this->D->noteTicketRejected(Order, Now);
    break;
  case StartOutcome::Unhealthy:
    this->D->HealthTracker.noteUnavailable(Order.Executor, Now);
    break;
  case StartOutcome::Malformed:
    Task->EarliestStart = Now + MalformedRetryDelay;
    break;
  case StartOutcome::Outdated:
    // This run can no longer start there, but an earlier copy of the order may
    // have started it, and it may have ended since. The next report tells.
    Task->Current->StopConfirmedAt = At;
    return;
  case StartOutcome::Fenced:
  case StartOutcome::Late:
    break;
  }
  this->D->noteRunLost(Order.Task, *Task, RunLoss::Refused, Now);
  this->D->releaseRun(Order.Task, *Task);
  if (IsGang)
    this->D->stopGang(Step);
  this->D->removeIfFinished(Step.Job);
}

void Planner::noteStop(const StopOrder &Order, std::optional<ExecutorTime> At,
                       TimePoint Now) {
  TaskRecord *Task = this->D->findTask(Order.Task);
  if (!Task || !Task->Current || Task->Current->Number != Order.Run ||
      Task->Current->Executor != Order.Executor) {
    if (At)
      this->D->noteBarred(Order);
    return;
  }
  if (At)
    Task->Current->StopConfirmedAt = At;
  else if (Task->Current->Phase == RunPhase::Stopping)
    this->D->setNextStop(*Task->Current, Now + StopRetryDelay);
}

void Planner::Private::setNextStop(RunRecord &Run, TimePoint At) {
  Run.NextStopAt = At;
  this->NextStopAt = std::min(this->NextStopAt, At);
}

void Planner::Private::resendStops(TimePoint Now) {
  if (this->NextStopAt > Now)
    return;
  this->NextStopAt = TimePoint::max();
  for (auto &[Id, Executor] : this->Executors) {
    this->resendBarringStops(Executor, Now);
    if (!Executor.HasReported) {
      this->releaseLostStarts(Executor, Now);
      continue;
    }
    for (const auto &[Key, Number] : Executor.Runs) {
      RunRecord &Run = *this->findTask(Key)->Current;
      if (Run.NextStopAt > Now) {
        this->NextStopAt = std::min(this->NextStopAt, Run.NextStopAt);
        continue;
      }
      Run.NextStopAt = TimePoint::max();
      this->Orders.push_back(StopOrder{Id, Key, Number});
    }
  }
}

} // namespace whintack::jobs
