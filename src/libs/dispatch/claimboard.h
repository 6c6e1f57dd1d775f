#ifndef WHINTACK_DISPATCH_CLAIMBOARD_H
#define WHINTACK_DISPATCH_CLAIMBOARD_H

#include "prefixwatch.h"
#include "revisionclock.h"

#include "whintack/base/identifier.h"

#include <optional>

namespace whintack::dispatch::Internal {

/// Who holds a shard.
struct Claim {
  EntryName Holder;
  /// Revision of the claim's key; the holder's fencing token.
  uint64_t Token = 0;
  /// Tells this attempt to claim from all others.
  std::string Attempt;
};

std::string encodeClaim(const Claim &Written);
/// Reads a claim from its item; nothing if it cannot be read.
std::optional<Claim> decodeClaim(const store::StoreItem &Item);

/// Knows who holds which shard, from a watch on the claims.
class ClaimBoard : public std::enable_shared_from_this<ClaimBoard> {
public:
  ClaimBoard(Context Shared, std::function<void()> OnChange);

  void start();
  void stop();
  bool isKnown() const { return this->IsKnown; }
  std::optional<Claim> holder(const std::string &Shard) const;
  const std::map<std::string, Claim> &holders() const { return this->Holders; }
  /// The store's revision up to which the claims are known.
  uint64_t asOf() const { return this->Watch ? this->Watch->asOf() : 0; }
  /// When the store named which revision.
  const RevisionClock &revisions() const { return this->Revisions; }
  /// Shards that \p Node holds.
  size_t shardsOf(const EntryName &Node) const;

private:
  Context Shared;
  std::function<void()> OnChange;
  std::shared_ptr<PrefixWatch> Watch;
  std::map<std::string, Claim> Holders;
  RevisionClock Revisions;
  bool IsKnown = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_CLAIMBOARD_H
