#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// Number of executors that crash under a task before its job fails.
static constexpr size_t MaxCrashedRuns = 3;
/// The same if some of them were lost before they answered the start order. A
/// task that never began may meet such executors in a row while a rack is lost.
static constexpr size_t MaxPossibleCrashes = 5;
/// Number of crashes after which a task starts alone: it has had two chances
/// with different neighbours.
static constexpr size_t MinCrashesForAlone = 2;
/// Time from the start of a run in which it is the likely cause of a crash.
static constexpr Duration SettleTime = std::chrono::milliseconds(300);
/// How long after the end of an evacuation the loss of the executor may still
/// be the effect of an order.
static constexpr Duration EvacuationMargin = std::chrono::seconds(1);
/// How long a reservation outlasts the time at which the executor is expected
/// to be ready, so that a planning pass can use it.
static constexpr Duration ReservationMargin = std::chrono::milliseconds(200);
/// One in this many executors may be reserved for suspects at a time.
static constexpr size_t ExecutorsPerReservation = 8;

TaskRecord &Planner::Private::countingTask(const TaskKey &Key) {
  const JobRecord &Job = *this->findJob(Key.Step.Job);
  return this->stepSpec(Job, Key.Step).IsGang ? this->gangLeader(Key.Step)
                                              : *this->findTask(Key);
}

std::vector<SuspectRun>
Planner::Private::suspectRuns(const ExecutorRecord &Executor) {
  const bool IsOrdered =
      Executor.EvacuatingUntil != TimePoint::min() &&
      Executor.LastAnswerAt < Executor.EvacuatingUntil + EvacuationMargin;
  if (Executor.Info.IsDraining || IsOrdered)
    return {};
  std::vector<SuspectRun> Starting;
  std::vector<SuspectRun> Settled;
  for (const auto &[Key, Number] : Executor.Runs) {
    const RunRecord &Run = *this->findTask(Key)->Current;
    const JobRecord &Job = *this->findJob(Key.Step.Job);
    const bool HasStarted = Run.SettledAt != TimePoint::max();
    if (Executor.LastAnswerAt < Run.SettledAt)
      Starting.push_back({Key, Number, HasStarted});
    else if (!this->stepSpec(Job, Key.Step).IsLongRunning)
      Settled.push_back({Key, Number, HasStarted});
  }
  return Starting.empty() ? Settled : Starting;
}

void Planner::Private::countCrash(const std::vector<SuspectRun> &Suspects,
                                  const ExecutorId &Executor, TimePoint Now) {
  for (const SuspectRun &Each : Suspects) {
    JobRecord *Job = this->findJob(Each.Task.Step.Job);
    if (!Job || isFinal(Job->State))
      continue;
    TaskRecord &Task = this->countingTask(Each.Task);
    std::set<uint64_t> &Counted =
        Each.HasStarted ? Task.Stored.CrashedRuns : Task.Stored.LostStarts;
    if (Task.Stored.IsDone || !Counted.insert(Each.Number).second)
      continue;
    Task.CrashChange = this->recordChange(*Job, Now);
    this->markForReview(*Job);
    const size_t Crashes = Task.Stored.CrashedRuns.size();
    this->log("run-suspected",
              {{"task", Each.Task.text()},
               {"run", Each.Number},
               {"executor", Executor},
               {"suspects", Suspects.size()},
               {"crashes", Crashes},
               {"lost-starts", Task.Stored.LostStarts.size()}});
    if (Crashes < MaxCrashedRuns &&
        Task.Stored.possibleCrashes() < MaxPossibleCrashes)
      continue;
    this->log("task-given-up", {{"task", Each.Task.text()},
                                {"cause", "executors crash under it"},
                                {"crashes", Crashes}});
    this->endJob(*Job, JobState::Failed, Now);
  }
}

void Planner::Private::clearCrash(const TaskKey &Key, uint64_t Run) {
  // All members of a gang have the same run number, and another one may have
  // crashed its executor.
  if (this->stepSpec(*this->findJob(Key.Step.Job), Key.Step).IsGang)
    return;
  TaskProgress &Stored = this->findTask(Key)->Stored;
  Stored.CrashedRuns.erase(Run);
  Stored.LostStarts.erase(Run);
}

void Planner::Private::noteStartOrdered(ExecutorRecord &Executor,
                                        const TaskKey &Key, TimePoint Now) {
  const TimePoint Until = Now + SettleTime;
  const StartCaution Caution = this->startCaution(Key);
  Executor.SettledAt = std::max(Executor.SettledAt, Until);
  if (Caution != StartCaution::None)
    Executor.SuspectUntil = std::max(Executor.SuspectUntil, Until);
  if (Caution != StartCaution::Alone)
    return;
  Executor.ReservedUntil = Until;
  Executor.ReservedFor = Key;
}

void Planner::Private::noteStarted(ExecutorRecord &Executor, const TaskKey &Key,
                                   TimePoint Now) {
  Executor.LastAnswerAt = Now;
  this->findTask(Key)->Current->SettledAt = Now + SettleTime;
  this->noteStartOrdered(Executor, Key, Now);
}

StartCaution Planner::Private::startCaution(const TaskKey &Key) {
  const size_t Crashes = this->countingTask(Key).Stored.possibleCrashes();
  if (Crashes == 0)
    return StartCaution::None;
  const JobRecord &Job = *this->findJob(Key.Step.Job);
  // A gang would have to wait for as many executors as it has members.
  if (Crashes < MinCrashesForAlone || this->stepSpec(Job, Key.Step).IsGang)
    return StartCaution::ApartFromSuspects;
  return StartCaution::Alone;
}

/// Whether a successor would know of the crashes under the task, so that it may
/// be started again.
bool Planner::Private::isCrashStored(const JobRecord &Job, const TaskKey &Key) {
  return Job.FirstUnstored == 0 ||
         Job.FirstUnstored > this->countingTask(Key).CrashChange;
}

bool Planner::Private::isOpenFor(const ExecutorRecord &Executor,
                                 const TaskKey &Key, StartCaution Caution,
                                 TimePoint Now) {
  if (Now < Executor.ReservedUntil && Executor.ReservedFor != Key)
    return false;
  switch (Caution) {
  case StartCaution::None:
    return true;
  case StartCaution::ApartFromSuspects:
    return Now >= Executor.SuspectUntil;
  case StartCaution::Alone:
    return Now >= Executor.SettledAt;
  }
  return false;
}

void Planner::Private::reserveForSuspect(const JobRecord &Job,
                                         const TaskKey &Key,
                                         std::vector<Candidate> &Candidates,
                                         TimePoint Now) {
  size_t Reserved = 0;
  Candidate *Soonest = nullptr;
  for (Candidate &Each : Candidates) {
    if (Now < Each.Executor->ReservedUntil) {
      if (Each.Executor->ReservedFor == Key)
        return;
      ++Reserved;
      continue;
    }
    const bool IsSooner =
        !Soonest || Each.Executor->SettledAt < Soonest->Executor->SettledAt;
    if (IsSooner && this->canRunOn(Job, Key, Each, Now))
      Soonest = &Each;
  }
  const size_t MaxReserved = 1 + Candidates.size() / ExecutorsPerReservation;
  if (!Soonest || Reserved >= MaxReserved)
    return;
  ExecutorRecord &Executor = *Soonest->Executor;
  Executor.ReservedUntil =
      std::max(Executor.SettledAt, Now) + ReservationMargin;
  Executor.ReservedFor = Key;
}

} // namespace whintack::jobs
