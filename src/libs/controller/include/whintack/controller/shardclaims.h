#ifndef WHINTACK_CONTROLLER_SHARDCLAIMS_H
#define WHINTACK_CONTROLLER_SHARDCLAIMS_H

#include "whintack/base/eventjournal.h"
#include "whintack/fleet/records.h"
#include "whintack/store/recordclient.h"

#include <functional>
#include <map>
#include <set>

namespace whintack::controller {

/// Claims shards of the control work for this process. One lease in the
/// platform's store covers all holder records; each shard has its own epoch,
/// which rises with every claim. Must be used by one thread only.
class ShardClaims {
public:
  /// Returns the entry VMs that currently work, this one included. Each shard
  /// goes to the one with the highest rendezvous weight.
  using CandidateSource = std::function<std::vector<EntryName>()>;

  ShardClaims(EntryName Self, uint64_t Incarnation,
              store::RecordClient &Records, CandidateSource ListCandidates,
              Clock Time, Random Source, EventJournal &Journal);

  /// Renews the lease, claims the shards of \p Wanted that this process is
  /// preferred for, and releases the others.
  void pass(const std::vector<std::string> &Wanted);
  /// Releases all shards and revokes the lease, for a graceful stop.
  void releaseAll();

  /// Returns the epoch under which \p Shard is currently held; 0 if it is not
  /// held.
  uint64_t epoch(const std::string &Shard) const;
  /// Returns the names of all shards that are currently held.
  std::vector<std::string> held() const;

private:
  struct HeldShard {
    uint64_t Epoch = 0;
    uint64_t HolderVersion = 0;
  };

  /// Obtains or renews the lease. Returns whether it is held.
  bool ensureLease();
  void dropAllShards(const std::string &Reason);
  void claim(const std::string &Shard);
  void release(const std::string &Shard);
  bool isPreferred(const std::string &Shard,
                   const std::vector<EntryName> &Candidates) const;
  void recordEvent(EventKind Kind, const std::string &Shard,
                   const std::string &Text);

  EntryName Self;
  uint64_t Incarnation;
  store::RecordClient &Records;
  CandidateSource ListCandidates;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  store::LeaseId Lease = 0;
  TimePoint LeaseExpiry = TimePoint::min();
  TimePoint NextKeepAlive = TimePoint::min();
  TimePoint NextClaimCheck = TimePoint::min();
  std::map<std::string, HeldShard> Shards;
};

} // namespace whintack::controller

#endif // WHINTACK_CONTROLLER_SHARDCLAIMS_H
