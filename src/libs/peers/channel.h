#ifndef WHINTACK_PEERS_CHANNEL_H
#define WHINTACK_PEERS_CHANNEL_H

#include "whintack/peers/peernetwork.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <functional>
#include <optional>

namespace whintack::peers::Internal {

/// Called when a transfer has ended or failed.
using TransferDone = std::function<void(const boost::system::error_code &)>;

/// Returns a TLS context with the certificate, the key and the authority of
/// \p Files, or null if TLS is disabled. Each side must present a certificate
/// of that authority. Throws boost::system::system_error if a file cannot be
/// loaded.
std::shared_ptr<boost::asio::ssl::context>
makeTlsContext(const PeerTlsFiles &Files);

/// A TCP connection, encrypted with TLS if a context is given. All calls and
/// callbacks run on the network's thread.
class Channel {
public:
  Channel(boost::asio::ip::tcp::socket Socket,
          std::shared_ptr<boost::asio::ssl::context> Tls);

  boost::asio::ip::tcp::socket &socket() { return this->Socket; }

  /// Performs the TLS handshake; without TLS, calls \p Done at once.
  void handshake(boost::asio::ssl::stream_base::handshake_type Side,
                 TransferDone Done);
  /// Reads until \p Buffer is full.
  void read(boost::asio::mutable_buffer Buffer, TransferDone Done);
  /// Writes all of \p Buffer, whose memory must stay valid until \p Done is
  /// called.
  void write(boost::asio::const_buffer Buffer, TransferDone Done);
  void close();

private:
  boost::asio::ip::tcp::socket Socket;
  std::shared_ptr<boost::asio::ssl::context> Context;
  std::optional<boost::asio::ssl::stream<boost::asio::ip::tcp::socket &>> Tls;
};

} // namespace whintack::peers::Internal

#endif // WHINTACK_PEERS_CHANNEL_H
