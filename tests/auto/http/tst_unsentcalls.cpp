#include "certificatefiles.h"
#include "failingsockets.h"
#include "scriptedserver.h"

#include "whintack/http/callclient.h"
#include "whintack/http/httpserver.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::http;
using namespace whintack::tests;

static HttpRequest makeRequest(const std::string &Method,
                               const std::string &Body) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Target = "/";
  Request.Body = Body;
  return Request;
}

static HttpResult callOnce(const Address &Server, const HttpRequest &Request,
                           const ClientTls &Tls = {}) {
  TimerQueue Timers(systemClock());
  return callAndWait(Server, Request,
                     systemClock().Now() + std::chrono::seconds(10), Timers,
                     Tls);
}

// Guards against a request that the server has carried out and that counts as
// never sent, because its new connection reports an error of connecting.
TEST_CASE("a request that was read never counts as unsent") {
  const int Error = GENERATE(EHOSTUNREACH, ENETUNREACH, ETIMEDOUT, ECONNREFUSED,
                             ECONNRESET, EPIPE);
  const HttpRequest Request =
      GENERATE(makeRequest("GET", ""), makeRequest("POST", ""),
               makeRequest("POST", "{}"),
               makeRequest("POST", std::string(1 << 20, '.')));
  CAPTURE(Error, Request.Method, Request.Body.size());
  const FailingSockets Sockets(SocketCall::Receive, Error);
  SECTION("without TLS") {
    const Address Local = ownAddress(31, 18130);
    ScriptedServer Server(Local, [&Sockets](const std::string &, unsigned) {
      Sockets.arm();
      return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                            false, false};
    });
    REQUIRE(Server.isOpen());
    const HttpResult Lost = callOnce(Local, Request);
    CHECK(Server.executions() == 1);
    REQUIRE_FALSE(Lost);
    CHECK_FALSE(Lost.error().isNeverSent());
  }
  SECTION("with TLS") {
    const Address Local = ownAddress(32, 18130);
    const CertificateFiles Files(Local);
    TimerQueue Timers(systemClock());
    std::atomic<unsigned> Executions{0};
    HttpServer Server(Local, ServerLimits(), systemClock(), Timers,
                      [&](const HttpRequest &, const Responder &Respond) {
                        ++Executions;
                        Sockets.arm();
                        Respond(jsonResponse(status::Ok, "{}"));
                      },
                      {Files.Certificate, Files.Key});
    REQUIRE(Server.open());
    const HttpResult Lost =
        callOnce(Local, Request, ClientTls{true, Files.Certificate});
    CHECK(Executions == 1);
    REQUIRE_FALSE(Lost);
    CHECK_FALSE(Lost.error().isNeverSent());
  }
}

// Guards against an unknown outcome of each call to a server that is down.
TEST_CASE("a request without a connection counts as unsent") {
  const std::string Method = GENERATE("GET", "POST");
  const Address Local = ownAddress(33, 18130);
  CAPTURE(Method);
  SECTION("refused") {
    const HttpResult Outcome = callOnce(Local, makeRequest(Method, ""));
    REQUIRE_FALSE(Outcome);
    CHECK(Outcome.error().isNeverSent());
  }
  SECTION("not reached") {
    const int Error = GENERATE(EHOSTUNREACH, ENETUNREACH, ETIMEDOUT,
                               EADDRNOTAVAIL, ECONNRESET);
    CAPTURE(Error);
    const FailingSockets Sockets(SocketCall::Connect, Error);
    Sockets.arm();
    const HttpResult Outcome = callOnce(Local, makeRequest(Method, ""));
    REQUIRE_FALSE(Outcome);
    CHECK(Outcome.error().isNeverSent());
  }
  SECTION("name not resolved") {
    const FailingSockets Sockets(SocketCall::Resolve, 0);
    Sockets.arm();
    const HttpResult Outcome =
        callOnce({"vm.example", Local.Port}, makeRequest(Method, ""));
    REQUIRE_FALSE(Outcome);
    CHECK(Outcome.error().isNeverSent());
  }
}

// Guards against an unknown outcome of a call whose connection fails at once.
TEST_CASE("a request that cannot be written counts as unsent") {
  const int Error = GENERATE(EHOSTUNREACH, EPIPE, ECONNRESET);
  CAPTURE(Error);
  const Address Local = ownAddress(34, 18130);
  ScriptedServer Server(
      Local, [](const std::string &, unsigned) { return ScriptedAnswer(); });
  REQUIRE(Server.isOpen());
  const FailingSockets Sockets(SocketCall::Send, Error);
  Sockets.arm();
  const HttpResult Outcome = callOnce(Local, makeRequest("POST", "{}"));
  CHECK(Server.executions() == 0);
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().isNeverSent());
}
