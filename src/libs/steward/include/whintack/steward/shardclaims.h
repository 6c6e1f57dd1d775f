#ifndef WHINTACK_STEWARD_SHARDCLAIMS_H
#define WHINTACK_STEWARD_SHARDCLAIMS_H

#include "whintack/base/eventjournal.h"
#include "whintack/fleet/records.h"
#include "whintack/store/recordclient.h"

#include <functional>
#include <map>
#include <set>

namespace whintack::steward {

/// The shards of the control work that this process holds. One lease in the
/// platform's store carries them all; each claim has an epoch of its own that
/// only rises. Used by one thread.
class ShardClaims {
public:
  /// \p Candidates returns the entry VMs that work at present, this one
  /// included; each shard goes to the one with the highest weight among them.
  using Candidates = std::function<std::vector<EntryName>()>;

  ShardClaims(EntryName Self, uint64_t Incarnation,
              store::RecordClient &Records, Candidates Working, Clock Time,
              Random Source, EventJournal &Journal);

  /// Keeps the lease alive, claims shards of \p Wanted that fall to this
  /// process and gives up those that do not.
  void pass(const std::vector<std::string> &Wanted);
  /// Gives all shards up, for a graceful stop.
  void releaseAll();

  /// The epoch under which \p Shard is held at this moment; 0 if it is not.
  uint64_t epoch(const std::string &Shard) const;
  std::vector<std::string> held() const;

private:
  struct Held {
    uint64_t Epoch = 0;
    uint64_t HolderVersion = 0;
  };

  bool keepLease();
  void loseAll(const std::string &Reason);
  void claim(const std::string &Shard);
  void release(const std::string &Shard);
  bool isPreferred(const std::string &Shard,
                   const std::vector<EntryName> &Working) const;
  void note(EventKind Kind, const std::string &Shard, const std::string &Text);

  EntryName Self;
  uint64_t Incarnation;
  store::RecordClient &Records;
  Candidates Working;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  store::LeaseId Lease = 0;
  TimePoint LeaseUntil = TimePoint::min();
  TimePoint NextKeepAlive = TimePoint::min();
  TimePoint NextLook = TimePoint::min();
  std::map<std::string, Held> Shards;
};

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_SHARDCLAIMS_H
