#ifndef WHINTACK_CONTROLLER_FLEETREADER_H
#define WHINTACK_CONTROLLER_FLEETREADER_H

#include "whintack/configuration/configurationmanager.h"
#include "whintack/fleet/moveplanner.h"
#include "whintack/fleet/view.h"
#include "whintack/store/recordclient.h"
#include "whintack/store/vmdirectory.h"

#include <functional>
#include <map>
#include <mutex>

namespace whintack::controller {

/// The fleet's records as read by one call of FleetReader::read().
struct FleetSnapshot {
  std::vector<fleet::RackRecord> Racks;
  std::map<ServiceName, fleet::BudgetRecord> Budgets;
  std::map<PoolName, fleet::WaveRecord> Waves;
  /// Highest version among the rack records. Orders based on this snapshot
  /// carry it, so that older orders are refused.
  uint64_t Version = 0;
  WallTime ReadAt;
};

/// Facts about a VM that neither its record nor the platform's list contains.
struct VmFacts {
  /// Running requests; empty if not known.
  std::optional<int64_t> Requests;
  /// Whether the backend server answered the last probe.
  bool IsAnswering = false;
  /// Tasks that run or may run.
  int64_t Tasks = 0;
};

using VmFactsSource = std::function<VmFacts(const VmName &Vm)>;

/// Reads the fleet's records from the platform's store and caches the last
/// snapshot. Safe for several threads.
class FleetReader {
public:
  FleetReader(store::RecordClient &Records, Clock Time);

  /// Reads all racks, budgets and waves.
  store::StoreResult<FleetSnapshot> read();
  /// Reads the records again. If that fails, the failure is logged and the last
  /// snapshot stays.
  void refresh();
  /// Returns the last snapshot; empty before the first successful read.
  std::optional<FleetSnapshot> last() const;

private:
  store::RecordClient &Records;
  Clock Time;
  mutable std::mutex Mutex;
  std::optional<FleetSnapshot> Last;
};

/// Combines the records of one pool with the platform's list, the configuration
/// and further facts about its VMs.
fleet::PoolView poolView(const declaration::Pool &Pool,
                         const FleetSnapshot &Snapshot,
                         const configuration::Configuration &InForce,
                         const std::vector<store::VmInfo> &Listed,
                         const VmFactsSource &Facts);

/// Combines the records of all VMs in the same way, with the target numbers of
/// \p Preset.
fleet::FleetView fleetView(const declaration::Preset &Preset,
                           const FleetSnapshot &Snapshot,
                           const configuration::Configuration &InForce,
                           const std::vector<store::VmInfo> &Listed,
                           const VmFactsSource &Facts);

} // namespace whintack::controller

#endif // WHINTACK_CONTROLLER_FLEETREADER_H
