#ifndef WHINTACK_DISPATCH_CLAIMSEEKER_H
#define WHINTACK_DISPATCH_CLAIMSEEKER_H

#include "claimboard.h"
#include "membership.h"
#include "nodelease.h"

#include <set>
#include <vector>

namespace whintack::dispatch::Internal {

/// A shard that this process has claimed.
struct WonClaim {
  std::string Shard;
  uint64_t Token = 0;
  /// How often the shard has been claimed, this time included.
  uint64_t Generation = 1;
};

/// Claims shards that nobody holds. The members agree on who should go first,
/// by who holds least and a hash; the others follow after a pause, so that
/// shards spread and none stays free.
class ClaimSeeker : public std::enable_shared_from_this<ClaimSeeker> {
public:
  ClaimSeeker(Context Shared, EntryName Self, std::shared_ptr<ClaimBoard> Board,
              std::shared_ptr<NodeLease> Lease,
              std::function<std::vector<Member>()> Members,
              std::function<void(const WonClaim &)> OnWon);

  /// Shards that should be held by somebody.
  void setShards(std::set<std::string> Wanted);
  /// Tries to claim what is free.
  void seek();
  void stop() { this->IsStopped = true; }
  /// Whether a claim of the shard is being tried or waited for.
  bool isPending(const std::string &Shard) const {
    return this->Pending.contains(Shard);
  }

private:
  bool isFirst(const std::string &Shard) const;
  void attempt(const std::string &Shard);
  void takeGeneration(const std::string &Shard,
                      store::StoreResult<store::StorePage> Answer);
  void takeCommit(const std::string &Shard, const std::string &Attempt,
                  uint64_t Generation,
                  store::StoreResult<store::CommitAnswer> Answer);
  void won(const std::string &Shard, uint64_t Token, uint64_t Generation);
  void giveUp(const std::string &Shard, const std::string &Cause);

  Context Shared;
  EntryName Self;
  std::shared_ptr<ClaimBoard> Board;
  std::shared_ptr<NodeLease> Lease;
  std::function<std::vector<Member>()> Members;
  std::function<void(const WonClaim &)> OnWon;
  std::set<std::string> Wanted;
  /// Shards that are being claimed or waited for.
  std::set<std::string> Pending;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_CLAIMSEEKER_H
