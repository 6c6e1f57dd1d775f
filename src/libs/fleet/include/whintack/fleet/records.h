#ifndef WHINTACK_FLEET_RECORDS_H
#define WHINTACK_FLEET_RECORDS_H

#include "whintack/base/enumnames.h"
#include "whintack/base/identifier.h"
#include "whintack/base/time.h"

#include <cpprest/json.h>
#include <optional>
#include <string>
#include <vector>

/// Records of the fleet in the platform's store. The functions named xFromJson
/// return nothing if the object is not a valid record.
namespace whintack::fleet {

/// Phase of a VM in a disruption.
enum class VmPhase {
  InService,
  /// Gets no new work and finishes its current work.
  Draining,
  /// Ordered to reboot and not yet seen live again.
  Rebooting,
  /// Live again; its backend server is being probed.
  Verifying,
  /// Did not return in time; an operator must repair it.
  Quarantined,
};

inline constexpr EnumNames<VmPhase, 5> VmPhaseNames = {{
    {VmPhase::InService, "in-service"},
    {VmPhase::Draining, "draining"},
    {VmPhase::Rebooting, "rebooting"},
    {VmPhase::Verifying, "verifying"},
    {VmPhase::Quarantined, "quarantined"},
}};

/// One VM. Its pool is a field of its only record, so it cannot be in two
/// pools.
struct VmRecord {
  VmName Name;
  PoolName Pool;
  VmPhase Phase = VmPhase::InService;
  WallTime PhaseSince;
  WallTime MaintainedAt;
  /// The current disruption; identifies its tickets.
  OperationId Disruption;
  /// The pool to which the VM will move or is moving; empty if it stays.
  PoolName NextPool;
  /// The incarnation before the reboot.
  uint64_t IncarnationBefore = 0;
  /// Highest epoch of the pool's shard in which the record was written. A
  /// holder of an older epoch must not write it.
  uint64_t Epoch = 0;

  bool operator==(const VmRecord &) const = default;
};

/// The VMs of one rack, stored as one value.
struct RackRecord {
  RackName Rack;
  DataCentreName DataCentre;
  std::vector<VmRecord> Vms;

  /// The record of the VM, or null if it is not in the rack.
  VmRecord *find(const VmName &Name);
  const VmRecord *find(const VmName &Name) const;
};

/// Permission to disrupt one executor of a service.
struct Ticket {
  VmName Vm;
  OperationId Disruption;
  WallTime TakenAt;

  bool operator==(const Ticket &) const = default;
};

/// The tickets taken from the availability budget of one service.
struct BudgetRecord {
  ServiceName Service;
  std::vector<Ticket> Tickets;

  /// Whether \p Vm has a ticket.
  bool holds(const VmName &Vm) const;
};

/// State of a maintenance wave.
enum class WaveState { Running, Paused, Cancelled, Finished, Stopped };

inline constexpr EnumNames<WaveState, 5> WaveStateNames = {{
    {WaveState::Running, "running"},
    {WaveState::Paused, "paused"},
    {WaveState::Cancelled, "cancelled"},
    {WaveState::Finished, "finished"},
    {WaveState::Stopped, "stopped"},
}};

/// The last wave of one pool. A wave maintains each VM of the pool whose last
/// maintenance was before the start of the wave.
struct WaveRecord {
  PoolName Pool;
  OperationId Id;
  WaveState State = WaveState::Finished;
  OperatorName StartedBy;
  WallTime StartedAt;
  WallTime EndedAt;
  std::string Reason;
};

/// The entry VM that holds a shard and does its control work. The epoch
/// increases with every claim.
struct ShardRecord {
  uint64_t Epoch = 0;
  EntryName Holder;
  uint64_t Incarnation = 0;
};

/// Keys of the records in the platform's store.
std::string rackKey(const RackName &Rack);
std::string budgetKey(const ServiceName &Service);
std::string waveKey(const PoolName &Pool);
std::string shardKey(const std::string &Shard);
std::string holderKey(const std::string &Shard);
inline constexpr const char *RackPrefix = "whintack/vm/";
inline constexpr const char *BudgetPrefix = "whintack/budget/";
inline constexpr const char *WavePrefix = "whintack/wave/";
inline constexpr const char *HolderPrefix = "whintack/holder/";

/// Encodes a record as it is stored.
web::json::value toJson(const RackRecord &Record);
web::json::value toJson(const BudgetRecord &Record);
web::json::value toJson(const WaveRecord &Record);
web::json::value toJson(const ShardRecord &Record);

/// Decodes a stored record. Returns nothing if \p Object is not valid.
std::optional<RackRecord> rackFromJson(const web::json::value &Object);
std::optional<BudgetRecord> budgetFromJson(const web::json::value &Object);
std::optional<WaveRecord> waveFromJson(const web::json::value &Object);
std::optional<ShardRecord> shardFromJson(const web::json::value &Object);

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_RECORDS_H
