#ifndef WHINTACK_STEWARD_MOVESTEWARD_H
#define WHINTACK_STEWARD_MOVESTEWARD_H

#include "whintack/steward/fleetreader.h"

#include "whintack/base/eventjournal.h"

#include <map>

namespace whintack::steward {

/// Takes new VMs into the records, says which VM is to move to which pool,
/// and forgets VMs that the platform no longer lists. The stewards of the
/// pools carry the moves out.
class MoveSteward {
public:
  using EpochSource = std::function<uint64_t()>;

  MoveSteward(store::RecordClient &Records, store::WorkerControl Workers,
              EpochSource Epoch, Clock Time, Random Source,
              EventJournal &Journal);

  void pass(const FleetSnapshot &Snapshot, const fleet::FleetView &View,
            const std::vector<store::VmInfo> &Listed);

private:
  using RackChange = std::function<bool(fleet::RackRecord &)>;

  void addNew(const FleetSnapshot &Snapshot,
              const std::vector<store::VmInfo> &Listed);
  void forgetGone(const fleet::FleetView &View);
  void cancelMoves(const fleet::FleetView &View);
  void orderMove(const fleet::VmMove &Move);
  uint64_t change(const RackName &Rack, const RackChange &Apply);

  store::RecordClient &Records;
  store::WorkerControl Workers;
  EpochSource Epoch;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  /// When VMs were first missed on the platform's list.
  std::map<VmName, TimePoint> MissingSince;
};

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_MOVESTEWARD_H
