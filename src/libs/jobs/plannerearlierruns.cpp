#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// Number of runs that are remembered for each task.
static constexpr size_t MaxEarlierRuns = 4;

RunLoss Internal::lossOf(ExecutorLoss Cause) {
  switch (Cause) {
  case ExecutorLoss::LeasesExpired:
    return RunLoss::LeasesExpired;
  case ExecutorLoss::Replaced:
    return RunLoss::Replaced;
  case ExecutorLoss::MachineLost:
    break;
  }
  return RunLoss::MachineLost;
}

RunLoss Internal::lossOf(RunEnd Outcome) {
  switch (Outcome) {
  case RunEnd::Done:
    return RunLoss::Done;
  case RunEnd::Failed:
    return RunLoss::Failed;
  case RunEnd::Stopped:
    return RunLoss::Stopped;
  case RunEnd::Lapsed:
    return RunLoss::Lapsed;
  case RunEnd::Broken:
    return RunLoss::Broken;
  case RunEnd::Alone:
    break;
  }
  return RunLoss::Alone;
}

/// The record of a run that this planner has given up, or that has ended; null
/// if there is none.
static EarlierRun *findEarlierRun(TaskRecord &Task, uint64_t Number,
                                  const ExecutorId &Executor) {
  const auto Found =
      std::find_if(Task.EarlierRuns.begin(), Task.EarlierRuns.end(),
                   [&](const EarlierRun &Each) {
                     return Each.Number == Number && Each.Executor == Executor;
                   });
  return Found == Task.EarlierRuns.end() ? nullptr : &*Found;
}

void Planner::Private::noteRunLost(const TaskKey &Key, TaskRecord &Task,
                                   RunLoss Cause, TimePoint Now, uint64_t End) {
  const JobRecord &Job = *this->findJob(Key.Step.Job);
  const bool IsTaskDone =
      Cause == RunLoss::Done && !this->stepSpec(Job, Key.Step).IsLongRunning;
  if (IsTaskDone || Task.Stored.IsDone || isFinal(Job.State))
    return;
  const RunRecord &Run = *Task.Current;
  Task.EarlierRuns.push_front(
      {Run.Number, Run.Executor, Run.Incarnation, Cause, Now, End});
  auto Oldest = Task.EarlierRuns.before_begin();
  for (size_t Count = 0; Count < MaxEarlierRuns; ++Count)
    if (std::next(Oldest) != Task.EarlierRuns.end())
      ++Oldest;
  Task.EarlierRuns.erase_after(Oldest, Task.EarlierRuns.end());
}

const EarlierRun *Planner::Private::noteLateEnd(ExecutorRecord &Executor,
                                                TaskRecord &Task,
                                                const EndReport &End,
                                                TimePoint Now) {
  EarlierRun *GivenUp = findEarlierRun(Task, End.Run, Executor.Info.Id);
  if (!GivenUp || GivenUp->End != 0)
    return nullptr;
  GivenUp->End = End.Number;
  Executor.GivenUpEnds.push_back(
      {Executor.Incarnation, End, Now, GivenUp->Cause, GivenUp->At});
  Executor.GivenUpEnds.back().Reported.Checkpoint.clear();
  return GivenUp;
}

std::string_view Planner::Private::givenUpCause(TaskRecord &Task,
                                                uint64_t Number,
                                                const ExecutorId &Executor) {
  const EarlierRun *Found = findEarlierRun(Task, Number, Executor);
  return Found ? nameOf(RunLossNames, Found->Cause) : std::string_view();
}

void Planner::Private::logLateEnd(const ExecutorRecord &Executor,
                                  const EndReport &End) {
  if (!this->FinalJobs.contains(End.Task.Step.Job))
    return;
  this->log("end-after-job", {{"task", End.Task.text()},
                              {"run", End.Run},
                              {"executor", Executor.Info.Id},
                              {"incarnation", Executor.Incarnation},
                              {"how", nameOf(RunEndNames, End.Outcome)},
                              {"number", End.Number}});
}

void Planner::Private::logRestart(const TaskKey &Key, const TaskRecord &Task,
                                  const RunRecord &Next) {
  if (Task.EarlierRuns.empty())
    return;
  const EarlierRun &Last = Task.EarlierRuns.front();
  this->log("task-restarted",
            {{"task", Key.text()},
             {"run", Next.Number},
             {"executor", Next.Executor},
             {"earlier-run", Last.Number},
             {"earlier-executor", Last.Executor},
             {"earlier-incarnation", Last.Incarnation},
             {"cause", nameOf(RunLossNames, Last.Cause)},
             {"given-up-ms", toMilliseconds(Next.PlacedAt - Last.At)},
             {"end", Last.End}});
}

void Planner::noteAcknowledged(const ExecutorId &Id, uint64_t Through,
                               TimePoint Now) {
  const auto Found = this->D->Executors.find(Id);
  if (Found == this->D->Executors.end())
    return;
  const ExecutorIncarnation Incarnation = Found->second.Incarnation;
  std::erase_if(Found->second.GivenUpEnds, [&](const GivenUpEnd &Each) {
    // An incarnation that is gone is not told anything about its ends.
    if (Each.Incarnation != Incarnation)
      return true;
    const EndReport &End = Each.Reported;
    if (End.Number > Through)
      return false;
    this->D->log("end-acknowledged",
                 {{"task", End.Task.text()},
                  {"run", End.Run},
                  {"executor", Id},
                  {"incarnation", Each.Incarnation},
                  {"how", nameOf(RunEndNames, End.Outcome)},
                  {"number", End.Number},
                  {"reported-ms", toMilliseconds(Now - Each.ReportedAt)},
                  {"given-up", nameOf(RunLossNames, Each.Cause)},
                  {"given-up-ms", toMilliseconds(Now - Each.GivenUpAt)}});
    return true;
  });
}

} // namespace whintack::jobs
