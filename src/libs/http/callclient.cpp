#include "whintack/http/callclient.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace whintack::http {

/// How long an idle connection is kept. Must be below the 15 s after which the
/// platform's servers close idle connections.
static constexpr Duration IdleConnectionRetention = std::chrono::seconds(10);

class CallClient::Private
    : public std::enable_shared_from_this<CallClient::Private> {
public:
  Private(Clock Time, TimerQueue &Timers, size_t MaxAnswerBytes)
      : Time(std::move(Time)), Timers(Timers), MaxAnswerBytes(MaxAnswerBytes) {}

  /// Takes an idle connection from the pool of \p Server; null if there is
  /// none. Sets \p Generation to the current generation of the pool.
  std::shared_ptr<HttpConnection> takeIdle(const Address &Server,
                                           uint64_t &Generation);
  void returnToPool(const Address &Server, uint64_t Generation,
                    std::shared_ptr<HttpConnection> Used);
  /// Returns the new generation of the pool.
  uint64_t dropIdle(const Address &Server);
  void call(const Address &Server, const HttpRequest &Request,
            TimePoint Deadline, HttpCallback Done, ProgressHook OnProgress);

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
  /// A connection in use and the generation of the pool that it returns to.
  struct UsedConnection {
    std::shared_ptr<HttpConnection> Connection;
    uint64_t Generation = 0;
  };

  std::shared_ptr<HttpConnection> connect(const Address &Server);
  void send(const Address &Server, UsedConnection Used,
            const HttpRequest &Request, TimePoint Deadline, HttpCallback Done,
            ProgressHook OnProgress);

  Clock Time;
  TimerQueue &Timers;
  size_t MaxAnswerBytes;
  std::mutex Mutex;
  std::map<Address, ConnectionPool> Pools;
};

std::shared_ptr<HttpConnection>
CallClient::Private::takeIdle(const Address &Server, uint64_t &Generation) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ConnectionPool &ServerPool = this->Pools[Server];
  Generation = ServerPool.Generation;
  const TimePoint Now = this->Time.Now();
  std::erase_if(ServerPool.Idle, [Now](const IdleConnection &Candidate) {
    return Candidate.UsableUntil <= Now;
  });
  if (ServerPool.Idle.empty())
    return nullptr;
  std::shared_ptr<HttpConnection> Reused =
      std::move(ServerPool.Idle.back().Connection);
  ServerPool.Idle.pop_back();
  return Reused;
}

void CallClient::Private::returnToPool(const Address &Server,
                                       uint64_t Generation,
                                       std::shared_ptr<HttpConnection> Used) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ConnectionPool &ServerPool = this->Pools[Server];
  if (ServerPool.Generation == Generation)
    ServerPool.Idle.push_back(
        {std::move(Used), this->Time.Now() + IdleConnectionRetention});
}

uint64_t CallClient::Private::dropIdle(const Address &Server) {
  std::vector<IdleConnection> Dropped;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ConnectionPool &ServerPool = this->Pools[Server];
  Dropped.swap(ServerPool.Idle);
  return ++ServerPool.Generation;
}

std::shared_ptr<HttpConnection>
CallClient::Private::connect(const Address &Server) {
  return std::make_shared<HttpConnection>(Server, this->MaxAnswerBytes,
                                          this->Timers);
}

void CallClient::Private::call(const Address &Server,
                               const HttpRequest &Request, TimePoint Deadline,
                               HttpCallback Done, ProgressHook OnProgress) {
  UsedConnection Used;
  Used.Connection = this->takeIdle(Server, Used.Generation);
  if (!Used.Connection)
    Used.Connection = this->connect(Server);
  this->send(Server, std::move(Used), Request, Deadline, std::move(Done),
             std::move(OnProgress));
}

void CallClient::Private::send(const Address &Server, UsedConnection Used,
                               const HttpRequest &Request, TimePoint Deadline,
                               HttpCallback Done, ProgressHook OnProgress) {
  /// What a second sending needs.
  struct Repetition {
    HttpRequest Request;
    ProgressHook OnProgress;
  };
  std::optional<Repetition> Again;
  HttpConnection &Connection = *Used.Connection;
  if (!Connection.isFresh() && Request.Method == "GET")
    Again = Repetition{Request, OnProgress};
  Connection.send(
      Request, Deadline,
      [Weak = this->weak_from_this(), Server, Used = std::move(Used),
       Again = std::move(Again), Deadline,
       Done = std::move(Done)](HttpResult Outcome) mutable {
        const std::shared_ptr<Private> Client = Weak.lock();
        if (!Client) {
          Done(std::move(Outcome));
          return;
        }
        if (Outcome) {
          Client->returnToPool(Server, Used.Generation,
                               std::move(Used.Connection));
          Done(std::move(Outcome));
          return;
        }
        const uint64_t Generation = Client->dropIdle(Server);
        if (Again && Outcome.error().WasStale)
          Client->send(Server, {Client->connect(Server), Generation},
                       Again->Request, Deadline, std::move(Done),
                       std::move(Again->OnProgress));
        else
          Done(std::move(Outcome));
      },
      std::move(OnProgress));
}

CallClient::CallClient(Clock Time, TimerQueue &Timers, size_t MaxAnswerBytes)
    : D(std::make_shared<Private>(std::move(Time), Timers, MaxAnswerBytes)) {}

CallClient::~CallClient() = default;

void CallClient::call(const Address &Server, const HttpRequest &Request,
                      TimePoint Deadline, HttpCallback Done,
                      ProgressHook OnProgress) {
  this->D->call(Server, Request, Deadline, std::move(Done),
                std::move(OnProgress));
}

void CallClient::dropIdle(const Address &Server) { this->D->dropIdle(Server); }

void CallClient::callRepeatedly(const Address &Server,
                                const HttpRequest &Request,
                                const HttpRequest &Again, TimePoint Deadline,
                                RepeatedCallback Done) {
  this->D->call(
      Server, Request, Deadline,
      [Weak = std::weak_ptr<Private>(this->D), Server, Again, Deadline,
       Done = std::move(Done)](HttpResult Outcome) mutable {
        const bool WasStale = !Outcome && Outcome.error().WasStale;
        const std::shared_ptr<Private> Client =
            WasStale ? Weak.lock() : nullptr;
        if (!Client) {
          Done(std::move(Outcome), false);
          return;
        }
        Client->call(
            Server, Again, Deadline,
            [Done = std::move(Done)](HttpResult Second) {
              Done(std::move(Second), true);
            },
            nullptr);
      },
      nullptr);
}

} // namespace whintack::http
