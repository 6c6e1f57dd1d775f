#include "outgoinglink.h"

namespace whintack::peers::Internal {

namespace asio = boost::asio;
using boost::system::error_code;

static constexpr Duration InitialConnectRetryDelay =
    std::chrono::milliseconds(50);
static constexpr Duration MaxConnectRetryDelay = std::chrono::seconds(2);
static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// A link with more queued bytes than this is considered stuck and is
/// reconnected.
static constexpr size_t MaxQueuedBytes = 64U << 20U;

OutgoingLink::OutgoingLink(asio::io_context &Context, PeerEndpoint Peer,
                           std::shared_ptr<asio::ssl::context> Tls,
                           std::string HelloFrame, Random Source)
    : Context(Context), Peer(std::move(Peer)), Tls(std::move(Tls)),
      HelloFrame(std::move(HelloFrame)),
      RetryBackoff(InitialConnectRetryDelay, MaxConnectRetryDelay,
                   std::move(Source)),
      RetryTimer(Context), ConnectTimer(Context) {}

void OutgoingLink::start() { this->connect(); }

void OutgoingLink::stop() {
  this->IsStopped = true;
  this->RetryTimer.cancel();
  this->ConnectTimer.cancel();
  if (this->CurrentConnection)
    this->CurrentConnection->close();
}

void OutgoingLink::connect() {
  if (this->IsStopped)
    return;
  auto Connection = std::make_shared<Channel>(
      asio::ip::tcp::socket(this->Context), this->Tls);
  this->CurrentConnection = Connection;
  const auto Self = this->shared_from_this();
  this->ConnectTimer.expires_after(ConnectTimeout);
  this->ConnectTimer.async_wait([Self, Connection](const error_code &Error) {
    if (!Error && Connection == Self->CurrentConnection && !Self->IsConnected)
      Self->fail(Connection);
  });
  const asio::ip::tcp::endpoint Endpoint(
      asio::ip::make_address(this->Peer.Link.Ip), this->Peer.Link.Port);
  Connection->socket().async_connect(Endpoint, [Self, Connection](
                                                   const error_code &Error) {
    if (Error) {
      Self->fail(Connection);
      return;
    }
    error_code Ignored;
    Connection->socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
    Connection->handshake(asio::ssl::stream_base::client,
                          [Self, Connection](const error_code &HandshakeError) {
                            if (HandshakeError)
                              Self->fail(Connection);
                            else
                              Self->sendHello(Connection);
                          });
  });
}

void OutgoingLink::sendHello(const SharedChannel &Connection) {
  if (Connection != this->CurrentConnection)
    return;
  this->IsConnected = true;
  this->ConnectTimer.cancel();
  this->RetryBackoff.reset();
  this->send(std::make_shared<const std::string>(this->HelloFrame));
}

bool OutgoingLink::send(std::shared_ptr<const std::string> Frame) {
  if (!this->IsConnected)
    return false;
  this->QueuedBytes += Frame->size();
  this->Queue.push_back(std::move(Frame));
  if (this->QueuedBytes > MaxQueuedBytes) {
    this->fail(this->CurrentConnection);
    return false;
  }
  if (!this->IsWriting)
    this->writeNext(this->CurrentConnection);
  return true;
}

void OutgoingLink::writeNext(const SharedChannel &Connection) {
  if (Connection != this->CurrentConnection)
    return;
  this->IsWriting = !this->Queue.empty();
  if (!this->IsWriting)
    return;
  const std::shared_ptr<const std::string> Next = this->Queue.front();
  this->Queue.pop_front();
  this->QueuedBytes -= Next->size();
  const auto Self = this->shared_from_this();
  Connection->write(asio::buffer(*Next),
                    [Self, Connection, Next](const error_code &Error) {
                      if (Error)
                        Self->fail(Connection);
                      else
                        Self->writeNext(Connection);
                    });
}

void OutgoingLink::restart() {
  if (this->CurrentConnection && this->IsConnected)
    this->fail(this->CurrentConnection);
}

void OutgoingLink::fail(const SharedChannel &FailedConnection) {
  FailedConnection->close();
  if (FailedConnection != this->CurrentConnection)
    return;
  this->CurrentConnection.reset();
  this->IsConnected = false;
  this->IsWriting = false;
  this->QueuedBytes = 0;
  this->Queue.clear();
  if (this->IsStopped)
    return;
  const auto Self = this->shared_from_this();
  this->RetryTimer.expires_after(this->RetryBackoff.next());
  this->RetryTimer.async_wait([Self](const error_code &Error) {
    if (!Error)
      Self->connect();
  });
}

} // namespace whintack::peers::Internal
