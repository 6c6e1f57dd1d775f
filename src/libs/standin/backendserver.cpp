#include "whintack/standin/backendserver.h"

#include <charconv>
#include <cpprest/json.h>

namespace whintack::standin {

using http::HttpRequest;
using http::HttpResponse;

static constexpr int MisdirectedRequest = 421;

BackendServer::BackendServer(Address Local, BackendBehaviour Behaviour,
                             ExecutionCounter &Counter, Clock Time,
                             TimerQueue &Timers)
    : Behaviour(std::move(Behaviour)), Counter(Counter), Time(std::move(Time)),
      Timers(Timers),
      Server(
          std::move(Local), http::ServerLimits(), this->Time, Timers,
          [this](const HttpRequest &Request, const http::Responder &Respond) {
            this->run(Request, Respond);
          }) {}

BackendServer::~BackendServer() { this->close(); }

Result<void, http::ListenError> BackendServer::open() {
  return this->Server.open();
}

void BackendServer::close() { this->Server.close(TimePoint::min()); }

static Duration workDuration(const HttpRequest &Request, Duration Default) {
  const std::optional<std::string> Text = Request.Headers.find(WorkHeader);
  if (!Text)
    return Default;
  int64_t Milliseconds = 0;
  std::from_chars(Text->data(), Text->data() + Text->size(), Milliseconds);
  return std::chrono::milliseconds(Milliseconds);
}

HttpResponse BackendServer::makeResponse(const HttpRequest &Request) const {
  web::json::value Object;
  Object["server"] = web::json::value(this->Behaviour.Name);
  Object["service"] = web::json::value(this->Behaviour.Service);
  Object["method"] = web::json::value(Request.Method);
  Object["target"] = web::json::value(Request.Target);
  Object["bodyBytes"] =
      web::json::value(static_cast<uint64_t>(Request.Body.size()));
  HttpResponse Response =
      http::jsonResponse(http::status::Ok, Object.serialize());
  if (const auto Id = Request.Headers.find("Request-Id"))
    Response.Headers.set("Request-Id", *Id);
  if (this->IsLeaving)
    Response.Headers.set("Server-State", "leaving");
  return Response;
}

void BackendServer::run(const HttpRequest &Request,
                        const http::Responder &Respond) {
  if (Request.Target == "/healthz") {
    Respond(http::jsonResponse(
        this->IsFailing ? http::status::ServiceUnavailable : http::status::Ok,
        "{}"));
    return;
  }
  const std::string RequestedService =
      Request.Headers.find("Service").value_or(this->Behaviour.Service);
  if (RequestedService != this->Behaviour.Service) {
    Respond(http::jsonResponse(MisdirectedRequest, "{}"));
    return;
  }
  if (this->IsFailing) {
    Respond(http::jsonResponse(http::status::InternalError, "{}"));
    return;
  }
  this->Counter.begin(this->Behaviour.Name,
                      Request.Headers.find(OrderHeader).value_or(""));
  const Duration Work = workDuration(Request, this->Behaviour.Work);
  HttpResponse Response = this->makeResponse(Request);
  const auto Finish = [&Counter = this->Counter, Name = this->Behaviour.Name,
                       Respond, Response] {
    Counter.end(Name);
    Respond(Response);
  };
  if (Work <= Duration::zero())
    Finish();
  else
    this->Timers.schedule(this->Time.Now() + Work, Finish);
}

} // namespace whintack::standin
