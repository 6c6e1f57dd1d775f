#ifndef WHINTACK_DISPATCH_WAVEMANAGER_H
#define WHINTACK_DISPATCH_WAVEMANAGER_H

#include "demandtracker.h"
#include "machineorders.h"
#include "servicecalls.h"
#include "shardclaimer.h"

#include "whintack/jobs/wavescheduler.h"

#include <optional>

namespace whintack::dispatch::Internal {

/// What WaveManager and PoolRebalancer need from their process.
struct FleetShardEnvironment {
  jobs::MachineGateway Machines;
  jobs::PlatformCodec Codec;
  std::shared_ptr<ServiceCalls> Calls;
  std::function<std::shared_ptr<const jobs::QueueTable>()> Queues;
  /// What may be done under the claim.
  std::function<ClaimPhase()> Phase;
  std::shared_ptr<MachineOrders> Orders;
  std::shared_ptr<DemandTracker> Demands;
  std::function<void(const ShardId &Shard, const std::string &Cause)> OnLost;
};

/// Maintains the machines of the operator's waves under the claim of the fleet
/// shard. The machines that have begun maintenance are stored before the next
/// machine follows.
class WaveManager : public std::enable_shared_from_this<WaveManager> {
public:
  WaveManager(Context Shared, FleetShardEnvironment Environment, EntryName Self,
              HeldClaim OwnClaim);

  void start();
  void stop() { this->IsStopped = true; }
  /// Machines that are being vacated or may be down.
  std::set<jobs::MachineName> machinesInProgress() const;
  /// Adopts the waves that the operator has requested.
  void setWaves(const std::vector<jobs::WaveRequest> &Requested);

private:
  struct Wave {
    std::unique_ptr<jobs::WaveScheduler> Scheduler;
    WallTime Begun;
    size_t StoredBegun = 0;
    /// Revision of the stored record as far as it is known; 0 if there is none.
    uint64_t Revision = 0;
    bool IsStored = false;
    bool IsWriting = false;
    /// Whether the stored status says that the wave is completed; not set if
    /// this holder has not written it.
    std::optional<bool> ReportedCompletion;
    /// Whether the operator requests the wave.
    bool IsRequested = true;

    bool isOpen() const {
      return this->IsRequested && !(this->ReportedCompletion == true &&
                                    this->Scheduler->isCompleted());
    }
  };

  void load();
  void handleRecords(store::StoreResult<store::StorePage> Answer);
  void openWave(const jobs::WaveRequest &Request);
  void changeWave(Wave &Changed, const jobs::WaveRequest &Request);
  TimePoint deadlineOf(const Wave &Of, const jobs::WaveRequest &Request) const;
  void tick();
  void advance(Wave &Current);
  void
  handleMachines(jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found);
  jobs::MachineUse useOf(const jobs::MachineInfo &Machine) const;
  /// Whether the machine may be in maintenance for another wave than
  /// \p Number.
  bool mustAwaitEnd(uint64_t Number, const jobs::MachineInfo &Machine) const;
  void vacate(uint64_t Number, const jobs::MachineInfo &Machine);
  /// Sends the order unless it cannot be sent by \p SendBy.
  void order(uint64_t Number, const jobs::MachineInfo &Machine,
             TimePoint SendBy);
  void noteNotOrdered(uint64_t Number, const jobs::MachineName &Machine);
  void send(uint64_t Number, const jobs::MachineInfo &Machine);
  void handleOrderAnswer(uint64_t Number, const jobs::MachineInfo &Machine,
                         const jobs::GatewayResult<void> &Answer);
  void handleRecordConflict(Wave &Current, const store::CommitAnswer &Answer);
  void record(Wave &Current);
  bool canOrder() const;

  Context Shared;
  FleetShardEnvironment Environment;
  EntryName Self;
  HeldClaim OwnClaim;
  std::map<uint64_t, Wave> Waves;
  /// Stored records of waves, by wave number.
  std::map<uint64_t, store::StoreItem> Records;
  std::vector<jobs::WaveRequest> Requests;
  /// Machines for which a call is in flight.
  std::set<jobs::MachineName> InFlight;
  bool IsLoaded = false;
  bool IsListing = false;
  TimePoint ListRequestedAt = TimePoint::min();
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_WAVEMANAGER_H
