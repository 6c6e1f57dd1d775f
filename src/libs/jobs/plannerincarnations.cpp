#include "planner_p.h"
#include "whintack/jobs/executorclock.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// How much earlier than OrderLostAt a long-running task starts elsewhere: its
/// service is away meanwhile, and an executor that restarts does so within
/// seconds.
static constexpr Duration LongRunningHeadStart = std::chrono::seconds(10);

/// Whether the report lists the run as running or ended.
static bool isListed(const ExecutorReport &Report, const TaskKey &Task,
                     uint64_t Number) {
  const auto IsRun = [&](const auto &Row) {
    return Row.Task == Task && Row.Run == Number;
  };
  return std::any_of(Report.Running.begin(), Report.Running.end(), IsRun) ||
         std::any_of(Report.Ended.begin(), Report.Ended.end(), IsRun);
}

bool ExecutorRecord::isInfoCurrent() const {
  return this->Incarnation == 0 || this->Info.Incarnation == 0 ||
         this->Incarnation == this->Info.Incarnation;
}

void Planner::Private::beginIncarnation(ExecutorRecord &Executor,
                                        const ExecutorReport &Report,
                                        TimePoint Now) {
  const ExecutorId &Id = Executor.Info.Id;
  std::vector<SuspectRun> Suspects =
      std::exchange(Executor.UnexplainedRuns, {});
  const std::vector<SuspectRun> Lost = this->suspectRuns(Executor, Now);
  Suspects.insert(Suspects.end(), Lost.begin(), Lost.end());
  std::erase_if(Suspects, [&Report](const SuspectRun &Each) {
    return isListed(Report, Each.Task, Each.Number);
  });
  this->log("executor-restarted", {{"executor", Id},
                                   {"incarnation", Report.Incarnation},
                                   {"earlier", Executor.Incarnation},
                                   {"last-end", Executor.LastEnd},
                                   {"runs", Executor.Runs.size()},
                                   {"suspects", Suspects.size()}});
  this->countCrash(Suspects, Id, Now);
  Executor.LastEnd = 0;
  Executor.UnacknowledgedEnds.clear();
  Executor.FirstDeferredEnd = 0;
  Executor.LastDiscardableEnd = 0;
  Executor.Throttle = BestEffortThrottle();
  Executor.NoRoomUntil = TimePoint::min();
  Executor.SettledAt = TimePoint::min();
  Executor.SuspectUntil = TimePoint::min();
  Executor.ReservedUntil = TimePoint::min();
  this->HealthTracker.forget(Id);
  this->forgetTickets(Id);
  for (const auto &[Key, Number] : Executor.Runs) {
    RunRecord &Run = *this->findTask(Key)->Current;
    // Whether the run is over can be seen from when it became known, but not
    // by the clock of the earlier incarnation.
    Run.ConfirmedAt.reset();
    Run.StopConfirmedAt.reset();
    if (Run.KnownSince != TimePoint::max())
      continue;
    // The order may have reached either incarnation, or may still be under way.
    Run.StartTimeoutAt = std::min(Run.StartTimeoutAt, Now + StartReportTimeout);
    if (Run.Phase == RunPhase::Stopping)
      this->setNextStop(Run, Now);
  }
  for (BarredRun &Each : Executor.BarredRuns)
    Each.NextStopAt = Now;
  this->NextStopAt = std::min(this->NextStopAt, Now);
}

void Planner::noteStartSent(const StartOrder &Order, TimePoint Now) {
  if (this->isCurrent(Order))
    this->D->findTask(Order.Task)->Current->OrderLostAt = Now + MaxCallDelay;
}

TimePoint Planner::Private::lateStartDeadline(const TaskKey &Key,
                                              const RunRecord &Run) {
  const JobRecord &Job = *this->findJob(Key.Step.Job);
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  const bool IsAwaited = Run.KnownSince == TimePoint::max() &&
                         !Spec.AllowsCopies && !isFinal(Job.State) &&
                         !this->findTask(Key)->Stored.IsDone &&
                         Run.OrderLostAt != TimePoint::min();
  if (!IsAwaited)
    return TimePoint::min();
  return Spec.IsLongRunning ? Run.OrderLostAt - LongRunningHeadStart
                            : Run.OrderLostAt;
}

void Planner::Private::awaitLateStart(const ExecutorRecord &Executor,
                                      const TaskKey &Key, TimePoint Now) {
  RunRecord &Run = *this->findTask(Key)->Current;
  const TimePoint Until = this->lateStartDeadline(Key, Run);
  this->log("late-start-awaited", {{"task", Key.text()},
                                   {"run", Run.Number},
                                   {"executor", Executor.Info.Id},
                                   {"for-ms", toMilliseconds(Until - Now)}});
  // The first report of an executor that is back either lists the run or leads
  // to its stop.
  Run.StartTimeoutAt = std::min(Run.StartTimeoutAt, Now);
  this->NextStopAt = std::min(this->NextStopAt, Until);
}

void Planner::Private::releaseLostStarts(ExecutorRecord &Executor,
                                         TimePoint Now) {
  const std::map<TaskKey, uint64_t> Kept = Executor.Runs;
  for (const auto &[Key, Number] : Kept) {
    const RunRecord &Run = *this->findTask(Key)->Current;
    const TimePoint Until = this->lateStartDeadline(Key, Run);
    if (Now < Until)
      this->NextStopAt = std::min(this->NextStopAt, Until);
    else
      this->giveUpRun(Executor, Key, RunLoss::OrderLost, Now);
  }
}

void Planner::Private::giveUpRun(ExecutorRecord &Executor, const TaskKey &Key,
                                 RunLoss Cause, TimePoint Now) {
  TaskRecord &Task = *this->findTask(Key);
  this->noteRunLost(Key, Task, Cause, Now);
  this->barRun(Executor, Key, *Task.Current, Now);
  this->releaseRun(Key, Task);
  const JobRecord &Job = *this->findJob(Key.Step.Job);
  if (this->stepSpec(Job, Key.Step).IsGang)
    this->stopGang(Key.Step);
  this->removeIfFinished(Key.Step.Job);
}

void Planner::Private::barRun(ExecutorRecord &Executor, const TaskKey &Key,
                              const RunRecord &Run, TimePoint Now) {
  const bool IsOrderLost =
      Run.OrderLostAt != TimePoint::min() && Run.OrderLostAt <= Now;
  if (Run.KnownSince != TimePoint::max() || IsOrderLost)
    return;
  const TimePoint Until = Now + MaxCallDelay;
  Executor.BarredRuns.push_back({Key, Run.Number, Until, TimePoint::max()});
  this->NextStopAt = std::min(this->NextStopAt, Until);
}

void Planner::Private::noteBarred(const StopOrder &Order) {
  const auto Found = this->Executors.find(Order.Executor);
  if (Found == this->Executors.end())
    return;
  for (BarredRun &Each : Found->second.BarredRuns)
    if (Each.Task == Order.Task && Each.Number == Order.Run)
      Each.NextStopAt = TimePoint::max();
}

void Planner::Private::resendBarringStops(ExecutorRecord &Executor,
                                          TimePoint Now) {
  std::erase_if(Executor.BarredRuns,
                [Now](const BarredRun &Each) { return Each.Until <= Now; });
  for (BarredRun &Each : Executor.BarredRuns) {
    if (Each.NextStopAt <= Now) {
      this->Orders.push_back(
          StopOrder{Executor.Info.Id, Each.Task, Each.Number});
      Each.NextStopAt = Now + StopRetryDelay;
    }
    this->NextStopAt =
        std::min({this->NextStopAt, Each.NextStopAt, Each.Until});
  }
}

void Planner::Private::forgetTickets(const ExecutorId &Id) {
  for (auto &[Step, Known] : this->Advice) {
    Known.Tickets.erase(Id);
    Known.AskedExecutors.erase(Id);
  }
}

} // namespace whintack::jobs
