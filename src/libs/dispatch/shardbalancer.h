#ifndef WHINTACK_DISPATCH_SHARDBALANCER_H
#define WHINTACK_DISPATCH_SHARDBALANCER_H

#include "shardclaimer.h"

namespace whintack::dispatch::Internal {

/// What ShardBalancer needs from its process.
struct ShardBalancerHooks {
  /// The shards that this process holds, apart from those that cannot be handed
  /// over at present.
  std::function<std::vector<HeldClaim>()> Movable;
  /// Whether there is a usable link to the VM.
  std::function<bool(const EntryName &)> IsLinked;
  /// Hands the shard over to whichever member claims it.
  std::function<void(const ShardId &Shard)> HandOver;
};

/// Finds shards of this VM that another VM should plan, and hands them over one
/// at a time. The members then claim them by the same ranking by which they
/// were found.
class ShardBalancer : public std::enable_shared_from_this<ShardBalancer> {
public:
  ShardBalancer(Context Shared, EntryName Self,
                std::shared_ptr<ShardClaimer> Claimer,
                std::shared_ptr<Membership> Members,
                std::shared_ptr<NodeLease> Lease, ShardBalancerHooks Hooks);

  /// Hands a shard over if one should move. To be called periodically.
  void check();

private:
  std::optional<ShardMove> findMove() const;
  bool isMovable(const ShardId &Shard) const;
  void confirm(const ShardMove &Move);

  Context Shared;
  EntryName Self;
  std::shared_ptr<ShardClaimer> Claimer;
  std::shared_ptr<Membership> Members;
  std::shared_ptr<NodeLease> Lease;
  ShardBalancerHooks Hooks;
  /// The move that the last check found.
  std::optional<ShardMove> Candidate;
  /// Time at which the candidate is carried out if it is still found.
  TimePoint MoveAt = TimePoint::max();
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SHARDBALANCER_H
