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
  /// Bandwidth of the VM's link in Mbit/s; 0 if it is not known. Not set for a
  /// process of an earlier version, which gives no items to others.
  std::optional<double> Bandwidth = std::nullopt;
  /// The VM hands its shards over and takes no others.
  bool IsStopping = false;
  /// Store lease of the process on the VM.
  store::LeaseId Lease = 0;
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
  /// Whether the list holds this VM under its present lease, and those that
  /// registered at about the same time have been waited for.
  bool isSettled() const {
    return this->Lease->isValid() && this->hasSettled();
  }

  /// Reads the list anew, then calls \p Done with whether that succeeded.
  void refresh(std::function<void(bool IsRead)> Done);
  /// Calls \p Hook when a process that did not announce its stop is no longer
  /// listed.
  void onLost(std::function<void()> Hook) { this->OnLost = std::move(Hook); }
  /// Marks this VM as stopping in its later registrations.
  void announceStop() { this->Self.IsStopping = true; }
  /// The registration of this VM, to be written with another change; nothing if
  /// there is no lease.
  std::optional<store::StorePut> registration() const;

private:
  using MemberPage = store::StoreResult<store::StorePage>;

  /// Whether the list was settled under the present lease.
  bool hasSettled() const {
    return this->SettledLease != 0 && this->SettledLease == this->Lease->id();
  }
  void registerSelf();
  void readMembers();
  void scheduleRead(bool IsAnswered);
  void adopt(const MemberPage &Answer, TimePoint Sent);
  bool isOwnRegistration(const store::StoreItem &Item) const;
  /// Whether a known process is missing from \p Read although it did not
  /// announce its stop.
  bool hasLostProcess(const std::map<EntryName, Member> &Read) const;
  /// Settles the list if possible. Returns whether it did.
  bool settle(const std::map<EntryName, Member> &Read, TimePoint Sent);

  Context Shared;
  Member Self;
  std::shared_ptr<NodeLease> Lease;
  std::function<void()> OnChange;
  std::function<void()> OnLost;
  std::map<EntryName, Member> KnownMembers;
  /// Store revision up to which the members are known.
  uint64_t AsOf = 0;
  /// Lease under which the list has shown this VM.
  store::LeaseId ListedLease = 0;
  /// The list is settled by a read that is sent at or after this time.
  TimePoint SettledAfter = TimePoint::max();
  /// Latest time for SettledAfter.
  TimePoint SettledBy = TimePoint::max();
  store::LeaseId SettledLease = 0;
  std::optional<TimerId> NextRead;
  bool IsKnown = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_MEMBERSHIP_H
