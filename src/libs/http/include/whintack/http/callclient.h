#ifndef WHINTACK_HTTP_CALLCLIENT_H
#define WHINTACK_HTTP_CALLCLIENT_H

#include "whintack/http/httpclient.h"

#include <map>
#include <mutex>
#include <vector>

namespace whintack::http {

/// Client for idempotent calls that reuses connections. The HTTP library
/// repeats a call by itself when a reused connection turns out to be closed.
/// After a failed call, such as a time-out, no open connection to that address
/// is used again, because the others may have gone silent too. Safe for several
/// threads.
class CallClient {
public:
  /// \p MaxAnswerBytes bounds the body of an answer, in bytes.
  CallClient(Clock Time, TimerQueue &Timers, size_t MaxAnswerBytes);

  /// Sends \p Request to \p Server and calls \p Done once, on a thread of the
  /// HTTP library.
  void call(const Address &Server, const HttpRequest &Request,
            TimePoint Deadline, HttpCallback Done);

  /// Closes the idle connections to \p Server. Connections in use are closed
  /// after their call.
  void dropIdle(const Address &Server);

private:
  struct IdleConnection {
    std::shared_ptr<HttpConnection> Connection;
    TimePoint UsableUntil;
  };
  struct ConnectionPool {
    /// Incremented when idle connections are dropped. A connection that was
    /// taken under an earlier generation is not returned to the pool.
    uint64_t Generation = 0;
    std::vector<IdleConnection> Idle;
  };

  /// Takes an idle connection from the pool of \p Server; null if there is
  /// none. Sets \p Generation to the current generation of the pool.
  std::shared_ptr<HttpConnection> takeIdle(const Address &Server,
                                           uint64_t &Generation);
  void returnToPool(const Address &Server, uint64_t Generation,
                    std::shared_ptr<HttpConnection> Used);

  Clock Time;
  TimerQueue &Timers;
  size_t MaxAnswerBytes;
  std::mutex Mutex;
  std::map<Address, ConnectionPool> Pools;
};

} // namespace whintack::http

#endif // WHINTACK_HTTP_CALLCLIENT_H
