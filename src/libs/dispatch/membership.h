#ifndef WHINTACK_DISPATCH_MEMBERSHIP_H
#define WHINTACK_DISPATCH_MEMBERSHIP_H

#include "nodelease.h"

#include "whintack/peers/peernetwork.h"

#include <map>

namespace whintack::dispatch::Internal {

/// An entry VM that belongs to the fleet.
struct Member {
  peers::PeerEndpoint Endpoint;
  /// Share of a processor core that the VM may use.
  double ProcessorShare = 1;
};

/// The entry VMs that are alive: each registers itself in the store under its
/// own lease.
class Membership : public std::enable_shared_from_this<Membership> {
public:
  Membership(Context Shared, Member Self, std::shared_ptr<NodeLease> Lease,
             std::function<void()> OnChange);

  void start();
  void stop() { this->IsStopped = true; }

  /// All members except this one.
  std::vector<peers::PeerEndpoint> others() const;
  /// All members including this one.
  std::vector<Member> all() const;
  /// Whether the list has been read at least once.
  bool isKnown() const { return this->IsKnown; }

private:
  void registerSelf();
  void readMembers();
  void handleMembers(store::StoreResult<store::StorePage> Answer);

  Context Shared;
  Member Self;
  std::shared_ptr<NodeLease> Lease;
  std::function<void()> OnChange;
  std::map<EntryName, Member> KnownMembers;
  bool IsKnown = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_MEMBERSHIP_H
