#ifndef WHINTACK_ENTRY_CLAIMMANAGER_H
#define WHINTACK_ENTRY_CLAIMMANAGER_H

#include "whintack/base/timerqueue.h"
#include "whintack/peers/message.h"
#include "whintack/routing/claimtable.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace whintack::entry::Internal {

/// Verdict on a key, with the recorded answer in encoded form if the verdict is
/// to replay it.
struct ClaimReply {
  routing::ClaimVerdict Verdict = routing::ClaimVerdict::NoOwnerAvailable;
  std::string Answer;
};

using ClaimDone = std::function<void(ClaimReply)>;

/// Functions that the claim manager needs from its owner.
struct ClaimHooks {
  std::function<bool(const EntryName &Peer, const peers::Message &Sent)>
      SendToPeer;
  std::function<bool(const EntryName &Peer)> IsUsable;
};

/// Claims the idempotency keys of non-idempotent requests. Each key has two
/// owners among the entry VMs of the data centre; this class asks the owners of
/// a key, and stores the claims of the keys that this entry VM owns.
/// Thread-safe.
class ClaimManager : public std::enable_shared_from_this<ClaimManager> {
public:
  /// \p Incarnation is the number of this process. \p Members are all entry VMs
  /// of the data centre, this one included.
  ClaimManager(EntryName Self, uint64_t Incarnation,
               std::vector<EntryName> Members, ClaimHooks Hooks, Clock Time,
               TimerQueue &Timers);

  /// Claims \p Key at its owners. \p Done is called once, at the latest when
  /// the time-out for the owners' answers has passed.
  void claim(const std::string &Key, const RequestId &Request,
             const std::string &Digest, ClaimDone Done);
  /// Tells the owners of \p Key how the request ended.
  void settle(const std::string &Key, const routing::Claim &Ended);
  /// Tells the owners of \p Key that the request was not run, which frees the
  /// key.
  void forget(const std::string &Key, const RequestId &Request);

  /// Handles a peer's message. Returns false if it does not concern claims.
  bool handleMessage(const EntryName &Peer, const peers::Message &Received);
  /// Requests the claims of the peers that have not sent them yet, until
  /// isSynchronized(). Must be called several times a second, because a longer
  /// gap counts as a pause of the process.
  void synchronize();
  /// Returns whether the claims of all peers have arrived or the time-out for
  /// them has passed. Until then this owner cannot say that a key is unclaimed.
  bool isSynchronized() const;
  /// Number of claims stored here.
  size_t size() const;

private:
  /// A call of claim() that waits for the answers of owners.
  struct PendingClaim {
    std::string Key;
    RequestId Request;
    std::string Digest;
    std::vector<routing::OwnerAnswer> Answers;
    size_t MissingAnswers = 0;
    ClaimDone Done;
  };

  void handleAnswer(const EntryName &Peer, const peers::ClaimAnswer &Answer);
  void expireCall(peers::CallId Id);
  void finish(const PendingClaim &Ended);
  void sendTable(const EntryName &Peer);
  /// Starts a new synchronization if this process was paused: in the meantime
  /// the other owners may have recorded claims that are missing here. The
  /// caller must hold the mutex.
  void detectPause(TimePoint Now);
  void restartSynchronization();
  routing::ClaimVerdict decideVerdict(const PendingClaim &Ended) const;

  EntryName Self;
  std::vector<EntryName> Members;
  ClaimHooks Hooks;
  Clock Time;
  TimerQueue &Timers;
  TimePoint SynchronizeDeadline;
  /// Time of the last call of synchronize().
  TimePoint LastSynchronize;
  mutable std::mutex Mutex;
  routing::ClaimTable Table;
  std::map<peers::CallId, PendingClaim> Calls;
  peers::CallId LastCall;
  /// Peers whose claims have not arrived yet.
  std::set<EntryName> UnsynchronizedPeers;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_CLAIMMANAGER_H
