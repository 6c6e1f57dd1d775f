#include "whintack/entry/callerserver.h"

#include "callerrequest.h"
#include "claimmanager.h"

#include <cpprest/asyncrt_utils.h>
#include <cpprest/json.h>

namespace whintack::entry {

using http::HttpRequest;
using http::HttpResponse;
using Internal::CallerRequest;
using Internal::ClaimReply;
using routing::ClaimVerdict;
using routing::OutcomeReason;
using routing::RequestOutcome;

/// An answer with a longer body is not stored with its claim. A request that
/// repeats the key then learns only that the first one was run.
static constexpr size_t MaxStoredAnswerBytes = 256U << 10U;

CallerServer::CallerServer(EntryName Self, Address Local,
                           http::ServerLimits Limits, http::ServerTls Tls,
                           CallerServerHooks Hooks, Forwarder &Forwarding,
                           std::shared_ptr<Internal::ClaimManager> Claims,
                           Clock Time, Random Source, TimerQueue &Timers)
    : Self(std::move(Self)), Hooks(std::move(Hooks)), Forwarding(Forwarding),
      Claims(std::move(Claims)), Source(std::move(Source)),
      Server(
          std::move(Local), Limits, std::move(Time), Timers,
          [this](const HttpRequest &Received, const http::Responder &Respond) {
            this->handleRequest(Received, Respond);
          },
          std::move(Tls)) {}

Result<void, http::ListenError> CallerServer::open() {
  return this->Server.open();
}

size_t CallerServer::close(TimePoint Deadline) {
  return this->Server.close(Deadline);
}

HttpResponse CallerServer::outcomeResponse(const RequestId &Id, int Status,
                                           RequestOutcome Outcome,
                                           OutcomeReason Reason,
                                           const std::string &Message,
                                           Duration RetryAfter) const {
  const std::string OutcomeName(nameOf(routing::RequestOutcomeNames, Outcome));
  web::json::value Object;
  Object["outcome"] = web::json::value(OutcomeName);
  Object["reason"] = web::json::value(
      std::string(nameOf(routing::OutcomeReasonNames, Reason)));
  if (!Message.empty())
    Object["message"] = web::json::value(Message);
  Object["requestId"] = web::json::value(Id.text());
  Object["entry"] = web::json::value(this->Self.text());
  Object["revision"] = web::json::value(this->Hooks.Revision());
  if (RetryAfter > Duration::zero())
    Object["retryAfterMs"] = web::json::value(toMilliseconds(RetryAfter));
  HttpResponse Response = http::jsonResponse(Status, Object.serialize());
  Response.Headers.set(header::Outcome, OutcomeName);
  Response.Headers.set(header::RequestId, Id.text());
  if (RetryAfter > Duration::zero()) {
    // Retry-After is in whole seconds; rounded up.
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(RetryAfter).count();
    Response.Headers.set("Retry-After", std::to_string(Seconds));
  }
  return Response;
}

HttpResponse CallerServer::refusalResponse(const RequestId &Id, int Status,
                                           OutcomeReason Reason,
                                           const std::string &Message) const {
  return this->outcomeResponse(Id, Status, RequestOutcome::NotRun, Reason,
                               Message, Duration::zero());
}

HttpResponse CallerServer::toResponse(const RequestId &Id,
                                      const ForwardResult &Result) const {
  switch (Result.Outcome) {
  case RequestOutcome::Done: {
    HttpResponse Response = Result.Answer;
    Response.Headers.removeHopByHop();
    Response.Headers.set(header::RequestId, Id.text());
    Response.Headers.set(header::Outcome, "done");
    return Response;
  }
  case RequestOutcome::NotRun:
    if (Result.Reason == OutcomeReason::UnknownService)
      return this->refusalResponse(Id, http::status::NotFound, Result.Reason,
                                   "no such service");
    return this->outcomeResponse(Id, http::status::ServiceUnavailable,
                                 RequestOutcome::NotRun, Result.Reason, "",
                                 Result.RetryAfter);
  case RequestOutcome::Unknown:
    return this->outcomeResponse(
        Id, http::status::GatewayTimeout, RequestOutcome::Unknown,
        Result.Reason, "the request may have been run", Duration::zero());
  }
  return {};
}

static std::string encodeAnswer(const HttpResponse &Answer) {
  web::json::value Headers = web::json::value::object();
  for (const http::HttpHeader &Field : Answer.Headers.all())
    Headers[Field.Name] = web::json::value(Field.Value);
  const std::vector<unsigned char> Bytes(Answer.Body.begin(),
                                         Answer.Body.end());
  web::json::value Object;
  Object["status"] = web::json::value(Answer.Status);
  Object["headers"] = Headers;
  Object["body"] = web::json::value(utility::conversions::to_base64(Bytes));
  return Object.serialize();
}

static std::optional<HttpResponse> decodeAnswer(const std::string &Text) {
  try {
    const web::json::value Object = web::json::value::parse(Text);
    HttpResponse Answer;
    Answer.Status = Object.at("status").as_integer();
    for (const auto &Field : Object.at("headers").as_object())
      Answer.Headers.set(Field.first, Field.second.as_string());
    const auto Bytes =
        utility::conversions::from_base64(Object.at("body").as_string());
    Answer.Body.assign(Bytes.begin(), Bytes.end());
    return Answer;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

void CallerServer::forward(ForwardRequest Request,
                           const http::Responder &Respond) {
  const RequestId Id = Request.Id;
  this->Forwarding.submit(std::move(Request),
                          [this, Id, Respond](const ForwardResult &Result) {
                            Respond(this->toResponse(Id, Result));
                          });
}

/// The claim that records how a request ended.
static routing::Claim makeClaim(const CallerRequest &Request,
                                const EntryName &Holder,
                                const ForwardResult &Result) {
  routing::Claim Ended;
  Ended.State = routing::ClaimState::Unknown;
  Ended.Holder = Holder;
  Ended.Request = Request.Forward.Id;
  Ended.Digest = Request.KeyDigest;
  if (Result.Outcome != RequestOutcome::Done)
    return Ended;
  Ended.State = routing::ClaimState::Done;
  if (Result.Answer.Body.size() <= MaxStoredAnswerBytes)
    Ended.Answer = encodeAnswer(Result.Answer);
  return Ended;
}

void CallerServer::forwardKeyed(const CallerRequest &Request,
                                const http::Responder &Respond) {
  const routing::RequestKey KeyFields{Request.Forward.Info.Service,
                                      Request.Forward.Info.Caller, Request.Key};
  const std::string Key = KeyFields.joined();
  const RequestId Id = Request.Forward.Id;
  const auto Send = [this, Request, Key, Id, Respond] {
    this->Forwarding.submit(Request.Forward, [this, Request, Key, Id, Respond](
                                                 const ForwardResult &Result) {
      if (Result.Outcome == RequestOutcome::NotRun)
        this->Claims->forget(Key, Id);
      else
        this->Claims->settle(Key, makeClaim(Request, this->Self, Result));
      Respond(this->toResponse(Id, Result));
    });
  };
  const auto HandleReply = [this, Send, Id, Respond](const ClaimReply &Reply) {
    switch (Reply.Verdict) {
    case ClaimVerdict::Send:
      Send();
      return;
    case ClaimVerdict::Replay: {
      ForwardResult Repeated;
      Repeated.Outcome = RequestOutcome::Done;
      const auto Answer = decodeAnswer(Reply.Answer);
      if (Answer)
        Repeated.Answer = *Answer;
      Respond(Answer ? this->toResponse(Id, Repeated)
                     : this->outcomeResponse(
                           Id, http::status::Conflict, RequestOutcome::Done,
                           OutcomeReason::None,
                           "it was run; the answer is not kept any "
                           "more",
                           Duration::zero()));
      return;
    }
    case ClaimVerdict::InUse:
      // The first request with the key is running, so "not run" would be wrong.
      Respond(this->outcomeResponse(
          Id, http::status::Conflict, RequestOutcome::Unknown,
          OutcomeReason::KeyInUse,
          "a request with this Idempotency-Key is running",
          std::chrono::seconds(1)));
      return;
    case ClaimVerdict::Unknown:
      Respond(this->outcomeResponse(
          Id, http::status::GatewayTimeout, RequestOutcome::Unknown,
          OutcomeReason::KeyInUse,
          "a request with this Idempotency-Key may have "
          "been run",
          Duration::zero()));
      return;
    case ClaimVerdict::NoOwnerAvailable:
      // This request was not sent, but an earlier one with the key may have
      // run.
      Respond(this->outcomeResponse(
          Id, http::status::GatewayTimeout, RequestOutcome::Unknown,
          OutcomeReason::KeyOwnersUnreachable,
          "repeat it with the same Idempotency-Key", std::chrono::seconds(1)));
      return;
    case ClaimVerdict::Mismatch:
      Respond(this->refusalResponse(Id, http::status::BadRequest,
                                    OutcomeReason::BadRequest,
                                    "this Idempotency-Key stands for another "
                                    "request"));
      return;
    }
  };
  this->Claims->claim(Key, Id, Request.KeyDigest, HandleReply);
}

void CallerServer::handleRequest(const HttpRequest &Received,
                                 const http::Responder &Respond) {
  if (Received.Target == "/healthz") {
    Respond(http::jsonResponse(http::status::Ok, "{\"alive\":true}"));
    return;
  }
  if (Received.Target == "/readyz") {
    const bool IsReady = this->Hooks.IsReady();
    Respond(http::jsonResponse(
        IsReady ? http::status::Ok : http::status::ServiceUnavailable,
        IsReady ? "{\"ready\":true}" : "{\"ready\":false}"));
    return;
  }
  const RequestId Id(randomIdentifier(this->Source));
  auto Read = Internal::readCallerRequest(Received, Id);
  if (!Read) {
    Respond(this->refusalResponse(Id, Read.error().Status,
                                  OutcomeReason::BadRequest,
                                  Read.error().Message));
    return;
  }
  const bool IsKeyed =
      !Read.value().Key.empty() && !Read.value().Forward.Info.IsIdempotent;
  if (IsKeyed)
    this->forwardKeyed(Read.value(), Respond);
  else
    this->forward(std::move(Read.value().Forward), Respond);
}

} // namespace whintack::entry
