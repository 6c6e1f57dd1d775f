#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// How long the expected ends of an executor's runs are used before they are
/// found anew with the reported progress.
static constexpr Duration MaxEndsAge = std::chrono::milliseconds(100);
/// How long a run that is being stopped is expected to take.
static constexpr Duration StopTime = std::chrono::milliseconds(50);
/// One reservation is allowed for this many executors, and one more. On 24
/// executors with 3 times the load they can hold, one for 8, 4 and 2 executors
/// shortened the wait of the largest tenth of tasks by 9, 14 and 18 %.
static constexpr size_t ExecutorsPerRoomReservation = 2;
/// Bounds the time of a pass in large pools.
static constexpr size_t MaxRoomReservations = 24;
/// Number of tasks in a pass that may be refused because of reservations. Each
/// costs a search of all executors.
static constexpr size_t MaxRefusals = 32;
/// Room is reserved for tasks that need at least this part of the largest
/// executor. Smaller ones find room as soon as any run ends.
static constexpr int64_t LargeNeedDivisor = 8;

estimates::RunTimeEstimate
Planner::Private::expectedRunTime(const JobRecord &Job,
                                  const StepKey &Step) const {
  return this->Room.Estimator.expectedTime(Job.Policy.Name,
                                           Job.Spec.Steps[Step.Index].Estimate,
                                           Job.step(Step).RunTimes);
}

void Planner::Private::learnRunTime(JobRecord &Job, const EndReport &End,
                                    const RunRecord &Run, TimePoint Now) {
  const StepSpec &Spec = this->stepSpec(Job, End.Task.Step);
  // Runs that continue from a checkpoint, or at a limited pace, say nothing
  // about whole ones.
  if (!this->Setup.ReservesRoom || End.Outcome != RunEnd::Done ||
      Run.AnsweredAt == TimePoint::max() || Spec.IsLongRunning ||
      Spec.IsBestEffort || Spec.IsCheckpointing)
    return;
  estimates::StepRunTimes &Times = Job.step(End.Task.Step).RunTimes;
  if (Times.finishedRuns() == 0)
    this->Room.Estimator.noteStep(Job.Policy.Name, Spec.Estimate,
                                  Now - Run.AnsweredAt);
  Times.noteFinished(Now - Run.AnsweredAt);
}

const std::vector<placement::EndingRun> &
Planner::Private::endingRuns(ExecutorRecord &Executor, TimePoint Now) {
  ExpectedEnds &Ends = Executor.Ends;
  if (Now < Ends.ValidUntil)
    return Ends.Runs;
  Ends.ValidUntil = Now + MaxEndsAge;
  Ends.Runs.clear();
  for (const auto &[Key, Number] : Executor.Runs) {
    JobRecord &Job = *this->findJob(Key.Step.Job);
    const StepSpec &Spec = this->stepSpec(Job, Key.Step);
    const RunRecord &Run = *this->findTask(Key)->Current;
    if (Run.Phase == RunPhase::Stopping) {
      Ends.Runs.push_back({Now + StopTime, Spec.bookedResources()});
      continue;
    }
    if (Spec.IsLongRunning)
      continue;
    estimates::RunInProgress Progress;
    Progress.IsAdopted = Run.PlacedAt == TimePoint::min();
    const TimePoint Begin = std::min(Run.AnsweredAt, Run.KnownSince);
    if (Begin != TimePoint::max()) {
      Progress.Elapsed = Now - Begin;
      Progress.ElapsedAtReport =
          std::max(Executor.LastAnswerAt - Begin, Duration::zero());
      Progress.Percent = Run.Percent;
    }
    estimates::StepRunTimes &Times = Job.step(Key.Step).RunTimes;
    Times.noteInProgress(Progress.Elapsed);
    const Duration Remainder = this->Room.Estimator.expectedRemainder(
        Job.Policy.Name, Spec.Estimate, Times, Progress);
    Ends.Runs.push_back({Now + Remainder, Spec.bookedResources()});
  }
  std::sort(Ends.Runs.begin(), Ends.Runs.end(),
            [](const auto &First, const auto &Second) {
              return First.End < Second.End;
            });
  return Ends.Runs;
}

void Planner::Private::beginReservations(
    const std::vector<Candidate> &Candidates) {
  const size_t Max = this->Setup.ReservesRoom
                         ? 1 + Candidates.size() / ExecutorsPerRoomReservation
                         : 0;
  this->Room.Reservations.beginPass(
      Candidates.size(), {std::min(Max, MaxRoomReservations), MaxRefusals});
  this->Room.LargeNeed = {};
  for (const Candidate &Each : Candidates) {
    const ComputeResources &Most = Each.Executor->Info.Capacity;
    ComputeResources &Large = this->Room.LargeNeed;
    Large.MilliCores =
        std::max(Large.MilliCores, Most.MilliCores / LargeNeedDivisor);
    Large.MemoryMb = std::max(Large.MemoryMb, Most.MemoryMb / LargeNeedDivisor);
    Large.Gpus = std::max(Large.Gpus, Most.Gpus / LargeNeedDivisor);
  }
}

bool Planner::Private::mayReserveRoom(const JobRank &Rank,
                                      const ComputeResources &Need,
                                      TimePoint Now) const {
  const ComputeResources &Large = this->Room.LargeNeed;
  const bool IsLarge = Need.MilliCores >= Large.MilliCores ||
                       Need.MemoryMb >= Large.MemoryMb ||
                       (Need.Gpus > 0 && Need.Gpus >= Large.Gpus);
  return this->Room.Reservations.mayReserve() && IsLarge &&
         !Rank.IsLongRunning &&
         expectedOutcome(Rank, Now) != ExpectedOutcome::Worthless;
}

void Planner::Private::reserveRoom(JobRecord &Job, const TaskKey &Key,
                                   std::vector<Candidate> &Candidates,
                                   bool IsHeldBack, TimePoint Now) {
  const StepSpec &Spec = this->stepSpec(Job, Key.Step);
  const ComputeResources Need = Spec.bookedResources();
  const TaskRecord &Task = *this->findTask(Key);
  if (Spec.IsGang || Spec.IsLongRunning || Task.Current || Task.Stored.IsDone ||
      Now < Task.EarliestStart ||
      this->startCaution(Key) != StartCaution::None ||
      !this->isCrashStored(Job, Key) ||
      !this->mayReserveRoom(Job.Rank, Need, Now))
    return;
  const auto StateOf =
      [&](size_t Position) -> std::optional<placement::PlaceState> {
    Candidate &Place = Candidates[Position];
    ExecutorRecord &Executor = *Place.Executor;
    const ComputeResources Free = Place.Free;
    // An executor that is kept for a long-running task has less left than what
    // is not booked.
    if (!(Free == Executor.free()) ||
        !isOpenFor(Executor, Key, StartCaution::None, Now))
      return std::nullopt;
    Place.Free = Executor.Info.Capacity;
    const bool CanRun = this->canRunOn(Job, Key, Place, Now);
    Place.Free = Free;
    if (!CanRun)
      return std::nullopt;
    return placement::PlaceState{Free, &this->endingRuns(Executor, Now)};
  };
  const placement::Reservation *Made =
      this->Room.Reservations.reserve(Need, lastUsefulStart(Job.Rank), StateOf);
  if (Made)
    this->Room.Changes.note({Key, Candidates[Made->Place].Executor->Info.Id,
                             Made->Start, IsHeldBack});
}

void Planner::Private::reserveRoomForStep(JobRecord &Job, const StepKey &Step,
                                          std::vector<Candidate> &Candidates,
                                          TimePoint Now) {
  if (!this->Room.Reservations.mayReserve())
    return;
  const std::vector<TaskRecord> &Tasks = Job.step(Step).Tasks;
  const auto Waiting =
      std::find_if(Tasks.begin(), Tasks.end(), [](const TaskRecord &Task) {
        return !Task.Current && !Task.Stored.IsDone;
      });
  if (Waiting != Tasks.end())
    this->reserveRoom(Job, {Step, static_cast<size_t>(Waiting - Tasks.begin())},
                      Candidates, false, Now);
}

bool Planner::Private::isAdmitted(const JobRecord &Job, const TaskKey &Key,
                                  const Candidate &Target,
                                  TimePoint Now) const {
  if (!this->Room.Reservations.isReserved(Target.Position))
    return true;
  return this->Room.Reservations.admits(
      Target.Position, Job.Spec.Steps[Key.Step.Index].bookedResources(),
      this->latestEnd(Job, Key.Step, Now));
}

TimePoint Planner::Private::latestEnd(const JobRecord &Job, const StepKey &Step,
                                      TimePoint Now) const {
  if (Job.Spec.Steps[Step.Index].IsLongRunning)
    return TimePoint::max();
  return Now + this->expectedRunTime(Job, Step).withMargin();
}

void Planner::Private::noteRefusal(std::vector<Candidate> &Candidates) {
  if (!this->Room.Reservations.noteRefusal())
    return;
  for (Candidate &Each : Candidates)
    Each.Free = this->Room.Reservations.unreserved(Each.Position, Each.Free);
}

} // namespace whintack::jobs
