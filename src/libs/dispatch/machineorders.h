#ifndef WHINTACK_DISPATCH_MACHINEORDERS_H
#define WHINTACK_DISPATCH_MACHINEORDERS_H

#include "context.h"

#include "whintack/jobs/taskkey.h"

#include <map>
#include <set>
#include <vector>

namespace whintack::dispatch::Internal {

/// A process that orders machines: the same VM's next process is another.
struct OrderingProcess {
  EntryName Vm;
  uint64_t Incarnation = 0;

  bool operator==(const OrderingProcess &) const = default;
};

/// What the record of orders needs of its process.
struct MachineOrdersHooks {
  /// Tells when a revision of the store had been written at the latest.
  std::function<TimePoint(uint64_t Revision)> WrittenBy;
  /// Whether the process is known to have ended.
  std::function<bool(const OrderingProcess &)> HasEnded;
  /// Another process holds the claim.
  std::function<void(const std::string &Cause)> OnLost;
};

/// Writes down under the claim which machines are about to be ordered, before
/// the orders go out. A holder whose claim is gone cannot write and so cannot
/// order. Its successor leaves alone for a while those machines that were
/// ordered last, unless the process that ordered them has ended.
class MachineOrders : public std::enable_shared_from_this<MachineOrders> {
public:
  /// \p Claim names the claim's key and revision.
  MachineOrders(Context Shared, OrderingProcess Self,
                store::ExpectedRevision Claim, MachineOrdersHooks Hooks);

  /// Reads what an earlier holder wrote; tries again until it succeeds.
  void load();
  bool isLoaded() const { return this->IsLoaded; }
  void stop() { this->IsStopped = true; }

  /// Whether an earlier holder's orders keep the machine from being ordered.
  bool isHeld(const jobs::MachineName &Machine) const;
  /// Calls \p Send once it is written that the machine is ordered; never if
  /// the claim is lost. Calls \p GiveUp instead if that is not written by
  /// \p SendBy: what made the order safe may not hold any more.
  void announce(const jobs::MachineName &Machine, TimePoint SendBy,
                std::function<void()> Send, std::function<void()> GiveUp);

private:
  struct Announced {
    jobs::MachineName Machine;
    TimePoint SendBy;
    std::function<void()> Send;
    std::function<void()> GiveUp;
  };

  /// The last order to a machine, of this or an earlier holder.
  struct Noted {
    OrderingProcess By;
    /// When it may be left out of the record.
    TimePoint KeptUntil;
    /// The store's revision that wrote it down; 0 while that is not known.
    uint64_t Revision = 0;
    /// Until when it keeps others from ordering the machine.
    TimePoint HeldUntil = TimePoint::min();
  };

  void takeRecord(store::StoreResult<store::StorePage> Answer);
  void readRecord(const store::StoreItem &Item);
  void write();
  void dropOutdated();
  void takeWritten(const store::StoreResult<store::CommitAnswer> &Answer);

  Context Shared;
  OrderingProcess Self;
  store::ExpectedRevision Claim;
  MachineOrdersHooks Hooks;
  /// All machines are held until then, if the record could not be read.
  TimePoint AllHeldUntil = TimePoint::min();
  std::map<jobs::MachineName, Noted> Recent;
  std::vector<Announced> Waiting;
  std::vector<Announced> Writing;
  bool IsLoaded = false;
  bool IsWriteRequested = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_MACHINEORDERS_H
