#ifndef WHINTACK_ENTRY_DRAINTRACKER_H
#define WHINTACK_ENTRY_DRAINTRACKER_H

#include "whintack/entry/forwarder.h"
#include "whintack/peers/message.h"

#include <functional>
#include <map>
#include <mutex>

namespace whintack::entry::Internal {

/// Functions that the drain tracker needs from its owner.
struct DrainTrackerHooks {
  std::function<void(const EntryName &Peer, const peers::Message &Sent)>
      SendToPeer;
  std::function<bool(const EntryName &Peer)> IsUsable;
};

/// Counts the requests that still run on a VM that is draining, over all entry
/// VMs. The query also tells the entry VMs that the VM is leaving, so that they
/// send no new requests to it. Thread-safe.
class DrainTracker {
public:
  /// \p Incarnation is the number of this process.
  DrainTracker(uint64_t Incarnation, std::vector<EntryName> Peers,
               DrainTrackerHooks Hooks, Forwarder &Forwarding, Clock Time);

  /// Asks all peers for their requests on the VM of \p Leaving, and stops
  /// sending new requests to it from here.
  void queryPeers(const routing::LeavingNotice &Leaving);
  /// Number of requests that run on the VM, sent from here or by any peer.
  /// Nothing unless every peer is usable and has answered recently.
  std::optional<int64_t> runningRequests(const VmName &Vm) const;
  /// Handles a peer's message. Returns false if it does not concern draining.
  bool handleMessage(const EntryName &Peer, const peers::Message &Received);
  /// Removes a VM that is no longer draining.
  void forget(const VmName &Vm);

private:
  /// What one peer answered.
  struct Answer {
    int64_t Running = 0;
    TimePoint ValidUntil = TimePoint::min();
  };
  /// The query for one VM, with the last answer of each peer.
  struct QueryState {
    peers::CallId Id = 0;
    std::map<EntryName, Answer> Answers;
  };

  std::vector<EntryName> Peers;
  DrainTrackerHooks Hooks;
  Forwarder &Forwarding;
  Clock Time;
  mutable std::mutex Mutex;
  std::map<VmName, QueryState> Queries;
  peers::CallId LastQueryId;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_DRAINTRACKER_H
