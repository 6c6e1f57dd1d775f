#include "whintack/http/httpclient.h"

#include "bodyreader.h"

#include "whintack/base/log.h"

#include <atomic>
#include <boost/asio/ssl.hpp>
#include <cerrno>
#include <cpprest/http_client.h>
#include <future>
#include <mutex>
#include <pplx/threadpool.h>
#include <stdexcept>
#include <sys/socket.h>

namespace whintack::http {

namespace Internal {

/// State of one call, shared by its chain of library tasks and its deadline
/// timer.
struct Call {
  pplx::cancellation_token_source Cancel;
  std::atomic<bool> IsDone{false};
  std::atomic<bool> IsLate{false};
  std::atomic<TimerId> Timer{0};
  /// Moved by OnProgress; the timer may still be set to an earlier time.
  std::atomic<TimePoint> Deadline{TimePoint::max()};
  ProgressHook OnProgress;
  std::mutex ProgressMutex;
  /// Whether the connection had carried a request before.
  std::atomic<bool> IsOnUsedConnection{false};
  /// Whether the whole header was written. A server acts on no part of it.
  std::atomic<bool> IsHeaderWritten{false};
  std::atomic<bool> HasAnswerBegun{false};
  /// Size of the answer so far, as the library counts it.
  std::atomic<uint64_t> ReceivedBytes{0};
  TimerQueueRef Timers;
  HttpCallback Done;

  /// Moves the deadline. OnProgress is not called once the call has ended.
  void noteProgress() {
    const std::lock_guard<std::mutex> Lock(this->ProgressMutex);
    if (!this->IsDone)
      this->Deadline = this->OnProgress();
  }

  /// Called with the size of the answer before the library gives memory to its
  /// next chunk. Throws if the size of the chunk is negative; the library then
  /// fails the call.
  void checkReceived(uint64_t Bytes) {
    const uint64_t Chunk = Bytes - this->ReceivedBytes.exchange(Bytes);
    if (Chunk > std::numeric_limits<uint64_t>::max() / 2)
      throw std::runtime_error("a chunk of the answer has no valid size");
  }

  void finish(HttpResult Outcome) {
    {
      const std::lock_guard<std::mutex> Lock(this->ProgressMutex);
      if (this->IsDone.exchange(true))
        return;
    }
    this->Timers.cancel(this->Timer);
    this->Done(std::move(Outcome));
  }
};

/// Ends a call whose connection the server ended before anything was sent.
class IdleConnectionEnded : public std::runtime_error {
public:
  IdleConnectionEnded()
      : std::runtime_error("the server closed the idle connection") {}
};

/// Ends a call that the library would send a second time.
class RepetitionRefused : public std::runtime_error {
public:
  RepetitionRefused()
      : std::runtime_error("the server closed the connection") {}
};

/// Is asked before each sending on a connection. Throws an exception if the
/// request must not be sent; the library ends the call with it.
class SendingGate {
public:
  /// Must be called before the first sending of a call.
  void beginCall(bool IsConnectionUsed) {
    this->MustCheckConnection = IsConnectionUsed;
    this->IsSent = false;
  }

  void pass(boost::asio::ip::tcp::socket &Socket) {
    if (this->IsSent)
      throw RepetitionRefused();
    if (this->MustCheckConnection && Socket.is_open() && !isIdle(Socket))
      throw IdleConnectionEnded();
    this->IsSent = true;
  }

private:
  /// Whether the connection is open and nothing has arrived on it.
  static bool isIdle(boost::asio::ip::tcp::socket &Socket) {
    char Byte = 0;
    const ssize_t Count =
        recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  std::atomic<bool> MustCheckConnection{false};
  std::atomic<bool> IsSent{false};
};

} // namespace Internal

class HttpConnection::Private : public std::enable_shared_from_this<Private> {
public:
  Private(const Address &Server, size_t MaxAnswerBytes, TimerQueue &Timers,
          const ClientTls &Tls);

  web::http::client::http_client_config clientConfig() const;
  void connect();
  void send(const std::shared_ptr<Internal::Call> &Call,
            const web::http::http_request &Request);

  size_t MaxAnswerBytes;
  TimerQueue &Timers;
  ClientTls Tls;
  std::string BaseUri;
  std::atomic<bool> IsFresh{true};
  std::shared_ptr<Internal::SendingGate> Gate =
      std::make_shared<Internal::SendingGate>();
  std::unique_ptr<web::http::client::http_client> Client;
};

void initializeHttpThreads(unsigned Count) {
  crossplat::threadpool::initialize_with_threads(Count);
}

/// Makes closing a connection discard data that has not been delivered: an
/// abandoned request must not reach the server after a network partition has
/// healed.
static void dropUnsentOnClose(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code Failed;
  // The library calls this before it connects, when the socket may not be open
  // yet.
  if (!Socket.is_open())
    Socket.open(boost::asio::ip::tcp::v4(), Failed);
  if (!Failed)
    Socket.set_option(boost::asio::socket_base::linger(true, 0), Failed);
  if (Failed)
    logEvent(LogLevel::Warning, "socket-option-failed",
             {{"cause", Failed.message()}});
}

web::http::client::http_client_config
HttpConnection::Private::clientConfig() const {
  using boost::asio::ip::tcp;
  web::http::client::http_client_config Config;
  // Each call has its own deadline; this time-out only ends requests that
  // nothing else would end.
  constexpr std::chrono::hours MaxCallDuration(1);
  Config.set_timeout(MaxCallDuration);
  Config.set_max_redirects(0);
  if (!this->Tls.IsEnabled) {
    Config.set_nativehandle_options(
        [Gate = this->Gate](web::http::client::native_handle Handle) {
          auto &Socket = *static_cast<tcp::socket *>(Handle);
          Gate->pass(Socket);
          dropUnsentOnClose(Socket);
        });
    return Config;
  }
  Config.set_nativehandle_options([Gate = this->Gate](
                                      web::http::client::native_handle Handle) {
    Gate->pass(static_cast<boost::asio::ssl::stream<tcp::socket &> *>(Handle)
                   ->next_layer());
  });
  const std::string AuthorityFile = this->Tls.AuthorityFile;
  if (!AuthorityFile.empty())
    Config.set_ssl_context_callback(
        [AuthorityFile](boost::asio::ssl::context &Context) {
          Context.load_verify_file(AuthorityFile);
        });
  return Config;
}

HttpConnection::Private::Private(const Address &Server, size_t MaxAnswerBytes,
                                 TimerQueue &Timers, const ClientTls &Tls)
    : MaxAnswerBytes(MaxAnswerBytes), Timers(Timers), Tls(Tls),
      BaseUri((Tls.IsEnabled ? "https://" : "http://") + Server.text()) {
  this->connect();
}

/// Replaces the connection; the library connects when the next request is sent.
void HttpConnection::Private::connect() {
  this->Client = std::make_unique<web::http::client::http_client>(
      this->BaseUri, this->clientConfig());
}

HttpConnection::HttpConnection(const Address &Server, size_t MaxAnswerBytes,
                               TimerQueue &Timers, const ClientTls &Tls)
    : D(std::make_shared<Private>(Server, MaxAnswerBytes, Timers, Tls)) {}

HttpConnection::~HttpConnection() = default;

bool HttpConnection::isFresh() const { return this->D->IsFresh; }

static web::http::http_request toCppRestRequest(const HttpRequest &Request) {
  web::http::http_request Converted(Request.Method);
  Converted.set_request_uri(web::uri(Request.Target));
  const bool HasBody = !Request.Body.empty();
  if (HasBody)
    Converted.set_body(Request.Body);
  for (const HttpHeader &Field : Request.Headers.all())
    Converted.headers()[Field.Name] = Field.Value;
  Converted.headers().remove("Content-Length");
  if (HasBody || Request.Method == "POST" || Request.Method == "PUT")
    Converted.headers().set_content_length(Request.Body.size());
  if (HasBody && !Request.Headers.has("Content-Type"))
    Converted.headers().remove("Content-Type");
  return Converted;
}

static HttpResponse
fromCppRestResponse(const web::http::http_response &Answer) {
  HttpResponse Converted;
  Converted.Status = Answer.status_code();
  for (const auto &Field : Answer.headers())
    Converted.Headers.set(Field.first, Field.second);
  return Converted;
}

static HttpError toHttpError(const Internal::Call &Call,
                             const std::exception_ptr &Thrown) {
  std::string Message;
  bool IsTimeout = Call.IsLate;
  try {
    std::rethrow_exception(Thrown);
  } catch (const web::http::http_exception &Error) {
    Message = Error.what();
    IsTimeout = IsTimeout || Error.error_code() == std::errc::timed_out;
  } catch (const std::exception &Error) {
    Message = Error.what();
  }
  // The kind of the error does not tell: an established connection may report
  // the same errors as one that cannot be made.
  if (!Call.IsLate && !Call.IsOnUsedConnection && !Call.IsHeaderWritten)
    return {HttpErrorCode::NotConnected, Message};
  if (IsTimeout)
    return {HttpErrorCode::TimedOut, "the deadline passed"};
  const bool IsStale = Call.IsOnUsedConnection && !Call.HasAnswerBegun;
  return {HttpErrorCode::Broken, Message, IsStale};
}

/// Result type of a library task, which must be default-constructible.
using PendingResult = std::optional<HttpResult>;

/// Reads the body of \p Answer and waits until the library reports it as
/// complete or failed.
static pplx::task<PendingResult>
readAnswer(const web::http::http_response &Answer, size_t MaxBytes,
           const std::shared_ptr<Internal::Call> &Call) {
  std::function<void()> OnPart;
  if (Call->OnProgress)
    OnPart = [Call] { Call->noteProgress(); };
  return Internal::readBody(*Answer._get_impl(), MaxBytes, std::move(OnPart))
      .then([Answer, Call](Internal::BodyReadResult Body) {
        if (Body.Status == Internal::BodyReadStatus::TooLarge) {
          Call->Cancel.cancel();
          return pplx::task_from_result<PendingResult>(HttpResult(failure(
              HttpError{HttpErrorCode::TooLarge, "the answer is too large"})));
        }
        auto Complete =
            std::make_shared<HttpResponse>(fromCppRestResponse(Answer));
        Complete->Body = std::move(Body.Bytes);
        return Answer.content_ready().then(
            [Complete](const web::http::http_response &) -> PendingResult {
              return HttpResult(std::move(*Complete));
            });
      });
}

/// Ends the call at its deadline. A deadline that has moved is set again on the
/// thread of \p Timers, so that the queue exists then.
static void armDeadline(const std::shared_ptr<Internal::Call> &Call,
                        TimerQueue &Timers) {
  const std::weak_ptr<Internal::Call> Weak = Call;
  const TimePoint Deadline = Call->Deadline;
  Call->Timer = Timers.schedule(Deadline, [Weak, Deadline, &Timers] {
    const std::shared_ptr<Internal::Call> Expired = Weak.lock();
    if (!Expired || Expired->IsDone)
      return;
    if (Expired->Deadline.load() > Deadline) {
      armDeadline(Expired, Timers);
      return;
    }
    Expired->IsLate = true;
    Expired->Cancel.cancel();
    Expired->finish(
        failure(HttpError{HttpErrorCode::TimedOut, "the deadline passed"}));
  });
}

void HttpConnection::Private::send(const std::shared_ptr<Internal::Call> &Call,
                                   const web::http::http_request &Request) {
  this->Gate->beginCall(Call->IsOnUsedConnection);
  // The task chain holds the connection's state, so that the client outlives
  // the call.
  const std::shared_ptr<Private> Self = this->shared_from_this();
  this->Client->request(Request, Call->Cancel.get_token())
      .then([Call, MaxBytes = this->MaxAnswerBytes](
                const web::http::http_response &Answer) {
        Call->HasAnswerBegun = true;
        return readAnswer(Answer, MaxBytes, Call);
      })
      .then([Call, Self, Request](const pplx::task<PendingResult> &Finished) {
        try {
          Call->finish(*Finished.get());
        } catch (const Internal::IdleConnectionEnded &) {
          Call->IsOnUsedConnection = false;
          Self->connect();
          Self->send(Call, Request);
        } catch (...) {
          Call->finish(failure(toHttpError(*Call, std::current_exception())));
        }
      });
}

void HttpConnection::send(const HttpRequest &Request, TimePoint Deadline,
                          HttpCallback Done, ProgressHook OnProgress) {
  auto Call = std::make_shared<Internal::Call>();
  Call->IsOnUsedConnection = !this->D->IsFresh.exchange(false);
  Call->Timers = this->D->Timers.ref();
  Call->Done = std::move(Done);
  Call->Deadline = Deadline;
  Call->OnProgress = std::move(OnProgress);
  web::http::http_request Converted;
  try {
    Converted = toCppRestRequest(Request);
  } catch (const std::exception &Error) {
    Call->finish(failure(HttpError{HttpErrorCode::BadRequest, Error.what()}));
    return;
  }
  // The library reports the first progress when it has written the header, also
  // if no body follows.
  Converted.set_progress_handler(
      [Call](web::http::message_direction::direction Direction,
             uint64_t Bytes) {
        Call->IsHeaderWritten = true;
        if (Direction == web::http::message_direction::download)
          Call->checkReceived(Bytes);
      });
  armDeadline(Call, this->D->Timers);
  this->D->send(Call, Converted);
}

HttpResult sendAndWait(HttpConnection &Connection, const HttpRequest &Request,
                       TimePoint Deadline) {
  auto Promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> Answer = Promise->get_future();
  Connection.send(Request, Deadline, [Promise](HttpResult Outcome) {
    Promise->set_value(std::move(Outcome));
  });
  return Answer.get();
}

HttpResult callAndWait(const Address &Server, const HttpRequest &Request,
                       TimePoint Deadline, TimerQueue &Timers,
                       const ClientTls &Tls) {
  constexpr size_t MaxAnswerBytes = 64U << 20U;
  HttpConnection Connection(Server, MaxAnswerBytes, Timers, Tls);
  return sendAndWait(Connection, Request, Deadline);
}

} // namespace whintack::http
