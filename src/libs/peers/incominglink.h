#ifndef WHINTACK_PEERS_INCOMINGLINK_H
#define WHINTACK_PEERS_INCOMINGLINK_H

#include "channel.h"
#include "frame.h"

#include <memory>
#include <string>

namespace whintack::peers::Internal {

/// Called with each payload. Returns false to close the link.
using PayloadHandler = std::function<bool(const std::string &Payload)>;

/// A connection that a peer opened. It carries messages only from the peer to
/// this entry VM. All calls run on the network's thread.
class IncomingLink : public std::enable_shared_from_this<IncomingLink> {
public:
  IncomingLink(boost::asio::ip::tcp::socket Socket,
               std::shared_ptr<boost::asio::ssl::context> Tls,
               PayloadHandler Handler);

  void start();
  void close();

private:
  void readHeader();
  void readPayload();

  Channel Connection;
  PayloadHandler Handler;
  FrameHeader Header{};
  std::string Payload;
};

} // namespace whintack::peers::Internal

#endif // WHINTACK_PEERS_INCOMINGLINK_H
