#ifndef WHINTACK_CONTROLLER_FLEETCONTROLLER_H
#define WHINTACK_CONTROLLER_FLEETCONTROLLER_H

#include "whintack/controller/fleetreader.h"
#include "whintack/controller/poolcontroller.h"
#include "whintack/controller/shardclaims.h"

#include "whintack/base/supervisor.h"

namespace whintack::controller {

class JobController;
class MoveController;

/// Data and actions that a FleetController needs from the rest of the process.
struct FleetControllerHooks {
  /// The configuration in force, or null if there is none.
  std::function<std::shared_ptr<const configuration::Configuration>()> InForce;
  /// The VMs on the platform's list.
  std::function<std::vector<store::VmInfo>()> Listed;
  /// Probes the backend server of a VM. Returns whether it answered.
  std::function<bool(const store::VmInfo &Vm)> Probe;
};

/// Runs this process's part of the control work: claims shards and controls the
/// pools that belong to them.
class FleetController {
public:
  FleetController(store::RecordClient &Records, store::WorkerControl Workers,
                  FleetReader &Reader, ShardClaims &Claims, DrainHooks Drains,
                  FleetControllerHooks Hooks, Clock Time, Random Source,
                  EventJournal &Journal);

  ~FleetController();

  /// Runs passes until \p Stop is requested, then releases all shards.
  void run(const StopSignal &Stop);
  /// Performs all actions that are due. Returns how long to wait before the
  /// next pass.
  Duration pass();

private:
  bool controlHeldShards();
  bool controlPools(const FleetSnapshot &Snapshot,
                    const configuration::Configuration &InForce,
                    const std::vector<store::VmInfo> &Listed);
  JobController &jobControllerFor(const PoolName &Pool,
                                  const configuration::Configuration &InForce);
  VmFacts vmFacts(const VmName &Vm, const FleetSnapshot &Snapshot,
                  const std::vector<store::VmInfo> &Listed) const;

  store::RecordClient &Records;
  store::WorkerControl Workers;
  FleetReader &Reader;
  ShardClaims &Claims;
  DrainHooks Drains;
  FleetControllerHooks Hooks;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  std::unique_ptr<MoveController> Moves;
  /// One for each pool whose shard this process has held.
  std::map<PoolName, std::unique_ptr<JobController>> Jobs;
};

} // namespace whintack::controller

#endif // WHINTACK_CONTROLLER_FLEETCONTROLLER_H
