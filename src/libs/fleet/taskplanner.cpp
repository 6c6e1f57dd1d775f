#include "whintack/fleet/taskplanner.h"

#include <algorithm>

namespace whintack::fleet {

static bool isOnWorker(const RunTask &Task) {
  return Task.Phase == TaskPhase::Starting || Task.Phase == TaskPhase::Running;
}

static bool isWaiting(const RunTask &Task) {
  return Task.Phase == TaskPhase::Waiting ||
         Task.Phase == TaskPhase::Checkpointed;
}

int64_t tasksOn(const std::vector<RunRecord> &Runs, const VmName &Vm) {
  int64_t Count = 0;
  for (const RunRecord &Run : Runs)
    for (const RunTask &Task : Run.Tasks)
      if (isOnWorker(Task) && Task.Worker == Vm)
        ++Count;
  return Count;
}

/// Sets the phase of a task whose attempt did not finish. \p IsFailureCertain
/// is false for a lost task, which may have run.
static void endAttempt(RunTask &Task, const RunRecord &Run,
                       const declaration::Job &Job, bool IsFailureCertain) {
  if (Run.IsCancelled)
    Task.Phase = TaskPhase::Cancelled;
  else if (Job.IsIdempotent)
    Task.Phase = TaskPhase::Waiting;
  else
    Task.Phase = IsFailureCertain ? TaskPhase::Failed : TaskPhase::Unknown;
}

static void applyReport(RunTask &Task, const RunRecord &Run,
                        const declaration::Job &Job, const ReportedTask &Report,
                        FailureTracker &Failures, SizeEstimator &Sizes) {
  switch (Report.State) {
  case ReportedState::Running:
    Task.Phase = TaskPhase::Running;
    Sizes.recordUsage(Run.Job, Report.Used);
    return;
  case ReportedState::Checkpointed:
    Task.Phase =
        Run.IsCancelled ? TaskPhase::Cancelled : TaskPhase::Checkpointed;
    return;
  case ReportedState::Finished:
    Task.Phase = TaskPhase::Done;
    Sizes.recordUsage(Run.Job, Report.Used);
    Failures.recordSuccess(Run.Job, Task.Worker);
    return;
  case ReportedState::Failed:
    Failures.recordFailure(Run.Job, Task.Worker);
    Task.FailedOn.push_back(Task.Worker);
    endAttempt(Task, Run, Job, true);
    return;
  case ReportedState::Lost:
    endAttempt(Task, Run, Job, false);
    return;
  }
}

bool applyReports(RunRecord &Run, const declaration::Job &Job,
                  const std::map<TaskId, ReportedTask> &Reports,
                  FailureTracker &Failures, SizeEstimator &Sizes) {
  bool HasChanged = false;
  for (size_t Index = 0; Index < Run.Tasks.size(); ++Index) {
    RunTask &Task = Run.Tasks[Index];
    if (!isOnWorker(Task))
      continue;
    const auto Report = Reports.find(taskIdOf(Run, Index));
    if (Report == Reports.end())
      continue;
    const RunTask Before = Task;
    applyReport(Task, Run, Job, Report->second, Failures, Sizes);
    HasChanged = HasChanged || !(Task == Before);
  }
  return HasChanged;
}

bool endWaitingTasks(RunRecord &Run) {
  const bool IsOver = Run.IsCancelled || !Run.Condemned.empty();
  bool HasChanged = false;
  for (RunTask &Task : Run.Tasks) {
    if (!IsOver || !isWaiting(Task))
      continue;
    Task.Phase = Run.IsCancelled ? TaskPhase::Cancelled : TaskPhase::Failed;
    HasChanged = true;
  }
  return HasChanged;
}

namespace {

/// Builds the plan for the tasks of one pool.
class TaskPlanner {
public:
  TaskPlanner(const TaskInput &Input, const FailureTracker &Failures,
              const SizeEstimator &Sizes, WallTime Now)
      : Input(Input), Failures(Failures), Sizes(Sizes), Now(Now) {}

  TaskPlan run();

private:
  const VmView *vm(const VmName &Name) const;
  void collect(size_t Run, size_t Index);
  void collectRunning(const TaskPosition &Place, const declaration::Job &Job);
  void collectWaiting(const TaskPosition &Place, const declaration::Job &Job);
  void addWorkers();
  void addPlacements(const PlacementPlan &Placed);

  const TaskInput &Input;
  const FailureTracker &Failures;
  const SizeEstimator &Sizes;
  WallTime Now;
  PlacementInput Placement;
  std::map<TaskId, TaskPosition> Places;
  std::map<TaskId, Resources> WaitingSizes;
  std::map<VmName, Resources> UsedByWorker;
  TaskPlan Plan;
};

} // namespace

const VmView *TaskPlanner::vm(const VmName &Name) const {
  const auto Found = std::find_if(
      this->Input.Vms.begin(), this->Input.Vms.end(),
      [&Name](const VmView &Vm) { return Vm.Record.Name == Name; });
  return Found == this->Input.Vms.end() ? nullptr : &*Found;
}

void TaskPlanner::collectRunning(const TaskPosition &Place,
                                 const declaration::Job &Job) {
  const RunRecord &Run = this->Input.Runs[Place.Run];
  const RunTask &Task = Run.Tasks[Place.Index];
  const Resources Size = this->Sizes.estimate(Job);
  this->UsedByWorker[Task.Worker] += Size;
  const VmView *Worker = this->vm(Task.Worker);
  const bool IsDraining = Worker && Worker->Record.Phase == VmPhase::Draining;
  const bool IsOverdue =
      IsDraining &&
      Worker->Record.PhaseSince + this->Input.DrainTimeout <= this->Now;
  const bool MustEnd = Run.IsCancelled || !Run.Condemned.empty();
  if (MustEnd || (IsOverdue && Job.IsIdempotent && !Job.IsCheckpointable)) {
    this->Plan.Stops.push_back(Place);
    return;
  }
  if (IsDraining && Job.IsCheckpointable) {
    this->Plan.Checkpoints.push_back(Place);
    return;
  }
  const TaskId Id = taskIdOf(Run, Place.Index);
  this->Places[Id] = Place;
  this->Placement.Running.push_back({Id, Run.Job, Job.Owner, Task.Worker,
                                     Job.PriorityLevel, Size,
                                     Job.IsCheckpointable});
}

void TaskPlanner::collectWaiting(const TaskPosition &Place,
                                 const declaration::Job &Job) {
  const RunRecord &Run = this->Input.Runs[Place.Run];
  const TaskId Id = taskIdOf(Run, Place.Index);
  const Resources Size = this->Sizes.estimate(Job);
  this->Places[Id] = Place;
  this->WaitingSizes[Id] = Size;
  this->Placement.Waiting.push_back({Id, Run.Job, Job.Owner, Job.PriorityLevel,
                                     Size, Run.Tasks[Place.Index].FailedOn});
}

void TaskPlanner::collect(size_t RunIndex, size_t Index) {
  const RunRecord &Run = this->Input.Runs[RunIndex];
  const RunTask &Task = Run.Tasks[Index];
  const auto Job = this->Input.Jobs.find(Run.Job);
  if (Job == this->Input.Jobs.end())
    return;
  if (isOnWorker(Task)) {
    this->collectRunning({RunIndex, Index}, Job->second);
    return;
  }
  const bool MayStart = isWaiting(Task) && !Run.IsCancelled &&
                        Run.Condemned.empty() &&
                        !this->Plan.Condemned.contains(RunIndex);
  if (MayStart)
    this->collectWaiting({RunIndex, Index}, Job->second);
}

void TaskPlanner::addWorkers() {
  for (const VmView &Vm : this->Input.Vms) {
    const bool Accepts = isServing(Vm) && Vm.Record.NextPool.isEmpty() &&
                         !this->Failures.isBadWorker(Vm.Record.Name);
    const auto Capacity = this->Input.Capacities.find(Vm.Record.Name);
    if (!Accepts || Capacity == this->Input.Capacities.end())
      continue;
    WorkerView Worker;
    Worker.Name = Vm.Record.Name;
    Worker.Rack = Vm.Rack;
    Worker.Capacity = Capacity->second;
    Worker.Free = Capacity->second - this->UsedByWorker[Vm.Record.Name];
    this->Placement.Workers.push_back(std::move(Worker));
  }
}

void TaskPlanner::addPlacements(const PlacementPlan &Placed) {
  for (const TaskPlacement &Start : Placed.Starts)
    this->Plan.Starts.push_back({this->Places.at(Start.Id), Start.Worker,
                                 this->WaitingSizes.at(Start.Id)});
  for (const TaskId &Id : Placed.Preempted)
    this->Plan.Checkpoints.push_back(this->Places.at(Id));
  for (const TaskWait &Wait : Placed.Waits)
    ++this->Plan.Waits[Wait.Reason];
}

TaskPlan TaskPlanner::run() {
  for (size_t Run = 0; Run < this->Input.Runs.size(); ++Run) {
    const RunRecord &Known = this->Input.Runs[Run];
    if (this->Failures.isBadJob(Known.Job) && Known.Condemned.empty() &&
        !Known.isEnded())
      this->Plan.Condemned[Run] = "failed on several workers";
    for (size_t Index = 0; Index < Known.Tasks.size(); ++Index)
      this->collect(Run, Index);
  }
  for (const auto &[Name, Team] : this->Input.Teams)
    this->Placement.Quotas[Name] = Team.Quota;
  this->addWorkers();
  this->addPlacements(planPlacement(this->Placement));
  return std::move(this->Plan);
}

TaskPlan planTasks(const TaskInput &Input, const FailureTracker &Failures,
                   const SizeEstimator &Sizes, WallTime Now) {
  return TaskPlanner(Input, Failures, Sizes, Now).run();
}

} // namespace whintack::fleet
