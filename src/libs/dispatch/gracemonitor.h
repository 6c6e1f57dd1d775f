#ifndef WHINTACK_DISPATCH_GRACEMONITOR_H
#define WHINTACK_DISPATCH_GRACEMONITOR_H

#include "nodelease.h"
#include "shardid.h"

#include <set>
#include <string>

namespace whintack::dispatch::Internal {

/// Logs for each shard when its holder begins and ends to go on while the store
/// does not answer.
class GraceMonitor : public std::enable_shared_from_this<GraceMonitor> {
public:
  /// \p HeldShards returns the shards that this process holds.
  GraceMonitor(Context Shared, std::shared_ptr<NodeLease> Lease,
               std::function<std::set<ShardId>()> HeldShards);

  /// Checks periodically from now on.
  void start();
  /// The shard is no longer held.
  void noteDropped(const ShardId &Shard, const std::string &Cause);

private:
  void check();
  void beginGrace();
  void endGrace(const std::string &Cause);

  Context Shared;
  std::shared_ptr<NodeLease> Lease;
  std::function<std::set<ShardId>()> HeldShards;
  /// Shards whose begin of the grace has been logged, and not its end.
  std::set<ShardId> InGrace;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_GRACEMONITOR_H
