#ifndef WHINTACK_HTTP_HTTPSERVER_H
#define WHINTACK_HTTP_HTTPSERVER_H

#include "whintack/base/address.h"
#include "whintack/base/result.h"
#include "whintack/base/timerqueue.h"
#include "whintack/http/httpmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace whintack::http {

/// Certificate and key of a server that speaks TLS; both empty for none.
struct ServerTls {
  std::string CertificateFile;
  std::string KeyFile;

  bool isEnabled() const { return !this->CertificateFile.empty(); }
};

/// Limits on the requests that a server accepts.
struct ServerLimits {
  size_t MaxBodyBytes = 8U << 20U;
  size_t MaxHeaderBytes = 64U << 10U;
  /// Time within which the complete request body must arrive.
  Duration BodyTimeout = std::chrono::seconds(10);
};

/// Sends the answer to one request. To be called once, from any thread.
using Responder = std::function<void(HttpResponse)>;

/// Called with each complete request. Must not block.
using RequestHandler = std::function<void(HttpRequest, Responder)>;

/// Error of a server that cannot listen.
struct ListenError {
  std::string Message;
};

/// HTTP server on one address. Passes only complete requests to its handler and
/// answers malformed or oversized requests itself with a 4xx status.
class HttpServer {
public:
  HttpServer(Address Local, ServerLimits Limits, Clock Time, TimerQueue &Timers,
             RequestHandler Handler, ServerTls Tls = {});
  ~HttpServer();

  /// Starts listening on the address.
  Result<void, ListenError> open();

  /// Number of requests received and not yet answered.
  size_t inFlight() const;

  /// Waits until no request is in flight, but not beyond \p Deadline, then
  /// closes all connections. Returns the number of requests aborted.
  size_t close(TimePoint Deadline);

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::http

#endif // WHINTACK_HTTP_HTTPSERVER_H
