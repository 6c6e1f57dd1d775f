#ifndef WHINTACK_DISPATCH_MEMBERSHIP_H
#define WHINTACK_DISPATCH_MEMBERSHIP_H

#include "nodelease.h"

#include "whintack/peers/peernetwork.h"

#include <map>

namespace whintack::dispatch::Internal {

/// An entry VM that is part of the fleet.
struct Member {
  peers::PeerEndpoint Endpoint;
  /// Share of a processor core that it may use.
  double Strength = 1;
};

/// The entry VMs that live, as they registered themselves under their leases.
class Membership : public std::enable_shared_from_this<Membership> {
public:
  Membership(Context Shared, Member Self, std::shared_ptr<NodeLease> Lease,
             std::function<void()> OnChange);

  void start();
  void stop() { this->IsStopped = true; }

  /// All other members.
  std::vector<peers::PeerEndpoint> others() const;
  /// All members, this one included.
  std::vector<Member> all() const;
  /// Whether the list has been read.
  bool isKnown() const { return this->IsKnown; }

private:
  void enroll();
  void look();
  void take(store::StoreResult<store::StorePage> Answer);

  Context Shared;
  Member Self;
  std::shared_ptr<NodeLease> Lease;
  std::function<void()> OnChange;
  std::map<EntryName, Member> Known;
  bool IsKnown = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_MEMBERSHIP_H
