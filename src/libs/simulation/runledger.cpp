#include "whintack/simulation/runledger.h"

#include <algorithm>

namespace whintack::simulation {

using jobs::ExecutorId;
using jobs::RunEnd;
using jobs::TaskKey;

/// How long after a cancellation was confirmed its tasks may still start.
static constexpr Duration CancelTime = std::chrono::seconds(3);

void RunLedger::noteSubmitted(const jobs::JobSpec &Spec, int64_t MostAttempts) {
  JobHistory &Job = this->Jobs[Spec.Id];
  Job.Spec = Spec;
  Job.MostAttempts = MostAttempts;
}

void RunLedger::noteCancelled(const jobs::JobId &Job, TimePoint Now) {
  this->Jobs[Job].CancelledAt = Now;
}

void RunLedger::noteRejected(const jobs::JobId &Job) {
  this->Jobs[Job].IsRejected = true;
}

void RunLedger::noteViolation(std::string Text) {
  this->Violations.push_back(std::move(Text));
}

const jobs::StepSpec *RunLedger::step(const TaskKey &Task) const {
  const auto Found = this->Jobs.find(Task.Of.Job);
  if (Found == this->Jobs.end() ||
      Task.Of.Step >= Found->second.Spec.Steps.size())
    return nullptr;
  return &Found->second.Spec.Steps[Task.Of.Step];
}

bool RunLedger::isDone(const TaskKey &Task) const {
  const auto Found = this->Tasks.find(Task);
  return Found != this->Tasks.end() && Found->second.HasEndedDone;
}

void RunLedger::checkOrder(const JobHistory &Job, const TaskKey &Task) {
  for (const size_t Earlier : Job.Spec.Steps[Task.Of.Step].After)
    for (size_t Index = 0; Index < Job.Spec.Steps[Earlier].Count; ++Index)
      if (!this->isDone({{Task.Of.Job, Task.Of.Occurrence, Earlier}, Index})) {
        this->noteViolation("started before its turn: " + Task.text());
        return;
      }
}

void RunLedger::noteStart(const ExecutorId &On, const TaskKey &Task,
                          uint64_t Run, const std::string &Checkpoint,
                          TimePoint Now) {
  ++this->Starts;
  const auto Job = this->Jobs.find(Task.Of.Job);
  const jobs::StepSpec *Step = this->step(Task);
  if (Job == this->Jobs.end() || !Step) {
    this->noteViolation("started what nobody handed in: " + Task.text());
    return;
  }
  TaskHistory &History = this->Tasks[Task];
  const std::string What =
      Task.text() + " run " + std::to_string(Run) + " on " + On.text();
  if (Job->second.IsRejected)
    this->noteViolation("started a job called not accepted: " + What);
  if (Job->second.CancelledAt && Now > *Job->second.CancelledAt + CancelTime)
    this->noteViolation("started after its job was cancelled: " + What);
  if (!Step->AllowsCopies && !History.Running.empty())
    this->noteViolation("runs twice at once: " + What + ", also on " +
                        History.Running.begin()->first.text());
  if (!Step->AllowsCopies && History.IsDoneForgotten)
    this->noteViolation("started after it was done: " + What);
  for (auto &[Executor, Pending] : this->Ends)
    for (auto &[Number, End] : Pending)
      if (End.Task == Task)
        End.IsOvertaken = true;
  if (History.ForgottenFailures >= Job->second.MostAttempts &&
      !Step->IsLongRunning)
    this->noteViolation("started after its attempts were used up: " + What);
  if (!Checkpoint.empty() && !History.Checkpoints.contains(Checkpoint))
    this->noteViolation("started from a checkpoint that is not its own: " +
                        What);
  this->checkOrder(Job->second, Task);
  History.Running[On] = Run;
}

void RunLedger::noteEnd(const ExecutorId &On, const jobs::EndReport &End) {
  TaskHistory &History = this->Tasks[End.Task];
  History.Running.erase(On);
  if (End.How == RunEnd::Done)
    History.HasEndedDone = true;
  this->Ends[On][End.Number] = {End.Task, End.How, false, false};
}

void RunLedger::noteForgotten(const ExecutorId &On, uint64_t Through) {
  auto &Pending = this->Ends[On];
  while (!Pending.empty() && Pending.begin()->first <= Through) {
    const PendingEnd End = Pending.begin()->second;
    Pending.erase(Pending.begin());
    const jobs::StepSpec *Step = this->step(End.Task);
    if (End.IsVoid || !Step)
      continue;
    TaskHistory &History = this->Tasks[End.Task];
    if (End.How == RunEnd::Failed)
      ++History.ForgottenFailures;
    if (End.How != RunEnd::Done)
      continue;
    History.IsDoneForgotten = true;
    if (End.IsOvertaken && !Step->AllowsCopies)
      this->noteViolation("started again before its end was taken note of: " +
                          End.Task.text());
  }
}

void RunLedger::noteLapse(const ExecutorId &On) {
  for (auto &[Number, End] : this->Ends[On])
    End.IsVoid = true;
}

void RunLedger::noteGone(const ExecutorId &On) {
  for (auto &[Task, History] : this->Tasks)
    History.Running.erase(On);
  this->Ends.erase(On);
}

void RunLedger::noteOverfull(const ExecutorId &On) {
  this->noteViolation("holds more than its room: " + On.text());
}

void RunLedger::noteCheckpoint(const TaskKey &Task, const std::string &Made) {
  this->Tasks[Task].Checkpoints.insert(Made);
}

} // namespace whintack::simulation
