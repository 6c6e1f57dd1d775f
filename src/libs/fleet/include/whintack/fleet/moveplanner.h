#ifndef WHINTACK_FLEET_MOVEPLANNER_H
#define WHINTACK_FLEET_MOVEPLANNER_H

#include "whintack/fleet/view.h"

#include <map>
#include <vector>

namespace whintack::fleet {

/// The move of one VM to another pool.
struct VmMove {
  VmName Vm;
  RackName Rack;
  PoolName From;
  PoolName To;
};

/// All VMs of the fleet with the pool sizes that the preset requires.
struct FleetView {
  std::map<PoolName, int64_t> Targets;
  std::vector<VmView> Vms;
  /// Number of VMs that may leave each pool at the same time.
  std::map<PoolName, int64_t> MoveRoom;
};

/// Plans the smallest number of moves that gives every pool its target size, as
/// far as MoveRoom allows. VMs without a pool move first, because nothing on
/// them is disrupted, then VMs with the fewest tasks. Each VM goes to the pool
/// that lacks the largest fraction of its target, and VMs are chosen so that
/// the pool is spread over racks.
std::vector<VmMove> planMoves(const FleetView &View);

/// VMs whose planned move has not begun and is not needed any more.
std::vector<VmName> planCancellations(const FleetView &View);

/// Cost of changing to a preset; shown before the operator confirms it.
struct MoveEstimate {
  int64_t Moves = 0;
  /// Number of VMs that the preset does not use; they are held back as spare.
  int64_t SpareVms = 0;
  /// Number of VMs that the preset requires and the fleet does not have.
  int64_t MissingVms = 0;
  Duration RollOut = Duration::zero();
};

/// Estimates the number of moves, the spare and missing VMs and the roll-out
/// time for \p View. Assumes that one move takes \p MoveDuration and that each
/// pool releases as many VMs at a time as its MoveRoom allows, but at least
/// one.
MoveEstimate estimateMoves(const FleetView &View, Duration MoveDuration);

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_MOVEPLANNER_H
