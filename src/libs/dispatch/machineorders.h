#ifndef WHINTACK_DISPATCH_MACHINEORDERS_H
#define WHINTACK_DISPATCH_MACHINEORDERS_H

#include "claimphase.h"
#include "machineholders.h"

#include "whintack/jobs/taskkey.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace whintack::dispatch::Internal {

/// Callbacks of MachineOrders.
struct MachineOrdersHooks {
  /// Returns the latest time at which a store revision can have been written.
  std::function<TimePoint(uint64_t Revision)> WrittenBy;
  /// Whether the process is known to have ended.
  std::function<bool(const OrderingProcess &)> HasEnded;
  /// Another process holds the claim.
  std::function<void(const std::string &Cause)> OnLost;
  /// What may be done under the claim; null if it is always valid.
  std::function<ClaimPhase()> Phase;
};

/// Records in the store, under the claim, which machines are about to be
/// ordered before the orders are sent. A holder that has lost its claim cannot
/// write the record and therefore cannot send orders. For a while its successor
/// leaves alone the machines in the record, unless the process that ordered
/// them has ended. In the grace of the claim, orders are sent without a record;
/// a successor then orders nothing until the grace of its predecessors is over.
class MachineOrders : public std::enable_shared_from_this<MachineOrders> {
public:
  /// \p Claim holds the claim's key and revision.
  MachineOrders(Context Shared, OrderingProcess Self,
                store::ExpectedRevision Claim, MachineOrdersHooks Hooks,
                HolderGrace Grace = {});

  /// Reads the record of earlier holders; retries until that succeeds.
  void load();
  bool isLoaded() const { return this->IsLoaded; }
  /// Sends no more orders, and tells successors once the last one that was not
  /// recorded is old enough. That takes as long as this object exists.
  void stop();

  /// Whether an earlier holder may send orders that are not recorded.
  bool mustWait() const { return this->Holders.mustWait(); }
  /// Whether orders may be sent in the grace: successors know this holder.
  bool mayOrderInGrace() const {
    return this->IsHolderRecorded && !this->mustWait();
  }

  /// Whether an earlier holder's order prevents orders for the machine.
  bool isHeld(const jobs::MachineName &Machine) const;
  /// The machines that are held because an earlier holder has ordered them into
  /// maintenance for the wave.
  std::set<jobs::MachineName> heldFor(uint64_t Wave) const;
  /// Calls \p Send once the order is recorded; never if the claim is lost.
  /// Calls \p GiveUp instead if the order is not recorded by \p SendBy, because
  /// the conditions that made it safe may no longer hold. \p Wave is the wave
  /// that the machine is maintained for; not set if it is moved.
  void recordAndSend(const jobs::MachineName &Machine, TimePoint SendBy,
                     std::function<void()> Send, std::function<void()> GiveUp,
                     std::optional<uint64_t> Wave = {});

private:
  struct PendingOrder {
    jobs::MachineName Machine;
    TimePoint SendBy;
    std::function<void()> Send;
    std::function<void()> GiveUp;
    std::optional<uint64_t> Wave;
  };

  /// The last order for a machine, sent by this or an earlier holder.
  struct RecordedOrder {
    OrderingProcess OrderedBy;
    /// Time after which the order may be removed from the record.
    TimePoint KeptUntil;
    /// Store revision that recorded the order; 0 while that is unknown.
    uint64_t Revision = 0;
    /// Time until which the order prevents other holders from ordering the
    /// machine.
    TimePoint HeldUntil = TimePoint::min();
    /// The wave that the machine is maintained for.
    std::optional<uint64_t> Wave;
  };

  bool isInGrace() const {
    return this->Hooks.Phase && this->Hooks.Phase() == ClaimPhase::Grace;
  }
  void noteOrder(const PendingOrder &Given, TimePoint Now);
  void requestWrite();
  /// Sends the orders that wait, without a record.
  void sendUnrecorded();
  /// Records the orders sent in the grace once the claim is valid again.
  void recordLater();
  void readReleasesLater();
  void scheduleRelease(TimePoint At);
  void handleRecord(store::StoreResult<store::StorePage> Answer);
  void readRecord(const store::StoreItem &Item);
  void write();
  void dropOutdated();
  void handleWriteResult(const store::StoreResult<store::CommitAnswer> &Answer);

  Context Shared;
  OrderingProcess Self;
  store::ExpectedRevision Claim;
  MachineOrdersHooks Hooks;
  /// Revision of the record as far as it is known; 0 if there is none. A write
  /// that the store carries out late finds another one.
  uint64_t RecordRevision = 0;
  /// Time until which all machines are held if the record could not be read.
  TimePoint AllHeldUntil = TimePoint::min();
  std::map<jobs::MachineName, RecordedOrder> RecentOrders;
  std::vector<PendingOrder> PendingOrders;
  std::vector<PendingOrder> OrdersInWrite;
  MachineHolders Holders;
  /// When an order was last sent without a record.
  TimePoint LastUnrecorded = TimePoint::min();
  /// The record lacks what is known of holders or of orders sent in the grace.
  bool NeedsWrite = false;
  bool IsWriteOfNeeded = false;
  bool IsHolderRecorded = false;
  bool IsWriting = false;
  bool IsRecordScheduled = false;
  bool IsLoaded = false;
  bool IsWriteRequested = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_MACHINEORDERS_H
