#ifndef WHINTACK_DISPATCH_SHARDASSIGNMENT_H
#define WHINTACK_DISPATCH_SHARDASSIGNMENT_H

#include "shardid.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace whintack::dispatch::Internal {

/// An entry VM that may hold shards.
struct ShardCandidate {
  EntryName Name;
  /// Share of a processor core that the VM may use.
  double ProcessorShare = 1;
};

/// Which VMs there are, and which of them hold which shards.
struct ShardLayout {
  std::vector<ShardCandidate> Candidates;
  /// The weight of each shard that must have a holder. VMs agree on an
  /// assignment only if they use the same weights.
  std::map<ShardId, double> Weights;
  /// The holders of the shards that have one.
  std::map<ShardId, EntryName> Holders;
};

/// The candidates for each shard without a holder, the preferred one first.
using ShardRanking = std::map<ShardId, std::vector<EntryName>>;

/// Ranks the candidates for the shards without a holder. The shards are
/// assigned jointly, the heaviest first, each to the VM that has the lowest
/// load per processor share after taking it. The result depends on nothing but
/// \p Layout.
ShardRanking rankCandidates(const ShardLayout &Layout);

/// A shard that should pass from its holder to another VM.
struct ShardMove {
  ShardId Shard;
  EntryName To;

  bool operator==(const ShardMove &) const = default;
};

/// Finds a shard of \p From for which another VM is preferred and which \p
/// IsMovable. The load per processor share of \p From must be far above the one
/// that the other VM has afterwards, so that no shard moves back and forth.
/// Finds nothing while a shard has no holder.
std::optional<ShardMove>
findShardMove(const ShardLayout &Layout, const EntryName &From,
              const std::function<bool(const ShardId &Shard)> &IsMovable);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SHARDASSIGNMENT_H
