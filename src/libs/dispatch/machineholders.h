#ifndef WHINTACK_DISPATCH_MACHINEHOLDERS_H
#define WHINTACK_DISPATCH_MACHINEHOLDERS_H

#include "context.h"

#include <cpprest/json.h>

#include <map>
#include <vector>

namespace whintack::dispatch::Internal {

/// A process that sends orders for machines. A later process on the same VM
/// counts as a different one.
struct OrderingProcess {
  EntryName Vm;
  uint64_t Incarnation = 0;

  bool operator==(const OrderingProcess &) const = default;
};

/// A process under its claim on the machines.
struct MachineHolder {
  OrderingProcess Process;
  uint64_t Token = 0;
};

/// Time between the last order of a holder and the first one of another. The
/// platform rejects orders of different holders within 3 s of each other; the
/// rest is for an order that is still under way.
inline constexpr Duration MinHolderInterval = std::chrono::milliseconds(3300);

/// How holders of the claim on the machines go on while the store does not
/// answer. Without a grace, they neither do so nor wait for each other.
struct HolderGrace {
  Duration Grace = Duration::zero();
  /// Length of the lease of a claim.
  Duration LeaseLength = Duration::zero();
  TimePoint ClaimedAt = TimePoint::min();
};

/// Keeps track of the holders of the claim on the machines that may still send
/// orders which are not recorded. Their rows are part of the record of orders.
class MachineHolders {
public:
  MachineHolders(Context Shared, MachineHolder Self, HolderGrace Setup,
                 std::function<bool(const OrderingProcess &)> HasEnded);

  /// Whether holders have a grace.
  bool isEnabled() const { return this->Setup.Grace > Duration::zero(); }
  /// Whether the row of the record describes a holder, and not an order.
  static bool isHolderRow(const web::json::value &Row);
  void readRow(const web::json::value &Row);
  /// Reads from the item that a holder has released the claim. Other items have
  /// no effect.
  void readRelease(const store::StoreItem &Item);
  /// The record could not be read, so any process may be a holder.
  void assumeUnknownHolder() { this->IsHolderUnknown = true; }
  /// Whether an earlier holder may still send orders.
  bool mustWait() const;
  /// The rows of this holder and of those that it has to wait for.
  std::vector<web::json::value> rows() const;
  /// The change that tells successors that this holder sends no more orders.
  store::StoreTransaction release() const;

private:
  bool mayOrder(const MachineHolder &Earlier) const;

  Context Shared;
  MachineHolder Self;
  HolderGrace Setup;
  std::function<bool(const OrderingProcess &)> HasEnded;
  std::vector<MachineHolder> EarlierHolders;
  /// What each VM has released last.
  std::map<EntryName, MachineHolder> Releases;
  bool IsHolderUnknown = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_MACHINEHOLDERS_H
