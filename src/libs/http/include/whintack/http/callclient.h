#ifndef WHINTACK_HTTP_CALLCLIENT_H
#define WHINTACK_HTTP_CALLCLIENT_H

#include "whintack/http/httpclient.h"

#include <map>
#include <mutex>
#include <vector>

namespace whintack::http {

/// Makes calls that may be repeated harmlessly, on connections that are kept
/// open. The HTTP library repeats a call by itself when a kept connection
/// turns out to be closed. After a time-out no kept connection to that address
/// is used again, because others may have gone silent with it. Safe for
/// several threads.
class CallClient {
public:
  CallClient(Clock Time, TimerQueue &Timers, size_t MaxAnswerBytes);

  /// Calls \p Done once, on a thread of the HTTP library.
  void call(const Address &Server, const HttpRequest &Request,
            TimePoint Deadline, HttpCallback Done);

  /// Closes the connections to \p Server that carry no call.
  void dropIdle(const Address &Server);

private:
  struct Idle {
    std::shared_ptr<HttpConnection> Connection;
    TimePoint UsableUntil;
  };
  struct Pool {
    /// Rises when kept connections are dropped; those in use then go as well.
    uint64_t Generation = 0;
    std::vector<Idle> Waiting;
  };

  std::shared_ptr<HttpConnection> take(const Address &Server,
                                       uint64_t &Generation);
  void giveBack(const Address &Server, uint64_t Generation,
                std::shared_ptr<HttpConnection> Used);

  Clock Time;
  TimerQueue &Timers;
  size_t MaxAnswerBytes;
  std::mutex Mutex;
  std::map<Address, Pool> Pools;
};

} // namespace whintack::http

#endif // WHINTACK_HTTP_CALLCLIENT_H
