#ifndef WHINTACK_STEWARD_STEWARD_H
#define WHINTACK_STEWARD_STEWARD_H

#include "whintack/steward/fleetreader.h"
#include "whintack/steward/poolsteward.h"
#include "whintack/steward/shardclaims.h"

#include "whintack/base/supervisor.h"

namespace whintack::steward {

class JobSteward;
class MoveSteward;

/// What the steward needs besides the platform.
struct StewardHooks {
  std::function<std::shared_ptr<const configuration::Configuration>()> InForce;
  std::function<std::vector<store::VmInfo>()> Listed;
  /// Tries the backend server of a VM.
  std::function<bool(const store::VmInfo &Vm)> Probe;
};

/// Does this process's part of the control work: claims shards and looks
/// after the pools behind them.
class Steward {
public:
  Steward(store::RecordClient &Records, store::WorkerControl Workers,
          FleetReader &Reader, ShardClaims &Claims, DrainHooks Drains,
          StewardHooks Hooks, Clock Time, Random Source, EventJournal &Journal);

  ~Steward();

  void run(const StopSignal &Stop);
  /// Does what is due once. Returns how long to wait until the next time.
  Duration pass();

private:
  bool work();
  bool lookAfterPools(const FleetSnapshot &Snapshot,
                      const configuration::Configuration &InForce,
                      const std::vector<store::VmInfo> &Listed);
  JobSteward &jobsOf(const PoolName &Pool,
                     const configuration::Configuration &InForce);
  VmFacts factsOf(const VmName &Vm, const FleetSnapshot &Snapshot,
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
  std::unique_ptr<MoveSteward> Moves;
  /// One for each pool that this process has looked after.
  std::map<PoolName, std::unique_ptr<JobSteward>> Jobs;
};

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_STEWARD_H
