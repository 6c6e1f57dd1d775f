#ifndef WHINTACK_PEERS_PEERNETWORK_H
#define WHINTACK_PEERS_PEERNETWORK_H

#include "whintack/base/address.h"
#include "whintack/base/eventjournal.h"
#include "whintack/base/hybridclock.h"
#include "whintack/base/random.h"
#include "whintack/base/result.h"
#include "whintack/peers/message.h"

#include <functional>
#include <memory>
#include <vector>

namespace whintack::peers {

/// Another entry VM as the settings name it.
struct PeerEndpoint {
  EntryName Name;
  DataCentreName DataCentre;
  Address Link;
};

/// PEM files for mutual TLS between peers; empty for none.
struct PeerTlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Authority;

  bool isEnabled() const { return !this->Certificate.empty(); }
};

/// Who this process is and whom it talks to.
struct PeerNetworkSetup {
  Hello Self;
  Address Listener;
  std::vector<PeerEndpoint> Peers;
  PeerTlsFiles Tls;
  /// Whether peers that are not listed yet may connect; their messages count
  /// from the start, and setPeers() makes the link back.
  bool AcceptsNewcomers = false;
};

/// What is known of a peer.
struct PeerStatus {
  EntryName Name;
  DataCentreName DataCentre;
  /// Whether messages go through in both directions.
  bool IsUsable = false;
  uint64_t Incarnation = 0;
  uint64_t HeadRevision = 0;
  bool IsReady = false;
};

/// What the network asks and tells its owner. Called on the network's thread;
/// must not block.
struct PeerHooks {
  /// Makes the next heartbeat; the network fills in the rest.
  std::function<Heartbeat()> MakeHeartbeat;
  std::function<void(const EntryName &Peer, Message Received)> OnMessage;
  /// Some peer has become usable or has stopped being so.
  std::function<void()> OnPeersChanged;
};

/// Error of the peer layer.
struct PeerError {
  std::string Message;
};

/// Bytes and messages since the start, for metrics.
struct PeerTraffic {
  uint64_t MessagesSent = 0;
  uint64_t BytesSent = 0;
  uint64_t MessagesReceived = 0;
  uint64_t BytesReceived = 0;
};

/// Links to all other entry VMs. Messages may be lost when a link breaks; a
/// link that goes quiet is closed and opened anew. Safe for several threads.
class PeerNetwork {
public:
  PeerNetwork(PeerNetworkSetup Setup, PeerHooks Hooks, Clock Time,
              HybridClock &Stamps, EventJournal &Journal, Random Source);
  ~PeerNetwork();

  /// Starts to listen and to connect.
  Result<void, PeerError> open();
  /// Closes all links.
  void close();

  /// Replaces the list of peers: opens links to new ones and to those whose
  /// address has changed, and closes links to those that are gone.
  void setPeers(const std::vector<PeerEndpoint> &Peers);

  /// Sends if there is a link. Returns false if there is none.
  bool send(const EntryName &Peer, const Message &Sent);
  /// Sends to all peers that have a link.
  void broadcast(const Message &Sent);

  std::vector<PeerStatus> peers() const;
  bool isUsable(const EntryName &Peer) const;
  PeerTraffic traffic() const;

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::peers

#endif // WHINTACK_PEERS_PEERNETWORK_H
