#ifndef WHINTACK_HTTP_CONNECTION_H
#define WHINTACK_HTTP_CONNECTION_H

#include "whintack/http/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace whintack::http::Internal {

/// What a connection tells its server. May be called from any thread.
struct ConnectionHooks {
  /// Called with each complete request. May throw.
  RequestHandler OnRequest;
  /// Called when a request is answered without the handler. The request has
  /// what was read of its head.
  std::function<void(const HttpRequest &, int Status,
                     const std::string &Reason)>
      OnRejected;
  /// Returns a token that is held until the request is answered.
  std::function<std::shared_ptr<void>()> OnHeadRead;
};

/// One connection of a client. Reads one request at a time and refuses it as
/// soon as what was read exceeds the limits.
class Connection {
public:
  virtual ~Connection() = default;
  virtual void start() = 0;
  /// Ends the connection, from any thread.
  virtual void close() = 0;
};

/// Returns a connection on \p Socket; \p Tls is null for plain HTTP.
std::shared_ptr<Connection>
makeConnection(boost::asio::ip::tcp::socket Socket,
               const std::shared_ptr<boost::asio::ssl::context> &Tls,
               const ServerLimits &Limits, ConnectionHooks Hooks);

} // namespace whintack::http::Internal

#endif // WHINTACK_HTTP_CONNECTION_H
