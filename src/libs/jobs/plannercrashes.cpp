#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// A task is given up if this many executors have crashed under it, and the
/// last one at once and while nothing else was starting there.
static constexpr size_t MaxCrashes = 3;
/// The same whatever the last crash was like.
static constexpr size_t MaxDoubtfulCrashes = 5;
/// How long after a run has settled the loss of its executor is noticed at the
/// latest if the run crashed it. A machine that loses power is noticed later.
static constexpr Duration CrashNoticeTime = std::chrono::seconds(1);
/// Number of crashes after which a task starts alone: it has had two chances
/// with different neighbours.
static constexpr size_t MinCrashesForAlone = 2;
/// Time from the start of a run in which it is the likely cause of a crash.
static constexpr Duration SettleTime = std::chrono::milliseconds(300);
/// How long after the end of an evacuation the loss of the executor may still
/// be the effect of an order.
static constexpr Duration EvacuationMargin = std::chrono::seconds(1);
/// How long ago an executor may have answered when a start order is sent, so
/// that it was certainly up.
static constexpr Duration MaxAnswerAge = std::chrono::milliseconds(150);
/// How long a reservation outlasts the time at which all runs have settled:
/// until an executor without runs answers its next report call.
static constexpr Duration ReservationMargin = std::chrono::seconds(2);
/// One in this many executors may be reserved for suspects at a time.
static constexpr size_t ExecutorsPerReservation = 8;

TaskRecord &Planner::Private::countingTask(const TaskKey &Key) {
  const JobRecord &Job = *this->findJob(Key.Step.Job);
  return this->stepSpec(Job, Key.Step).IsGang ? this->gangLeader(Key.Step)
                                              : *this->findTask(Key);
}

std::vector<SuspectRun>
Planner::Private::suspectRuns(const ExecutorRecord &Executor, TimePoint Now) {
  const bool IsOrdered =
      Executor.LastAnswerAt < Executor.MachineOrderedUntil + EvacuationMargin;
  if (Executor.Info.IsDraining || IsOrdered)
    return {};
  std::vector<SuspectRun> Starting;
  std::vector<SuspectRun> Settled;
  for (const auto &[Key, Number] : Executor.Runs) {
    const RunRecord &Run = *this->findTask(Key)->Current;
    const JobRecord &Job = *this->findJob(Key.Step.Job);
    const bool HasAnswered = Run.SettledAt != TimePoint::max();
    const bool WasUp = Executor.LastAnswerAt + MaxAnswerAge >= Run.PlacedAt;
    const TimePoint SettledAt =
        HasAnswered ? Run.SettledAt : Run.PlacedAt + SettleTime;
    const bool IsPrompt = Now <= SettledAt + CrashNoticeTime;
    if (Executor.LastAnswerAt < Run.SettledAt)
      Starting.push_back({Key, Number, HasAnswered || WasUp, IsPrompt});
    else if (!this->stepSpec(Job, Key.Step).IsLongRunning)
      Settled.push_back({Key, Number, true, false});
  }
  return Starting.empty() ? Settled : Starting;
}

/// Whether only one task or gang can have crashed the executor.
bool Planner::Private::haveOneCause(const std::vector<SuspectRun> &Suspects) {
  const TaskRecord *Cause = nullptr;
  for (const SuspectRun &Each : Suspects) {
    if (!Each.HasStarted || !this->findTask(Each.Task))
      continue;
    const TaskRecord *Counting = &this->countingTask(Each.Task);
    if (Cause && Cause != Counting)
      return false;
    Cause = Counting;
  }
  return true;
}

void Planner::Private::countCrash(const std::vector<SuspectRun> &Suspects,
                                  const ExecutorId &Executor, TimePoint Now) {
  const bool HasOneCause = this->haveOneCause(Suspects);
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
    const bool IsCertain = HasOneCause && Each.IsPrompt;
    if (Crashes < (IsCertain ? MaxCrashes : MaxDoubtfulCrashes))
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

void Planner::Private::noteSettled(const TaskKey &Key, TimePoint Now) {
  JobRecord &Job = *this->findJob(Key.Step.Job);
  if (!this->stepSpec(Job, Key.Step).IsLongRunning)
    return;
  TaskProgress &Stored = this->countingTask(Key).Stored;
  if (Stored.possibleCrashes() == 0)
    return;
  Stored.CrashedRuns.clear();
  Stored.LostStarts.clear();
  this->recordChange(Job, Now);
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
    return Now >= Executor.SettledAt &&
           Now <= Executor.LastAnswerAt + MaxAnswerAge;
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

void Planner::noteEmpty(const ExecutorId &Id, ExecutorLoss Cause,
                        TimePoint Now) {
  this->D->AwaitedExecutors.erase(Id);
  const auto Found = this->D->Executors.find(Id);
  if (Found == this->D->Executors.end())
    return;
  const std::map<TaskKey, uint64_t> Booked = Found->second.Runs;
  std::vector<SuspectRun> &Unexplained = Found->second.UnexplainedRuns;
  const std::vector<SuspectRun> Suspects =
      this->D->suspectRuns(Found->second, Now);
  Unexplained.insert(Unexplained.end(), Suspects.begin(), Suspects.end());
  const TimePoint LastAnswerAt = Found->second.LastAnswerAt;
  const int64_t SilentMs = LastAnswerAt == TimePoint::min()
                               ? -1
                               : toMilliseconds(Now - LastAnswerAt);
  this->D->log("executor-empty", {{"executor", Id},
                                  {"incarnation", Found->second.Incarnation},
                                  {"cause", nameOf(ExecutorLossNames, Cause)},
                                  {"silent-ms", SilentMs},
                                  {"runs", Booked.size()},
                                  {"suspects", Suspects.size()}});
  Found->second.HasReported = false;
  Found->second.HasUnknownRuns = false;
  Found->second.MayHoldEarlierRuns = false;
  // Another incarnation with another id refuses the orders for this one.
  const bool CanComeBack = Cause != ExecutorLoss::Replaced;
  for (const auto &[Key, Number] : Booked) {
    const RunRecord &Run = *this->D->findTask(Key)->Current;
    if (!CanComeBack || Now >= this->D->lateStartDeadline(Key, Run)) {
      this->D->giveUpRun(Found->second, Key, lossOf(Cause), Now);
      continue;
    }
    this->D->awaitLateStart(Found->second, Key, Now);
    const JobRecord &Job = *this->D->findJob(Key.Step.Job);
    if (this->D->stepSpec(Job, Key.Step).IsGang)
      this->D->stopGang(Key.Step);
  }
  // An executor whose leases have expired may only have been silent.
  if (Cause != ExecutorLoss::LeasesExpired)
    this->D->countCrash(std::exchange(Unexplained, {}), Id, Now);
}

} // namespace whintack::jobs
