#ifndef WHINTACK_DISPATCH_STORERELAY_H
#define WHINTACK_DISPATCH_STORERELAY_H

#include "context.h"

#include "whintack/peers/message.h"

#include <unordered_map>

namespace whintack::dispatch::Internal {

/// How the relay reaches the other entry VMs.
struct StoreRelayHooks {
  /// Sends to a peer; false if there is no link.
  std::function<bool(const EntryName &, const peers::Message &)> Send;
  /// The peers to which messages go through at present.
  std::function<std::vector<EntryName>()> UsablePeers;
};

/// Makes the calls to the platform's store: its own way as long as that works,
/// else through a peer, because the store may turn away some VMs and serve the
/// others. A call that may have been carried out is repeated through a peer
/// only if repeating it is harmless. While peers are turned away as well, the
/// store counts as away and no peer is asked.
class StoreRelay : public std::enable_shared_from_this<StoreRelay> {
public:
  /// \p Shared holds the store as this VM itself reaches it.
  StoreRelay(Context Shared, StoreRelayHooks Hooks);

  /// The store for all other parts; called on the loop's thread.
  store::AsyncStore store();

  /// Takes a message from a peer.
  void take(const EntryName &From, const peers::StoreRequest &Asked);
  void take(const EntryName &From, const peers::StoreResponse &Answer);

private:
  using Reply = store::StoreResult<store::StoreReply>;

  /// A call that has not ended.
  struct Pending {
    store::StoreCall Asked;
    store::StoreCallback<store::StoreReply> Done;
    bool IsDirectTried = false;
    /// Whether the own way has not answered yet.
    bool IsDirectOpen = false;
    /// The peer that is being asked.
    EntryName Peer;
    unsigned PeersTried = 0;
    /// The last failure, for the case that nothing else comes.
    store::StoreError Failure;
  };

  void call(store::StoreCall Asked,
            store::StoreCallback<store::StoreReply> Done);
  void callDirectly(peers::CallId Id);
  void takeDirect(peers::CallId Id, Reply Answer);
  /// Asks the next peer; false if none is left to ask.
  bool callPeer(peers::CallId Id);
  void takeFromPeer(peers::CallId Id, Reply Answer);
  void finish(peers::CallId Id, Reply Answer);
  void setTurnedAway(const store::StoreError &Cause);
  bool mayAskPeers() const;

  Context Shared;
  StoreRelayHooks Hooks;
  peers::CallId LastId = 0;
  std::unordered_map<peers::CallId, Pending> Open;
  /// The own way is not tried before.
  TimePoint DirectBarredUntil = TimePoint::min();
  /// No peer is asked before.
  TimePoint PeersBarredUntil = TimePoint::min();
  bool IsTurnedAway = false;
  /// The peer that answered last.
  EntryName Preferred;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_STORERELAY_H
