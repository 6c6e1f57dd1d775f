#include "whintack/fleet/placement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>

namespace whintack::fleet {

using declaration::Priority;

/// Maximum number of fitting workers compared for each task.
static constexpr size_t MaxComparedWorkers = 8;
/// Maximum number of workers examined for each task, whether they fit or not.
static constexpr size_t MaxExaminedWorkers = 256;

namespace {

/// Sort key that orders workers by their free cores.
struct FreeCoresKey {
  int64_t MilliCores = 0;
  size_t Index = 0;

  auto operator<=>(const FreeCoresKey &) const = default;
};

/// Runs one placement. Tracks the free resources of the workers, the resources
/// in use by each team and the number of tasks of each job in each rack.
class PlacementPlanner {
public:
  explicit PlacementPlanner(const PlacementInput &Input);

  PlacementPlan run();

private:
  void place(const WaitingTask &Task);
  bool exceedsQuota(const WaitingTask &Task) const;
  bool fitsAnyWorker(const Resources &Size) const;
  std::optional<size_t> bestWorker(const WaitingTask &Task) const;
  void assign(size_t Index, const WaitingTask &Task);
  bool preemptFor(const WaitingTask &Task);
  void keepWaiting(const WaitingTask &Task, WaitReason Reason);

  const PlacementInput &Input;
  std::vector<WorkerView> Workers;
  std::set<FreeCoresKey> ByFreeCores;
  Resources LargestCapacity;
  std::unordered_map<TeamName, Resources> HeldByTeam;
  std::unordered_map<JobName, std::unordered_map<RackName, int64_t>>
      TasksByRack;
  std::set<TaskId> Preempted;
  PlacementPlan Plan;
};

} // namespace

PlacementPlanner::PlacementPlanner(const PlacementInput &Input)
    : Input(Input), Workers(Input.Workers) {
  std::unordered_map<VmName, RackName> Racks;
  for (size_t Index = 0; Index < this->Workers.size(); ++Index) {
    const WorkerView &Worker = this->Workers[Index];
    this->ByFreeCores.insert({Worker.Free.MilliCores, Index});
    Racks.emplace(Worker.Name, Worker.Rack);
    Resources &Largest = this->LargestCapacity;
    Largest.MilliCores =
        std::max(Largest.MilliCores, Worker.Capacity.MilliCores);
    Largest.MemoryMb = std::max(Largest.MemoryMb, Worker.Capacity.MemoryMb);
    Largest.Accelerators =
        std::max(Largest.Accelerators, Worker.Capacity.Accelerators);
  }
  for (const PlacedTask &Task : Input.Running) {
    this->HeldByTeam[Task.Owner] += Task.Size;
    ++this->TasksByRack[Task.Job][Racks[Task.Worker]];
  }
}

bool PlacementPlanner::exceedsQuota(const WaitingTask &Task) const {
  const auto Quota = this->Input.Quotas.find(Task.Owner);
  if (Quota == this->Input.Quotas.end())
    return true;
  const auto Held = this->HeldByTeam.find(Task.Owner);
  const Resources Before =
      Held == this->HeldByTeam.end() ? Resources() : Held->second;
  return !Quota->second.covers(Before + Task.Size);
}

bool PlacementPlanner::fitsAnyWorker(const Resources &Size) const {
  if (!this->LargestCapacity.covers(Size))
    return false;
  // Each resource may be available, but on different workers.
  return std::any_of(this->Workers.begin(), this->Workers.end(),
                     [&Size](const WorkerView &Worker) {
                       return Worker.Capacity.covers(Size);
                     });
}

static bool isAvoided(const WaitingTask &Task, const VmName &Worker) {
  return std::find(Task.Avoided.begin(), Task.Avoided.end(), Worker) !=
         Task.Avoided.end();
}

std::optional<size_t>
PlacementPlanner::bestWorker(const WaitingTask &Task) const {
  std::optional<size_t> Best;
  int64_t FewestTasksInRack = 0;
  size_t Fitting = 0;
  size_t Examined = 0;
  const auto Job = this->TasksByRack.find(Task.Job);
  for (auto It = this->ByFreeCores.lower_bound({Task.Size.MilliCores, 0});
       It != this->ByFreeCores.end() && Fitting < MaxComparedWorkers &&
       Examined < MaxExaminedWorkers;
       ++It, ++Examined) {
    const WorkerView &Worker = this->Workers[It->Index];
    if (!Worker.Free.covers(Task.Size) || isAvoided(Task, Worker.Name))
      continue;
    ++Fitting;
    int64_t TasksInRack = 0;
    if (Job != this->TasksByRack.end()) {
      const auto Rack = Job->second.find(Worker.Rack);
      TasksInRack = Rack == Job->second.end() ? 0 : Rack->second;
    }
    if (Best && TasksInRack >= FewestTasksInRack)
      continue;
    Best = It->Index;
    FewestTasksInRack = TasksInRack;
  }
  return Best;
}

void PlacementPlanner::assign(size_t Index, const WaitingTask &Task) {
  WorkerView &Worker = this->Workers[Index];
  this->ByFreeCores.erase({Worker.Free.MilliCores, Index});
  Worker.Free -= Task.Size;
  this->ByFreeCores.insert({Worker.Free.MilliCores, Index});
  this->HeldByTeam[Task.Owner] += Task.Size;
  ++this->TasksByRack[Task.Job][Worker.Rack];
  this->Plan.Starts.push_back({Task.Id, Worker.Name});
}

bool PlacementPlanner::preemptFor(const WaitingTask &Task) {
  std::unordered_map<VmName, std::vector<const PlacedTask *>> Candidates;
  for (const PlacedTask &Running : this->Input.Running)
    if (Running.IsCheckpointable &&
        Running.PriorityLevel > Task.PriorityLevel &&
        !this->Preempted.contains(Running.Id))
      Candidates[Running.Worker].push_back(&Running);
  std::vector<const PlacedTask *> FewestTasks;
  for (const WorkerView &Worker : this->Workers) {
    const auto Found = Candidates.find(Worker.Name);
    if (Found == Candidates.end() || isAvoided(Task, Worker.Name))
      continue;
    Resources Free = Worker.Free;
    std::vector<const PlacedTask *> Taken;
    for (const PlacedTask *Running : Found->second) {
      if (Free.covers(Task.Size))
        break;
      Free += Running->Size;
      Taken.push_back(Running);
    }
    const bool IsEnough = Free.covers(Task.Size);
    if (IsEnough && (FewestTasks.empty() || Taken.size() < FewestTasks.size()))
      FewestTasks = Taken;
  }
  for (const PlacedTask *Running : FewestTasks) {
    this->Preempted.insert(Running->Id);
    this->Plan.Preempted.push_back(Running->Id);
  }
  return !FewestTasks.empty();
}

void PlacementPlanner::keepWaiting(const WaitingTask &Task, WaitReason Reason) {
  this->Plan.Waits.push_back({Task.Id, Reason});
}

void PlacementPlanner::place(const WaitingTask &Task) {
  if (this->exceedsQuota(Task))
    return this->keepWaiting(Task, WaitReason::Quota);
  if (const std::optional<size_t> Best = this->bestWorker(Task))
    return this->assign(*Best, Task);
  if (!this->fitsAnyWorker(Task.Size))
    return this->keepWaiting(Task, WaitReason::TooLarge);
  const bool IsPreempting =
      Task.PriorityLevel == Priority::Urgent && this->preemptFor(Task);
  this->keepWaiting(Task,
                    IsPreempting ? WaitReason::Preempting : WaitReason::NoRoom);
}

PlacementPlan PlacementPlanner::run() {
  std::vector<const WaitingTask *> Ordered;
  Ordered.reserve(this->Input.Waiting.size());
  for (const WaitingTask &Task : this->Input.Waiting)
    Ordered.push_back(&Task);
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [](const WaitingTask *Left, const WaitingTask *Right) {
                     return Left->PriorityLevel < Right->PriorityLevel;
                   });
  for (const WaitingTask *Task : Ordered)
    this->place(*Task);
  return std::move(this->Plan);
}

PlacementPlan planPlacement(const PlacementInput &Input) {
  return PlacementPlanner(Input).run();
}

} // namespace whintack::fleet
