#include "incominglink.h"

namespace whintack::peers::Internal {

namespace asio = boost::asio;
using boost::system::error_code;

IncomingLink::IncomingLink(asio::ip::tcp::socket Socket,
                           std::shared_ptr<asio::ssl::context> Tls,
                           PayloadHandler Handler)
    : Connection(std::move(Socket), std::move(Tls)),
      Handler(std::move(Handler)) {}

void IncomingLink::start() {
  const auto Self = this->shared_from_this();
  this->Connection.handshake(asio::ssl::stream_base::server,
                             [Self](const error_code &Error) {
                               if (Error)
                                 Self->close();
                               else
                                 Self->readHeader();
                             });
}

void IncomingLink::close() { this->Connection.close(); }

void IncomingLink::readHeader() {
  const auto Self = this->shared_from_this();
  this->Connection.read(
      asio::buffer(this->Header), [Self](const error_code &Error) {
        if (Error || frameLength(Self->Header) > MaxFrameBytes)
          Self->close();
        else
          Self->readPayload();
      });
}

void IncomingLink::readPayload() {
  this->Payload.resize(frameLength(this->Header));
  const auto Self = this->shared_from_this();
  this->Connection.read(asio::buffer(this->Payload),
                        [Self](const error_code &Error) {
                          if (Error || !Self->Handler(Self->Payload))
                            Self->close();
                          else
                            Self->readHeader();
                        });
}

} // namespace whintack::peers::Internal
