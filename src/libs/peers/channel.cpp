#include "channel.h"

namespace whintack::peers::Internal {

namespace asio = boost::asio;

std::shared_ptr<asio::ssl::context> makeTlsContext(const PeerTlsFiles &Files) {
  if (!Files.isEnabled())
    return nullptr;
  auto Context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
  Context->set_options(asio::ssl::context::default_workarounds |
                       asio::ssl::context::no_tlsv1 |
                       asio::ssl::context::no_tlsv1_1);
  Context->use_certificate_chain_file(Files.Certificate);
  Context->use_private_key_file(Files.Key, asio::ssl::context::pem);
  Context->load_verify_file(Files.Authority);
  Context->set_verify_mode(asio::ssl::verify_peer |
                           asio::ssl::verify_fail_if_no_peer_cert);
  return Context;
}

Channel::Channel(asio::ip::tcp::socket Socket,
                 std::shared_ptr<asio::ssl::context> Tls)
    : Socket(std::move(Socket)), Context(std::move(Tls)) {
  if (this->Context)
    this->Tls.emplace(this->Socket, *this->Context);
}

void Channel::handshake(asio::ssl::stream_base::handshake_type Side,
                        TransferDone Done) {
  if (!this->Tls) {
    Done({});
    return;
  }
  this->Tls->async_handshake(Side, std::move(Done));
}

void Channel::read(asio::mutable_buffer Buffer, TransferDone Done) {
  const auto Finish =
      [Done = std::move(Done)](const boost::system::error_code &Error, size_t) {
        Done(Error);
      };
  if (this->Tls)
    asio::async_read(*this->Tls, Buffer, Finish);
  else
    asio::async_read(this->Socket, Buffer, Finish);
}

void Channel::write(asio::const_buffer Buffer, TransferDone Done) {
  const auto Finish =
      [Done = std::move(Done)](const boost::system::error_code &Error, size_t) {
        Done(Error);
      };
  if (this->Tls)
    asio::async_write(*this->Tls, Buffer, Finish);
  else
    asio::async_write(this->Socket, Buffer, Finish);
}

void Channel::close() {
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
}

} // namespace whintack::peers::Internal
