#include "planner_p.h"

#include <algorithm>
#include <numeric>

namespace whintack::jobs {

using namespace Internal;

/// Maximum time between two planning passes.
static constexpr Duration PlanInterval = std::chrono::milliseconds(100);
/// Share of a pool's processor capacity for jobs that run late and would soon
/// have no value.
static constexpr double LastChanceShare = 0.05;

static ComputeResources mostFree(const std::vector<Candidate> &Candidates) {
  ComputeResources Most;
  for (const Candidate &Each : Candidates) {
    Most.MilliCores = std::max(Most.MilliCores, Each.Free.MilliCores);
    Most.MemoryMb = std::max(Most.MemoryMb, Each.Free.MemoryMb);
    Most.Gpus = std::max(Most.Gpus, Each.Free.Gpus);
  }
  return Most;
}

std::vector<RankedJob> Planner::Private::rankStartable(TimePoint Now) {
  const bool IsRecovering = this->isRecovering();
  std::vector<StartableJob> Waiting;
  Waiting.reserve(this->Startable.size());
  for (size_t Position = 0; Position < this->Startable.size();) {
    StartableJob &Each = this->Startable[Position];
    JobRecord &Job = *Each.Job;
    if (std::exchange(Job.NeedsReview, false)) {
      const std::optional<StartableJob> Reviewed = this->review(Job);
      if (!Reviewed) {
        this->removeStartable(Job);
        continue;
      }
      Each = *Reviewed;
    }
    ++Position;
    const bool IsHeldBack = Job.MayHaveRun && IsRecovering;
    if (!IsHeldBack)
      Waiting.push_back(Each);
  }
  const bool MayReserve =
      std::any_of(Waiting.begin(), Waiting.end(), [](const StartableJob &Each) {
        return Each.Job->Rank.IsLongRunning;
      });
  this->divideAmongTenants(Waiting, Now);
  std::vector<RankedJob> Ranked;
  Ranked.reserve(Waiting.size());
  for (const StartableJob &Each : Waiting) {
    const bool MayHaveEffect =
        MayReserve || !this->isUnplaceable(Each) ||
        this->mayReserveRoom(Each.Job->Rank, Each.LeastNeed, Now);
    if (MayHaveEffect && !this->isHeldBackByQuota(Each))
      Ranked.push_back({this->rankOf(*Each.Job, Now), Each});
  }
  return Ranked;
}

static bool isPlannedBefore(const RankedJob &First, const RankedJob &Second,
                            TimePoint Now) {
  if (ranksBefore(First.Rank, Second.Rank, Now))
    return true;
  return !ranksBefore(Second.Rank, First.Rank, Now) &&
         First.Startable.Job->Spec.Id < Second.Startable.Job->Spec.Id;
}

bool Planner::Private::mayStartLastChance() const {
  return static_cast<double>(this->LastChanceMilliCores) <
         LastChanceShare * static_cast<double>(this->TotalMilliCores);
}

/// Compares entries of a pass's heap, the first one by rank on top. Few jobs
/// fit into what becomes free between two passes, so a heap is cheaper than
/// sorting all of them. It has pointers, as ranked jobs are large.
static auto heapOrder(const PlanningPass &Pass) {
  return
      [Began = Pass.BeganAt](const RankedJob *First, const RankedJob *Second) {
        return isPlannedBefore(*Second, *First, Began);
      };
}

static size_t countLongRunning(const std::vector<RankedJob *> &Jobs) {
  return static_cast<size_t>(
      std::count_if(Jobs.begin(), Jobs.end(), [](const RankedJob *Each) {
        return Each->Rank.IsLongRunning;
      }));
}

bool Planner::Private::beginPass(TimePoint Now) {
  std::vector<Candidate> Candidates = this->candidates(Now);
  if (Candidates.empty())
    return false;
  this->UnplaceableNeed.reset();
  this->MostFree = mostFree(Candidates);
  this->TotalMilliCores =
      std::accumulate(Candidates.begin(), Candidates.end(), int64_t{0},
                      [](int64_t Sum, const Candidate &Each) {
                        return Sum + Each.Executor->Info.Capacity.MilliCores;
                      });
  this->beginReservations(Candidates);
  PlanningPass &Begun = this->Pass.emplace();
  Begun.BeganAt = Now;
  Begun.Candidates = std::move(Candidates);
  Begun.Waiting = this->rankStartable(Now);
  Begun.Heap.reserve(Begun.Waiting.size());
  for (RankedJob &Each : Begun.Waiting)
    Begun.Heap.push_back(&Each);
  std::make_heap(Begun.Heap.begin(), Begun.Heap.end(), heapOrder(Begun));
  Begun.LongRunning = countLongRunning(Begun.Heap);
  return true;
}

void Planner::Private::interruptPass() {
  for (Candidate &Each : this->Pass->Candidates)
    Each.FreeAtInterruption = Each.Executor->free();
}

/// What is left of \p Free if \p Before was free on the executor and \p Now is.
/// More than \p Free is never left.
static ComputeResources remaining(const ComputeResources &Free,
                                  const ComputeResources &Before,
                                  const ComputeResources &Now) {
  const auto LeftOf = [&](int64_t ComputeResources::*Part) {
    return Free.*Part - std::max<int64_t>(Before.*Part - Now.*Part, 0);
  };
  return {LeftOf(&ComputeResources::MilliCores),
          LeftOf(&ComputeResources::MemoryMb), LeftOf(&ComputeResources::Gpus)};
}

void Planner::Private::resumePass(TimePoint Now) {
  PlanningPass &Resumed = *this->Pass;
  for (Candidate &Each : Resumed.Candidates)
    Each.Free = this->isUsable(*Each.Executor, Now)
                    ? remaining(Each.Free, Each.FreeAtInterruption,
                                Each.Executor->free())
                    : NoResources;
  const std::unordered_set<const JobRecord *> Removed =
      std::exchange(Resumed.RemovedJobs, {});
  const auto IsRemoved = [&Removed](const RankedJob *Each) {
    return Removed.contains(Each->Startable.Job);
  };
  if (std::erase_if(Resumed.Heap, IsRemoved) > 0)
    std::make_heap(Resumed.Heap.begin(), Resumed.Heap.end(),
                   heapOrder(Resumed));
  if (Resumed.Current && IsRemoved(Resumed.Current))
    Resumed.Current = nullptr;
  Resumed.LongRunning = countLongRunning(Resumed.Heap);
  if (Resumed.Current && Resumed.Current->Rank.IsLongRunning)
    ++Resumed.LongRunning;
}

bool Planner::Private::beginNextJob() {
  PlanningPass &Present = *this->Pass;
  std::vector<RankedJob *> &Heap = Present.Heap;
  const auto IsLater = heapOrder(Present);
  while (!Heap.empty()) {
    std::pop_heap(Heap.begin(), Heap.end(), IsLater);
    RankedJob &Next = *Heap.back();
    if (Next.Rank.IsLastChance && !this->mayStartLastChance()) {
      Next.Rank.IsLastChance = false;
      std::push_heap(Heap.begin(), Heap.end(), IsLater);
      continue;
    }
    // The starts of this pass may have used up the tenant's share.
    const ServiceStanding Standing =
        this->Tenants.standing(Next.Startable.Job->Tenant);
    if (std::exchange(Next.Rank.Standing, Standing) != Standing) {
      std::push_heap(Heap.begin(), Heap.end(), IsLater);
      continue;
    }
    Heap.pop_back();
    if (this->isHeldBackByQuota(Next.Startable))
      continue;
    Present.beginJob(Next);
    Present.EarlierNeed = this->UnplaceableNeed;
    Present.MightReserve = this->Room.Reservations.mayReserve();
    return true;
  }
  return false;
}

void Planner::Private::endCurrentJob(TimePoint Now) {
  PlanningPass &Present = *this->Pass;
  const bool IsLongRunning =
      std::exchange(Present.Current, nullptr)->Rank.IsLongRunning;
  if (IsLongRunning)
    --Present.LongRunning;
  // What does not fit anywhere determines whether an executor is reserved for
  // a long-running task, so all jobs that rank before it are planned.
  const bool HasLessRoom =
      this->UnplaceableNeed != Present.EarlierNeed ||
      Present.MightReserve != this->Room.Reservations.mayReserve();
  const bool MayDrop =
      Present.LongRunning == 0 && (HasLessRoom || IsLongRunning);
  if (MayDrop &&
      std::erase_if(Present.Heap, [this, Now](const RankedJob *Each) {
        return this->isDroppable(*Each, Now);
      }) > 0)
    std::make_heap(Present.Heap.begin(), Present.Heap.end(),
                   heapOrder(Present));
}

bool Planner::Private::planInOrder(TimePoint Now, WallTime WallNow) {
  PlanningPass &Present = *this->Pass;
  while (Present.Current || this->beginNextJob()) {
    JobRecord &Job = *Present.Current->Startable.Job;
    this->IsPlanningLastChance = Present.Current->Rank.IsLastChance;
    // The job may have ended, or the recovery begun, since an interruption.
    const bool MayStart =
        !isFinal(Job.State) && !(Job.MayHaveRun && this->isRecovering());
    if (MayStart &&
        !this->planJob(Job, Present.Candidates, Present.Next, Now, WallNow))
      return false;
    this->endCurrentJob(Now);
    if (!Present.Heap.empty() && this->isTurnOver())
      return false;
  }
  return true;
}

void Planner::repeatStops(TimePoint Now) { this->D->resendStops(Now); }

void Planner::plan(TimePoint Now, WallTime WallNow) {
  this->repeatStops(Now);
  this->D->updateUnknownUse();
  if (this->D->Pass)
    this->D->resumePass(Now);
  else if (!this->D->beginPass(Now))
    return;
  ++this->D->Pass->Turns;
  if (!this->D->planInOrder(Now, WallNow)) {
    this->D->interruptPass();
    return;
  }
  this->D->Room.Changes.endPass(Now);
  this->D->Pass.reset();
}

void Planner::abandonPass() { this->D->Pass.reset(); }

std::optional<OpenPass> Planner::openPass() const {
  if (!this->D->Pass)
    return std::nullopt;
  const PlanningPass &Present = *this->D->Pass;
  OpenPass Open;
  Open.BeganAt = Present.BeganAt;
  Open.Turns = Present.Turns;
  Open.JobsLeft = Present.Heap.size() + (Present.Current ? 1 : 0);
  // A job that has been removed since is no longer there to be named.
  if (Present.Current &&
      !Present.RemovedJobs.contains(Present.Current->Startable.Job)) {
    const PassPosition &Next = Present.Next;
    const JobId &Job = Present.Current->Startable.Job->Spec.Id;
    Open.Next = TaskKey{{Job, static_cast<int64_t>(Next.Occurrence), Next.Step},
                        Next.Task};
  }
  return Open;
}

std::vector<Order> Planner::takeOrders() {
  return std::exchange(this->D->Orders, {});
}

size_t Planner::startableJobs() const { return this->D->Startable.size(); }

TimePoint Planner::nextPlan(TimePoint Now) const { return Now + PlanInterval; }

} // namespace whintack::jobs
