#include "certificatefiles.h"
#include "scriptedserver.h"

#include "whintack/http/httpclient.h"
#include "whintack/http/httpserver.h"

#include <catch2/catch.hpp>
#include <poll.h>

using namespace whintack;
using namespace whintack::http;
using namespace whintack::tests;

namespace {

/// Passes bytes on between clients and a server, and can cut the connections.
class Relay {
public:
  Relay(const Address &Local, const Address &Server)
      : Server(Server), Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    const int Enabled = 1;
    setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &Enabled,
               sizeof(Enabled));
    const sockaddr_in Endpoint = endpoint(Local);
    bind(this->Listener, reinterpret_cast<const sockaddr *>(&Endpoint),
         sizeof(Endpoint));
    listen(this->Listener, 64);
    this->Threads.emplace_back([this] { this->run(); });
  }
  ~Relay() {
    this->IsStopping = true;
    shutdown(this->Listener, SHUT_RDWR);
    this->Threads.front().join();
    for (size_t Index = 1; Index < this->Threads.size(); ++Index)
      this->Threads[Index].join();
    close(this->Listener);
  }

  /// Resets the connections that are open.
  void cut() { this->FirstUncut = this->Connections.load(); }

private:
  static sockaddr_in endpoint(const Address &Socket) {
    sockaddr_in Endpoint{};
    Endpoint.sin_family = AF_INET;
    Endpoint.sin_port = htons(Socket.Port);
    inet_pton(AF_INET, Socket.Ip.c_str(), &Endpoint.sin_addr);
    return Endpoint;
  }

  void run() {
    while (true) {
      const int Client = accept(this->Listener, nullptr, nullptr);
      if (Client < 0)
        return;
      const unsigned Number = this->Connections++;
      this->Threads.emplace_back(
          [this, Client, Number] { this->relay(Client, Number); });
    }
  }

  /// Passes on what has arrived at \p From; returns false at its end.
  static bool pass(int From, int To) {
    char Bytes[4096];
    const ssize_t Count = recv(From, Bytes, sizeof(Bytes), 0);
    return Count > 0 &&
           send(To, Bytes, static_cast<size_t>(Count), MSG_NOSIGNAL) == Count;
  }

  void relay(int Client, unsigned Number) {
    const int Backend = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Endpoint = endpoint(this->Server);
    connect(Backend, reinterpret_cast<const sockaddr *>(&Endpoint),
            sizeof(Endpoint));
    bool IsOpen = true;
    while (IsOpen && !this->IsStopping && Number >= this->FirstUncut) {
      constexpr int PollTimeoutMs = 2;
      pollfd Ready[2] = {{Client, POLLIN, 0}, {Backend, POLLIN, 0}};
      poll(Ready, 2, PollTimeoutMs);
      if (Ready[0].revents != 0)
        IsOpen = pass(Client, Backend);
      if (IsOpen && Ready[1].revents != 0)
        IsOpen = pass(Backend, Client);
    }
    const linger Abort{1, 0};
    setsockopt(Client, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
    close(Client);
    close(Backend);
  }

  Address Server;
  int Listener;
  std::atomic<bool> IsStopping{false};
  std::atomic<unsigned> Connections{0};
  std::atomic<unsigned> FirstUncut{0};
  std::vector<std::thread> Threads;
};

} // namespace

// Guards against a second copy of a request on a connection that uses TLS.
TEST_CASE("a request on a reused connection with TLS is sent once") {
  const Address Backend = ownAddress(12, 18120);
  const Address Front = ownAddress(12, 18121);
  const CertificateFiles Files(Front);
  TimerQueue Timers(systemClock());
  std::atomic<unsigned> Requests{0};
  Relay Path(Front, Backend);
  std::vector<Responder> Unanswered;
  HttpServer Server(
      Backend, ServerLimits(), systemClock(), Timers,
      [&](const HttpRequest &, const Responder &Respond) {
        if (++Requests == 2) {
          Unanswered.push_back(Respond);
          Path.cut();
        } else {
          Respond(jsonResponse(
              Requests == 1 ? status::Ok : status::ServiceUnavailable, "{}"));
        }
      },
      {Files.Certificate, Files.Key});
  REQUIRE(Server.open());
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/";
  Request.Body = "{}";
  const ClientTls Tls{true, Files.Certificate};
  const TimePoint Deadline = systemClock().Now() + std::chrono::seconds(10);
  HttpConnection Used(Front, 1 << 20, Timers, Tls);
  const HttpResult First = sendAndWait(Used, Request, Deadline);
  REQUIRE(First);
  REQUIRE(First.value().Status == status::Ok);
  const HttpResult Lost = sendAndWait(Used, Request, Deadline);
  const HttpResult Last = callAndWait(Front, Request, Deadline, Timers, Tls);
  REQUIRE(Last);
  Unanswered.clear();
  CHECK(Requests == 3);
  REQUIRE_FALSE(Lost);
  CHECK(Lost.error().Code == HttpErrorCode::Broken);
}
