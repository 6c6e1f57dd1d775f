#include "planner_p.h"

#include "stepplacement.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// Executors asked about in one question for advice; the wait grows with each.
static constexpr size_t AdviceBatch = 30;
/// Time over which the work that comes in is counted: a fifth of a queue's turn
/// of 4 to 5 s.
static constexpr Duration ArrivalWindow = std::chrono::seconds(1);
/// Longest time between two passes while something waits.
static constexpr Duration PlanInterval = std::chrono::milliseconds(100);

std::vector<Candidate> Planner::Private::candidates(TimePoint Now) {
  std::vector<Candidate> Sound;
  std::vector<Candidate> Suspect;
  for (auto &[Id, Worker] : this->Workers) {
    const auto Policy = this->Services.find(Worker.Info.Service);
    const bool IsGuarded =
        Policy == this->Services.end() || Policy->second.ExecutorsRefuse;
    if (!Worker.IsListed || Worker.Info.IsDraining || !Worker.IsReachable ||
        !Worker.HasReported || Now < Worker.EvacuatingUntil ||
        Now < Worker.NoRoomUntil || (Worker.HasStrangers && !IsGuarded))
      continue;
    Candidate Found{&Worker, Worker.free(), rackOf(Worker.Info)};
    (this->Judge.isSuspect(Id, Now) ? Suspect : Sound)
        .push_back(std::move(Found));
  }
  // If all are suspect, the fault lies elsewhere.
  return Sound.empty() ? Suspect : Sound;
}

/// Every second job ranks as if it were no larger than its queue's mean, so
/// that large jobs are served at least half as often as others.
static bool isProtected(const JobId &Id) {
  return std::hash<std::string>()(Id.text()) % 2 == 0;
}

JobStanding Planner::Private::standing(const JobRecord &Job) const {
  JobStanding Standing;
  Standing.Priority = Job.Policy.Priority;
  Standing.Accepted = Job.Accepted;
  Standing.Lasts =
      std::any_of(Job.Spec.Steps.begin(), Job.Spec.Steps.end(),
                  [](const StepSpec &Step) { return Step.IsLongRunning; });
  Standing.WorkLeft = Job.Effort.Work;
  if (isProtected(Job.Spec.Id)) {
    const auto Queue = this->WorkOfQueues.find(Job.Policy.Name);
    if (Queue != this->WorkOfQueues.end())
      Standing.WorkLeft = std::min(Standing.WorkLeft, Queue->second.first);
  }
  const auto Chain = static_cast<double>(Job.Effort.Chain.count());
  Standing.Objective =
      Job.Accepted + Job.Policy.Objective +
      Duration(static_cast<int64_t>(Job.Policy.Stretch * Chain));
  return Standing;
}

bool Planner::Private::canStart(const JobRecord &Job,
                                const StepKey &Step) const {
  const auto &Steps =
      Job.Occurrences[static_cast<size_t>(Step.Occurrence)].Steps;
  const std::vector<size_t> &After = Job.Spec.Steps[Step.Step].After;
  return std::all_of(After.begin(), After.end(), [&Steps](size_t Earlier) {
    return Steps[Earlier].isDone();
  });
}

size_t Planner::Private::tasksOn(const StepKey &Step, const ExecutorId &On) {
  const JobRecord &Job = *this->job(Step.Job);
  size_t Count = 0;
  for (size_t Index = 0; Index < this->spec(Job, Step).Count; ++Index) {
    const TaskRecord &Task = *this->task({Step, Index});
    if (Task.Current && Task.Current->On == On)
      ++Count;
  }
  return Count;
}

bool Planner::Private::mayRunOn(const JobRecord &Job, const TaskKey &Key,
                                const Candidate &On, TimePoint Now) {
  const StepSpec &Spec = this->spec(Job, Key.Of);
  if (!On.Free.holds(Spec.bookedRoom()))
    return false;
  const std::vector<std::string> &Labels = On.Worker->Info.Labels;
  if (!Spec.RequiredLabel.empty() &&
      std::find(Labels.begin(), Labels.end(), Spec.RequiredLabel) ==
          Labels.end())
    return false;
  const StepRecord &Step = Job.step(Key.Of);
  if (Spec.IsOnOneRack && !Step.Rack.empty() && On.Rack != Step.Rack)
    return false;
  if (Spec.MostPerExecutor > 0 &&
      this->tasksOn(Key.Of, On.Worker->Info.Id) >= Spec.MostPerExecutor)
    return false;
  if (!Job.Policy.Advice)
    return true;
  const AdviceRecord &Known = this->Advice[Key.Of];
  return Now < Known.ValidUntil && Known.Good.contains(On.Worker->Info.Id);
}

Candidate *Planner::Private::choose(const JobRecord &Job, const TaskKey &Key,
                                    std::vector<Candidate> &Candidates,
                                    TimePoint Now) {
  const StepSpec &Spec = this->spec(Job, Key.Of);
  const ExecutorId &FailedOn = this->task(Key)->FailedOn;
  Candidate *Best = nullptr;
  PlacementScore BestScore;
  for (Candidate &Each : Candidates) {
    if (!this->mayRunOn(Job, Key, Each, Now))
      continue;
    PlacementScore Score = scorePlacement(Spec, Each.Free, Each.Rack);
    Score.HasFailedThere = Each.Worker->Info.Id == FailedOn;
    if (Spec.IsLongRunning)
      Score.LastingTasks = static_cast<size_t>(
          std::count_if(Each.Worker->Runs.begin(), Each.Worker->Runs.end(),
                        [this](const auto &Run) {
                          const JobRecord &Other = *this->job(Run.first.Of.Job);
                          return this->spec(Other, Run.first.Of).IsLongRunning;
                        }));
    if (!Best || Score < BestScore) {
      Best = &Each;
      BestScore = Score;
    }
  }
  return Best;
}

bool Planner::Private::hasTickets(const JobRecord &Job, const StepKey &Step,
                                  const std::vector<Candidate> &Candidates,
                                  TimePoint Now) {
  if (!Job.Policy.Advice)
    return true;
  AdviceRecord &Known = this->Advice[Step];
  const bool IsValid = Now < Known.ValidUntil;
  const auto IsGood = [&Known](const Candidate &Each) {
    return Known.Good.contains(Each.Worker->Info.Id);
  };
  if (IsValid && std::any_of(Candidates.begin(), Candidates.end(), IsGood))
    return true;
  if (Known.IsAsking || Now < Known.NextAsk)
    return false;
  AdviceOrder Question{Step, {}};
  // Which executors may run a step does not change, so those that may are
  // asked about again and those that may not are not.
  for (const Candidate &Each : Candidates) {
    const ExecutorId &Id = Each.Worker->Info.Id;
    if (Question.Candidates.size() < AdviceBatch &&
        (!Known.Asked.contains(Id) || Known.Good.contains(Id)))
      Question.Candidates.push_back(Id);
  }
  if (Question.Candidates.empty())
    return false;
  Known.IsAsking = true;
  this->Orders.push_back(std::move(Question));
  return false;
}

void Planner::Private::start(JobRecord &Job, const TaskKey &Key, uint64_t Run,
                             Candidate &On, TimePoint Now) {
  TaskRecord &Task = *this->task(Key);
  const StepSpec &Spec = this->spec(Job, Key.Of);
  StartOrder Start;
  Start.On = On.Worker->Info.Id;
  Start.Task = Key;
  Start.Run = Run;
  Start.TaskText = Job.Spec.TaskText;
  if (Spec.IsCheckpointing)
    Start.Checkpoint =
        (Spec.IsGang ? this->gangLeader(Key.Of) : Task).Stored.Checkpoint;
  if (Job.Policy.Advice)
    Start.Ticket = this->Advice[Key.Of].Good[Start.On];
  RunRecord Record;
  Record.Number = Run;
  Record.On = Start.On;
  this->log("run-placed", {{"task", Key.text()},
                           {"run", Run},
                           {"executor", Start.On},
                           {"free", On.Free.MilliCores},
                           {"waited-ms", toMilliseconds(Now - Job.Accepted)}});
  this->book(Key, Task, std::move(Record));
  On.Free = On.Worker->free();
  this->Orders.push_back(std::move(Start));
}

void Planner::Private::chooseRack(const StepSpec &Spec, StepRecord &Step,
                                  const std::vector<Candidate> &Candidates) {
  if (!Spec.IsOnOneRack || !Step.Rack.empty())
    return;
  std::vector<RackRoom> Rooms;
  Rooms.reserve(Candidates.size());
  for (const Candidate &Each : Candidates)
    Rooms.push_back({Each.Rack, Each.Free});
  Step.Rack = roomiestRack(Spec, Rooms);
}

void Planner::Private::planGang(JobRecord &Job, const StepKey &Step,
                                std::vector<Candidate> &Candidates,
                                TimePoint Now) {
  const size_t Count = this->spec(Job, Step).Count;
  for (size_t Index = 0; Index < Count; ++Index)
    if (this->task({Step, Index})->Current)
      return;
  // All members find a place on a copy of the room, or none starts.
  std::vector<Candidate> Trial = Candidates;
  std::map<ExecutorId, size_t> Taken;
  std::vector<size_t> Places;
  const StepSpec &Spec = this->spec(Job, Step);
  for (size_t Index = 0; Index < Count; ++Index) {
    Candidate *Place = this->choose(Job, {Step, Index}, Trial, Now);
    while (Place && Spec.MostPerExecutor > 0 &&
           Taken[Place->Worker->Info.Id] >= Spec.MostPerExecutor) {
      Place->Free = {};
      Place = this->choose(Job, {Step, Index}, Trial, Now);
    }
    if (!Place)
      return;
    ++Taken[Place->Worker->Info.Id];
    Place->Free -= Spec.bookedRoom();
    Places.push_back(static_cast<size_t>(Place - Trial.data()));
  }
  const uint64_t Run = this->nextRun(Step, 0);
  for (size_t Index = 0; Index < Count; ++Index)
    this->start(Job, {Step, Index}, Run, Candidates[Places[Index]], Now);
}

void Planner::Private::planStep(JobRecord &Job, const StepKey &Step,
                                std::vector<Candidate> &Candidates,
                                TimePoint Now) {
  const StepSpec &Spec = this->spec(Job, Step);
  StepRecord &Record = Job.step(Step);
  if (Record.isDone() || !this->hasTickets(Job, Step, Candidates, Now))
    return;
  const Room Need = Spec.bookedRoom();
  if (this->DidNotFit && Need.holds(*this->DidNotFit))
    return;
  this->chooseRack(Spec, Record, Candidates);
  if (Spec.IsGang) {
    this->planGang(Job, Step, Candidates, Now);
    return;
  }
  for (size_t Index = 0; Index < Record.Tasks.size(); ++Index) {
    TaskRecord &Task = Record.Tasks[Index];
    const TaskKey Key{Step, Index};
    if (Spec.IsLongRunning && Task.Current &&
        Task.Current->Phase == RunPhase::Stopping) {
      // It starts again in a moment; nothing else may take its place.
      if (Candidate *Next = this->choose(Job, Key, Candidates, Now))
        Next->Free -= Spec.bookedRoom();
      continue;
    }
    if (Task.Stored.IsDone || Task.Current || Now < Task.NotBefore)
      continue;
    Candidate *Place = this->choose(Job, Key, Candidates, Now);
    if (!Place && Spec.IsLongRunning) {
      this->reserveFor(Job, Key, Candidates, Now);
      return;
    }
    if (!Place) {
      const bool IsUnbound = Spec.RequiredLabel.empty() && !Spec.IsOnOneRack &&
                             Spec.MostPerExecutor == 0 && !Job.Policy.Advice;
      if (IsUnbound)
        this->DidNotFit = Need;
      return;
    }
    this->start(Job, Key, this->nextRun(Step, Index), *Place, Now);
  }
}

void Planner::Private::reserveFor(const JobRecord &Job, const TaskKey &Key,
                                  std::vector<Candidate> &Candidates,
                                  TimePoint Now) {
  Candidate *Best = nullptr;
  for (Candidate &Each : Candidates) {
    Candidate Emptied = Each;
    Emptied.Free = Each.Worker->Info.Capacity;
    if (this->mayRunOn(Job, Key, Emptied, Now) &&
        (!Best || Each.Free.MilliCores > Best->Free.MilliCores))
      Best = &Each;
  }
  if (Best)
    Best->Free = {};
}

void Planner::Private::planJob(JobRecord &Job,
                               std::vector<Candidate> &Candidates,
                               TimePoint Now, WallTime WallNow) {
  for (size_t K = 0; K < Job.Occurrences.size(); ++K) {
    const WallTime Due =
        Job.Spec.FirstRun + Job.Spec.Interval * static_cast<int64_t>(K);
    if (Job.Spec.isTimed() && WallNow < Due)
      return;
    if (Job.Occurrences[K].isDone())
      continue;
    for (size_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      const StepKey Key{Job.Spec.Id, static_cast<int64_t>(K), Step};
      if (this->canStart(Job, Key))
        this->planStep(Job, Key, Candidates, Now);
    }
  }
}

void Planner::plan(TimePoint Now, WallTime WallNow) {
  this->D->resendStops(Now);
  std::vector<Candidate> Candidates = this->D->candidates(Now);
  if (Candidates.empty())
    return;
  this->D->DidNotFit.reset();
  std::vector<std::pair<JobStanding, JobRecord *>> Waiting;
  for (auto &[Id, Job] : this->D->Jobs) {
    const bool IsHeldBack = Job.MayHaveRun && this->isRecovering();
    if (!isFinal(Job.State) && !IsHeldBack)
      Waiting.emplace_back(this->D->standing(Job), &Job);
  }
  std::stable_sort(Waiting.begin(), Waiting.end(),
                   [Now](const auto &First, const auto &Second) {
                     return goesBefore(First.first, Second.first, Now);
                   });
  for (const auto &[Standing, Job] : Waiting)
    this->D->planJob(*Job, Candidates, Now, WallNow);
}

/// Estimated work of the tasks of a job that could start now, in core-seconds.
double Planner::Private::startableWork(const JobRecord &Job) const {
  constexpr double MicrosPerSecond = 1e6;
  double Work = 0;
  for (size_t K = 0; K < Job.Occurrences.size(); ++K)
    for (size_t S = 0; S < Job.Spec.Steps.size(); ++S) {
      const StepSpec &Spec = Job.Spec.Steps[S];
      if (Spec.IsLongRunning ||
          !this->canStart(Job, {Job.Spec.Id, static_cast<int64_t>(K), S}))
        continue;
      const auto &Tasks = Job.Occurrences[K].Steps[S].Tasks;
      const auto Waiting =
          std::count_if(Tasks.begin(), Tasks.end(), [](const TaskRecord &Task) {
            return !Task.Stored.IsDone && !Task.Current;
          });
      Work += static_cast<double>(Waiting) *
              static_cast<double>(Spec.Need.MilliCores) / MilliCoresPerCore *
              static_cast<double>(Spec.Estimate.count()) / MicrosPerSecond;
    }
  return Work;
}

bool Planner::Private::takeOtherPlace(const JobRecord &Job, const TaskKey &Key,
                                      std::vector<Candidate> &Places,
                                      TimePoint Now) {
  const ExecutorId &On = this->task(Key)->Current->On;
  for (Candidate &Each : Places) {
    if (Each.Worker->Info.Id == On || !this->mayRunOn(Job, Key, Each, Now))
      continue;
    Each.Free -= this->spec(Job, Key.Of).bookedRoom();
    return true;
  }
  return false;
}

std::vector<std::string> Planner::Private::displacedTasks(TimePoint Now) {
  std::vector<std::string> Displaced;
  std::vector<Candidate> Places = this->candidates(Now);
  for (const auto &[Id, Job] : this->Jobs) {
    if (isFinal(Job.State) || Job.Spec.isTimed())
      continue;
    for (size_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      const StepKey Key{Id, 0, Step};
      if (!Job.Spec.Steps[Step].IsLongRunning || !this->canStart(Job, Key))
        continue;
      const auto &Tasks = Job.Occurrences[0].Steps[Step].Tasks;
      for (size_t Index = 0; Index < Tasks.size(); ++Index) {
        const auto &Current = Tasks[Index].Current;
        const bool IsLeaving =
            Current && Now < this->Workers[Current->On].EvacuatingUntil;
        if (!Current || (IsLeaving &&
                         !this->takeOtherPlace(Job, {Key, Index}, Places, Now)))
          Displaced.push_back(Job.Spec.Steps[Step].RequiredLabel);
      }
    }
  }
  return Displaced;
}

PoolDemand Planner::demand(TimePoint Now) const {
  const double WindowSeconds =
      std::chrono::duration<double>(ArrivalWindow).count();
  PoolDemand Demand;
  Demand.Pool = this->D->Setup.Service;
  for (std::string &Label : this->D->displacedTasks(Now)) {
    ++Demand.Displaced;
    if (!Label.empty())
      Demand.DisplacedLabels.push_back(std::move(Label));
  }
  for (const auto &[Id, Job] : this->D->Jobs)
    if (!Job.Spec.isTimed()) {
      if (Job.Accepted > Now - ArrivalWindow)
        Demand.ArrivingWork += Job.Effort.Work / WindowSeconds;
      if (!isFinal(Job.State) && canStillEarn(this->D->standing(Job), Now))
        Demand.WaitingWork += this->D->startableWork(Job);
    }
  for (const auto &[Id, Worker] : this->D->Workers) {
    if (!Worker.IsListed || Worker.Info.IsDraining || !Worker.IsReachable)
      continue;
    // One that has not reported yet will, or turns out to be unreachable.
    Demand.Cores += static_cast<double>(Worker.Info.Capacity.MilliCores) /
                    MilliCoresPerCore;
    if (Worker.HasReported && Worker.Runs.empty() && !Worker.HasStrangers)
      Demand.Vacant.insert(Id);
  }
  return Demand;
}

std::vector<Order> Planner::takeOrders() {
  return std::exchange(this->D->Orders, {});
}

TimePoint Planner::nextPlan(TimePoint Now) const { return Now + PlanInterval; }

} // namespace whintack::jobs
