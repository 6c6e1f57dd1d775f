#include "whintack/fleet/moveplanner.h"

#include "whintack/base/digest.h"

#include <algorithm>
#include <list>

namespace whintack::fleet {

namespace {

/// Counts VMs by their pool, or by the pool that they are moving to.
class PoolCounts {
public:
  explicit PoolCounts(const FleetView &View) : View(View) {
    for (const VmView &Vm : View.Vms) {
      const PoolName &Pool =
          Vm.Record.NextPool.isEmpty() ? Vm.Record.Pool : Vm.Record.NextPool;
      ++this->Counts[Pool];
      ++this->CountByRack[Pool][Vm.Rack];
    }
  }

  /// Number of VMs that \p Pool lacks; negative if it has too many.
  int64_t deficit(const PoolName &Pool) const {
    const auto Target = this->View.Targets.find(Pool);
    const auto Count = this->Counts.find(Pool);
    return (Target == this->View.Targets.end() ? 0 : Target->second) -
           (Count == this->Counts.end() ? 0 : Count->second);
  }

  /// Number of VMs of \p Pool in \p Rack.
  int64_t countInRack(const PoolName &Pool, const RackName &Rack) const {
    const auto Racks = this->CountByRack.find(Pool);
    if (Racks == this->CountByRack.end())
      return 0;
    const auto Found = Racks->second.find(Rack);
    return Found == Racks->second.end() ? 0 : Found->second;
  }

  void move(const VmMove &Moved) {
    --this->Counts[Moved.From];
    ++this->Counts[Moved.To];
    --this->CountByRack[Moved.From][Moved.Rack];
    ++this->CountByRack[Moved.To][Moved.Rack];
  }

  /// The pool that lacks the largest fraction of its target, or nothing if
  /// every pool has enough VMs.
  std::optional<PoolName> poolWithLargestDeficit() const {
    std::optional<PoolName> Found;
    double Highest = 0;
    for (const auto &[Pool, Target] : this->View.Targets) {
      const int64_t Deficit = this->deficit(Pool);
      if (Deficit <= 0)
        continue;
      const double Fraction =
          static_cast<double>(Deficit) / static_cast<double>(Target);
      if (Fraction <= Highest)
        continue;
      Highest = Fraction;
      Found = Pool;
    }
    return Found;
  }

private:
  const FleetView &View;
  std::map<PoolName, int64_t> Counts;
  std::map<PoolName, std::map<RackName, int64_t>> CountByRack;
};

} // namespace

/// Maximum number of movable VMs compared for each move.
static constexpr size_t MaxComparedVms = 64;

/// Whether \p Vm may leave its pool. A VM that has become unmovable remains so
/// for the rest of the plan.
static bool isMovable(const VmView &Vm, const PoolCounts &Counts,
                      std::map<PoolName, int64_t> &Room) {
  if (Vm.Record.Phase != VmPhase::InService || !Vm.IsLive ||
      !Vm.Record.NextPool.isEmpty())
    return false;
  if (Vm.Record.Pool.isEmpty())
    return true;
  return Counts.deficit(Vm.Record.Pool) < 0 && Room[Vm.Record.Pool] > 0;
}

/// Orders VMs by how little their move disrupts. Ties are ordered by a hash of
/// the name, so that the first ones are spread over many racks.
static bool isLessDisruptive(const VmView *Left, const VmView *Right) {
  if (Left->Record.Pool.isEmpty() != Right->Record.Pool.isEmpty())
    return Left->Record.Pool.isEmpty();
  if (Left->Tasks != Right->Tasks)
    return Left->Tasks < Right->Tasks;
  return stableHash(Left->Record.Name.text()) <
         stableHash(Right->Record.Name.text());
}

static bool isEquallyDisruptive(const VmView &Left, const VmView &Right) {
  return Left.Record.Pool.isEmpty() == Right.Record.Pool.isEmpty() &&
         Left.Tasks == Right.Tasks;
}

/// The movable VMs, least disruptive first.
using Candidates = std::list<const VmView *>;

/// Among the least disruptive candidates, returns the one whose rack has the
/// fewest VMs of \p To. Removes candidates that are not movable any more.
static Candidates::iterator pickVmFor(const PoolName &To, Candidates &Remaining,
                                      const PoolCounts &Counts,
                                      std::map<PoolName, int64_t> &Room) {
  auto Best = Remaining.end();
  size_t Compared = 0;
  for (auto It = Remaining.begin();
       It != Remaining.end() && Compared < MaxComparedVms;) {
    if (!isMovable(**It, Counts, Room)) {
      It = Remaining.erase(It);
      continue;
    }
    if (Best != Remaining.end() && !isEquallyDisruptive(**It, **Best))
      break;
    const bool IsBetter =
        Best == Remaining.end() || Counts.countInRack(To, (*It)->Rack) <
                                       Counts.countInRack(To, (*Best)->Rack);
    if (IsBetter)
      Best = It;
    ++Compared;
    ++It;
  }
  return Best;
}

std::vector<VmMove> planMoves(const FleetView &View) {
  std::vector<VmMove> Moves;
  PoolCounts Counts(View);
  std::map<PoolName, int64_t> Room = View.MoveRoom;
  Candidates Remaining;
  for (const VmView &Vm : View.Vms)
    if (isMovable(Vm, Counts, Room))
      Remaining.push_back(&Vm);
  Remaining.sort(isLessDisruptive);
  while (const std::optional<PoolName> To = Counts.poolWithLargestDeficit()) {
    const auto Best = pickVmFor(*To, Remaining, Counts, Room);
    if (Best == Remaining.end())
      break;
    const VmView &Chosen = **Best;
    const VmMove Moved{Chosen.Record.Name, Chosen.Rack, Chosen.Record.Pool,
                       *To};
    Counts.move(Moved);
    if (!Chosen.Record.Pool.isEmpty())
      --Room[Chosen.Record.Pool];
    Moves.push_back(Moved);
    Remaining.erase(Best);
  }
  return Moves;
}

std::vector<VmName> planCancellations(const FleetView &View) {
  std::vector<VmName> Cancelled;
  PoolCounts Counts(View);
  for (const VmView &Vm : View.Vms) {
    const VmRecord &Record = Vm.Record;
    const bool MayCancel =
        Record.Phase == VmPhase::InService && !Record.NextPool.isEmpty();
    if (!MayCancel || Counts.deficit(Record.NextPool) >= 0)
      continue;
    Counts.move({Record.Name, Vm.Rack, Record.NextPool, Record.Pool});
    Cancelled.push_back(Record.Name);
  }
  return Cancelled;
}

MoveEstimate estimateMoves(const FleetView &View, Duration MoveDuration) {
  FleetView Unlimited = View;
  for (const auto &[Pool, Target] : View.Targets)
    Unlimited.MoveRoom[Pool] = static_cast<int64_t>(View.Vms.size());
  const std::vector<VmMove> Moves = planMoves(Unlimited);
  MoveEstimate Estimate;
  Estimate.Moves = static_cast<int64_t>(Moves.size());
  std::map<PoolName, int64_t> Leaving;
  for (const VmMove &Moved : Moves)
    ++Leaving[Moved.From];
  for (const auto &[Pool, Count] : Leaving) {
    const auto Room = View.MoveRoom.find(Pool);
    const int64_t AtOnce =
        Room == View.MoveRoom.end() ? 1 : std::max<int64_t>(1, Room->second);
    const int64_t Rounds = (Count + AtOnce - 1) / AtOnce;
    Estimate.RollOut = std::max(Estimate.RollOut, MoveDuration * Rounds);
  }
  int64_t Wanted = 0;
  for (const auto &[Pool, Target] : View.Targets)
    Wanted += Target;
  const int64_t Difference = static_cast<int64_t>(View.Vms.size()) - Wanted;
  Estimate.SpareVms = std::max<int64_t>(0, Difference);
  Estimate.MissingVms = std::max<int64_t>(0, -Difference);
  return Estimate;
}

} // namespace whintack::fleet
