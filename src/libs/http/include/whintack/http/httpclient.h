#ifndef WHINTACK_HTTP_HTTPCLIENT_H
#define WHINTACK_HTTP_HTTPCLIENT_H

#include "whintack/base/address.h"
#include "whintack/base/enumnames.h"
#include "whintack/base/result.h"
#include "whintack/base/timerqueue.h"
#include "whintack/http/httpmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace whintack::http {

/// How a call failed.
enum class HttpErrorCode {
  /// No connection was made for the request, or a new one failed before the
  /// request's header was written, so the server has not carried it out.
  NotConnected,
  /// The deadline passed; the server may have read the request.
  TimedOut,
  /// The connection broke; the server may have read the request.
  Broken,
  /// The answer's body exceeds the maximum size.
  TooLarge,
  /// The request cannot be written as HTTP; nothing was sent.
  BadRequest,
};

inline constexpr EnumNames<HttpErrorCode, 5> HttpErrorNames = {{
    {HttpErrorCode::NotConnected, "not-connected"},
    {HttpErrorCode::TimedOut, "timed-out"},
    {HttpErrorCode::Broken, "broken"},
    {HttpErrorCode::TooLarge, "too-large"},
    {HttpErrorCode::BadRequest, "bad-request"},
}};

/// Error of an HTTP call.
struct HttpError {
  HttpErrorCode Code = HttpErrorCode::Broken;
  std::string Message;
  /// A connection that had carried a request before broke, and no answer had
  /// begun. The server may have read the request.
  bool WasStale = false;

  /// Returns whether the server certainly has not carried the request out.
  bool isNeverSent() const {
    return this->Code == HttpErrorCode::NotConnected ||
           this->Code == HttpErrorCode::BadRequest;
  }
};

using HttpResult = Result<HttpResponse, HttpError>;
using HttpCallback = std::function<void(HttpResult)>;

/// Called with each part of an answer's body that arrives until the call ends;
/// returns the deadline of the call from then on.
using ProgressHook = std::function<TimePoint()>;

/// Sets the number of threads that handle all HTTP traffic of this process.
/// Must be called once, before any other function of this library.
void initializeHttpThreads(unsigned Count);

/// Whether and how a client uses TLS.
struct ClientTls {
  bool IsEnabled = false;
  /// PEM file of the trusted certificate authorities; empty for the system's.
  std::string AuthorityFile;
};

/// One connection to a server. It carries one request at a time.
///
/// A request is sent at most once, and redirections are not followed. If the
/// server has closed the connection, or sent anything on it, since the last
/// request, a new connection is made before the request is sent. If it closes
/// the connection later, the call fails, and the server may have read the
/// request.
class HttpConnection {
public:
  /// \p MaxAnswerBytes bounds the body of an answer, in bytes.
  HttpConnection(const Address &Server, size_t MaxAnswerBytes,
                 TimerQueue &Timers, const ClientTls &Tls = {});
  ~HttpConnection();

  /// Returns whether no request has been sent on this connection yet.
  bool isFresh() const;

  /// Sends \p Request and calls \p Done once, with the complete answer or an
  /// error, on a thread of the HTTP library. After an error the connection must
  /// not be used again. \p OnProgress, unless it is null, may move the deadline
  /// while the answer arrives.
  void send(const HttpRequest &Request, TimePoint Deadline, HttpCallback Done,
            ProgressHook OnProgress = nullptr);

private:
  class Private;
  std::shared_ptr<Private> D;
};

/// Sends one request on \p Connection and waits for the answer.
HttpResult sendAndWait(HttpConnection &Connection, const HttpRequest &Request,
                       TimePoint Deadline);

/// Sends one request on a new connection and waits for the answer. The body of
/// the answer may have up to 64 MiB.
HttpResult callAndWait(const Address &Server, const HttpRequest &Request,
                       TimePoint Deadline, TimerQueue &Timers,
                       const ClientTls &Tls = {});

} // namespace whintack::http

#endif // WHINTACK_HTTP_HTTPCLIENT_H
