#ifndef WHINTACK_STEWARD_STEWARD_H
#define WHINTACK_STEWARD_STEWARD_H

#include "whintack/steward/fleetreader.h"
#include "whintack/steward/poolcontroller.h"
#include "whintack/steward/shardclaims.h"

#include "whintack/base/supervisor.h"

namespace whintack::steward {

class JobController;
class MoveController;

/// Data and actions that a Steward needs from the rest of the process.
struct StewardHooks {
  /// The configuration in force, or null if there is none.
  std::function<std::shared_ptr<const configuration::Configuration>()> InForce;
  /// The VMs on the platform's list.
  std::function<std::vector<store::VmInfo>()> Listed;
  /// Probes the backend server of a VM. Returns whether it answered.
  std::function<bool(const store::VmInfo &Vm)> Probe;
};

/// Runs this process's part of the control work: claims shards and controls the
/// pools that belong to them.
class Steward {
public:
  Steward(store::RecordClient &Records, store::WorkerControl Workers,
          FleetReader &Reader, ShardClaims &Claims, DrainHooks Drains,
          StewardHooks Hooks, Clock Time, Random Source, EventJournal &Journal);

  ~Steward();

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
  StewardHooks Hooks;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  std::unique_ptr<MoveController> Moves;
  /// One for each pool whose shard this process has held.
  std::map<PoolName, std::unique_ptr<JobController>> Jobs;
};

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_STEWARD_H
