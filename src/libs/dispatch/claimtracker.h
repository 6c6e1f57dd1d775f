#ifndef WHINTACK_DISPATCH_CLAIMTRACKER_H
#define WHINTACK_DISPATCH_CLAIMTRACKER_H

#include "prefixwatch.h"
#include "revisionclock.h"
#include "shardid.h"

#include "whintack/base/identifier.h"

#include <optional>

namespace whintack::dispatch::Internal {

/// The claim on a shard, as stored.
struct Claim {
  EntryName Holder;
  /// Revision of the claim's key, which is the holder's fencing token.
  uint64_t Token = 0;
  /// Distinguishes this attempt to claim the shard from all others.
  std::string Attempt;
};

/// Encodes a claim as JSON. The token is not part of the text.
std::string encodeClaim(const Claim &Written);
/// Decodes a claim; logs an error and returns nothing if that fails.
std::optional<Claim> decodeClaim(const store::StoreItem &Item);

/// Tracks the holder of each shard by a watch on the claims in the store.
class ClaimTracker : public std::enable_shared_from_this<ClaimTracker> {
public:
  ClaimTracker(Context Shared, std::function<void()> OnChange);

  void start();
  void stop();
  bool isKnown() const { return this->IsKnown; }
  /// The claim on the shard; nothing if it has no holder.
  std::optional<Claim> holder(const ShardId &Shard) const;
  const std::map<ShardId, Claim> &holders() const { return this->Holders; }
  /// Store revision up to which the claims are known.
  uint64_t asOf() const { return this->Watch ? this->Watch->asOf() : 0; }
  /// Maps store revisions to times of this process's clock.
  const RevisionClock &revisions() const { return this->Revisions; }
  /// Number of shards that \p Node holds.
  size_t shardCount(const EntryName &Node) const;

private:
  Context Shared;
  std::function<void()> OnChange;
  std::shared_ptr<PrefixWatch> Watch;
  std::map<ShardId, Claim> Holders;
  RevisionClock Revisions;
  bool IsKnown = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_CLAIMTRACKER_H
