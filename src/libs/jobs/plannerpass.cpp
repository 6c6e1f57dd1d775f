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

std::vector<RankedJob> Planner::Private::rankStartable(TimePoint Now,
                                                       bool IsRecovering) {
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

void Planner::Private::planInOrder(std::vector<RankedJob> Waiting,
                                   std::vector<Candidate> &Candidates,
                                   TimePoint Now, WallTime WallNow) {
  // Few jobs fit into what becomes free between two passes, so a heap is
  // cheaper than sorting all of them. It has pointers, as ranked jobs are
  // large.
  const auto IsLater = [Now](const RankedJob *First, const RankedJob *Second) {
    return isPlannedBefore(*Second, *First, Now);
  };
  std::vector<RankedJob *> Heap;
  Heap.reserve(Waiting.size());
  for (RankedJob &Each : Waiting)
    Heap.push_back(&Each);
  std::make_heap(Heap.begin(), Heap.end(), IsLater);
  auto LongRunning =
      std::count_if(Waiting.begin(), Waiting.end(), [](const RankedJob &Each) {
        return Each.Rank.IsLongRunning;
      });
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
    this->IsPlanningLastChance = Next.Rank.IsLastChance;
    const std::optional<ComputeResources> EarlierNeed = this->UnplaceableNeed;
    const bool MightReserve = this->Room.Reservations.mayReserve();
    this->planJob(*Next.Startable.Job, Candidates, Now, WallNow);
    if (Next.Rank.IsLongRunning)
      --LongRunning;
    // What does not fit anywhere determines whether an executor is reserved for
    // a long-running task, so all jobs that rank before it are planned.
    const bool HasLessRoom =
        this->UnplaceableNeed != EarlierNeed ||
        MightReserve != this->Room.Reservations.mayReserve();
    const bool MayDrop =
        LongRunning == 0 && (HasLessRoom || Next.Rank.IsLongRunning);
    if (MayDrop && std::erase_if(Heap, [this, Now](const RankedJob *Each) {
                     return this->isDroppable(*Each, Now);
                   }) > 0)
      std::make_heap(Heap.begin(), Heap.end(), IsLater);
  }
}

void Planner::repeatStops(TimePoint Now) { this->D->resendStops(Now); }

void Planner::plan(TimePoint Now, WallTime WallNow) {
  this->repeatStops(Now);
  this->D->updateUnknownUse();
  std::vector<Candidate> Candidates = this->D->candidates(Now);
  if (Candidates.empty())
    return;
  this->D->UnplaceableNeed.reset();
  this->D->MostFree = mostFree(Candidates);
  this->D->TotalMilliCores =
      std::accumulate(Candidates.begin(), Candidates.end(), int64_t{0},
                      [](int64_t Sum, const Candidate &Each) {
                        return Sum + Each.Executor->Info.Capacity.MilliCores;
                      });
  this->D->beginReservations(Candidates);
  this->D->planInOrder(this->D->rankStartable(Now, this->isRecovering()),
                       Candidates, Now, WallNow);
  this->D->Room.Changes.endPass(Now);
}

std::vector<Order> Planner::takeOrders() {
  return std::exchange(this->D->Orders, {});
}

size_t Planner::startableJobs() const { return this->D->Startable.size(); }

TimePoint Planner::nextPlan(TimePoint Now) const { return Now + PlanInterval; }

} // namespace whintack::jobs
