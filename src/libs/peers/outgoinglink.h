#ifndef WHINTACK_PEERS_OUTGOINGLINK_H
#define WHINTACK_PEERS_OUTGOINGLINK_H

#include "channel.h"

#include "whintack/base/backoff.h"

#include <deque>
#include <memory>

namespace whintack::peers::Internal {

/// A connection that carries messages to one peer. Reconnects with back-off
/// after a failure; queued messages are then lost. All calls run on the
/// network's thread.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink> {
public:
  /// \p HelloFrame is the first frame of each connection.
  OutgoingLink(boost::asio::io_context &Context, PeerEndpoint Peer,
               std::shared_ptr<boost::asio::ssl::context> Tls,
               std::string HelloFrame, Random Source);

  void start();
  void stop();
  /// Queues a framed message. Returns false if there is no connection.
  bool send(std::shared_ptr<const std::string> Frame);
  /// Closes the connection and opens a new one.
  void restart();

  const PeerEndpoint &peer() const { return this->Peer; }

private:
  using SharedChannel = std::shared_ptr<Channel>;

  void connect();
  void sendHello(const SharedChannel &Connection);
  void writeNext(const SharedChannel &Connection);
  void fail(const SharedChannel &FailedConnection);

  boost::asio::io_context &Context;
  PeerEndpoint Peer;
  std::shared_ptr<boost::asio::ssl::context> Tls;
  std::string HelloFrame;
  Backoff RetryBackoff;
  boost::asio::steady_timer RetryTimer;
  boost::asio::steady_timer ConnectTimer;
  SharedChannel CurrentConnection;
  bool IsConnected = false;
  bool IsWriting = false;
  bool IsStopped = false;
  size_t QueuedBytes = 0;
  std::deque<std::shared_ptr<const std::string>> Queue;
};

} // namespace whintack::peers::Internal

#endif // WHINTACK_PEERS_OUTGOINGLINK_H
