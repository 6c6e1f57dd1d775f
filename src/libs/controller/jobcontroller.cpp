#include "whintack/controller/jobcontroller.h"

#include "orderlog.h"

#include <algorithm>

namespace whintack::controller {

using fleet::ReportedState;
using fleet::ReportedTask;
using fleet::RunRecord;
using fleet::RunTask;
using fleet::TaskPhase;
using web::json::value;

/// A start order is sent again if the task is still starting after this time.
static constexpr Duration StartOrderRetryDelay = std::chrono::seconds(3);
/// How long the record of an ended run stays visible to operators, counted from
/// the last start of one of its tasks.
static constexpr Duration EndedRunRetention = std::chrono::hours(1);

JobController::JobController(PoolName Pool, const declaration::Weights &Cost,
                             store::RecordClient &Records,
                             store::WorkerControl Workers, EpochSource Epoch,
                             Clock Time, Random Source, EventJournal &Journal)
    : Pool(std::move(Pool)), Records(Records), Workers(std::move(Workers)),
      Epoch(std::move(Epoch)), Time(std::move(Time)), Source(std::move(Source)),
      Journal(Journal), Sizes(Cost) {}

int64_t JobController::tasksOn(const VmName &Vm) const {
  return fleet::tasksOn(this->Runs, Vm);
}

void JobController::recordEvent(EventKind Kind, const RunRecord &Run,
                                const std::string &Text, const VmName &Vm) {
  Event Recorded;
  Recorded.Kind = Kind;
  Recorded.Vm = Vm;
  Recorded.Text = "job=" + Run.Job.text() + " run=" + Run.Id + " " + Text;
  this->Journal.record(std::move(Recorded));
}

bool JobController::readRuns() {
  auto Listed = this->Records.list(fleet::runPrefix(this->Pool));
  if (!Listed)
    return false;
  this->Runs.clear();
  for (const store::KeyedRecord &Item : Listed.value()) {
    this->Version = std::max(this->Version, Item.Stored.Version);
    if (auto Run = fleet::runFromJson(Item.Stored.Body))
      this->Runs.push_back(std::move(*Run));
  }
  return true;
}

static ReportedState stateOf(store::TaskState State) {
  switch (State) {
  case store::TaskState::Running:
    return ReportedState::Running;
  case store::TaskState::Checkpointed:
    return ReportedState::Checkpointed;
  case store::TaskState::Finished:
    return ReportedState::Finished;
  case store::TaskState::Failed:
    return ReportedState::Failed;
  case store::TaskState::Lost:
    return ReportedState::Lost;
  }
  return ReportedState::Lost;
}

std::map<TaskId, ReportedTask>
JobController::readReports(const fleet::PoolView &View) {
  std::map<TaskId, ReportedTask> Reported;
  auto Listed = this->Workers.Report();
  if (!Listed)
    return Reported;
  for (const store::TaskReport &Task : Listed.value())
    Reported[Task.Task] = {Task.Task, stateOf(Task.State), Task.Used};
  // No worker reports the tasks of a VM that the platform no longer lists, so
  // they count as lost.
  for (const RunRecord &Run : this->Runs)
    for (size_t Index = 0; Index < Run.Tasks.size(); ++Index) {
      const TaskId Id = fleet::taskIdOf(Run, Index);
      const VmName &Worker = Run.Tasks[Index].Worker;
      const bool IsListed = std::any_of(
          View.Vms.begin(), View.Vms.end(), [&Worker](const fleet::VmView &Vm) {
            return Vm.Record.Name == Worker && Vm.IsListed;
          });
      if (!IsListed && !Reported.contains(Id))
        Reported[Id] = {Id, ReportedState::Lost, Resources()};
    }
  return Reported;
}

uint64_t JobController::updateRecord(const RunRecord &Run,
                                     const RunChange &Apply) {
  if (this->Epoch() == 0)
    return 0;
  auto Updated = this->Records.update(
      fleet::runKey(this->Pool, Run.Id),
      OperationId(randomIdentifier(this->Source)),
      [&Apply](const store::Record &Before) -> std::optional<value> {
        auto Stored = fleet::runFromJson(Before.Body);
        if (!Stored || !Apply(*Stored))
          return std::nullopt;
        return fleet::toJson(*Stored);
      });
  const bool IsWritten =
      Updated && Updated.value().Outcome != store::UpdateOutcome::Declined;
  if (!IsWritten)
    return 0;
  this->Version = std::max(this->Version, Updated.value().After.Version);
  return Updated.value().After.Version;
}

void JobController::processReports(
    const std::map<TaskId, ReportedTask> &Reported,
    const configuration::Configuration &InForce) {
  for (RunRecord &Run : this->Runs) {
    const auto Job = InForce.Declared.Jobs.find(Run.Job);
    if (Job == InForce.Declared.Jobs.end())
      continue;
    const size_t DoneBefore = Run.count(TaskPhase::Done);
    const size_t UnknownBefore = Run.count(TaskPhase::Unknown);
    bool HasChanged = fleet::applyReports(Run, Job->second, Reported,
                                          this->Failures, this->Sizes);
    HasChanged = fleet::endWaitingTasks(Run) || HasChanged;
    if (!HasChanged)
      continue;
    // Applies the same reports to the stored record, which may have changed
    // since it was read. The scratch objects keep the reports from being
    // counted twice as failures and size samples.
    fleet::FailureTracker ScratchFailures;
    fleet::SizeEstimator ScratchSizes{declaration::Weights()};
    this->updateRecord(Run, [&](RunRecord &Stored) {
      bool Differs = fleet::applyReports(Stored, Job->second, Reported,
                                         ScratchFailures, ScratchSizes);
      return fleet::endWaitingTasks(Stored) || Differs;
    });
    if (Run.count(TaskPhase::Done) > DoneBefore)
      this->recordEvent(EventKind::TaskFinished, Run,
                        "done=" + std::to_string(Run.count(TaskPhase::Done)) +
                            "/" + std::to_string(Run.Tasks.size()));
    if (Run.count(TaskPhase::Unknown) > UnknownBefore)
      this->recordEvent(EventKind::TaskFailed, Run, "a task may have run");
  }
}

void JobController::sendStartOrder(const RunRecord &Run, size_t Index,
                                   const Resources &Size, bool Resumes,
                                   uint64_t OrderEpoch) {
  store::TaskStart Start;
  Start.Task = fleet::taskIdOf(Run, Index);
  Start.Job = Run.Job;
  Start.Worker = Run.Tasks[Index].Worker;
  Start.Epoch = OrderEpoch;
  Start.Size = Size;
  Start.ResumesCheckpoint = Resumes;
  logIfFailed("start-task", Start.Worker, this->Workers.StartTask(Start));
}

void JobController::startTasks(const fleet::TaskPlan &Plan) {
  std::map<size_t, std::vector<fleet::PlannedStart>> ByRun;
  for (const fleet::PlannedStart &Start : Plan.Starts)
    ByRun[Start.Place.Run].push_back(Start);
  for (const auto &Group : ByRun) {
    const size_t RunIndex = Group.first;
    const std::vector<fleet::PlannedStart> &Starts = Group.second;
    const RunRecord Before = this->Runs[RunIndex];
    RunRecord After = Before;
    const WallTime Now = this->Time.WallNow();
    const uint64_t Written = this->updateRecord(Before, [&](RunRecord &Stored) {
      bool HasChanged = false;
      for (const fleet::PlannedStart &Start : Starts) {
        RunTask &Task = Stored.Tasks[Start.Place.Index];
        if (!(Task == Before.Tasks[Start.Place.Index]))
          continue;
        // A checkpointed task resumes its attempt; any other start is a new
        // one.
        if (Task.Phase == TaskPhase::Waiting)
          ++Task.Attempt;
        Task.Phase = TaskPhase::Starting;
        Task.Worker = Start.Worker;
        Task.StartedAt = Now;
        HasChanged = true;
      }
      After = Stored;
      return HasChanged && !Stored.IsCancelled;
    });
    if (Written == 0)
      continue;
    for (const fleet::PlannedStart &Start : Starts) {
      const size_t Index = Start.Place.Index;
      if (After.Tasks[Index].Phase != TaskPhase::Starting ||
          After.Tasks[Index].StartedAt != Now)
        continue;
      const bool Resumes = Before.Tasks[Index].Phase == TaskPhase::Checkpointed;
      this->sendStartOrder(After, Index, Start.Size, Resumes, Written);
    }
    this->Runs[RunIndex] = After;
    this->recordEvent(EventKind::TaskStarted, After,
                      "started=" + std::to_string(Starts.size()));
  }
}

void JobController::repeatStartOrders(const fleet::PoolView &View) {
  const WallTime Now = this->Time.WallNow();
  for (const RunRecord &Run : this->Runs)
    for (size_t Index = 0; Index < Run.Tasks.size(); ++Index) {
      const RunTask &Task = Run.Tasks[Index];
      const bool IsOverdue = Task.Phase == TaskPhase::Starting &&
                             Task.StartedAt + StartOrderRetryDelay <= Now;
      const bool IsLive = std::any_of(
          View.Vms.begin(), View.Vms.end(), [&Task](const fleet::VmView &Vm) {
            return Vm.Record.Name == Task.Worker && Vm.IsLive;
          });
      if (IsOverdue && IsLive)
        this->sendStartOrder(Run, Index, Resources(), true, this->Version);
    }
}

void JobController::condemnRuns(const fleet::TaskPlan &Plan) {
  for (const auto &[RunIndex, Reason] : Plan.Condemned) {
    this->updateRecord(this->Runs[RunIndex],
                       [&Reason = Reason](RunRecord &Stored) {
                         Stored.Condemned = Reason;
                         fleet::endWaitingTasks(Stored);
                         return true;
                       });
    this->recordEvent(EventKind::JobCondemned, this->Runs[RunIndex], Reason);
  }
}

void JobController::removeExpiredRuns() {
  const WallTime Now = this->Time.WallNow();
  for (const RunRecord &Run : this->Runs) {
    WallTime LastStart = Run.SubmittedAt;
    for (const RunTask &Task : Run.Tasks)
      LastStart = std::max(LastStart, Task.StartedAt);
    if (!Run.isEnded() || LastStart + EndedRunRetention > Now)
      continue;
    const std::string Key = fleet::runKey(this->Pool, Run.Id);
    auto Read = this->Records.read(Key);
    if (Read && !this->Records.remove(Key, Read.value().Version))
      this->recordEvent(EventKind::TaskFinished, Run, "record not removed yet");
  }
}

static bool hasOpenRuns(const std::vector<RunRecord> &Runs) {
  return std::any_of(Runs.begin(), Runs.end(),
                     [](const RunRecord &Run) { return !Run.isEnded(); });
}

bool JobController::pass(const fleet::PoolView &View,
                         const configuration::Configuration &InForce,
                         const std::vector<store::VmInfo> &Listed) {
  if (this->Epoch() == 0 || !this->readRuns())
    return false;
  this->removeExpiredRuns();
  if (!hasOpenRuns(this->Runs))
    return false;
  this->processReports(this->readReports(View), InForce);
  fleet::TaskInput Input;
  Input.Runs = this->Runs;
  Input.Vms = View.Vms;
  Input.Jobs = InForce.Declared.Jobs;
  Input.Teams = InForce.Declared.Teams;
  Input.DrainTimeout = View.Pool.DrainTimeout;
  for (const store::VmInfo &Vm : Listed)
    Input.Capacities[Vm.Name] = Vm.Capacity;
  const fleet::TaskPlan Plan = fleet::planTasks(
      Input, this->Failures, this->Sizes, this->Time.WallNow());
  for (const fleet::TaskPosition &Place : Plan.Checkpoints) {
    const RunRecord &Run = this->Runs[Place.Run];
    logIfFailed("checkpoint", Run.Tasks[Place.Index].Worker,
                this->Workers.Checkpoint(fleet::taskIdOf(Run, Place.Index),
                                         this->Version));
  }
  for (const fleet::TaskPosition &Place : Plan.Stops) {
    const RunRecord &Run = this->Runs[Place.Run];
    logIfFailed(
        "stop-task", Run.Tasks[Place.Index].Worker,
        this->Workers.Stop(fleet::taskIdOf(Run, Place.Index), this->Version));
  }
  this->condemnRuns(Plan);
  this->startTasks(Plan);
  this->repeatStartOrders(View);
  return true;
}

} // namespace whintack::controller
