#ifndef WHINTACK_DISPATCH_STORERELAY_H
#define WHINTACK_DISPATCH_STORERELAY_H

#include "context.h"

#include "whintack/base/loglimiter.h"
#include "whintack/peers/message.h"

#include <unordered_map>

namespace whintack::dispatch::Internal {

/// How the relay reaches the other entry VMs.
struct StoreRelayHooks {
  /// Sends a message; returns false if there is no link to the peer.
  std::function<bool(const EntryName &, const peers::Message &)> Send;
  /// Returns the peers to which messages currently get through.
  std::function<std::vector<EntryName>()> UsablePeers;
  /// Whether the answer to a call may fill a slow link, and its content can
  /// also be had in another way. Such a call is sent to the store only, and
  /// never twice at a time. Null if there are no such calls.
  std::function<bool(const store::StoreCall &)> IsBulk;
};

/// Sends calls to the platform's store: directly while that works, otherwise
/// through a peer, because the store may reject some VMs and serve others. A
/// call that may have been carried out is repeated through a peer only if
/// repeating it is harmless. While the peers cannot reach the store either, the
/// store is considered down and no peer is asked.
class StoreRelay : public std::enable_shared_from_this<StoreRelay> {
public:
  /// \p Shared holds the store as this VM reaches it directly. \p Incarnation
  /// is the random number of this process.
  StoreRelay(Context Shared, uint64_t Incarnation, StoreRelayHooks Hooks);

  /// The store interface for all other parts; must be called on the loop's
  /// thread.
  store::AsyncStore store();

  /// Handle messages from a peer.
  void handle(const EntryName &From, const peers::StoreRequest &Request);
  void handle(const EntryName &From, const peers::StoreResponse &Answer);

private:
  using Reply = store::StoreResult<store::StoreReply>;

  /// One copy of a call.
  struct Attempt {
    /// The peer that was asked; empty if the call went directly.
    EntryName Peer;
    /// How the copy ended; empty until that is known.
    std::string_view Outcome;
  };

  /// A call that has not ended.
  struct PendingCall {
    store::StoreCall Call;
    store::StoreCallback<store::StoreReply> Done;
    TimePoint Opened;
    /// See StoreRelayHooks::IsBulk.
    bool IsBulk = false;
    bool IsDirectTried = false;
    /// Direct calls that have not been answered yet.
    unsigned OpenDirectCalls = 0;
    /// The peer that is being asked; empty if there is none.
    EntryName Peer;
    unsigned PeersTried = 0;
    /// One of the attempts may have been carried out, or may be later.
    bool IsOutcomeUnknown = false;
    /// The last failure, returned if no other answer arrives.
    store::StoreError Failure;
    std::vector<Attempt> Attempts;

    /// Notes how the open copy ended that was sent to \p To, directly if that
    /// is empty.
    void noteOutcome(const EntryName &To, const Reply &Answer);
    store::StorePath path() const;
    bool isDirectOpen() const { return this->OpenDirectCalls > 0; }
    void noteFailure(const store::StoreError &Cause) {
      this->Failure = Cause;
      if (Cause.Code == store::StoreErrorCode::Ambiguous)
        this->IsOutcomeUnknown = true;
    }
  };

  /// What a call is about, for its answer.
  struct CallSubject {
    store::StoreCallKind Kind = store::StoreCallKind::Range;
    /// For a commit, the first key that it writes.
    std::string Prefix;
  };

  void call(store::StoreCall Call,
            store::StoreCallback<store::StoreReply> Done);
  void callDirectly(peers::CallId Id);
  void hedge(peers::CallId Id);
  /// A repeated watch only looks for changes, because its bound is near.
  void shortenOverdueWatch(store::StoreCall &Call) const;
  void handleDirectReply(peers::CallId Id, const CallSubject &Subject,
                         Reply Answer);
  /// Sends the call to the next peer; returns false if there is none left.
  bool callPeer(peers::CallId Id);
  void handlePeerReply(peers::CallId Id, Reply Answer);
  void finish(peers::CallId Id, Reply Answer);
  /// Logs a call whose answer took long or was large.
  void logSlowCall(const PendingCall &Ended, const Reply &Answer) const;
  /// Logs a commit that failed or of which more than one copy was sent.
  void logAttempts(peers::CallId Id, const PendingCall &Ended,
                   const Reply &Answer);
  /// Logs an answer that nobody waits for, if it says that a commit was carried
  /// out. \p Peer is empty if the answer came directly, and \p Key if it is not
  /// known what was written.
  void logLateCommit(peers::CallId Id, const EntryName &Peer,
                     const std::string &Key, const Reply &Answer);
  void noteDirectFailure(const store::StoreError &Cause);
  bool canAskPeers() const;
  bool isBulk(const store::StoreCall &Call) const {
    return this->Hooks.IsBulk && this->Hooks.IsBulk(Call);
  }

  Context Shared;
  StoreRelayHooks Hooks;
  peers::CallId LastId;
  std::unordered_map<peers::CallId, PendingCall> OpenCalls;
  /// The direct path is not used before this time unless no peer can be asked.
  TimePoint DirectBlockedUntil = TimePoint::min();
  /// No peer is asked before this time.
  TimePoint PeersBlockedUntil = TimePoint::min();
  bool IsDirectDown = false;
  /// The peer that answered last.
  EntryName PreferredPeer;
  LogLimiter AttemptLines;
  LogLimiter LateCommitLines;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_STORERELAY_H
