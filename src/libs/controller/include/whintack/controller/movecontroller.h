#ifndef WHINTACK_CONTROLLER_MOVECONTROLLER_H
#define WHINTACK_CONTROLLER_MOVECONTROLLER_H

#include "whintack/controller/fleetreader.h"

#include "whintack/base/eventjournal.h"

#include <map>

namespace whintack::controller {

/// Adds records for new VMs, decides which VM moves to which pool, and removes
/// the records of VMs that the platform no longer lists. PoolController carries
/// out the moves of VMs that belong to a pool.
class MoveController {
public:
  using EpochSource = std::function<uint64_t()>;

  MoveController(store::RecordClient &Records, store::WorkerControl Workers,
                 EpochSource Epoch, Clock Time, Random Source,
                 EventJournal &Journal);

  /// Performs all actions that are due, if the shard for moves is held.
  void pass(const FleetSnapshot &Snapshot, const fleet::FleetView &View,
            const std::vector<store::VmInfo> &Listed);

private:
  using RackChange = std::function<bool(fleet::RackRecord &)>;

  void addNewVms(const FleetSnapshot &Snapshot,
                 const std::vector<store::VmInfo> &Listed);
  void removeUnlistedVms(const fleet::FleetView &View);
  void cancelMoves(const fleet::FleetView &View);
  void orderMove(const fleet::VmMove &Move);
  /// Applies a change to a rack's stored record. Returns its new version, or 0
  /// if nothing was written.
  uint64_t updateRack(const RackName &Rack, const RackChange &Apply);

  store::RecordClient &Records;
  store::WorkerControl Workers;
  EpochSource Epoch;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  /// When each VM was first missing from the platform's list.
  std::map<VmName, TimePoint> MissingSince;
};

} // namespace whintack::controller

#endif // WHINTACK_CONTROLLER_MOVECONTROLLER_H
