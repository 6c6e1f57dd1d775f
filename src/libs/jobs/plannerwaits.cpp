#include "planner_p.h"

namespace whintack::jobs {

using namespace Internal;

namespace {

/// What a long-running task that does not run is waiting for.
enum class WaitCause {
  /// The executor that is lost may still carry out its start order.
  LostOrder,
  /// Its last run is being stopped.
  Stop,
  /// Executors of an earlier planner have not reported.
  Recovery,
  /// A crash of its executor is not stored.
  CrashRecord,
  RetryDelay,
  Quota,
  Room,
};

constexpr EnumNames<WaitCause, 7> WaitCauseNames = {{
    {WaitCause::LostOrder, "lost-order"},
    {WaitCause::Stop, "stop"},
    {WaitCause::Recovery, "recovery"},
    {WaitCause::CrashRecord, "crash-record"},
    {WaitCause::RetryDelay, "retry-delay"},
    {WaitCause::Quota, "quota"},
    {WaitCause::Room, "room"},
}};

/// The tasks of a job that have waited for long.
struct Waits {
  size_t Count = 0;
  TaskKey First;
  TimePoint Since = TimePoint::max();
};

} // namespace

/// Time from which on a wait is logged. Most restarts take less.
static constexpr Duration MinLoggedWait = std::chrono::seconds(2);

static bool isWaiting(const TaskRecord &Task) {
  return !Task.Current || Task.Current->Phase == RunPhase::Stopping;
}

static TimePoint waitingSince(const JobRecord &Job, const TaskRecord &Task) {
  return Task.EarlierRuns.empty() ? Job.Accepted : Task.EarlierRuns.front().At;
}

/// The long-running tasks of the job whose turn has come and that do not run.
static Waits findWaits(const JobRecord &Job, TimePoint Now) {
  Waits Found;
  const std::vector<StepRecord> &Steps = Job.Occurrences.front().Steps;
  for (size_t Index = 0; Index < Steps.size(); ++Index) {
    const StepSpec &Spec = Job.Spec.Steps[Index];
    const bool IsDue = std::all_of(
        Spec.Dependencies.begin(), Spec.Dependencies.end(),
        [&Steps](size_t Earlier) { return Steps[Earlier].isDone(); });
    if (!Spec.IsLongRunning || !IsDue)
      continue;
    for (size_t Task = 0; Task < Steps[Index].Tasks.size(); ++Task) {
      const TaskRecord &Record = Steps[Index].Tasks[Task];
      const TimePoint Since = waitingSince(Job, Record);
      if (!isWaiting(Record) || Now < Since + MinLoggedWait)
        continue;
      ++Found.Count;
      if (Since < Found.Since) {
        Found.First = {{Job.Spec.Id, 0, Index}, Task};
        Found.Since = Since;
      }
    }
  }
  return Found;
}

void Planner::logWaits(TimePoint Now) const {
  Private &State = *this->D;
  const auto CauseOf = [&](const JobRecord &Job, const TaskKey &Key) {
    const TaskRecord &Task = *State.findTask(Key);
    if (Task.Current)
      return State.isLost(*Task.Current) ? WaitCause::LostOrder
                                         : WaitCause::Stop;
    if (Job.MayHaveRun && this->isRecovering())
      return WaitCause::Recovery;
    if (!State.isCrashStored(Job, Key))
      return WaitCause::CrashRecord;
    if (Now < Task.EarliestStart)
      return WaitCause::RetryDelay;
    if (!State.Tenants.mayStart(Job.Tenant, State.stepSpec(Job, Key.Step)))
      return WaitCause::Quota;
    return WaitCause::Room;
  };
  for (const StartableJob &Each : State.Startable) {
    const JobRecord &Job = *Each.Job;
    if (!Job.Rank.IsLongRunning || Job.Spec.isPeriodic() || isFinal(Job.State))
      continue;
    const Waits Found = findWaits(Job, Now);
    if (Found.Count == 0)
      continue;
    const WaitCause Cause = CauseOf(Job, Found.First);
    const TaskRecord &Task = *State.findTask(Found.First);
    std::string On;
    if (Task.Current)
      On = Task.Current->Executor.text();
    else if (Cause == WaitCause::Recovery && !State.AwaitedExecutors.empty())
      On = State.AwaitedExecutors.begin()->text();
    State.log("task-waits", {{"task", Found.First.text()},
                             {"tasks", Found.Count},
                             {"waited-ms", toMilliseconds(Now - Found.Since)},
                             {"for", nameOf(WaitCauseNames, Cause)},
                             {"executor", On},
                             {"awaited", State.AwaitedExecutors.size()}});
  }
}

} // namespace whintack::jobs
