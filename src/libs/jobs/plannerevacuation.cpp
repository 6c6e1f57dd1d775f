#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// How long a released executor gets no new tasks, unless it is released again.
static constexpr Duration ReleaseTime = std::chrono::milliseconds(600);

size_t Planner::Private::countUnavailableTasks(const JobRecord &Job,
                                               const StepKey &Step) {
  size_t Unavailable = 0;
  for (size_t Index = 0; Index < this->stepSpec(Job, Step).Count; ++Index) {
    const TaskRecord &Task = *this->findTask({Step, Index});
    const bool IsServing = Task.Current &&
                           Task.Current->Phase == RunPhase::Running &&
                           Task.Current->Percent >= 100 &&
                           this->Executors[Task.Current->Executor].IsReachable;
    if (!IsServing)
      ++Unavailable;
  }
  return Unavailable;
}

bool Planner::Private::mayMakeUnavailable(const JobRecord &Job,
                                          const StepKey &Step) {
  const StepSpec &Spec = this->stepSpec(Job, Step);
  return !Spec.HasMaxUnavailable ||
         this->countUnavailableTasks(Job, Step) < Spec.MaxUnavailable;
}

bool Planner::Private::takeOtherCandidate(const JobRecord &Job,
                                          const TaskKey &Key,
                                          std::vector<Candidate> &Places,
                                          TimePoint Now) {
  const ExecutorId &Current = this->findTask(Key)->Current->Executor;
  for (Candidate &Each : Places) {
    if (Each.Executor->Info.Id == Current ||
        !this->canRunOn(Job, Key, Each, Now))
      continue;
    Each.Free -= this->stepSpec(Job, Key.Step).bookedResources();
    return true;
  }
  return false;
}

void Planner::evacuate(const ExecutorId &Id, TimePoint Now) {
  const auto Found = this->D->Executors.find(Id);
  if (Found == this->D->Executors.end())
    return;
  ExecutorRecord &Executor = Found->second;
  Executor.EvacuatingUntil = Now + EvacuationTimeout;
  Executor.MachineOrderedUntil = Executor.EvacuatingUntil;
  std::vector<Candidate> Places = this->D->candidates(Now);
  for (const auto &[Key, Number] : Executor.Runs) {
    JobRecord &Job = *this->D->findJob(Key.Step.Job);
    const StepSpec &Spec = this->D->stepSpec(Job, Key.Step);
    TaskRecord &Task = *this->D->findTask(Key);
    if (Task.Current->Phase != RunPhase::Running)
      continue;
    const bool CanMove =
        Spec.IsLongRunning
            ? this->D->mayMakeUnavailable(Job, Key.Step) &&
                  this->D->takeOtherCandidate(Job, Key, Places, Now)
            : Spec.IsCheckpointing && !Spec.IsGang;
    if (Spec.IsLongRunning && !CanMove) {
      Task.Current->IsAwaitingPlace = true;
      this->D->markForReview(Job);
    }
    if (CanMove) {
      this->D->log("run-moved",
                   {{"task", Key.text()}, {"run", Number}, {"executor", Id}});
      this->D->orderStop(Key, Task);
    }
  }
}

void Planner::Private::planLeavingTask(JobRecord &Job, const TaskKey &Key,
                                       std::vector<Candidate> &Candidates,
                                       TimePoint Now) {
  TaskRecord &Task = *this->findTask(Key);
  RunRecord &Run = *Task.Current;
  const bool IsStopping = Run.Phase == RunPhase::Stopping;
  if (Run.IsAwaitingPlace &&
      Now >= this->Executors[Run.Executor].EvacuatingUntil) {
    Run.IsAwaitingPlace = false;
    this->markForReview(Job);
  }
  // A late start may be awaited for long.
  if ((!IsStopping && !Run.IsAwaitingPlace) || this->isLost(Run))
    return;
  Candidate *Next = this->chooseCandidate(Job, Key, Candidates, Now);
  if (!Next) {
    this->reserveCandidate(Job, Key, Candidates, Now);
    return;
  }
  // The task will start again shortly. No other task may take its new place.
  Next->Free -= this->stepSpec(Job, Key.Step).bookedResources();
  if (IsStopping || !this->mayMakeUnavailable(Job, Key.Step))
    return;
  this->log(
      "run-moved",
      {{"task", Key.text()}, {"run", Run.Number}, {"executor", Run.Executor}});
  this->orderStop(Key, Task);
}

void Planner::Private::reserveCandidate(const JobRecord &Job,
                                        const TaskKey &Key,
                                        std::vector<Candidate> &Candidates,
                                        TimePoint Now) {
  Candidate *Best = nullptr;
  for (Candidate &Each : Candidates) {
    if (Each.Free == NoResources)
      continue;
    Candidate Emptied = Each;
    Emptied.Free = Each.Executor->Info.Capacity;
    if (this->canRunOn(Job, Key, Emptied, Now) &&
        (!Best || Each.Free.MilliCores > Best->Free.MilliCores))
      Best = &Each;
  }
  if (Best)
    Best->Free = {};
}

Occupancy Planner::Private::runsOn(const ExecutorRecord &Executor) {
  // Until the executor has reported, runs that an earlier planner started there
  // may be unknown.
  if (!Executor.HasReported || Executor.HasUnknownRuns)
    return Occupancy::Protected;
  if (Executor.Runs.empty())
    return Occupancy::Vacant;
  for (const auto &[Key, Number] : Executor.Runs) {
    const JobRecord &Job = *this->findJob(Key.Step.Job);
    if (this->stepSpec(Job, Key.Step).IsLongRunning)
      return Occupancy::Protected;
  }
  return Occupancy::Interruptible;
}

Occupancy Planner::occupancy(const ExecutorId &Id) const {
  const auto Found = this->D->Executors.find(Id);
  // Until an end is stored, only the executor can report it to a successor.
  if (Found == this->D->Executors.end() || this->hasUnstoredEnds(Id))
    return Occupancy::Protected;
  return this->D->runsOn(Found->second);
}

void Planner::release(size_t Count, TimePoint Now) {
  std::vector<ExecutorRecord *> InUse;
  for (auto &[Id, Executor] : this->D->Executors) {
    const bool CanGetTasks = Executor.IsListed && Executor.IsReachable &&
                             !Executor.Info.IsDraining && Executor.HasReported;
    if (CanGetTasks && this->D->runsOn(Executor) == Occupancy::Interruptible)
      InUse.push_back(&Executor);
  }
  // Executors that were released before come first, so that they get empty.
  const auto OrderOf = [Now](const ExecutorRecord *Each) {
    return std::pair(Now >= Each->EvacuatingUntil, Each->Booked.MilliCores);
  };
  std::stable_sort(InUse.begin(), InUse.end(),
                   [&OrderOf](const auto *First, const auto *Second) {
                     return OrderOf(First) < OrderOf(Second);
                   });
  InUse.resize(std::min(Count, InUse.size()));
  for (ExecutorRecord *Executor : InUse)
    Executor->EvacuatingUntil =
        std::max(Executor->EvacuatingUntil, Now + ReleaseTime);
}

} // namespace whintack::jobs
