#ifndef WHINTACK_HTTP_CALLCLIENT_H
#define WHINTACK_HTTP_CALLCLIENT_H

#include "whintack/http/httpclient.h"

#include <memory>

namespace whintack::http {

/// Called with the outcome of a call, and whether the request was sent again
/// after a copy whose outcome is unknown.
using RepeatedCallback = std::function<void(HttpResult, bool IsRepeated)>;

/// Client that reuses connections. A request is sent once, except for a GET: if
/// the server closes a reused connection before it begins to answer, the GET is
/// sent once more on a new one, with the same deadline. After a failed call,
/// such as a time-out, no open connection to that address is used again,
/// because the others may have gone silent too. A call may outlive the client.
/// Safe for several threads.
class CallClient {
public:
  /// \p MaxAnswerBytes bounds the body of an answer, in bytes.
  CallClient(Clock Time, TimerQueue &Timers, size_t MaxAnswerBytes);
  ~CallClient();

  /// Sends \p Request to \p Server and calls \p Done once, on a thread of the
  /// HTTP library. \p OnProgress is as in HttpConnection::send().
  void call(const Address &Server, const HttpRequest &Request,
            TimePoint Deadline, HttpCallback Done,
            ProgressHook OnProgress = nullptr);

  /// Closes the idle connections to \p Server. Connections in use are closed
  /// after their call.
  void dropIdle(const Address &Server);

  /// Sends \p Request like call(). If a used connection breaks, which happens
  /// to a sound server that has closed it while it was idle, sends \p Again on
  /// another connection and calls \p Done with that outcome. The server may
  /// have carried out both.
  void callRepeatedly(const Address &Server, const HttpRequest &Request,
                      const HttpRequest &Again, TimePoint Deadline,
                      RepeatedCallback Done);

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::http

#endif // WHINTACK_HTTP_CALLCLIENT_H
