#include "connection.h"

#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <optional>

namespace whintack::http::Internal {

namespace beast = boost::beast;

using boost::system::error_code;
using Parser = beast::http::request_parser<beast::http::string_body>;
using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

/// Time for which the rest of a refused request is read and dropped, so that
/// the client sees the answer before the connection is reset.
static constexpr auto LingerTime = std::chrono::seconds(2);

namespace {

/// Why a request is answered without the handler.
struct Rejection {
  int Status = 0;
  std::string Reason;

  HttpResponse response() const {
    return jsonResponse(this->Status, R"({"outcome":"not-run","reason":")" +
                                          this->Reason + "\"}");
  }
};

/// One complete request. Only the first answer is sent.
class Exchange {
public:
  Exchange(std::function<void(HttpResponse)> Send,
           std::function<void(int Status, const std::string &)> OnRejected)
      : Send(std::move(Send)), OnRejected(std::move(OnRejected)) {}

  ~Exchange() {
    // The request may have taken effect.
    this->fail(status::GatewayTimeout, "the request was dropped");
  }

  void answer(HttpResponse Response) {
    if (!this->IsAnswered.exchange(true))
      this->Send(std::move(Response));
  }

  void fail(int Status, const std::string &Reason) {
    if (this->IsAnswered.exchange(true))
      return;
    this->OnRejected(Status, Reason);
    this->Send(jsonResponse(Status, R"({"reason":")" + Reason + "\"}"));
  }

private:
  std::function<void(HttpResponse)> Send;
  std::function<void(int Status, const std::string &)> OnRejected;
  std::atomic<bool> IsAnswered{false};
};

} // namespace

/// Returns the answer to a request that could not be read, or nothing if the
/// connection has ended.
static std::optional<Rejection> rejectionFor(const error_code &Error) {
  using beast::http::error;
  if (Error == error::body_limit)
    return Rejection{status::ContentTooLarge, "the body is too large"};
  if (Error == error::header_limit || Error == error::buffer_overflow)
    return Rejection{status::BadRequest, "the header fields are too large"};
  if (Error == error::bad_content_length)
    return Rejection{status::BadRequest, "Content-Length is not a length"};
  if (Error == error::bad_transfer_encoding)
    return Rejection{status::BadRequest,
                     "Content-Length stands beside Transfer-Encoding"};
  if (Error == error::bad_chunk)
    return Rejection{status::BadRequest, "a chunk has no valid size"};
  if (Error == error::partial_message)
    return Rejection{status::BadRequest, "the request broke off"};
  if (Error == error::end_of_stream ||
      Error.category() != make_error_code(error::bad_chunk).category())
    return std::nullopt;
  return Rejection{status::BadRequest, "the request is malformed"};
}

static HttpRequest toRequest(const Parser::value_type &Message) {
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message) {
    const std::string Name(Field.name_string());
    const std::string Value(Field.value());
    const auto Earlier = Request.Headers.find(Name);
    Request.Headers.set(Name, Earlier ? *Earlier + ", " + Value : Value);
  }
  return Request;
}

namespace {

template <typename Stream>
class StreamConnection
    : public Connection,
      public std::enable_shared_from_this<StreamConnection<Stream>> {
public:
  template <typename... Arguments>
  StreamConnection(const ServerLimits &Limits, ConnectionHooks Hooks,
                   Arguments &&...StreamArguments)
      : Limits(Limits), Hooks(std::move(Hooks)),
        Wire(std::forward<Arguments>(StreamArguments)...),
        BodyTimer(Wire.get_executor()), Buffer(Limits.MaxHeaderBytes) {
    error_code Ignored;
    const auto Remote = this->tcp().socket().remote_endpoint(Ignored);
    this->RemoteIp = Remote.address().to_string(Ignored);
  }

  void start() override {
    boost::asio::post(this->Wire.get_executor(),
                      [Self = this->shared_from_this()] { Self->begin(); });
  }

  void close() override {
    boost::asio::post(this->Wire.get_executor(),
                      [Self = this->shared_from_this()] { Self->end(); });
  }

private:
  PlainStream &tcp() { return beast::get_lowest_layer(this->Wire); }

  void begin() {
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      this->tcp().expires_after(this->Limits.BodyTimeout);
      this->Wire.async_handshake(
          boost::asio::ssl::stream_base::server,
          [Self = this->shared_from_this()](const error_code &Error) {
            Self->tcp().expires_never();
            if (!Error)
              Self->readHead();
          });
    } else {
      this->readHead();
    }
  }

  void end() {
    error_code Ignored;
    this->BodyTimer.cancel(Ignored);
    this->tcp().close();
  }

  void readHead() {
    this->Reading.emplace();
    this->Reading->header_limit(
        static_cast<uint32_t>(this->Limits.MaxHeaderBytes));
    this->Reading->body_limit(this->Limits.MaxBodyBytes);
    beast::http::async_read_header(
        this->Wire, this->Buffer, *this->Reading,
        [Self = this->shared_from_this()](const error_code &Error, size_t) {
          if (Error)
            Self->refuse(Error);
          else
            Self->readBody();
        });
  }

  void readBody() {
    this->InFlight = this->Hooks.OnHeadRead();
    const auto &Head = this->Reading->get();
    if (Head.count(beast::http::field::transfer_encoding) > 0 &&
        !this->Reading->chunked()) {
      this->refuse(
          Rejection{status::BadRequest, "the Transfer-Encoding is not known"});
      return;
    }
    if (this->Reading->is_done()) {
      this->handle();
      return;
    }
    this->IsLate = false;
    this->IsReadingBody = true;
    this->BodyTimer.expires_at(std::chrono::steady_clock::now() +
                               this->Limits.BodyTimeout);
    this->BodyTimer.async_wait(
        [Weak = this->weak_from_this()](const error_code &Error) {
          const auto Self = Weak.lock();
          // The call may belong to the body of an earlier request.
          if (Error || !Self || !Self->IsReadingBody ||
              Self->BodyTimer.expiry() > std::chrono::steady_clock::now())
            return;
          Self->IsLate = true;
          Self->tcp().cancel();
        });
    beast::http::async_read(
        this->Wire, this->Buffer, *this->Reading,
        [Self = this->shared_from_this()](const error_code &Error, size_t) {
          error_code Ignored;
          Self->IsReadingBody = false;
          Self->BodyTimer.cancel(Ignored);
          if (!Error)
            Self->handle();
          else if (Self->IsLate)
            Self->refuse(Rejection{status::RequestTimeout,
                                   "the body did not arrive in time"});
          else
            Self->refuse(Error);
        });
  }

  void handle() {
    HttpRequest Request = toRequest(this->Reading->get());
    Request.RemoteIp = this->RemoteIp;
    HttpRequest Named;
    Named.Method = Request.Method;
    Named.Target = Request.Target;
    Request.Body = std::move(this->Reading->get().body());
    const auto Self = this->shared_from_this();
    const auto Pending = std::make_shared<Exchange>(
        [Self](HttpResponse Response) {
          boost::asio::post(Self->Wire.get_executor(),
                            [Self, Response = std::move(Response)] {
                              Self->send(Response,
                                         Self->Reading->get().keep_alive());
                            });
        },
        [Self, Named = std::move(Named)](int Status,
                                         const std::string &Reason) {
          Self->Hooks.OnRejected(Named, Status, Reason);
        });
    try {
      this->Hooks.OnRequest(std::move(Request),
                            [Pending](HttpResponse Response) {
                              Pending->answer(std::move(Response));
                            });
    } catch (...) {
      Pending->fail(status::InternalError, "the request could not be handled");
    }
  }

  void refuse(const error_code &Error) {
    if (const std::optional<Rejection> Cause = rejectionFor(Error))
      this->refuse(*Cause);
    else
      this->InFlight.reset();
  }

  void refuse(const Rejection &Cause) {
    this->Hooks.OnRejected(toRequest(this->Reading->get()), Cause.Status,
                           Cause.Reason);
    this->send(Cause.response(), false);
  }

  void send(const HttpResponse &Response, bool IsKept) {
    const auto &Request = this->Reading->get();
    const auto Message =
        std::make_shared<beast::http::response<beast::http::string_body>>();
    Message->result(static_cast<unsigned>(Response.Status));
    for (const HttpHeader &Field : Response.Headers.all())
      Message->insert(Field.Name, Field.Value);
    const bool HasNoBody = Response.Status == status::NoContent ||
                           Response.Status == status::NotModified ||
                           Request.method() == beast::http::verb::head;
    if (!HasNoBody) {
      Message->body() = Response.Body;
      Message->content_length(Response.Body.size());
    }
    Message->version(Request.version() == 10 ? 10 : 11);
    Message->keep_alive(IsKept);
    beast::http::async_write(this->Wire, *Message,
                             [Self = this->shared_from_this(), Message,
                              IsKept](const error_code &Error, size_t) {
                               Self->InFlight.reset();
                               if (!Error && IsKept)
                                 Self->readHead();
                               else if (!Error)
                                 Self->linger();
                             });
  }

  void linger() {
    error_code Ignored;
    this->tcp().socket().shutdown(boost::asio::socket_base::shutdown_send,
                                  Ignored);
    this->tcp().expires_at(std::chrono::steady_clock::now() + LingerTime);
    this->drop();
  }

  void drop() {
    this->tcp().async_read_some(
        boost::asio::buffer(this->Dropped),
        [Self = this->shared_from_this()](const error_code &Error, size_t) {
          if (!Error)
            Self->drop();
        });
  }

  ServerLimits Limits;
  ConnectionHooks Hooks;
  Stream Wire;
  boost::asio::steady_timer BodyTimer;
  beast::flat_buffer Buffer;
  std::string RemoteIp;
  std::optional<Parser> Reading;
  std::shared_ptr<void> InFlight;
  bool IsReadingBody = false;
  bool IsLate = false;
  std::array<char, 4096> Dropped{};
};

} // namespace

std::shared_ptr<Connection>
makeConnection(boost::asio::ip::tcp::socket Socket,
               const std::shared_ptr<boost::asio::ssl::context> &Tls,
               const ServerLimits &Limits, ConnectionHooks Hooks) {
  if (Tls)
    return std::make_shared<StreamConnection<TlsStream>>(
        Limits, std::move(Hooks), std::move(Socket), *Tls);
  return std::make_shared<StreamConnection<PlainStream>>(
      Limits, std::move(Hooks), std::move(Socket));
}

} // namespace whintack::http::Internal
