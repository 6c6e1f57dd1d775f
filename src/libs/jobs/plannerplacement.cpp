#include "planner_p.h"

#include "stepplacement.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// How long before it has no value a late job takes part in that share.
static constexpr Duration LastChanceTime = std::chrono::milliseconds(1000);

bool Planner::Private::isUsable(const ExecutorRecord &Executor,
                                TimePoint Now) const {
  const auto Policy = this->Services.find(Executor.Info.Service);
  const bool EnforcesCapacity =
      Policy == this->Services.end() || Policy->second.ExecutorsCheckAdmission;
  return Executor.IsListed && !Executor.Info.IsDraining &&
         Executor.IsReachable && Executor.HasReported &&
         Executor.isInfoCurrent() && Now >= Executor.EvacuatingUntil &&
         Now >= Executor.NoRoomUntil &&
         (!Executor.HasUnknownRuns || EnforcesCapacity);
}

std::vector<Candidate> Planner::Private::candidates(TimePoint Now) {
  std::vector<Candidate> Healthy;
  std::vector<Candidate> Suspect;
  for (auto &[Id, Executor] : this->Executors) {
    if (!this->isUsable(Executor, Now))
      continue;
    Candidate Found{&Executor, Executor.free(), rackOf(Executor.Info)};
    (this->HealthTracker.isSuspect(Id, Now) ? Suspect : Healthy)
        .push_back(std::move(Found));
  }
  // If all executors are suspect, the cause is not a single faulty executor, so
  // all are used.
  std::vector<Candidate> &Used = Healthy.empty() ? Suspect : Healthy;
  for (size_t Position = 0; Position < Used.size(); ++Position)
    Used[Position].Position = Position;
  return std::move(Used);
}

JobRank Planner::Private::rankOf(const JobRecord &Job, TimePoint Now) const {
  JobRank Rank = Job.Rank;
  Rank.IsLastChance =
      expectedOutcome(Rank, Now) == ExpectedOutcome::Late &&
      expectedOutcome(Rank, Now + LastChanceTime) == ExpectedOutcome::Worthless;
  Rank.Standing = this->Tenants.standing(Job.Tenant);
  if (Job.QueueWork)
    Rank.RemainingWork = std::min(Rank.RemainingWork, Job.QueueWork->first);
  return Rank;
}

void Planner::Private::markForReview(JobRecord &Job) {
  Job.NeedsReview = true;
  if (Job.StartablePosition)
    return;
  Job.StartablePosition = this->Startable.size();
  this->Startable.push_back({&Job, {}, true, {}});
}

void Planner::Private::removeStartable(JobRecord &Job) {
  if (!Job.StartablePosition)
    return;
  const size_t Position = *Job.StartablePosition;
  this->Startable[Position] = this->Startable.back();
  this->Startable[Position].Job->StartablePosition = Position;
  this->Startable.pop_back();
  Job.StartablePosition.reset();
  Job.Tenant.WaitingSince = TimePoint::max();
}

/// Whether a pass may start or reserve something for the task, now or later.
static bool isTaskOpen(const StepSpec &Spec, const TaskRecord &Task) {
  if (Task.Current)
    return Spec.IsLongRunning && (Task.Current->Phase == RunPhase::Stopping ||
                                  Task.Current->IsAwaitingPlace);
  return !Task.Stored.IsDone;
}

static bool isStepOpen(const StepSpec &Spec, const StepRecord &Step) {
  if (Step.isDone())
    return false;
  const bool MayChooseRack = Spec.IsOnOneRack && Step.Rack.empty();
  return MayChooseRack || std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                                      [&Spec](const TaskRecord &Task) {
                                        return isTaskOpen(Spec, Task);
                                      });
}

static void takeLesser(ComputeResources &Least, const ComputeResources &Need) {
  Least.MilliCores = std::min(Least.MilliCores, Need.MilliCores);
  Least.MemoryMb = std::min(Least.MemoryMb, Need.MemoryMb);
  Least.Gpus = std::min(Least.Gpus, Need.Gpus);
}

void Planner::Private::updateRemainingEffort(JobRecord &Job) {
  std::vector<RemainingStep> Left;
  Left.reserve(Job.Spec.Steps.size());
  for (const StepRecord &Step : Job.Occurrences.front().Steps) {
    const auto Waiting = std::count_if(
        Step.Tasks.begin(), Step.Tasks.end(), [](const TaskRecord &Task) {
          return !Task.Stored.IsDone && !Task.Current;
        });
    Left.push_back({static_cast<size_t>(Waiting), Step.isDone()});
  }
  const JobEffort Effort = estimateRemainingEffort(Job.Spec, Left);
  Job.Rank.RemainingWork = Effort.Work;
  Job.Rank.RemainingCriticalPath = Effort.CriticalPath;
}

std::optional<StartableJob> Planner::Private::review(JobRecord &Job) {
  if (isFinal(Job.State))
    return std::nullopt;
  if (!Job.Spec.isPeriodic())
    updateRemainingEffort(Job);
  // The occurrences of a periodic job become due, and advice expires, without
  // any event.
  if (Job.Spec.isPeriodic() || Job.Policy.Advice)
    return StartableJob{&Job, {}, true, this->waitingTasks(Job)};
  std::optional<ComputeResources> Least;
  for (size_t Index = 0; Index < Job.Spec.Steps.size(); ++Index) {
    const StepSpec &Spec = Job.Spec.Steps[Index];
    const StepKey Key{Job.Spec.Id, 0, Index};
    if (!isStepOpen(Spec, Job.step(Key)) || !this->canStart(Job, Key))
      continue;
    if (!Least)
      Least = Spec.bookedResources();
    takeLesser(*Least, Spec.bookedResources());
  }
  if (!Least)
    return std::nullopt;
  return StartableJob{&Job, *Least, false, this->waitingTasks(Job)};
}

bool Planner::Private::isUnplaceable(const StartableJob &Job) const {
  if (Job.IsAlwaysPlanned)
    return false;
  return !this->MostFree.covers(Job.LeastNeed) ||
         (this->UnplaceableNeed &&
          Job.LeastNeed.covers(*this->UnplaceableNeed));
}

bool Planner::Private::isDroppable(const RankedJob &Job, TimePoint Now) const {
  return this->isUnplaceable(Job.Startable) &&
         !this->mayReserveRoom(Job.Rank, Job.Startable.LeastNeed, Now);
}

bool Planner::Private::canStart(const JobRecord &Job,
                                const StepKey &Step) const {
  const auto &Steps =
      Job.Occurrences[static_cast<size_t>(Step.Occurrence)].Steps;
  const std::vector<size_t> &After = Job.Spec.Steps[Step.Index].Dependencies;
  return std::all_of(After.begin(), After.end(), [&Steps](size_t Earlier) {
    return Steps[Earlier].isDone();
  });
}

bool Planner::Private::canHost(const JobRecord &Job, const TaskKey &Key,
                               const Candidate &Target) {
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  if (!Target.Free.covers(Spec.bookedResources()))
    return false;
  const std::vector<std::string> &Labels = Target.Executor->Info.Labels;
  if (!Spec.RequiredLabel.empty() &&
      std::find(Labels.begin(), Labels.end(), Spec.RequiredLabel) ==
          Labels.end())
    return false;
  const StepRecord &Step = Job.step(Key.Step);
  if (Spec.IsOnOneRack && !Step.Rack.empty() && Target.Rack != Step.Rack)
    return false;
  return Spec.MaxTasksPerExecutor == 0 ||
         Step.tasksOn(Target.Executor->Info.Id) < Spec.MaxTasksPerExecutor;
}

bool Planner::Private::canRunOn(const JobRecord &Job, const TaskKey &Key,
                                const Candidate &Target, TimePoint Now) {
  if (!this->canHost(Job, Key, Target))
    return false;
  return !Job.Policy.Advice ||
         this->Advice[Key.Step].hasTicket(Target.Executor->Info.Id, Now);
}

Candidate *Planner::Private::chooseCandidate(const JobRecord &Job,
                                             const TaskKey &Key,
                                             std::vector<Candidate> &Candidates,
                                             TimePoint Now, bool *IsHeldBack) {
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  const ExecutorId &LastFailedOn = this->findTask(Key)->LastFailedOn;
  const StartCaution Caution = this->startCaution(Key);
  Candidate *Best = nullptr;
  PlacementScore BestScore;
  for (Candidate &Each : Candidates) {
    if (!isOpenFor(*Each.Executor, Key, Caution, Now) ||
        !this->canRunOn(Job, Key, Each, Now))
      continue;
    if (!this->isAdmitted(Job, Key, Each, Now)) {
      if (IsHeldBack)
        *IsHeldBack = true;
      continue;
    }
    PlacementScore Score = scorePlacement(Spec, Each.Free, Each.Rack);
    Score.HasFailedThere = Each.Executor->Info.Id == LastFailedOn;
    if (Spec.IsLongRunning)
      Score.LongRunningTasks = Each.Executor->LongRunningRuns;
    if (!Best || Score < BestScore) {
      Best = &Each;
      BestScore = Score;
    }
  }
  return Best;
}

void Planner::Private::start(JobRecord &Job, const TaskKey &Key, uint64_t Run,
                             Candidate &Target, TimePoint Now) {
  TaskRecord &Task = *this->findTask(Key);
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  StartOrder Start;
  Start.Executor = Target.Executor->Info.Id;
  Start.Task = Key;
  Start.Run = Run;
  Start.TaskPayload = Job.Spec.TaskPayload;
  if (Spec.IsCheckpointing)
    Start.Checkpoint =
        (Spec.IsGang ? this->gangLeader(Key.Step) : Task).Stored.Checkpoint;
  if (Job.Policy.Advice)
    Start.Ticket = this->Advice[Key.Step].Tickets[Start.Executor].Text;
  RunRecord Record;
  Record.Number = Run;
  Record.Executor = Start.Executor;
  Record.PlacedAt = Now;
  Record.IsLastChance = this->IsPlanningLastChance;
  this->log("run-placed", {{"task", Key.text()},
                           {"run", Run},
                           {"executor", Start.Executor},
                           {"free", Target.Free.MilliCores},
                           {"waited-ms", toMilliseconds(Now - Job.Accepted)}});
  this->logRestart(Key, Task, Record);
  this->bookRun(Key, Task, std::move(Record));
  this->noteStartOrdered(*Target.Executor, Key, Now);
  Target.Free -= Spec.bookedResources();
  if (this->Room.Reservations.hasReservations())
    this->Room.Reservations.notePlaced(Target.Position, Spec.bookedResources(),
                                       this->latestEnd(Job, Key.Step, Now));
  this->Orders.push_back(std::move(Start));
}

void Planner::Private::chooseRack(const StepSpec &Spec, StepRecord &Step,
                                  const std::vector<Candidate> &Candidates) {
  if (!Spec.IsOnOneRack || !Step.Rack.empty())
    return;
  std::vector<RackCandidate> RackCandidates;
  RackCandidates.reserve(Candidates.size());
  for (const Candidate &Each : Candidates)
    RackCandidates.push_back({Each.Rack, Each.Free});
  Step.Rack = rackFittingMostTasks(Spec, RackCandidates);
}

/// How many tasks with this need the resources cover, at most \p Limit.
static size_t countCovered(const ComputeResources &Free,
                           const ComputeResources &Need, size_t Limit) {
  const auto Bound = [&](int64_t ComputeResources::*Part) {
    if (Need.*Part > 0)
      Limit = std::min(Limit, static_cast<size_t>(std::max<int64_t>(
                                  Free.*Part / Need.*Part, 0)));
  };
  Bound(&ComputeResources::MilliCores);
  Bound(&ComputeResources::MemoryMb);
  Bound(&ComputeResources::Gpus);
  return Free.covers(Need) ? Limit : 0;
}

/// Whether the gang may find room. A gang that waits is planned in each pass,
/// and a search for all of its members takes far longer than this.
static bool mayFit(const StepSpec &Spec,
                   const std::vector<Candidate> &Candidates) {
  const size_t MostOnOne = Spec.MaxTasksPerExecutor == 0
                               ? Spec.Count
                               : std::min(Spec.Count, Spec.MaxTasksPerExecutor);
  size_t Places = 0;
  for (const Candidate &Each : Candidates) {
    Places += countCovered(Each.Free, Spec.bookedResources(), MostOnOne);
    if (Places >= Spec.Count)
      return true;
  }
  return false;
}

void Planner::Private::planGang(JobRecord &Job, const StepKey &Step,
                                std::vector<Candidate> &Candidates,
                                TimePoint Now) {
  const size_t Count = this->stepSpec(Job, Step).Count;
  for (size_t Index = 0; Index < Count; ++Index)
    if (this->findTask({Step, Index})->Current)
      return;
  if (!this->isCrashStored(Job, {Step, 0}) ||
      !this->Tenants.mayStart(Job.Tenant, this->stepSpec(Job, Step)) ||
      !mayFit(this->stepSpec(Job, Step), Candidates))
    return;
  // Place all members on a copy of the candidates first, so that either all of
  // them start or none does.
  std::vector<Candidate> Trial = Candidates;
  if (this->Room.Reservations.hasReservations())
    for (Candidate &Each : Trial)
      Each.Free = this->Room.Reservations.unreserved(Each.Position, Each.Free);
  std::map<ExecutorId, size_t> Taken;
  std::vector<size_t> Places;
  const StepSpec &Spec = this->stepSpec(Job, Step);
  for (size_t Index = 0; Index < Count; ++Index) {
    Candidate *Place = this->chooseCandidate(Job, {Step, Index}, Trial, Now);
    while (Place && Spec.MaxTasksPerExecutor > 0 &&
           Taken[Place->Executor->Info.Id] >= Spec.MaxTasksPerExecutor) {
      Place->Free = NoResources;
      Place = this->chooseCandidate(Job, {Step, Index}, Trial, Now);
    }
    if (!Place)
      return;
    ++Taken[Place->Executor->Info.Id];
    Place->Free -= Spec.bookedResources();
    Places.push_back(static_cast<size_t>(Place - Trial.data()));
  }
  const uint64_t Run = this->nextRunNumber(Step, 0);
  for (size_t Index = 0; Index < Count; ++Index)
    this->start(Job, {Step, Index}, Run, Candidates[Places[Index]], Now);
}

bool Planner::Private::planStep(JobRecord &Job, const StepKey &Step,
                                std::vector<Candidate> &Candidates,
                                size_t &Next, TimePoint Now) {
  const StepSpec &Spec = this->stepSpec(Job, Step);
  StepRecord &Record = Job.step(Step);
  if (Record.isDone() || !this->ensureTickets(Job, Step, Candidates, Now))
    return true;
  const ComputeResources Need = Spec.bookedResources();
  if (this->UnplaceableNeed && Need.covers(*this->UnplaceableNeed)) {
    this->reserveRoomForStep(Job, Step, Candidates, Now);
    return true;
  }
  this->chooseRack(Spec, Record, Candidates);
  if (Spec.IsGang) {
    this->planGang(Job, Step, Candidates, Now);
    return true;
  }
  while (Next < Record.Tasks.size()) {
    const TaskKey Key{Step, Next++};
    switch (this->planTask(Job, Key, Candidates, Now)) {
    case TaskPlan::Skipped:
      break;
    case TaskPlan::Planned:
      if (this->isTurnOver())
        return false;
      break;
    case TaskPlan::StepBlocked:
      return true;
    }
  }
  return true;
}

TaskPlan Planner::Private::planTask(JobRecord &Job, const TaskKey &Key,
                                    std::vector<Candidate> &Candidates,
                                    TimePoint Now) {
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  const TaskRecord &Task = Job.step(Key.Step).Tasks[Key.Index];
  if (Spec.IsLongRunning && Task.Current) {
    this->planLeavingTask(Job, Key, Candidates, Now);
    return TaskPlan::Planned;
  }
  if (Task.Stored.IsDone || Task.Current || Now < Task.EarliestStart ||
      !this->isCrashStored(Job, Key))
    return TaskPlan::Skipped;
  if (!this->Tenants.mayStart(Job.Tenant, Spec))
    return TaskPlan::StepBlocked;
  bool IsHeldBack = false;
  Candidate *Place =
      this->chooseCandidate(Job, Key, Candidates, Now, &IsHeldBack);
  if (Place) {
    this->start(Job, Key, this->nextRunNumber(Key.Step, Key.Index), *Place,
                Now);
    return TaskPlan::Planned;
  }
  const StartCaution Caution = this->startCaution(Key);
  if (Caution == StartCaution::Alone)
    this->reserveForSuspect(Job, Key, Candidates, Now);
  if (Caution != StartCaution::None)
    return TaskPlan::Planned;
  if (Spec.IsLongRunning) {
    this->reserveCandidate(Job, Key, Candidates, Now);
    return TaskPlan::StepBlocked;
  }
  if (this->Setup.ReservesRoom)
    this->reserveRoom(Job, Key, Candidates, IsHeldBack, Now);
  const bool IsUnconstrained =
      Spec.RequiredLabel.empty() && !Spec.IsOnOneRack &&
      Spec.MaxTasksPerExecutor == 0 && !Job.Policy.Advice;
  if (IsHeldBack)
    this->noteRefusal(Candidates);
  else if (IsUnconstrained)
    this->UnplaceableNeed = Spec.bookedResources();
  return TaskPlan::StepBlocked;
}

bool Planner::Private::planJob(JobRecord &Job,
                               std::vector<Candidate> &Candidates,
                               PassPosition &Next, TimePoint Now,
                               WallTime WallNow) {
  for (; Next.Occurrence < Job.Occurrences.size();
       Next = {Next.Occurrence + 1, 0, 0}) {
    const WallTime Due =
        Job.Spec.FirstRun +
        Job.Spec.Interval * static_cast<int64_t>(Next.Occurrence);
    if (Job.Spec.isPeriodic() && WallNow < Due)
      return true;
    if (Next.Occurrence >= Job.Tenant.DueOccurrences) {
      Job.Tenant.DueOccurrences = Next.Occurrence + 1;
      this->markForReview(Job);
    }
    if (Job.Occurrences[Next.Occurrence].isDone())
      continue;
    for (; Next.Step < Job.Spec.Steps.size(); ++Next.Step, Next.Task = 0) {
      const StepKey Key{Job.Spec.Id, static_cast<int64_t>(Next.Occurrence),
                        Next.Step};
      if (this->canStart(Job, Key) &&
          !this->planStep(Job, Key, Candidates, Next.Task, Now))
        return false;
    }
  }
  return true;
}

} // namespace whintack::jobs
