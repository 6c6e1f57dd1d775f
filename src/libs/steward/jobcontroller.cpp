#include "whintack/steward/jobsteward.h"

#include "orderlog.h"

#include <algorithm>

namespace whintack::steward {

using fleet::ReportedState;
using fleet::ReportedTask;
using fleet::RunRecord;
using fleet::RunTask;
using fleet::TaskPhase;
using web::json::value;

/// An order whose effect is not seen after this is given again.
static constexpr Duration RepeatAfter = std::chrono::seconds(3);
/// How long a run that has ended is kept for people to see.
static constexpr Duration EndedKeptFor = std::chrono::hours(1);

JobSteward::JobSteward(PoolName Pool, const declaration::Weights &Cost,
                       store::RecordClient &Records,
                       store::WorkerControl Workers, EpochSource Epoch,
                       Clock Time, Random Source, EventJournal &Journal)
    : Pool(std::move(Pool)), Records(Records), Workers(std::move(Workers)),
      Epoch(std::move(Epoch)), Time(std::move(Time)), Source(std::move(Source)),
      Journal(Journal), Sizes(Cost) {}

int64_t JobSteward::tasksOn(const VmName &Vm) const {
  return fleet::tasksOn(this->Runs, Vm);
}

void JobSteward::note(EventKind Kind, const RunRecord &Run,
                      const std::string &Text, const VmName &Vm) {
  Event Noted;
  Noted.Kind = Kind;
  Noted.Vm = Vm;
  Noted.Text = "job=" + Run.Job.text() + " run=" + Run.Id + " " + Text;
  this->Journal.record(std::move(Noted));
}

bool JobSteward::readRuns() {
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
JobSteward::readReports(const fleet::PoolView &View) {
  std::map<TaskId, ReportedTask> Reported;
  auto Listed = this->Workers.Report();
  if (!Listed)
    return Reported;
  for (const store::TaskReport &Task : Listed.value())
    Reported[Task.Task] = {Task.Task, stateOf(Task.State), Task.Used};
  // What ran on a VM that is gone is lost, though nobody reports it.
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

uint64_t JobSteward::change(const RunRecord &Run, const RunChange &Apply) {
  if (this->Epoch() == 0)
    return 0;
  auto Updated = this->Records.update(
      fleet::runKey(this->Pool, Run.Id),
      OperationId(randomIdentifier(this->Source)),
      [&Apply](const store::Record &Before) -> std::optional<value> {
        auto Known = fleet::runFromJson(Before.Body);
        if (!Known || !Apply(*Known))
          return std::nullopt;
        return fleet::toJson(*Known);
      });
  const bool IsWritten =
      Updated && Updated.value().Outcome != store::UpdateOutcome::Declined;
  if (!IsWritten)
    return 0;
  this->Version = std::max(this->Version, Updated.value().After.Version);
  return Updated.value().After.Version;
}

void JobSteward::takeReports(const std::map<TaskId, ReportedTask> &Reported,
                             const configuration::Configuration &InForce) {
  for (RunRecord &Run : this->Runs) {
    const auto Job = InForce.Declared.Jobs.find(Run.Job);
    if (Job == InForce.Declared.Jobs.end())
      continue;
    const size_t DoneBefore = Run.count(TaskPhase::Done);
    const size_t UnknownBefore = Run.count(TaskPhase::Unknown);
    bool HasChanged = fleet::applyReports(Run, Job->second, Reported,
                                          this->Judge, this->Sizes);
    HasChanged = fleet::endWaiting(Run) || HasChanged;
    if (!HasChanged)
      continue;
    // The same reports are applied to whatever stands there by now; learning
    // from them a second time would count them twice.
    fleet::Blame Unused;
    fleet::SizeEstimator Unlearned{declaration::Weights()};
    this->change(Run, [&](RunRecord &Known) {
      bool Differs =
          fleet::applyReports(Known, Job->second, Reported, Unused, Unlearned);
      return fleet::endWaiting(Known) || Differs;
    });
    if (Run.count(TaskPhase::Done) > DoneBefore)
      this->note(EventKind::TaskFinished, Run,
                 "done=" + std::to_string(Run.count(TaskPhase::Done)) + "/" +
                     std::to_string(Run.Tasks.size()));
    if (Run.count(TaskPhase::Unknown) > UnknownBefore)
      this->note(EventKind::TaskFailed, Run, "a task may have run");
  }
}

void JobSteward::order(const RunRecord &Run, size_t Index,
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

void JobSteward::start(const fleet::TaskPlan &Plan) {
  std::map<size_t, std::vector<fleet::PlannedStart>> ByRun;
  for (const fleet::PlannedStart &Start : Plan.Starts)
    ByRun[Start.Place.Run].push_back(Start);
  for (const auto &Group : ByRun) {
    const size_t RunIndex = Group.first;
    const std::vector<fleet::PlannedStart> &Starts = Group.second;
    const RunRecord Before = this->Runs[RunIndex];
    RunRecord After = Before;
    const WallTime Now = this->Time.WallNow();
    const uint64_t Written = this->change(Before, [&](RunRecord &Known) {
      bool HasChanged = false;
      for (const fleet::PlannedStart &Start : Starts) {
        RunTask &Task = Known.Tasks[Start.Place.Index];
        if (!(Task == Before.Tasks[Start.Place.Index]))
          continue;
        // A checkpointed attempt goes on; any other start is a new attempt.
        if (Task.Phase == TaskPhase::Waiting)
          ++Task.Attempt;
        Task.Phase = TaskPhase::Starting;
        Task.Worker = Start.Worker;
        Task.StartedAt = Now;
        HasChanged = true;
      }
      After = Known;
      return HasChanged && !Known.IsCancelled;
    });
    if (Written == 0)
      continue;
    for (const fleet::PlannedStart &Start : Starts) {
      const size_t Index = Start.Place.Index;
      if (After.Tasks[Index].Phase != TaskPhase::Starting ||
          After.Tasks[Index].StartedAt != Now)
        continue;
      const bool Resumes = Before.Tasks[Index].Phase == TaskPhase::Checkpointed;
      this->order(After, Index, Start.Size, Resumes, Written);
    }
    this->Runs[RunIndex] = After;
    this->note(EventKind::TaskStarted, After,
               "started=" + std::to_string(Starts.size()));
  }
}

void JobSteward::repeatOrders(const fleet::PoolView &View) {
  const WallTime Now = this->Time.WallNow();
  for (const RunRecord &Run : this->Runs)
    for (size_t Index = 0; Index < Run.Tasks.size(); ++Index) {
      const RunTask &Task = Run.Tasks[Index];
      const bool IsOverdue = Task.Phase == TaskPhase::Starting &&
                             Task.StartedAt + RepeatAfter <= Now;
      const bool IsLive = std::any_of(
          View.Vms.begin(), View.Vms.end(), [&Task](const fleet::VmView &Vm) {
            return Vm.Record.Name == Task.Worker && Vm.IsLive;
          });
      if (IsOverdue && IsLive)
        this->order(Run, Index, Resources(), true, this->Version);
    }
}

void JobSteward::condemn(const fleet::TaskPlan &Plan) {
  for (const auto &[RunIndex, Reason] : Plan.Condemned) {
    this->change(this->Runs[RunIndex], [&Reason = Reason](RunRecord &Known) {
      Known.Condemned = Reason;
      fleet::endWaiting(Known);
      return true;
    });
    this->note(EventKind::JobCondemned, this->Runs[RunIndex], Reason);
  }
}

void JobSteward::removeEnded() {
  const WallTime Now = this->Time.WallNow();
  for (const RunRecord &Run : this->Runs) {
    WallTime LastStart = Run.SubmittedAt;
    for (const RunTask &Task : Run.Tasks)
      LastStart = std::max(LastStart, Task.StartedAt);
    if (!Run.isEnded() || LastStart + EndedKeptFor > Now)
      continue;
    const std::string Key = fleet::runKey(this->Pool, Run.Id);
    auto Read = this->Records.read(Key);
    if (Read && !this->Records.remove(Key, Read.value().Version))
      this->note(EventKind::TaskFinished, Run, "record not removed yet");
  }
}

static bool hasOpenRuns(const std::vector<RunRecord> &Runs) {
  return std::any_of(Runs.begin(), Runs.end(),
                     [](const RunRecord &Run) { return !Run.isEnded(); });
}

bool JobSteward::pass(const fleet::PoolView &View,
                      const configuration::Configuration &InForce,
                      const std::vector<store::VmInfo> &Listed) {
  if (this->Epoch() == 0 || !this->readRuns())
    return false;
  this->removeEnded();
  if (!hasOpenRuns(this->Runs))
    return false;
  this->takeReports(this->readReports(View), InForce);
  fleet::TaskInput Input;
  Input.Runs = this->Runs;
  Input.Vms = View.Vms;
  Input.Jobs = InForce.Declared.Jobs;
  Input.Teams = InForce.Declared.Teams;
  Input.DrainTimeout = View.Pool.DrainTimeout;
  for (const store::VmInfo &Vm : Listed)
    Input.Capacities[Vm.Name] = Vm.Capacity;
  const fleet::TaskPlan Plan =
      fleet::planTasks(Input, this->Judge, this->Sizes, this->Time.WallNow());
  for (const fleet::TaskPlace &Place : Plan.Checkpoints) {
    const RunRecord &Run = this->Runs[Place.Run];
    logIfFailed("checkpoint", Run.Tasks[Place.Index].Worker,
                this->Workers.Checkpoint(fleet::taskIdOf(Run, Place.Index),
                                         this->Version));
  }
  for (const fleet::TaskPlace &Place : Plan.Stops) {
    const RunRecord &Run = this->Runs[Place.Run];
    logIfFailed(
        "stop-task", Run.Tasks[Place.Index].Worker,
        this->Workers.Stop(fleet::taskIdOf(Run, Place.Index), this->Version));
  }
  this->condemn(Plan);
  this->start(Plan);
  this->repeatOrders(View);
  return true;
}

} // namespace whintack::steward
