#include "whintack/http/httpserver.h"

#include "connection.h"
#include "whintack/base/log.h"
#include "whintack/base/loglimiter.h"

#include <algorithm>
#include <boost/asio/strand.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <pplx/threadpool.h>
#include <vector>

namespace whintack::http {

using boost::asio::ip::tcp;

/// Maximum number of lines a second on requests that the server rejects.
static constexpr size_t MaxRejectionLines = 20;
static constexpr size_t MaxLoggedTargetBytes = 80;
static constexpr size_t MaxLoggedMethodBytes = 20;
/// Time until connections are accepted again after none could be.
static constexpr auto AcceptPause = std::chrono::milliseconds(50);
static constexpr size_t MinConnectionsToSweep = 64;

class HttpServer::Private
    : public std::enable_shared_from_this<HttpServer::Private> {
public:
  Private(Address Local, ServerLimits Limits, Clock Time, TimerQueue &Timers,
          RequestHandler Handler, ServerTls Tls)
      : Local(std::move(Local)), Limits(Limits), Time(std::move(Time)),
        Timers(Timers), Handler(std::move(Handler)), Tls(std::move(Tls)) {}

  /// Throws if the address cannot be listened on.
  void open();
  size_t close(TimePoint Deadline);

  Address Local;
  ServerLimits Limits;
  Clock Time;
  TimerQueue &Timers;
  RequestHandler Handler;
  ServerTls Tls;
  mutable std::mutex Mutex;
  size_t InFlight = 0;

private:
  void accept();
  void startConnection(tcp::socket Socket);
  Internal::ConnectionHooks connectionHooks();
  /// Calls the handler, unless the server is closed.
  void handleRequest(HttpRequest Request, const Responder &Respond);
  /// Logs a request that is answered without the handler.
  void logRejection(const HttpRequest &Request, int Status,
                    const std::string &Reason);
  std::shared_ptr<void> addInFlight();

  std::condition_variable Idle;
  size_t RunningHandlers = 0;
  bool IsOpen = false;
  LogLimiter RejectionLines{MaxRejectionLines};
  std::shared_ptr<boost::asio::ssl::context> TlsContext;
  std::optional<tcp::acceptor> Acceptor;
  std::vector<std::weak_ptr<Internal::Connection>> Connections;
  size_t SweepAt = MinConnectionsToSweep;
};

/// The threads of the HTTP library also read the requests.
static boost::asio::io_context &ioContext() {
  return crossplat::threadpool::shared_instance().service();
}

void HttpServer::Private::open() {
  if (this->Tls.isEnabled()) {
    this->TlsContext = std::make_shared<boost::asio::ssl::context>(
        boost::asio::ssl::context::tls_server);
    this->TlsContext->use_certificate_chain_file(this->Tls.CertificateFile);
    this->TlsContext->use_private_key_file(this->Tls.KeyFile,
                                           boost::asio::ssl::context::pem);
  }
  const tcp::endpoint Endpoint =
      *tcp::resolver(ioContext())
           .resolve(this->Local.Ip, std::to_string(this->Local.Port))
           .begin();
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Acceptor.emplace(ioContext(), Endpoint);
    this->IsOpen = true;
  }
  this->accept();
}

void HttpServer::Private::accept() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (!this->IsOpen)
    return;
  this->Acceptor->async_accept(
      boost::asio::make_strand(ioContext()),
      [Weak = this->weak_from_this()](const boost::system::error_code &Error,
                                      tcp::socket Socket) {
        const std::shared_ptr<Private> Self = Weak.lock();
        if (!Self || Error == boost::asio::error::operation_aborted)
          return;
        if (!Error) {
          Self->startConnection(std::move(Socket));
          Self->accept();
          return;
        }
        const std::lock_guard<std::mutex> Lock(Self->Mutex);
        if (Self->IsOpen)
          Self->Timers.schedule(Self->Time.Now() + AcceptPause, [Weak] {
            if (const std::shared_ptr<Private> Server = Weak.lock())
              Server->accept();
          });
      });
}

void HttpServer::Private::startConnection(tcp::socket Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  const auto Connection =
      Internal::makeConnection(std::move(Socket), this->TlsContext,
                               this->Limits, this->connectionHooks());
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (!this->IsOpen)
    return;
  if (this->Connections.size() >= this->SweepAt) {
    std::erase_if(this->Connections,
                  [](const auto &Known) { return Known.expired(); });
    this->SweepAt =
        std::max(MinConnectionsToSweep, 2 * this->Connections.size());
  }
  this->Connections.push_back(Connection);
  Connection->start();
}

Internal::ConnectionHooks HttpServer::Private::connectionHooks() {
  const auto Self = this->shared_from_this();
  return {[Self](HttpRequest Request, const Responder &Respond) {
            Self->handleRequest(std::move(Request), Respond);
          },
          [Self](const HttpRequest &Request, int Status,
                 const std::string &Reason) {
            Self->logRejection(Request, Status, Reason);
          },
          [Self] { return Self->addInFlight(); }};
}

std::shared_ptr<void> HttpServer::Private::addInFlight() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->InFlight;
  return {nullptr, [Self = this->shared_from_this()](void *) {
            const std::lock_guard<std::mutex> Lock(Self->Mutex);
            if (--Self->InFlight == 0)
              Self->Idle.notify_all();
          }};
}

void HttpServer::Private::handleRequest(HttpRequest Request,
                                        const Responder &Respond) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->IsOpen)
      return;
    ++this->RunningHandlers;
  }
  const std::shared_ptr<void> Running(nullptr, [this](void *) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (--this->RunningHandlers == 0)
      this->Idle.notify_all();
  });
  this->Handler(std::move(Request), Respond);
}

void HttpServer::Private::logRejection(const HttpRequest &Request, int Status,
                                       const std::string &Reason) {
  std::optional<size_t> NotLogged;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    NotLogged = this->RejectionLines.admit(this->Time.Now());
  }
  if (!NotLogged)
    return;
  logEvent(LogLevel::Info, "http-request-rejected",
           {{"listener", this->Local.text()},
            {"method", Request.Method.substr(0, MaxLoggedMethodBytes)},
            {"target", Request.Target.substr(0, MaxLoggedTargetBytes)},
            {"status", Status},
            {"reason", Reason},
            {"not-logged", *NotLogged}});
}

size_t HttpServer::Private::close(TimePoint Deadline) {
  // Destroyed without the lock: the end of a connection takes it.
  std::vector<std::shared_ptr<Internal::Connection>> Ending;
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (!this->IsOpen)
    return 0;
  while (this->InFlight > 0) {
    const Duration Remaining = Deadline - this->Time.Now();
    if (Deadline == TimePoint::min() || Remaining <= Duration::zero())
      break;
    this->Idle.wait_for(Lock, Remaining);
  }
  const size_t Aborted = this->InFlight;
  this->IsOpen = false;
  this->Acceptor.reset();
  for (const std::weak_ptr<Internal::Connection> &Known : this->Connections)
    if (const std::shared_ptr<Internal::Connection> Connection = Known.lock()) {
      Connection->close();
      Ending.push_back(Connection);
    }
  this->Connections.clear();
  this->Idle.wait(Lock, [this] { return this->RunningHandlers == 0; });
  return Aborted;
}

HttpServer::HttpServer(Address Local, ServerLimits Limits, Clock Time,
                       TimerQueue &Timers, RequestHandler Handler,
                       ServerTls Tls)
    : D(std::make_shared<Private>(std::move(Local), Limits, std::move(Time),
                                  Timers, std::move(Handler), std::move(Tls))) {
}

HttpServer::~HttpServer() { this->close(TimePoint::min()); }

Result<void, ListenError> HttpServer::open() {
  try {
    this->D->open();
  } catch (const std::exception &Error) {
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
  return this->D->close(Deadline);
}

} // namespace whintack::http
