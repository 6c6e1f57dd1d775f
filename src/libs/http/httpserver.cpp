#include "whintack/http/httpserver.h"

#include "bodyreader.h"
#include "whintack/base/log.h"
#include "whintack/base/loglimiter.h"

#include <atomic>
#include <boost/asio/ssl.hpp>
#include <charconv>
#include <condition_variable>
#include <cpprest/http_listener.h>
#include <mutex>

namespace whintack::http {

/// Maximum number of lines a second on requests that the server rejects.
static constexpr size_t MaxRejectionLines = 20;
static constexpr size_t MaxLoggedTargetBytes = 80;
static constexpr size_t MaxLoggedMethodBytes = 20;

class HttpServer::Private
    : public std::enable_shared_from_this<HttpServer::Private> {
public:
  Private(Address Local, ServerLimits Limits, Clock Time, TimerQueue &Timers,
          RequestHandler Handler, ServerTls Tls)
      : Local(std::move(Local)), Limits(Limits), Time(std::move(Time)),
        Timers(Timers), Handler(std::move(Handler)), Tls(std::move(Tls)) {}

  void handleRequest(const web::http::http_request &Request);
  /// Logs a request that is answered without the handler.
  void logRejection(const web::http::http_request &Request, int Status,
                    const std::string &Reason);
  void addInFlight();
  void removeInFlight();

  Address Local;
  ServerLimits Limits;
  Clock Time;
  TimerQueue &Timers;
  RequestHandler Handler;
  ServerTls Tls;
  mutable std::mutex Mutex;
  std::condition_variable NoneInFlight;
  size_t InFlight = 0;
  LogLimiter RejectionLines{MaxRejectionLines};
  std::unique_ptr<web::http::experimental::listener::http_listener> Listener;
};

namespace Internal {

/// Why a request is answered without the handler.
struct Rejection {
  int Status = 0;
  std::string Reason;

  HttpResponse response() const {
    return jsonResponse(this->Status, R"({"outcome":"not-run","reason":")" +
                                          this->Reason + "\"}");
  }
};

/// Called when a request is answered without the handler.
using RejectionCallback = std::function<void(const web::http::http_request &,
                                             int Status, const std::string &)>;

/// One request that is being read or answered. Only the first answer is sent.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(const web::http::http_request &Request,
           std::function<void()> OnFinished, RejectionCallback OnRejected)
      : Request(Request), OnFinished(std::move(OnFinished)),
        OnRejected(std::move(OnRejected)) {}

  ~Exchange() {
    if (this->IsAnswered.exchange(true))
      return;
    this->OnRejected(this->Request, status::GatewayTimeout,
                     "the request was dropped");
    // The request may have taken effect.
    this->send(jsonResponse(status::GatewayTimeout,
                            R"({"reason":"the request was dropped"})"));
  }

  /// Answers before the body has been read. The library sends an answer only
  /// after the body has ended, so this closes the body stream with an error;
  /// the next bytes of the body then end it.
  void refuse(const Rejection &Cause) {
    if (this->IsAnswered)
      return;
    const std::function<void()> Finished = std::move(this->OnFinished);
    this->OnFinished = [] {};
    this->reject(Cause);
    this->Request._get_impl()->outstream().streambuf().close(
        std::ios_base::out,
        std::make_exception_ptr(std::runtime_error("refused")));
    Finished();
  }

  /// Answers without the handler.
  void reject(const Rejection &Cause) {
    if (this->IsAnswered.exchange(true))
      return;
    this->OnRejected(this->Request, Cause.Status, Cause.Reason);
    this->send(Cause.response());
  }

  void answer(const HttpResponse &Response) {
    if (!this->IsAnswered.exchange(true))
      this->send(Response);
  }

  bool isAnswered() const { return this->IsAnswered; }

  web::http::http_request Request;

private:
  void send(const HttpResponse &Response) {
    web::http::http_response Converted(
        static_cast<web::http::status_code>(Response.Status));
    this->convert(Response, Converted);
    const std::function<void()> Finished = this->OnFinished;
    this->Request.reply(Converted).then(
        [Finished](const pplx::task<void> &Sent) {
          try {
            Sent.get();
          } catch (const std::exception &) {
            // The client closed the connection, so the error cannot be reported
            // to it.
          }
          Finished();
        });
  }

  void convert(const HttpResponse &Response,
               web::http::http_response &Converted) const {
    const bool HasNoBody = Response.Status == status::NoContent ||
                           Response.Status == status::NotModified ||
                           this->Request.method() == "HEAD";
    if (!HasNoBody)
      Converted.set_body(Response.Body, "application/octet-stream");
    Converted.headers().remove("Content-Type");
    for (const HttpHeader &Field : Response.Headers.all())
      Converted.headers()[Field.Name] = Field.Value;
    if (!HasNoBody)
      Converted.headers().set_content_length(Response.Body.size());
  }

  std::function<void()> OnFinished;
  RejectionCallback OnRejected;
  std::atomic<bool> IsAnswered{false};
};

} // namespace Internal

void HttpServer::Private::addInFlight() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->InFlight;
}

void HttpServer::Private::removeInFlight() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->InFlight;
  if (this->InFlight == 0)
    this->NoneInFlight.notify_all();
}

void HttpServer::Private::logRejection(const web::http::http_request &Request,
                                       int Status, const std::string &Reason) {
  std::optional<size_t> NotLogged;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    NotLogged = this->RejectionLines.admit(this->Time.Now());
  }
  if (!NotLogged)
    return;
  const std::string Target = Request.request_uri().to_string();
  logEvent(LogLevel::Info, "http-request-rejected",
           {{"listener", this->Local.text()},
            {"method", Request.method().substr(0, MaxLoggedMethodBytes)},
            {"target", Target.substr(0, MaxLoggedTargetBytes)},
            {"status", Status},
            {"reason", Reason},
            {"not-logged", *NotLogged}});
}

static size_t headerBytes(const web::http::http_request &Request) {
  size_t Bytes = Request.request_uri().to_string().size();
  for (const auto &Field : Request.headers())
    Bytes += Field.first.size() + Field.second.size();
  return Bytes;
}

/// Returns why the head of a request is not acceptable, or nothing if it is.
static std::optional<Internal::Rejection>
checkHead(const web::http::http_request &Request, const ServerLimits &Limits) {
  if (headerBytes(Request) > Limits.MaxHeaderBytes)
    return Internal::Rejection{status::BadRequest,
                               "the header fields are too large"};
  const auto &Headers = Request.headers();
  const auto Length = Headers.find("Content-Length");
  if (Length == Headers.end())
    return std::nullopt;
  if (Headers.has("Transfer-Encoding"))
    return Internal::Rejection{
        status::BadRequest, "Content-Length stands beside Transfer-Encoding"};
  uint64_t Bytes = 0;
  const std::string &Text = Length->second;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Bytes);
  if (Read.ec != std::errc() || Read.ptr != End)
    return Internal::Rejection{status::BadRequest,
                               "Content-Length is not a length"};
  if (Bytes > Limits.MaxBodyBytes)
    return Internal::Rejection{status::ContentTooLarge,
                               "the body is too large"};
  return std::nullopt;
}

static HttpRequest fromCppRestRequest(const web::http::http_request &Request) {
  HttpRequest Converted;
  Converted.Method = Request.method();
  Converted.Target = Request.request_uri().to_string();
  for (const auto &Field : Request.headers())
    Converted.Headers.set(Field.first, Field.second);
  Converted.RemoteIp = Request.remote_address();
  return Converted;
}

static void finishReading(const std::shared_ptr<Internal::Exchange> &Exchange,
                          const RequestHandler &Handler,
                          const pplx::task<Internal::BodyReadResult> &Reading) {
  Internal::BodyReadResult Body;
  try {
    Body = Reading.get();
  } catch (const std::exception &) {
    Exchange->reject({status::BadRequest, "the body broke off"});
    return;
  }
  if (Exchange->isAnswered())
    return;
  if (Body.Status == Internal::BodyReadStatus::TooLarge) {
    Exchange->reject({status::ContentTooLarge, "the body is too large"});
    return;
  }
  HttpRequest Complete = fromCppRestRequest(Exchange->Request);
  Complete.Body = std::move(Body.Bytes);
  Handler(std::move(Complete), [Exchange](const HttpResponse &Response) {
    Exchange->answer(Response);
  });
}

static bool hasBody(const web::http::http_request &Request) {
  if (Request.headers().has("Transfer-Encoding"))
    return true;
  const auto Length = Request.headers().find("Content-Length");
  return Length != Request.headers().end() && Length->second != "0";
}

void HttpServer::Private::handleRequest(
    const web::http::http_request &Request) {
  this->addInFlight();
  const auto Self = this->shared_from_this();
  auto Exchange = std::make_shared<Internal::Exchange>(
      Request, [Self] { Self->removeInFlight(); },
      [Self](const web::http::http_request &Rejected, int Status,
             const std::string &Reason) {
        Self->logRejection(Rejected, Status, Reason);
      });
  if (const std::optional<Internal::Rejection> Refused =
          checkHead(Request, this->Limits)) {
    Exchange->refuse(*Refused);
    return;
  }
  if (!hasBody(Request)) {
    finishReading(Exchange, this->Handler,
                  pplx::task_from_result(Internal::BodyReadResult()));
    return;
  }
  const TimerId Timer = this->Timers.schedule(
      this->Time.Now() + this->Limits.BodyTimeout,
      [Weak = std::weak_ptr<Internal::Exchange>(Exchange)] {
        if (const auto Slow = Weak.lock())
          Slow->refuse(
              {status::RequestTimeout, "the body did not arrive in time"});
      });
  Internal::readBody(*Exchange->Request._get_impl(), this->Limits.MaxBodyBytes)
      .then([Self, Exchange, Timer, Timers = this->Timers.ref()](
                const pplx::task<Internal::BodyReadResult> &Reading) {
        Timers.cancel(Timer);
        finishReading(Exchange, Self->Handler, Reading);
      });
}

HttpServer::HttpServer(Address Local, ServerLimits Limits, Clock Time,
                       TimerQueue &Timers, RequestHandler Handler,
                       ServerTls Tls)
    : D(std::make_shared<Private>(std::move(Local), Limits, std::move(Time),
                                  Timers, std::move(Handler), std::move(Tls))) {
}

HttpServer::~HttpServer() { this->close(TimePoint::min()); }

Result<void, ListenError> HttpServer::open() {
  using web::http::experimental::listener::http_listener;
  using web::http::experimental::listener::http_listener_config;
  http_listener_config Config;
  const ServerTls Tls = this->D->Tls;
  if (Tls.isEnabled())
    Config.set_ssl_context_callback([Tls](boost::asio::ssl::context &Context) {
      Context.use_certificate_chain_file(Tls.CertificateFile);
      Context.use_private_key_file(Tls.KeyFile, boost::asio::ssl::context::pem);
    });
  const std::string Scheme = Tls.isEnabled() ? "https://" : "http://";
  try {
    this->D->Listener = std::make_unique<http_listener>(
        web::uri(Scheme + this->D->Local.text()), Config);
    const std::weak_ptr<Private> Weak = this->D;
    this->D->Listener->support([Weak](const web::http::http_request &Request) {
      if (const std::shared_ptr<Private> Server = Weak.lock())
        Server->handleRequest(Request);
    });
    this->D->Listener->open().get();
  } catch (const std::exception &Error) {
    this->D->Listener.reset();
    return failure(ListenError{"cannot listen on " + this->D->Local.text() +
                               ": " + Error.what()});
  }
  return success();
}

size_t HttpServer::inFlight() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->InFlight;
}

size_t HttpServer::close(TimePoint Deadline) {
  if (!this->D->Listener)
    return 0;
  size_t Aborted = 0;
  {
    std::unique_lock<std::mutex> Lock(this->D->Mutex);
    while (this->D->InFlight > 0) {
      const Duration Remaining = Deadline - this->D->Time.Now();
      if (Deadline == TimePoint::min() || Remaining <= Duration::zero())
        break;
      this->D->NoneInFlight.wait_for(Lock, Remaining);
    }
    Aborted = this->D->InFlight;
  }
  try {
    this->D->Listener->close().get();
  } catch (const std::exception &) {
    // A listener that fails to close is discarded all the same.
  }
  this->D->Listener.reset();
  return Aborted;
}

} // namespace whintack::http
