#ifndef WHINTACK_DISPATCH_WAVEKEEPER_H
#define WHINTACK_DISPATCH_WAVEKEEPER_H

#include "claimseeker.h"
#include "machineorders.h"
#include "servicecalls.h"

#include "whintack/jobs/wavecourse.h"

namespace whintack::dispatch::Internal {

/// What the keeper of waves needs of its process.
struct WaveEnvironment {
  jobs::MachineGateway Machines;
  jobs::PlatformWords Words;
  std::shared_ptr<ServiceCalls> Calls;
  std::function<std::shared_ptr<const jobs::QueueTable>()> Queues;
  std::function<TimePoint()> ClaimValidUntil;
  std::shared_ptr<MachineOrders> Orders;
  std::function<void(const std::string &Shard, const std::string &Cause)>
      OnLost;
};

/// Maintains the machines that the operator's waves name, under a claim. What
/// has begun is stored before the next machine follows.
class WaveKeeper : public std::enable_shared_from_this<WaveKeeper> {
public:
  WaveKeeper(Context Shared, WaveEnvironment Environment, EntryName Self,
             WonClaim Won);

  void start();
  void stop() { this->IsStopped = true; }
  /// Machines that are being vacated or may be down.
  std::set<jobs::MachineName> machinesInWork() const;
  /// Adopts the waves that the operator asks for.
  void setWaves(const std::vector<jobs::WaveRequest> &Requests);

private:
  struct Wave {
    std::unique_ptr<jobs::WaveCourse> Course;
    WallTime Begun;
    size_t StoredBegun = 0;
    bool IsStored = false;
    bool IsWriting = false;
    bool IsReported = false;
  };

  void load();
  void takeRecords(store::StoreResult<store::StorePage> Answer);
  void openWave(const jobs::WaveRequest &Request);
  void tick();
  void step(Wave &Of);
  void takeMachines(jobs::GatewayResult<std::vector<jobs::MachineInfo>> Found);
  void vacate(uint64_t Number, const jobs::MachineInfo &Machine);
  /// Sends the order unless it cannot go out by \p SendBy.
  void order(uint64_t Number, const jobs::MachineInfo &Machine,
             TimePoint SendBy);
  void noteNotOrdered(uint64_t Number, const jobs::MachineName &Machine);
  void send(uint64_t Number, const jobs::MachineInfo &Machine);
  void takeOrdered(uint64_t Number, const jobs::MachineInfo &Machine,
                   const jobs::GatewayResult<void> &Answer);
  void record(Wave &Of);
  bool mayOrder() const;

  Context Shared;
  WaveEnvironment Environment;
  EntryName Self;
  WonClaim Won;
  std::map<uint64_t, Wave> Waves;
  std::map<uint64_t, std::string> Records;
  std::vector<jobs::WaveRequest> Requests;
  /// Machines about which a call is on its way.
  std::set<jobs::MachineName> Busy;
  bool IsLoaded = false;
  bool IsListing = false;
  TimePoint ListAskedAt = TimePoint::min();
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_WAVEKEEPER_H
