#include "whintack/simulation/runchecker.h"

#include <algorithm>

namespace whintack::simulation {

using jobs::ExecutorId;
using jobs::RunEnd;
using jobs::TaskKey;

/// Tasks of a job may still start this long after its cancellation was
/// confirmed.
static constexpr Duration CancelGracePeriod = std::chrono::seconds(3);
/// Number of executors that may crash under a task, and of starts that may
/// follow.
static constexpr size_t MaxCrashes = 3;
static constexpr size_t MaxStartsAfterCrashes = 2;

void RunChecker::noteSubmitted(const jobs::JobSpec &Spec, int64_t MaxAttempts) {
  JobHistory &Job = this->Jobs[Spec.Id];
  Job.Spec = Spec;
  Job.MaxAttempts = MaxAttempts;
}

void RunChecker::noteCancelled(const jobs::JobId &Job, TimePoint Now) {
  this->Jobs[Job].CancelledAt = Now;
}

void RunChecker::noteRejected(const jobs::JobId &Job) {
  this->Jobs[Job].IsRejected = true;
}

void RunChecker::noteViolation(std::string Text) {
  this->Violations.push_back(std::move(Text));
}

const jobs::StepSpec *RunChecker::step(const TaskKey &Task) const {
  const auto Found = this->Jobs.find(Task.Step.Job);
  if (Found == this->Jobs.end() ||
      Task.Step.Index >= Found->second.Spec.Steps.size())
    return nullptr;
  return &Found->second.Spec.Steps[Task.Step.Index];
}

bool RunChecker::isDone(const TaskKey &Task) const {
  const auto Found = this->Tasks.find(Task);
  return Found != this->Tasks.end() && Found->second.HasCompleted;
}

bool RunChecker::isRunning(const TaskKey &Task) const {
  const auto Found = this->Tasks.find(Task);
  return Found != this->Tasks.end() && !Found->second.Running.empty();
}

void RunChecker::checkStepOrder(const JobHistory &Job, const TaskKey &Task) {
  for (const size_t Earlier : Job.Spec.Steps[Task.Step.Index].Dependencies)
    for (size_t Index = 0; Index < Job.Spec.Steps[Earlier].Count; ++Index)
      if (!this->isDone(
              {{Task.Step.Job, Task.Step.Occurrence, Earlier}, Index})) {
        this->noteViolation("started before an earlier step was done: " +
                            Task.text());
        return;
      }
}

void RunChecker::noteStart(const ExecutorId &Executor, const TaskKey &Task,
                           uint64_t Run, const std::string &Checkpoint,
                           TimePoint Now) {
  ++this->Starts;
  const auto Job = this->Jobs.find(Task.Step.Job);
  const jobs::StepSpec *Step = this->step(Task);
  if (Job == this->Jobs.end() || !Step) {
    this->noteViolation("started a task that was not submitted: " +
                        Task.text());
    return;
  }
  TaskHistory &History = this->Tasks[Task];
  const std::string RunText =
      Task.text() + " run " + std::to_string(Run) + " on " + Executor.text();
  if (Job->second.IsRejected)
    this->noteViolation("started a task of a job reported as not accepted: " +
                        RunText);
  if (Job->second.CancelledAt &&
      Now > *Job->second.CancelledAt + CancelGracePeriod)
    this->noteViolation("started after its job was cancelled: " + RunText);
  if (!Step->AllowsCopies && !History.Running.empty())
    this->noteViolation("two runs at the same time: " + RunText + ", also on " +
                        History.Running.begin()->first.text());
  if (!Step->AllowsCopies && History.IsCompletionAcknowledged)
    this->noteViolation("started after it had completed: " + RunText);
  for (auto &[EndedOn, Pending] : this->Ends)
    for (auto &[Number, End] : Pending)
      if (End.Task == Task)
        End.IsTaskRestarted = true;
  if (History.AcknowledgedFailures >= Job->second.MaxAttempts &&
      !Step->IsLongRunning)
    this->noteViolation("started after its attempts were used up: " + RunText);
  if (History.Crashes >= MaxCrashes &&
      ++History.StartsAfterCrashes > MaxStartsAfterCrashes)
    this->noteViolation("started although it crashes its executors: " +
                        RunText);
  if (!Checkpoint.empty() && !History.Checkpoints.contains(Checkpoint))
    this->noteViolation(
        "started from a checkpoint that the task did not produce: " + RunText);
  this->checkStepOrder(Job->second, Task);
  History.Running[Executor] = Run;
}

void RunChecker::noteEnd(const ExecutorId &Executor,
                         const jobs::EndReport &End) {
  TaskHistory &History = this->Tasks[End.Task];
  History.Running.erase(Executor);
  if (End.Outcome == RunEnd::Done)
    History.HasCompleted = true;
  this->Ends[Executor][End.Number] = {End.Task, End.Outcome, false, false};
}

void RunChecker::noteEndsAcknowledged(const ExecutorId &Executor,
                                      uint64_t Through) {
  auto &Pending = this->Ends[Executor];
  while (!Pending.empty() && Pending.begin()->first <= Through) {
    const UnacknowledgedEnd End = Pending.begin()->second;
    Pending.erase(Pending.begin());
    const jobs::StepSpec *Step = this->step(End.Task);
    if (End.IsLeaseExpired || !Step)
      continue;
    TaskHistory &History = this->Tasks[End.Task];
    if (End.Outcome == RunEnd::Failed)
      ++History.AcknowledgedFailures;
    if (End.Outcome != RunEnd::Done)
      continue;
    History.IsCompletionAcknowledged = true;
    if (End.IsTaskRestarted && !Step->AllowsCopies)
      this->noteViolation(
          "started again before its completion was acknowledged: " +
          End.Task.text());
  }
}

void RunChecker::noteLeaseExpired(const ExecutorId &Executor) {
  for (auto &[Number, End] : this->Ends[Executor])
    End.IsLeaseExpired = true;
}

void RunChecker::noteExecutorLost(const ExecutorId &Executor) {
  for (auto &[Task, History] : this->Tasks)
    History.Running.erase(Executor);
  this->Ends.erase(Executor);
}

void RunChecker::noteExecutorCrashed(const ExecutorId &Executor) {
  for (auto &[Task, History] : this->Tasks)
    History.LostRuns += History.Running.count(Executor);
}

size_t RunChecker::mostLostRuns(const jobs::JobId &Job) const {
  size_t Most = 0;
  for (const auto &[Task, History] : this->Tasks)
    if (Task.Step.Job == Job)
      Most = std::max(Most, History.LostRuns);
  return Most;
}

void RunChecker::noteCrash(const TaskKey &Task) {
  ++this->Crashes;
  ++this->Tasks[Task].Crashes;
}

void RunChecker::noteOverCapacity(const ExecutorId &Executor) {
  this->noteViolation("executor runs more than its capacity: " +
                      Executor.text());
}

void RunChecker::noteCheckpoint(const TaskKey &Task,
                                const std::string &Checkpoint) {
  this->Tasks[Task].Checkpoints.insert(Checkpoint);
}

} // namespace whintack::simulation
