#ifndef WHINTACK_STEWARD_FLEETREADER_H
#define WHINTACK_STEWARD_FLEETREADER_H

#include "whintack/configuration/configurationkeeper.h"
#include "whintack/fleet/moveplanner.h"
#include "whintack/fleet/view.h"
#include "whintack/store/recordclient.h"
#include "whintack/store/vmdirectory.h"

#include <functional>
#include <map>
#include <mutex>

namespace whintack::steward {

/// The fleet's records as they were read together.
struct FleetSnapshot {
  std::vector<fleet::RackRecord> Racks;
  std::map<ServiceName, fleet::BudgetRecord> Budgets;
  std::map<PoolName, fleet::WaveRecord> Waves;
  /// Highest version among the records; an order given on this snapshot
  /// carries it, so that older orders are refused.
  uint64_t Version = 0;
  WallTime ReadAt;
};

/// What is known of a VM besides its record and the platform's list.
struct VmFacts {
  std::optional<int64_t> Requests;
  bool IsAnswering = false;
  int64_t Tasks = 0;
};

using VmFactsSource = std::function<VmFacts(const VmName &Vm)>;

/// Reads the fleet's records and puts them together with the platform's list
/// and the declaration. Safe for several threads.
class FleetReader {
public:
  FleetReader(store::RecordClient &Records, Clock Time);

  store::StoreResult<FleetSnapshot> read();
  /// Reads if the platform answers; else what was read before stands.
  void refresh();
  /// What was read last; nothing before the first time.
  std::optional<FleetSnapshot> last() const;

private:
  store::RecordClient &Records;
  Clock Time;
  mutable std::mutex Mutex;
  std::optional<FleetSnapshot> Last;
};

/// The view of one pool.
fleet::PoolView poolView(const declaration::Pool &Pool,
                         const FleetSnapshot &Snapshot,
                         const configuration::Configuration &InForce,
                         const std::vector<store::VmInfo> &Listed,
                         const VmFactsSource &Facts);

/// The view of all VMs with the numbers that \p Preset asks for.
fleet::FleetView fleetView(const declaration::Preset &Preset,
                           const FleetSnapshot &Snapshot,
                           const configuration::Configuration &InForce,
                           const std::vector<store::VmInfo> &Listed,
                           const VmFactsSource &Facts);

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_FLEETREADER_H
