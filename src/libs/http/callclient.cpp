#include "whintack/http/callclient.h"

#include <algorithm>

namespace whintack::http {

/// How long a connection is kept without a call; below the 15 s after which
/// the platform's servers close idle connections.
static constexpr Duration KeepTime = std::chrono::seconds(10);

CallClient::CallClient(Clock Time, TimerQueue &Timers, size_t MaxAnswerBytes)
    : Time(std::move(Time)), Timers(Timers), MaxAnswerBytes(MaxAnswerBytes) {}

std::shared_ptr<HttpConnection> CallClient::take(const Address &Server,
                                                 uint64_t &Generation) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Pool &Of = this->Pools[Server];
  Generation = Of.Generation;
  const TimePoint Now = this->Time.Now();
  std::erase_if(Of.Waiting,
                [Now](const Idle &Each) { return Each.UsableUntil <= Now; });
  if (Of.Waiting.empty())
    return nullptr;
  std::shared_ptr<HttpConnection> Kept =
      std::move(Of.Waiting.back().Connection);
  Of.Waiting.pop_back();
  return Kept;
}

void CallClient::giveBack(const Address &Server, uint64_t Generation,
                          std::shared_ptr<HttpConnection> Used) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Pool &Of = this->Pools[Server];
  if (Of.Generation == Generation)
    Of.Waiting.push_back({std::move(Used), this->Time.Now() + KeepTime});
}

void CallClient::dropIdle(const Address &Server) {
  std::vector<Idle> Dropped;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Pool &Of = this->Pools[Server];
  ++Of.Generation;
  Dropped.swap(Of.Waiting);
}

void CallClient::call(const Address &Server, const HttpRequest &Request,
                      TimePoint Deadline, HttpCallback Done) {
  uint64_t Generation = 0;
  std::shared_ptr<HttpConnection> Connection = this->take(Server, Generation);
  if (!Connection)
    Connection = std::make_shared<HttpConnection>(Server, this->MaxAnswerBytes,
                                                  this->Timers);
  HttpConnection &Used = *Connection;
  const bool WasFresh = Used.isFresh();
  Used.send(Request, Deadline,
            [this, Server, Generation, WasFresh,
             Connection = std::move(Connection),
             Done = std::move(Done)](HttpResult Outcome) mutable {
              if (Outcome) {
                this->giveBack(Server, Generation, std::move(Connection));
                Done(std::move(Outcome));
                return;
              }
              this->dropIdle(Server);
              HttpError Cause = std::move(Outcome).error();
              // The library sent it on the kept connection first, and could
              // not connect when it repeated it.
              if (!WasFresh && Cause.Code == HttpErrorCode::NotConnected)
                Cause.Code = HttpErrorCode::Broken;
              Done(failure(std::move(Cause)));
            });
}

} // namespace whintack::http
