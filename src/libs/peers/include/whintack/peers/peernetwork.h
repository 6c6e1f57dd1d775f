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

/// Name and address of another entry VM.
struct PeerEndpoint {
  EntryName Name;
  DataCentreName DataCentre;
  Address Link;
};

/// Paths of the PEM files for mutual TLS between peers; empty to disable TLS.
struct PeerTlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Authority;

  bool isEnabled() const { return !this->Certificate.empty(); }
};

/// Identity of this entry VM, its listener address and its peers.
struct PeerNetworkSetup {
  Hello Self;
  Address Listener;
  std::vector<PeerEndpoint> Peers;
  PeerTlsFiles Tls;
  /// Whether peers that are not in Peers may connect. Their messages are
  /// accepted at once; the link to them is opened when setPeers() lists them.
  bool AcceptsUnlistedPeers = false;
};

/// State of a peer as this entry VM sees it.
struct PeerStatus {
  EntryName Name;
  DataCentreName DataCentre;
  /// Whether heartbeats arrive in both directions.
  bool IsUsable = false;
  uint64_t Incarnation = 0;
  uint64_t HeadRevision = 0;
  bool IsReady = false;
};

/// Callbacks from the network to its owner. They are called on the network's
/// thread and must not block.
struct PeerHooks {
  /// Returns the next heartbeat. The network sets HearsReceiver and Interval.
  std::function<Heartbeat()> MakeHeartbeat;
  /// Called with each message, including Hello and Heartbeat.
  std::function<void(const EntryName &Peer, Message Received)> OnMessage;
  /// Called after a peer has become usable or has stopped being usable.
  std::function<void()> OnPeersChanged;
};

/// Error of the peer layer.
struct PeerError {
  std::string Message;
};

/// Numbers of messages and bytes since the start, for metrics.
struct PeerTraffic {
  uint64_t MessagesSent = 0;
  uint64_t BytesSent = 0;
  uint64_t MessagesReceived = 0;
  uint64_t BytesReceived = 0;
};

/// Connections to all other entry VMs. Messages may be lost when a link breaks.
/// A link on which the heartbeats stop is closed and opened again. Safe for
/// several threads.
class PeerNetwork {
public:
  PeerNetwork(PeerNetworkSetup Setup, PeerHooks Hooks, Clock Time,
              HybridClock &Stamps, EventJournal &Journal, Random Source);
  ~PeerNetwork();

  /// Starts to listen and to connect to the peers.
  Result<void, PeerError> open();
  /// Closes all links and ends the network's thread.
  void close();

  /// Replaces the list of peers. Opens links to new peers and to those whose
  /// address has changed, and closes the links to peers no longer listed.
  void setPeers(const std::vector<PeerEndpoint> &Peers);

  /// Queues the message if there is a link to the peer, and returns whether
  /// there is one. A queued message need not arrive.
  bool send(const EntryName &Peer, const Message &Outgoing);
  /// Sends to all peers that have a link.
  void broadcast(const Message &Outgoing);

  /// Returns the state of all peers that are or were listed or have connected.
  std::vector<PeerStatus> peers() const;
  /// Returns whether heartbeats arrive in both directions.
  bool isUsable(const EntryName &Peer) const;
  PeerTraffic traffic() const;

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::peers

#endif // WHINTACK_PEERS_PEERNETWORK_H
