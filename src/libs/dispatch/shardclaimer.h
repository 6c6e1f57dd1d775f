#ifndef WHINTACK_DISPATCH_SHARDCLAIMER_H
#define WHINTACK_DISPATCH_SHARDCLAIMER_H

#include "claimtracker.h"
#include "membership.h"
#include "nodelease.h"
#include "shardassignment.h"

#include <map>
#include <set>

namespace whintack::dispatch::Internal {

/// A claim that this process holds.
struct HeldClaim {
  ShardId Shard;
  uint64_t Token = 0;
  /// Number of times that the shard has been claimed, including this one.
  uint64_t Generation = 1;
  TimePoint ClaimedAt = TimePoint::min();
};

/// Claims shards that have no holder, once the list of members is settled. All
/// members compute the same preferred member for each shard; the others follow
/// after a delay. This spreads the shards and leaves none without a holder.
class ShardClaimer : public std::enable_shared_from_this<ShardClaimer> {
public:
  ShardClaimer(Context Shared, EntryName Self,
               std::shared_ptr<ClaimTracker> Tracker,
               std::shared_ptr<NodeLease> Lease,
               std::shared_ptr<Membership> Members,
               std::function<void(const HeldClaim &)> OnClaimed);

  /// Sets the shards that must have a holder.
  void setShards(std::set<ShardId> RequiredShards);
  /// The members, and which of them hold which of the shards.
  ShardLayout layout() const;
  /// Leaves the shard to the other members until \p Until: claims it only if
  /// it stays without a holder.
  void holdOff(const ShardId &Shard, TimePoint Until) {
    this->HeldOffUntil[Shard] = Until;
  }
  /// Tries to claim all shards that have no holder.
  void claimShards();
  void stop() { this->IsStopped = true; }
  /// Whether an attempt to claim the shard is running or scheduled.
  bool isPending(const ShardId &Shard) const {
    return this->Pending.contains(Shard);
  }

private:
  void claimVacant(const std::set<ShardId> &Vacant);
  bool isHeldOff(const ShardId &Shard) const;
  void tryClaimAt(const ShardId &Shard, TimePoint When);
  void tryClaim(const ShardId &Shard);
  void handleGeneration(const ShardId &Shard,
                        store::StoreResult<store::StorePage> Answer);
  void handleCommit(const ShardId &Shard, const std::string &Attempt,
                    uint64_t Generation,
                    store::StoreResult<store::CommitAnswer> Answer);
  void reportClaimed(const ShardId &Shard, uint64_t Token, uint64_t Generation);
  void retryLater(const ShardId &Shard, const std::string &Cause);

  Context Shared;
  EntryName Self;
  std::shared_ptr<ClaimTracker> Tracker;
  std::shared_ptr<NodeLease> Lease;
  std::shared_ptr<Membership> Members;
  std::function<void(const HeldClaim &)> OnClaimed;
  std::set<ShardId> RequiredShards;
  /// Shards for which an attempt is running or scheduled.
  std::set<ShardId> Pending;
  std::map<ShardId, TimePoint> HeldOffUntil;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SHARDCLAIMER_H
