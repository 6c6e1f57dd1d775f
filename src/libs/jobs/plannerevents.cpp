#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// How long an executor that refused for want of room is left alone; about the
/// time that a report takes to tell what runs there.
static constexpr Duration NoRoomPause = std::chrono::milliseconds(100);
/// Time after which a stop without an answer is sent again.
static constexpr Duration StopRetry = std::chrono::milliseconds(500);
/// How long the reports of an executor are watched for a start that it did not
/// answer; a start takes effect within milliseconds, or seconds late.
static constexpr Duration DoubtTime = std::chrono::milliseconds(300);
/// Pause before a malformed order is tried again; only a newer configuration
/// or program can change the answer.
static constexpr Duration MalformedPause = std::chrono::seconds(1);
/// Pause between two questions for advice that failed.
static constexpr Duration AdvicePause = std::chrono::milliseconds(200);

void Planner::Private::book(const TaskKey &Key, TaskRecord &Task,
                            RunRecord Run) {
  JobRecord &Job = *this->job(Key.Of.Job);
  WorkerRecord &Worker = this->Workers[Run.On];
  Worker.Booked += this->spec(Job, Key.Of).bookedRoom();
  Worker.Runs[Key] = Run.Number;
  Task.LastRun = std::max(Task.LastRun, Run.Number);
  Task.Current = std::move(Run);
  ++Job.OpenRuns;
}

void Planner::Private::release(const TaskKey &Key, TaskRecord &Task) {
  JobRecord &Job = *this->job(Key.Of.Job);
  WorkerRecord &Worker = this->Workers[Task.Current->On];
  Worker.Booked -= this->spec(Job, Key.Of).bookedRoom();
  Worker.Runs.erase(Key);
  Task.Current.reset();
  --Job.OpenRuns;
}

void Planner::Private::orderStop(const TaskKey &Key, TaskRecord &Task) {
  if (Task.Current->Phase == RunPhase::Stopping)
    return;
  Task.Current->Phase = RunPhase::Stopping;
  this->Orders.push_back(
      StopOrder{Task.Current->On, Key, Task.Current->Number});
}

void Planner::Private::stopGang(const StepKey &Step) {
  JobRecord &Job = *this->job(Step.Job);
  for (size_t Member = 0; Member < this->spec(Job, Step).Count; ++Member) {
    TaskRecord &Task = *this->task({Step, Member});
    if (Task.Current)
      this->orderStop({Step, Member}, Task);
  }
}

void Planner::setExecutors(const std::vector<ExecutorInfo> &Listed) {
  std::set<ExecutorId> Seen;
  for (const ExecutorInfo &Info : Listed) {
    if (Info.Service != this->D->Setup.Service)
      continue;
    Seen.insert(Info.Id);
    WorkerRecord &Worker = this->D->Workers[Info.Id];
    if (Worker.IsListed && Worker.Info == Info)
      continue;
    this->D->log("executor-listed",
                 {{"executor", Info.Id},
                  {"draining", Info.IsDraining ? "yes" : "no"},
                  {"address", Info.Server.text()}});
    Worker.Info = Info;
    Worker.IsListed = true;
    if (Info.IsDraining)
      this->D->leave(Worker);
  }
  for (auto Entry = this->D->Workers.begin();
       Entry != this->D->Workers.end();) {
    WorkerRecord &Worker = Entry->second;
    if (Seen.contains(Entry->first)) {
      ++Entry;
      continue;
    }
    if (Worker.IsListed)
      this->D->log("executor-unlisted",
                   {{"executor", Entry->first}, {"runs", Worker.Runs.size()}});
    Worker.IsListed = false;
    const bool IsOver =
        Worker.Runs.empty() && !this->D->Awaited.contains(Entry->first);
    if (IsOver)
      this->D->Judge.forget(Entry->first);
    Entry = IsOver ? this->D->Workers.erase(Entry) : std::next(Entry);
  }
}

/// Moves what would be lost away from an executor that drains: it ends
/// everything when it leaves.
void Planner::Private::leave(WorkerRecord &Worker) {
  for (const auto &[Key, Number] : Worker.Runs) {
    const JobRecord &Job = *this->job(Key.Of.Job);
    const StepSpec &Spec = this->spec(Job, Key.Of);
    TaskRecord &Task = *this->task(Key);
    if (Task.Current->Phase == RunPhase::Running && !Spec.IsGang &&
        (Spec.IsLongRunning || Spec.IsCheckpointing))
      this->orderStop(Key, Task);
  }
}

void Planner::awaitReports(const std::vector<ExecutorId> &Executors) {
  this->D->Awaited.insert(Executors.begin(), Executors.end());
}

void Planner::beginCensus() { this->D->IsInCensus = true; }

void Planner::endCensus() { this->D->IsInCensus = false; }

void Planner::beginCatchUp() { this->D->IsCatchingUp = true; }

void Planner::endCatchUp() {
  this->D->IsCatchingUp = false;
  this->D->UnknownEnds.clear();
  for (auto &[Id, Worker] : this->D->Workers)
    Worker.FirstUnknownEnd = 0;
}

bool Planner::Private::mayTurnUp(const JobId &Job) const {
  return this->IsCatchingUp && !this->Jobs.contains(Job) &&
         !this->FinalJobs.contains(Job);
}

void Planner::Private::takeUnknownEnds(const JobId &Job) {
  const auto Found = this->UnknownEnds.find(Job);
  if (Found == this->UnknownEnds.end())
    return;
  const std::vector<UnknownEnd> Ends = std::move(Found->second);
  this->UnknownEnds.erase(Found);
  for (const UnknownEnd &Each : Ends)
    if (const auto Worker = this->Workers.find(Each.On);
        Worker != this->Workers.end())
      this->takeEnd(Worker->second, Each.End, Each.ReportedAt);
}

bool Planner::isRecovering() const {
  return this->D->IsInCensus || !this->D->Awaited.empty();
}

void Planner::Private::takeDone(JobRecord &Job, const TaskKey &Key) {
  const bool IsGang = this->spec(Job, Key.Of).IsGang;
  StepRecord &Step = Job.step(Key.Of);
  for (size_t Index = 0; Index < Step.Tasks.size(); ++Index) {
    if (!IsGang && Index != Key.Index)
      continue;
    TaskRecord &Task = Step.Tasks[Index];
    if (Task.Stored.IsDone)
      continue;
    Task.Stored.IsDone = true;
    Task.Stored.Checkpoint.clear();
    ++Step.Done;
    // A gang's other members list their own ends.
    if (Task.Current && !IsGang)
      this->orderStop({Key.Of, Index}, Task);
  }
  this->noteChange(Job);
  this->finishIfDone(Job);
}

void Planner::Private::takeFailure(JobRecord &Job, const EndReport &End,
                                   WorkerRecord &Worker, TimePoint Now) {
  const StepSpec &Spec = this->spec(Job, End.Task.Of);
  TaskRecord &Task =
      Spec.IsGang ? this->gangLeader(End.Task.Of) : *this->task(End.Task);
  const bool IsNew = Task.Stored.FailedRuns.insert(End.Run).second;
  if (!IsNew)
    return;
  Task.FailedOn = Worker.Info.Id;
  this->Judge.noteFailure(Worker.Info.Id, Job.Spec.Id, Now);
  if (Spec.IsGang)
    this->stopGang(End.Task.Of);
  const auto Failed = static_cast<int64_t>(Task.Stored.FailedRuns.size());
  if (!Spec.IsLongRunning && Failed >= Job.Policy.MostAttempts)
    this->setState(Job, JobState::Failed);
}

void Planner::Private::takeEnd(WorkerRecord &Worker, const EndReport &End,
                               TimePoint Now) {
  JobRecord *Job = this->job(End.Task.Of.Job);
  TaskRecord *Task = this->task(End.Task);
  if (!Job || !Task)
    return;
  this->log("run-ended", {{"task", End.Task.text()},
                          {"run", End.Run},
                          {"executor", Worker.Info.Id},
                          {"how", nameOf(RunEndNames, End.How)},
                          {"number", End.Number}});
  Job->HasStarted = true;
  Task->LastRun = std::max(Task->LastRun, End.Run);
  const bool IsCurrent = Task->Current && Task->Current->Number == End.Run &&
                         Task->Current->On == Worker.Info.Id;
  if (IsCurrent)
    this->release(End.Task, *Task);
  const StepSpec &Spec = this->spec(*Job, End.Task.Of);
  if (!End.Checkpoint.empty() && Spec.IsCheckpointing && !Task->Stored.IsDone) {
    TaskRecord &Keeper = Spec.IsGang ? this->gangLeader(End.Task.Of) : *Task;
    Keeper.Stored.Checkpoint = End.Checkpoint;
  }
  if (!isFinal(Job->State)) {
    if (End.How == RunEnd::Done && !Spec.IsLongRunning) {
      this->Judge.noteDone(Worker.Info.Id);
      this->takeDone(*Job, End.Task);
    } else if (End.How == RunEnd::Failed) {
      this->takeFailure(*Job, End, Worker, Now);
    } else if (Spec.IsGang) {
      this->stopGang(End.Task.Of);
    }
    this->noteChange(*Job);
  }
  this->dropIfOver(End.Task.Of.Job);
}

/// Takes over a run that an earlier planner started.
void Planner::Private::adopt(WorkerRecord &Worker, const RunReport &Row,
                             ExecutorTime At) {
  TaskRecord &Task = *this->task(Row.Task);
  JobRecord &Job = *this->job(Row.Task.Of.Job);
  RunRecord Run;
  Run.Number = Row.Run;
  Run.On = Worker.Info.Id;
  Run.Phase = RunPhase::Running;
  Run.ConfirmedAt = At;
  Run.Percent = Row.Percent;
  this->log("run-adopted", {{"task", Row.Task.text()},
                            {"run", Row.Run},
                            {"executor", Worker.Info.Id}});
  this->book(Row.Task, Task, std::move(Run));
  Job.HasStarted = true;
  StepRecord &Step = Job.step(Row.Task.Of);
  if (this->spec(Job, Row.Task.Of).IsOnOneRack && Step.Rack.empty() &&
      Worker.Info.Labels.size() > 1)
    Step.Rack = Worker.Info.Labels[1];
  if (isFinal(Job.State) || Task.Stored.IsDone)
    this->orderStop(Row.Task, Task);
}

void Planner::Private::takeRunning(WorkerRecord &Worker, const RunReport &Row,
                                   ExecutorTime At) {
  TaskRecord *Task = this->task(Row.Task);
  if (!Task) {
    Worker.HasStrangers = true;
    this->Orders.push_back(StopOrder{Worker.Info.Id, Row.Task, Row.Run});
    return;
  }
  Task->LastRun = std::max(Task->LastRun, Row.Run);
  if (!Task->Current) {
    this->adopt(Worker, Row, At);
  } else if (Task->Current->On != Worker.Info.Id ||
             Task->Current->Number != Row.Run) {
    Worker.HasStrangers = true;
    this->log("run-doubled", {{"task", Row.Task.text()},
                              {"run", Row.Run},
                              {"executor", Worker.Info.Id},
                              {"kept", Task->Current->Number}});
    this->Orders.push_back(StopOrder{Worker.Info.Id, Row.Task, Row.Run});
    return;
  }
  RunRecord &Run = *Task->Current;
  Run.DoubtedFrom = TimePoint::max();
  if (Run.Phase == RunPhase::Starting)
    Run.Phase = RunPhase::Running;
  if (!Run.ConfirmedAt)
    Run.ConfirmedAt = At;
  Run.Percent = Row.Percent;
  JobRecord &Job = *this->job(Row.Task.Of.Job);
  Job.HasStarted = true;
  const StepSpec &Spec = this->spec(Job, Row.Task.Of);
  if (Spec.IsCheckpointing && !Row.Checkpoint.empty()) {
    TaskRecord &Keeper = Spec.IsGang ? this->gangLeader(Row.Task.Of) : *Task;
    Keeper.Stored.Checkpoint = Row.Checkpoint;
  }
}

void Planner::Private::dropMissing(WorkerRecord &Worker,
                                   const ExecutorReport &Report,
                                   TimePoint Now) {
  std::set<TaskKey> Running;
  for (const RunReport &Row : Report.Running)
    Running.insert(Row.Task);
  const std::map<TaskKey, uint64_t> Booked = Worker.Runs;
  for (const auto &[Key, Number] : Booked) {
    TaskRecord &Task = *this->task(Key);
    if (Running.contains(Key))
      continue;
    const RunRecord &Run = *Task.Current;
    if (Now >= Run.DoubtedFrom)
      this->orderStop(Key, Task);
    const bool WasThere = Run.ConfirmedAt && *Run.ConfirmedAt < Report.At;
    const bool IsBarred =
        Run.StopConfirmedAt && *Run.StopConfirmedAt < Report.At;
    if (!WasThere && !IsBarred)
      continue;
    this->log("run-gone", {{"task", Key.text()},
                           {"run", Number},
                           {"executor", Worker.Info.Id},
                           {"report", Report.At}});
    this->release(Key, Task);
    const JobRecord &Job = *this->job(Key.Of.Job);
    if (this->spec(Job, Key.Of).IsGang)
      this->stopGang(Key.Of);
    this->dropIfOver(Key.Of.Job);
  }
}

void Planner::Private::setPace(WorkerRecord &Worker,
                               const ExecutorReport &Report, TimePoint Now) {
  double Worst = 0;
  std::vector<TaskKey> Filling;
  for (const RunReport &Row : Report.Running) {
    JobRecord *Job = this->job(Row.Task.Of.Job);
    if (!Job || !this->task(Row.Task))
      continue;
    const StepSpec &Spec = this->spec(*Job, Row.Task.Of);
    if (Spec.isServing())
      Worst = std::max(
          Worst, static_cast<double>(Row.Load) /
                     static_cast<double>(toMilliseconds(Spec.TailTarget)));
    else if (Spec.IsFilling)
      Filling.push_back(Row.Task);
  }
  if (Filling.empty())
    return;
  const std::optional<int64_t> Changed = Worker.Pace.update(Worst, Now);
  if (!Changed)
    return;
  this->log("fill-paced", {{"executor", Worker.Info.Id},
                           {"percent", *Changed},
                           {"worst-ratio", Worst}});
  for (const TaskKey &Key : Filling)
    if (const TaskRecord *Task = this->task(Key);
        Task && Task->Current && Task->Current->On == Worker.Info.Id)
      this->Orders.push_back(
          PaceOrder{Worker.Info.Id, Key, Task->Current->Number, *Changed});
}

void Planner::noteReport(const ExecutorId &From, const ExecutorReport &Report,
                         TimePoint Now) {
  const auto Found = this->D->Workers.find(From);
  if (Found == this->D->Workers.end())
    return;
  WorkerRecord &Worker = Found->second;
  if (!Worker.HasReported)
    this->D->log("executor-reported", {{"executor", From},
                                       {"running", Report.Running.size()},
                                       {"ended", Report.Ended.size()}});
  Worker.HasReported = true;
  Worker.IsReachable = true;
  Worker.HasStrangers = false;
  for (const EndReport &End : Report.Ended) {
    if (End.Number <= Worker.LastEnd)
      continue;
    Worker.LastEnd = End.Number;
    if (this->D->mayTurnUp(End.Task.Of.Job)) {
      this->D->UnknownEnds[End.Task.Of.Job].push_back({From, End, Now});
      if (Worker.FirstUnknownEnd == 0)
        Worker.FirstUnknownEnd = End.Number;
    } else {
      this->D->takeEnd(Worker, End, Now);
    }
    Worker.UnforgottenEnds.emplace_back(End.Number, this->D->Changes);
  }
  for (const RunReport &Row : Report.Running)
    this->D->takeRunning(Worker, Row, Report.At);
  if (!Report.IsCut)
    this->D->dropMissing(Worker, Report, Now);
  this->D->setPace(Worker, Report, Now);
  this->D->Awaited.erase(From);
}

void Planner::noteStart(const StartOrder &Order, StartOutcome Outcome,
                        ExecutorTime At, TimePoint Now) {
  const auto Found = this->D->Workers.find(Order.On);
  TaskRecord *Task = this->D->task(Order.Task);
  const bool IsCurrent = Task && Task->Current &&
                         Task->Current->Number == Order.Run &&
                         Task->Current->On == Order.On;
  if (Outcome != StartOutcome::Started)
    this->D->log("start-refused",
                 {{"task", Order.Task.text()},
                  {"run", Order.Run},
                  {"executor", Order.On},
                  {"outcome", nameOf(StartOutcomeNames, Outcome)}});
  if (!IsCurrent || Found == this->D->Workers.end())
    return;
  WorkerRecord &Worker = Found->second;
  const StepKey Step = Order.Task.Of;
  JobRecord &Job = *this->D->job(Step.Job);
  const bool IsGang = this->D->spec(Job, Step).IsGang;
  switch (Outcome) {
  case StartOutcome::Started:
    Task->Current->ConfirmedAt = At;
    if (Task->Current->Phase == RunPhase::Starting)
      Task->Current->Phase = RunPhase::Running;
    Job.HasStarted = true;
    if (this->D->spec(Job, Step).IsFilling && Worker.Pace.percent() < 100)
      this->D->Orders.push_back(
          PaceOrder{Order.On, Order.Task, Order.Run, Worker.Pace.percent()});
    return;
  case StartOutcome::Unknown:
    // It may well run: a report tells, before it is stopped in vain.
    this->D->Judge.noteUnwell(Order.On, Now);
    Task->Current->DoubtedFrom = Now + DoubtTime;
    return;
  case StartOutcome::OtherIncarnation:
    this->noteEmpty(Order.On, "other incarnation");
    return;
  case StartOutcome::NoRoom:
    Worker.NoRoomUntil = Now + NoRoomPause;
    break;
  case StartOutcome::NoTicket:
    this->D->Advice.erase(Step);
    break;
  case StartOutcome::Unhealthy:
    this->D->Judge.noteUnwell(Order.On, Now);
    break;
  case StartOutcome::Malformed:
    Task->NotBefore = Now + MalformedPause;
    break;
  case StartOutcome::Outdated:
    // It cannot start there any more, but an earlier copy of the order may have
    // run and ended. The next report tells.
    Task->Current->StopConfirmedAt = At;
    return;
  case StartOutcome::Fenced:
  case StartOutcome::Late:
    break;
  }
  this->D->release(Order.Task, *Task);
  if (IsGang)
    this->D->stopGang(Step);
  this->D->dropIfOver(Step.Job);
}

void Planner::noteStop(const StopOrder &Order, std::optional<ExecutorTime> At,
                       TimePoint Now) {
  TaskRecord *Task = this->D->task(Order.Task);
  if (!Task || !Task->Current || Task->Current->Number != Order.Run ||
      Task->Current->On != Order.On)
    return;
  if (At)
    Task->Current->StopConfirmedAt = At;
  else
    Task->Current->NextStop = Now + StopRetry;
}

void Planner::Private::resendStops(TimePoint Now) {
  for (auto &[Id, Worker] : this->Workers)
    for (const auto &[Key, Number] : Worker.Runs) {
      RunRecord &Run = *this->task(Key)->Current;
      if (Run.NextStop > Now)
        continue;
      Run.NextStop = TimePoint::max();
      this->Orders.push_back(StopOrder{Id, Key, Number});
    }
}

void Planner::noteAdvice(const AdviceOrder &Asked,
                         const std::vector<Ticket> &Good,
                         TimePoint ValidUntil) {
  const auto Found = this->D->Advice.find(Asked.Step);
  if (Found == this->D->Advice.end())
    return;
  AdviceRecord &Record = Found->second;
  Record.IsAsking = false;
  Record.ValidUntil = ValidUntil;
  Record.Asked.insert(Asked.Candidates.begin(), Asked.Candidates.end());
  for (const Ticket &Granted : Good)
    Record.Good[Granted.On] = Granted.Text;
  this->D->log("advice-taken", {{"step", Asked.Step.text()},
                                {"asked", Asked.Candidates.size()},
                                {"good", Good.size()}});
}

void Planner::noteAdviceFailed(const AdviceOrder &Asked, TimePoint Now) {
  const auto Found = this->D->Advice.find(Asked.Step);
  if (Found == this->D->Advice.end())
    return;
  Found->second.IsAsking = false;
  Found->second.NextAsk = Now + AdvicePause;
}

void Planner::setReachable(const ExecutorId &Of, bool IsReachable) {
  const auto Found = this->D->Workers.find(Of);
  if (Found == this->D->Workers.end() ||
      Found->second.IsReachable == IsReachable)
    return;
  Found->second.IsReachable = IsReachable;
  this->D->log("executor-link",
               {{"executor", Of}, {"reachable", IsReachable ? "yes" : "no"}});
}

void Planner::noteEmpty(const ExecutorId &Of, std::string_view Cause) {
  this->D->Awaited.erase(Of);
  const auto Found = this->D->Workers.find(Of);
  if (Found == this->D->Workers.end())
    return;
  const std::map<TaskKey, uint64_t> Booked = Found->second.Runs;
  this->D->log("executor-empty", {{"executor", Of},
                                  {"cause", std::string(Cause)},
                                  {"runs", Booked.size()}});
  for (const auto &[Key, Number] : Booked) {
    this->D->release(Key, *this->D->task(Key));
    JobRecord &Job = *this->D->job(Key.Of.Job);
    if (this->D->spec(Job, Key.Of).IsGang)
      this->D->stopGang(Key.Of);
    this->D->dropIfOver(Key.Of.Job);
  }
  Found->second.HasReported = false;
}

size_t Planner::Private::awayTasks(const JobRecord &Job, const StepKey &Step) {
  size_t Away = 0;
  for (size_t Index = 0; Index < this->spec(Job, Step).Count; ++Index) {
    const TaskRecord &Task = *this->task({Step, Index});
    const bool IsAtWork = Task.Current &&
                          Task.Current->Phase == RunPhase::Running &&
                          Task.Current->Percent >= 100 &&
                          this->Workers[Task.Current->On].IsReachable;
    if (!IsAtWork)
      ++Away;
  }
  return Away;
}

void Planner::evacuate(const ExecutorId &Of, TimePoint Now) {
  const auto Found = this->D->Workers.find(Of);
  if (Found == this->D->Workers.end())
    return;
  WorkerRecord &Worker = Found->second;
  Worker.EvacuatingUntil = Now + EvacuationTime;
  std::vector<Candidate> Places = this->D->candidates(Now);
  for (const auto &[Key, Number] : Worker.Runs) {
    JobRecord &Job = *this->D->job(Key.Of.Job);
    const StepSpec &Spec = this->D->spec(Job, Key.Of);
    TaskRecord &Task = *this->D->task(Key);
    if (Task.Current->Phase != RunPhase::Running)
      continue;
    const bool MayStop =
        Spec.IsLongRunning ? (!Spec.HasMayMiss ||
                              this->D->awayTasks(Job, Key.Of) < Spec.MayMiss) &&
                                 this->D->takeOtherPlace(Job, Key, Places, Now)
                           : Spec.IsCheckpointing && !Spec.IsGang;
    if (MayStop) {
      this->D->log("run-moved",
                   {{"task", Key.text()}, {"run", Number}, {"executor", Of}});
      this->D->orderStop(Key, Task);
    }
  }
}

Occupancy Planner::occupancy(const ExecutorId &Of) const {
  const auto Found = this->D->Workers.find(Of);
  // What an earlier planner started there may not be known yet.
  if (Found == this->D->Workers.end() || !Found->second.HasReported ||
      Found->second.HasStrangers)
    return Occupancy::Protected;
  if (Found->second.Runs.empty())
    return Occupancy::Vacant;
  for (const auto &[Key, Number] : Found->second.Runs) {
    const JobRecord &Job = *this->D->job(Key.Of.Job);
    if (this->D->spec(Job, Key.Of).IsLongRunning)
      return Occupancy::Protected;
  }
  return Occupancy::Interruptible;
}

} // namespace whintack::jobs
