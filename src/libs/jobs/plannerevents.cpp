#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

void Planner::Private::bookRun(const TaskKey &Key, TaskRecord &Task,
                               RunRecord Run) {
  JobRecord &Job = *this->findJob(Key.Step.Job);
  ExecutorRecord &Executor = this->Executors[Run.Executor];
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  Executor.Booked += Spec.bookedResources();
  this->Tenants.book(Job.Tenant, Spec);
  Executor.Ends.ValidUntil = TimePoint::min();
  if (Spec.IsLongRunning) {
    Executor.LongRunningMilliCores += Spec.bookedResources().MilliCores;
    ++Executor.LongRunningRuns;
  }
  if (Spec.MaxTasksPerExecutor > 0)
    ++Job.step(Key.Step).TasksByExecutor[Run.Executor];
  if (Run.IsLastChance)
    this->LastChanceMilliCores += Spec.bookedResources().MilliCores;
  Executor.Runs[Key] = Run.Number;
  Run.Incarnation = Executor.Incarnation;
  Task.LastRun = std::max(Task.LastRun, Run.Number);
  Task.Current = std::move(Run);
  ++Job.OpenRuns;
  this->markForReview(Job);
}

void Planner::Private::releaseRun(const TaskKey &Key, TaskRecord &Task) {
  JobRecord &Job = *this->findJob(Key.Step.Job);
  ExecutorRecord &Executor = this->Executors[Task.Current->Executor];
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  Executor.Booked -= Spec.bookedResources();
  this->Tenants.release(Job.Tenant, Spec);
  Executor.Ends.ValidUntil = TimePoint::min();
  if (Spec.IsLongRunning) {
    Executor.LongRunningMilliCores -= Spec.bookedResources().MilliCores;
    --Executor.LongRunningRuns;
  }
  if (Spec.MaxTasksPerExecutor > 0) {
    auto &Counts = Job.step(Key.Step).TasksByExecutor;
    const auto Count = Counts.find(Task.Current->Executor);
    if (--Count->second == 0)
      Counts.erase(Count);
  }
  if (Task.Current->IsLastChance)
    this->LastChanceMilliCores -= Spec.bookedResources().MilliCores;
  Executor.Runs.erase(Key);
  Task.Current.reset();
  --Job.OpenRuns;
  this->markForReview(Job);
}

void Planner::Private::orderStop(const TaskKey &Key, TaskRecord &Task) {
  const bool IsLost = this->isLost(*Task.Current);
  if (IsLost)
    this->setNextStop(*Task.Current, TimePoint::min());
  if (Task.Current->Phase == RunPhase::Stopping)
    return;
  Task.Current->Phase = RunPhase::Stopping;
  this->markForReview(*this->findJob(Key.Step.Job));
  if (!IsLost)
    this->Orders.push_back(
        StopOrder{Task.Current->Executor, Key, Task.Current->Number});
}

void Planner::Private::keepLateStart(const TaskKey &Key,
                                     const ExecutorRecord &On) {
  const JobRecord &Job = *this->findJob(Key.Step.Job);
  const TaskRecord &Task = *this->findTask(Key);
  RunRecord &Run = *this->findTask(Key)->Current;
  if (!Run.IsStartDoubtful || Run.StopConfirmedAt || isFinal(Job.State) ||
      Task.Stored.IsDone || On.Info.IsDraining ||
      this->stepSpec(Job, Key.Step).IsGang)
    return;
  Run.Phase = RunPhase::Running;
  Run.IsStartDoubtful = false;
  Run.NextStopAt = TimePoint::max();
  this->log(
      "late-start-kept",
      {{"task", Key.text()}, {"run", Run.Number}, {"executor", Run.Executor}});
}

void Planner::Private::stopGang(const StepKey &Step) {
  JobRecord &Job = *this->findJob(Step.Job);
  for (size_t Member = 0; Member < this->stepSpec(Job, Step).Count; ++Member) {
    TaskRecord &Task = *this->findTask({Step, Member});
    if (Task.Current)
      this->orderStop({Step, Member}, Task);
  }
}

void Planner::setExecutors(const std::vector<ExecutorInfo> &Listed) {
  std::set<ExecutorId> Seen;
  // An earlier planner has no runs on executors that are listed for the first
  // time after the recovery.
  const bool IsFirstList = !std::exchange(this->D->HasExecutorList, true);
  const bool MayHoldEarlierRuns = this->isRecovering() || IsFirstList;
  for (const ExecutorInfo &Info : Listed) {
    if (Info.Service != this->D->Setup.Service)
      continue;
    Seen.insert(Info.Id);
    ExecutorRecord &Executor = this->D->Executors[Info.Id];
    if (Executor.IsListed && Executor.Info == Info)
      continue;
    this->D->log("executor-listed",
                 {{"executor", Info.Id},
                  {"draining", Info.IsDraining ? "yes" : "no"},
                  {"address", Info.Server.text()}});
    if (MayHoldEarlierRuns && Executor.Info.Id.isEmpty())
      Executor.MayHoldEarlierRuns = true;
    Executor.Info = Info;
    Executor.IsListed = true;
    if (Info.IsDraining)
      this->D->drain(Executor);
  }
  for (auto Entry = this->D->Executors.begin();
       Entry != this->D->Executors.end();) {
    ExecutorRecord &Executor = Entry->second;
    if (Seen.contains(Entry->first)) {
      ++Entry;
      continue;
    }
    if (Executor.IsListed)
      this->D->log("executor-unlisted", {{"executor", Entry->first},
                                         {"runs", Executor.Runs.size()}});
    Executor.IsListed = false;
    // An interrupted pass refers to the executors that it may use.
    const bool IsOver = !this->D->Pass && Executor.Runs.empty() &&
                        Executor.UnexplainedRuns.empty() &&
                        Executor.BarredRuns.empty() &&
                        !this->D->AwaitedExecutors.contains(Entry->first);
    if (IsOver)
      this->D->HealthTracker.forget(Entry->first);
    Entry = IsOver ? this->D->Executors.erase(Entry) : std::next(Entry);
  }
}

void Planner::Private::drain(ExecutorRecord &Executor) {
  for (const auto &[Key, Number] : Executor.Runs)
    this->stopIfDraining(Executor, Key);
}

/// Stops a long-running or checkpointing task on a draining executor, so that
/// it continues elsewhere: the executor ends everything when it leaves.
void Planner::Private::stopIfDraining(const ExecutorRecord &Executor,
                                      const TaskKey &Key) {
  if (!Executor.Info.IsDraining)
    return;
  const StepSpec &Spec = this->stepSpec(*this->findJob(Key.Step.Job), Key.Step);
  TaskRecord &Task = *this->findTask(Key);
  if (Task.Current->Phase == RunPhase::Running && !Spec.IsGang &&
      (Spec.IsLongRunning || Spec.IsCheckpointing))
    this->orderStop(Key, Task);
}

void Planner::Private::handleSuccess(JobRecord &Job, const TaskKey &Key,
                                     TimePoint Now) {
  const bool IsGang = this->stepSpec(Job, Key.Step).IsGang;
  StepRecord &Step = Job.step(Key.Step);
  const size_t First = IsGang ? 0 : Key.Index;
  const size_t End = IsGang ? Step.Tasks.size() : Key.Index + 1;
  for (size_t Index = First; Index < End; ++Index) {
    TaskRecord &Task = Step.Tasks[Index];
    if (Task.Stored.IsDone)
      continue;
    Task.Stored.IsDone = true;
    Task.Stored.Checkpoint.clear();
    ++Step.DoneTasks;
    // The other members of a gang report their own ends.
    if (Task.Current && !IsGang)
      this->orderStop({Key.Step, Index}, Task);
  }
  this->markForReview(Job);
  this->recordChange(Job, Now);
  this->completeIfDone(Job, Now);
}

void Planner::Private::handleFailure(JobRecord &Job, const EndReport &End,
                                     ExecutorRecord &Executor, TimePoint Now) {
  const StepSpec &Spec = this->stepSpec(Job, End.Task.Step);
  TaskRecord &Task = this->countingTask(End.Task);
  // Nothing limits how often a long-running task fails, and its runs end for as
  // long as the job lasts, so they are not stored.
  const bool IsNew =
      Spec.IsLongRunning || Task.Stored.FailedRuns.insert(End.Run).second;
  if (!IsNew)
    return;
  Task.LastFailedOn = Executor.Info.Id;
  this->HealthTracker.noteFailure(Executor.Info.Id, Job.Spec.Id, Now);
  if (Spec.IsGang)
    this->stopGang(End.Task.Step);
  const auto Failed = static_cast<int64_t>(Task.Stored.FailedRuns.size());
  if (!Spec.IsLongRunning && Failed >= Job.Policy.MaxAttempts)
    this->endJob(Job, JobState::Failed, Now);
}

namespace {

/// Durations of a run in milliseconds; -1 for those that are not known.
struct RunTimes {
  /// From the placement to the answer to the start order.
  int64_t OrderMs = -1;
  /// From that answer to the report of the end.
  int64_t RunMs = -1;
};

} // namespace

static RunTimes timesOf(const RunRecord &Run, TimePoint Now) {
  RunTimes Times;
  if (Run.AnsweredAt == TimePoint::max())
    return Times;
  Times.OrderMs = toMilliseconds(Run.AnsweredAt - Run.PlacedAt);
  Times.RunMs = toMilliseconds(Now - Run.AnsweredAt);
  return Times;
}

void Planner::Private::handleEnd(ExecutorRecord &Executor, const EndReport &End,
                                 TimePoint Now) {
  JobRecord *Job = this->findJob(End.Task.Step.Job);
  TaskRecord *Task = this->findTask(End.Task);
  if (!Job || !Task) {
    this->logLateEnd(Executor, End);
    return;
  }
  const bool IsCurrent = Task->Current && Task->Current->Number == End.Run &&
                         Task->Current->Executor == Executor.Info.Id;
  const RunTimes Times = IsCurrent ? timesOf(*Task->Current, Now) : RunTimes();
  const EarlierRun *GivenUp =
      IsCurrent ? nullptr : noteLateEnd(Executor, *Task, End, Now);
  this->log(
      "run-ended",
      {{"task", End.Task.text()},
       {"run", End.Run},
       {"executor", Executor.Info.Id},
       {"how", nameOf(RunEndNames, End.Outcome)},
       {"number", End.Number},
       {"current", IsCurrent ? "yes" : "no"},
       {"order-ms", Times.OrderMs},
       {"run-ms", Times.RunMs},
       {"given-up", GivenUp ? nameOf(RunLossNames, GivenUp->Cause) : ""},
       {"given-up-ms",
        GivenUp ? std::to_string(toMilliseconds(Now - GivenUp->At)) : ""}});
  Job->HasStarted = true;
  Task->LastRun = std::max(Task->LastRun, End.Run);
  this->clearCrash(End.Task, End.Run);
  if (IsCurrent) {
    this->learnRunTime(*Job, End, *Task->Current, Now);
    this->noteRunLost(End.Task, *Task, lossOf(End.Outcome), Now, End.Number);
    this->releaseRun(End.Task, *Task);
  }
  const StepSpec &Spec = this->stepSpec(*Job, End.Task.Step);
  if (!End.Checkpoint.empty() && Spec.IsCheckpointing && !Task->Stored.IsDone) {
    TaskRecord &CheckpointOwner =
        Spec.IsGang ? this->gangLeader(End.Task.Step) : *Task;
    CheckpointOwner.Stored.Checkpoint = End.Checkpoint;
  }
  if (!isFinal(Job->State)) {
    if (End.Outcome == RunEnd::Done && !Spec.IsLongRunning) {
      this->HealthTracker.noteSuccess(Executor.Info.Id);
      this->handleSuccess(*Job, End.Task, Now);
    } else if (End.Outcome == RunEnd::Failed) {
      this->handleFailure(*Job, End, Executor, Now);
    } else if (Spec.IsGang) {
      this->stopGang(End.Task.Step);
    }
    this->recordChange(*Job, Now);
  }
  this->removeIfFinished(End.Task.Step.Job);
}

/// Takes over a run that an earlier planner started.
void Planner::Private::adoptRun(ExecutorRecord &Executor, const RunReport &Row,
                                ExecutorTime At, TimePoint Now) {
  TaskRecord &Task = *this->findTask(Row.Task);
  JobRecord &Job = *this->findJob(Row.Task.Step.Job);
  RunRecord Run;
  Run.Number = Row.Run;
  Run.Executor = Executor.Info.Id;
  Run.Phase = RunPhase::Running;
  Run.ConfirmedAt = At;
  Run.KnownSince = Now;
  Run.SettledAt = TimePoint::min();
  Run.Percent = Row.Percent;
  std::erase_if(Executor.BarredRuns, [&Row](const BarredRun &Each) {
    return Each.Task == Row.Task && Each.Number == Row.Run;
  });
  this->clearCrash(Row.Task, Row.Run);
  this->log("run-adopted",
            {{"task", Row.Task.text()},
             {"run", Row.Run},
             {"executor", Executor.Info.Id},
             {"given-up", givenUpCause(Task, Row.Run, Executor.Info.Id)}});
  this->bookRun(Row.Task, Task, std::move(Run));
  Job.HasStarted = true;
  StepRecord &Step = Job.step(Row.Task.Step);
  if (this->stepSpec(Job, Row.Task.Step).IsOnOneRack && Step.Rack.empty() &&
      Executor.Info.Labels.size() > 1)
    Step.Rack = Executor.Info.Labels[1];
  if (isFinal(Job.State) || Task.Stored.IsDone)
    this->orderStop(Row.Task, Task);
}

void Planner::Private::handleRunning(ExecutorRecord &Executor,
                                     const RunReport &Row, ExecutorTime At,
                                     TimePoint Now) {
  TaskRecord *Task = this->findTask(Row.Task);
  if (!Task) {
    Executor.HasUnknownRuns = true;
    this->Orders.push_back(StopOrder{Executor.Info.Id, Row.Task, Row.Run});
    return;
  }
  Task->LastRun = std::max(Task->LastRun, Row.Run);
  if (!Task->Current) {
    this->adoptRun(Executor, Row, At, Now);
  } else if (Task->Current->Executor != Executor.Info.Id ||
             Task->Current->Number != Row.Run) {
    Executor.HasUnknownRuns = true;
    this->log("run-doubled",
              {{"task", Row.Task.text()},
               {"run", Row.Run},
               {"executor", Executor.Info.Id},
               {"kept", Task->Current->Number},
               {"given-up", givenUpCause(*Task, Row.Run, Executor.Info.Id)}});
    this->Orders.push_back(StopOrder{Executor.Info.Id, Row.Task, Row.Run});
    return;
  }
  RunRecord &Run = *Task->Current;
  Run.Incarnation = Executor.Incarnation;
  Run.StartTimeoutAt = TimePoint::max();
  if (Run.Phase == RunPhase::Starting)
    Run.Phase = RunPhase::Running;
  this->keepLateStart(Row.Task, Executor);
  if (!Run.ConfirmedAt)
    Run.ConfirmedAt = At;
  // It may have been counted when an earlier incarnation was lost.
  if (Run.KnownSince == TimePoint::max())
    this->clearCrash(Row.Task, Row.Run);
  Run.KnownSince = std::min(Run.KnownSince, Now);
  if (Run.SettledAt == TimePoint::max())
    this->noteStarted(Executor, Row.Task, Now);
  else if (Now >= Run.SettledAt)
    this->noteSettled(Row.Task, Now);
  Run.Percent = Row.Percent;
  JobRecord &Job = *this->findJob(Row.Task.Step.Job);
  Job.HasStarted = true;
  const StepSpec &Spec = this->stepSpec(Job, Row.Task.Step);
  if (Spec.IsCheckpointing && !Row.Checkpoint.empty()) {
    TaskRecord &CheckpointOwner =
        Spec.IsGang ? this->gangLeader(Row.Task.Step) : *Task;
    CheckpointOwner.Stored.Checkpoint = Row.Checkpoint;
  }
  // The run may have become known only after the executor began to drain.
  this->stopIfDraining(Executor, Row.Task);
}

void Planner::Private::releaseMissingRuns(ExecutorRecord &Executor,
                                          const ExecutorReport &Report,
                                          TimePoint Now) {
  std::set<TaskKey> Running;
  for (const RunReport &Row : Report.Running)
    Running.insert(Row.Task);
  const std::map<TaskKey, uint64_t> Booked = Executor.Runs;
  for (const auto &[Key, Number] : Booked) {
    TaskRecord &Task = *this->findTask(Key);
    if (Running.contains(Key))
      continue;
    const RunRecord &Run = *Task.Current;
    if (Now >= Run.StartTimeoutAt && Run.Phase != RunPhase::Stopping) {
      this->orderStop(Key, Task);
      Task.Current->IsStartDoubtful = true;
    }
    const bool WasRunning = (Run.ConfirmedAt && *Run.ConfirmedAt < Report.At) ||
                            Run.KnownSince < Report.RequestedAt;
    const bool WasStopped =
        Run.StopConfirmedAt && *Run.StopConfirmedAt < Report.At;
    if (!WasRunning && !WasStopped)
      continue;
    RunLoss Cause = WasStopped ? RunLoss::Stopped : RunLoss::Gone;
    if (Run.Incarnation != Executor.Incarnation)
      Cause = RunLoss::Restarted;
    this->log("run-gone", {{"task", Key.text()},
                           {"run", Number},
                           {"executor", Executor.Info.Id},
                           {"report", Report.At},
                           {"cause", nameOf(RunLossNames, Cause)}});
    this->giveUpRun(Executor, Key, Cause, Now);
  }
}

void Planner::Private::updateThrottle(ExecutorRecord &Executor,
                                      const ExecutorReport &Report,
                                      TimePoint Now) {
  double WorstRatio = 0;
  std::vector<TaskKey> BestEffort;
  for (const RunReport &Row : Report.Running) {
    JobRecord *Job = this->findJob(Row.Task.Step.Job);
    if (!Job || !this->findTask(Row.Task))
      continue;
    const StepSpec &Spec = this->stepSpec(*Job, Row.Task.Step);
    if (Spec.isServing())
      WorstRatio = std::max(WorstRatio, static_cast<double>(Row.Load) /
                                            static_cast<double>(toMilliseconds(
                                                Spec.TailLatencyTarget)));
    else if (Spec.IsBestEffort)
      BestEffort.push_back(Row.Task);
  }
  if (BestEffort.empty())
    return;
  const std::optional<int64_t> Changed =
      Executor.Throttle.update(WorstRatio, Now);
  if (!Changed)
    return;
  this->log("fill-paced", {{"executor", Executor.Info.Id},
                           {"percent", *Changed},
                           {"worst-ratio", WorstRatio}});
  for (const TaskKey &Key : BestEffort)
    if (const TaskRecord *Task = this->findTask(Key);
        Task && Task->Current && Task->Current->Executor == Executor.Info.Id)
      this->Orders.push_back(
          PaceOrder{Executor.Info.Id, Key, Task->Current->Number, *Changed});
}

/// Logs an end that counts as reported before although its run is still booked:
/// the numbers of the executor's ends cannot be trusted.
void Planner::Private::logIfStillBooked(const ExecutorRecord &Executor,
                                        const EndReport &End) {
  const auto Booked = Executor.Runs.find(End.Task);
  if (Booked == Executor.Runs.end() || Booked->second != End.Run)
    return;
  this->log("end-passed-over", {{"task", End.Task.text()},
                                {"run", End.Run},
                                {"executor", Executor.Info.Id},
                                {"how", nameOf(RunEndNames, End.Outcome)},
                                {"number", End.Number},
                                {"last-end", Executor.LastEnd}});
}

void Planner::noteReport(const ExecutorId &Id, const ExecutorReport &Report,
                         TimePoint Now) {
  const auto Found = this->D->Executors.find(Id);
  if (Found == this->D->Executors.end())
    return;
  ExecutorRecord &Executor = Found->second;
  const bool IsRestarted = Executor.Incarnation != 0 &&
                           Report.Incarnation != 0 &&
                           Executor.Incarnation != Report.Incarnation;
  if (IsRestarted)
    this->D->beginIncarnation(Executor, Report, Now);
  if (Report.Incarnation != 0)
    Executor.Incarnation = Report.Incarnation;
  if (!Executor.HasReported)
    this->D->log("executor-reported", {{"executor", Id},
                                       {"running", Report.Running.size()},
                                       {"ended", Report.Ended.size()}});
  if (!Executor.HasReported)
    this->D->NextStopAt = std::min(this->D->NextStopAt, Now);
  Executor.HasReported = true;
  Executor.IsReachable = true;
  Executor.LastAnswerAt = Now;
  Executor.HasUnknownRuns = false;
  Executor.UnexplainedRuns.clear();
  for (const EndReport &End : Report.Ended) {
    if (End.Number <= Executor.LastEnd) {
      this->D->logIfStillBooked(Executor, End);
      continue;
    }
    Executor.LastEnd = End.Number;
    if (this->D->mayBeAddedLater(End.Task.Step.Job)) {
      this->D->DeferredEnds[End.Task.Step.Job].push_back(
          {Id, Executor.Incarnation, End, Now});
      if (Executor.FirstDeferredEnd == 0)
        Executor.FirstDeferredEnd = End.Number;
    } else {
      this->D->handleEnd(Executor, End, Now);
    }
    const JobId &Job = End.Task.Step.Job;
    Executor.UnacknowledgedEnds.push_back(
        {End.Number, Job, this->D->lastChangeOf(Job), Now});
  }
  for (const RunReport &Row : Report.Running)
    this->D->handleRunning(Executor, Row, Report.At, Now);
  // A run that is not listed may have ended with one of the ends that are not
  // listed yet.
  if (!Report.IsTruncated) {
    this->D->releaseMissingRuns(Executor, Report, Now);
    Executor.MayHoldEarlierRuns = false;
    this->D->AwaitedExecutors.erase(Id);
  }
  this->D->updateThrottle(Executor, Report, Now);
}

void Planner::setReachable(const ExecutorId &Id, bool IsReachable) {
  const auto Found = this->D->Executors.find(Id);
  if (Found == this->D->Executors.end() ||
      Found->second.IsReachable == IsReachable)
    return;
  Found->second.IsReachable = IsReachable;
  this->D->log("executor-link",
               {{"executor", Id}, {"reachable", IsReachable ? "yes" : "no"}});
}

} // namespace whintack::jobs
