#include "logcapture.h"
#include "manualclock.h"
#include "scriptedserver.h"
#include "whintack/http/httpclient.h"
#include "whintack/http/httpserver.h"

#include <catch2/catch.hpp>
#include <future>
#include <poll.h>

using namespace whintack;
using namespace whintack::http;

namespace {

/// A server that answers with the method, target and body of the request.
struct Fixture {
  explicit Fixture(unsigned Host, ServerLimits Limits = {})
      : Local(tests::ownAddress(Host, 9100)),
        Server(Local, Limits, Time, Timers,
               [](HttpRequest Request, const Responder &Respond) {
                 Respond(jsonResponse(status::Ok, Request.Method + " " +
                                                      Request.Target + " " +
                                                      Request.Body));
               }) {
    static const bool IsPrepared = [] {
      initializeHttpThreads(4);
      return true;
    }();
    REQUIRE(IsPrepared);
    REQUIRE(this->Server.open());
  }

  /// Sends bytes as they are and returns the first line of the answer.
  std::string raw(const std::string &Bytes) const {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Endpoint{};
    Endpoint.sin_family = AF_INET;
    Endpoint.sin_port = htons(this->Local.Port);
    inet_pton(AF_INET, this->Local.Ip.c_str(), &Endpoint.sin_addr);
    connect(Socket, reinterpret_cast<sockaddr *>(&Endpoint), sizeof(Endpoint));
    send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    std::string Answer;
    while (Answer.find("\r\n") == std::string::npos) {
      // The library sends the answer to a refused request only when further
      // bytes of its body arrive.
      send(Socket, "1\r\nx\r\n", 6, MSG_NOSIGNAL);
      pollfd Ready{Socket, POLLIN, 0};
      constexpr int PollTimeoutMs = 5;
      if (poll(&Ready, 1, PollTimeoutMs) == 0)
        continue;
      char Chunk[4096];
      const ssize_t Count = recv(Socket, Chunk, sizeof(Chunk), 0);
      if (Count <= 0)
        break;
      Answer.append(Chunk, static_cast<size_t>(Count));
    }
    close(Socket);
    return Answer.substr(0, Answer.find("\r\n"));
  }

  HttpResult call(const HttpRequest &Request) {
    return callAndWait(this->Local, Request,
                       this->Time.Now() + std::chrono::seconds(10),
                       this->Timers);
  }

  Clock Time = systemClock();
  TimerQueue Timers{Time};
  Address Local;
  HttpServer Server;
};

} // namespace

TEST_CASE("requests arrive complete and unchanged") {
  Fixture Test(1);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/a%2Fb?x=%20y";
  Request.Body = std::string(100000, 'z');
  const HttpResult Answer = Test.call(Request);
  REQUIRE(Answer);
  REQUIRE(Answer.value().Body == "POST /a%2Fb?x=%20y " + Request.Body);
}

TEST_CASE("bad lengths and encodings are refused before the body is read") {
  Fixture Test(2);
  REQUIRE(Test.raw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n")
              .find(" 400 ") != std::string::npos);
  REQUIRE(Test.raw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n")
              .find(" 400 ") != std::string::npos);
}

TEST_CASE("oversized bodies and heads are refused") {
  ServerLimits Limits;
  Limits.MaxBodyBytes = 1000;
  Fixture Test(3, Limits);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/";
  Request.Body = std::string(1001, 'x');
  REQUIRE(Test.call(Request).value().Status == status::ContentTooLarge);
  REQUIRE(Test.raw("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n800\r\n" +
                   std::string(0x800, 'y') + "\r\n0\r\n\r\n")
              .find(" 413 ") != std::string::npos);
  REQUIRE(Test.raw("GET / HTTP/1.1\r\nHost: h\r\nBig: " +
                   std::string(100000, 'h') + "\r\n\r\n")
              .find(" 400 ") != std::string::npos);
}

TEST_CASE("a body that does not arrive in time is refused") {
  ServerLimits Limits;
  Limits.BodyTimeout = std::chrono::milliseconds(50);
  Fixture Test(4, Limits);
  REQUIRE(
      Test.raw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\nab")
          .find(" 408 ") != std::string::npos);
}

TEST_CASE("closing waits for requests in flight") {
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  const Address Local = tests::ownAddress(5, 9100);
  std::promise<Responder> Taken;
  HttpServer Server(Local, {}, Time, Timers,
                    [&Taken](const HttpRequest &, const Responder &Respond) {
                      Taken.set_value(Respond);
                    });
  REQUIRE(Server.open());
  HttpRequest Request;
  Request.Method = "GET";
  Request.Target = "/";
  auto Answer = std::async(std::launch::async, [&] {
    return callAndWait(Local, Request, Time.Now() + std::chrono::seconds(10),
                       Timers);
  });
  const Responder Respond = Taken.get_future().get();
  auto Closed = std::async(std::launch::async, [&] {
    return Server.close(Time.Now() + std::chrono::seconds(10));
  });
  REQUIRE(Server.inFlight() == 1);
  Respond(jsonResponse(status::Ok, "late but whole"));
  REQUIRE(Closed.get() == 0);
  const HttpResult Complete = Answer.get();
  REQUIRE(Complete);
  REQUIRE(Complete.value().Body == "late but whole");
}

TEST_CASE("hop-by-hop fields and those named by Connection are removed") {
  HttpHeaders Headers;
  Headers.set("Connection", "close, X-Private");
  Headers.set("X-Private", "1");
  Headers.set("Transfer-Encoding", "chunked");
  Headers.set("X-Kept", "2");
  Headers.removeHopByHop();
  REQUIRE(Headers.all().size() == 1);
  REQUIRE(Headers.find("x-kept") == "2");
}

// Guards against refusals that leave no line because no handler sees them
// (issue 55).
TEST_CASE("what the server answers itself is logged, up to a limit") {
  const tests::LogCapture Log;
  const std::string Event = "http-request-rejected";
  ServerLimits Limits;
  Limits.MaxBodyBytes = 1000;
  Limits.BodyTimeout = std::chrono::milliseconds(50);
  const auto Field = [&Log, &Event](const std::string &Key) {
    return tests::LogCapture::field(Log.lines(Event).back(), Key);
  };
  SECTION("a bad length") {
    Fixture Test(6, Limits);
    Test.raw("POST /" + std::string(200, 'p') +
             " HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n");
    REQUIRE(Log.lines(Event).size() == 1);
    CHECK(Field("method") == "POST");
    CHECK(Field("target") == "/" + std::string(79, 'p'));
    CHECK(Field("status") == "400");
  }
  SECTION("a body that is too large") {
    Fixture Test(7, Limits);
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/a";
    Request.Body = std::string(1001, 'x');
    REQUIRE(Test.call(Request).value().Status == status::ContentTooLarge);
    REQUIRE(Log.lines(Event).size() == 1);
    CHECK(Field("target") == "/a");
    CHECK(Field("status") == "413");
  }
  SECTION("a body that does not arrive") {
    Fixture Test(8, Limits);
    Test.raw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 999\r\n\r\nab");
    REQUIRE(Log.lines(Event).size() == 1);
    CHECK(Field("status") == "408");
  }
  SECTION("a request that is dropped") {
    const Clock Time = systemClock();
    TimerQueue Timers(Time);
    const Address Local = tests::ownAddress(9, 9100);
    HttpServer Server(Local, {}, Time, Timers,
                      [](const HttpRequest &, const Responder &) {});
    REQUIRE(Server.open());
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = "/a";
    const HttpResult Answer = callAndWait(
        Local, Request, Time.Now() + std::chrono::seconds(10), Timers);
    REQUIRE(Answer.value().Status == status::GatewayTimeout);
    REQUIRE(Log.lines(Event).size() == 1);
    CHECK(Field("method") == "GET");
    CHECK(Field("status") == "504");
  }
  SECTION("many requests") {
    tests::ManualClock Time;
    TimerQueue Timers(systemClock());
    const Address Local = tests::ownAddress(10, 9100);
    HttpServer Server(Local, {}, Time.clock(), Timers,
                      [](const HttpRequest &, const Responder &) {});
    REQUIRE(Server.open());
    const auto Send = [&] {
      HttpRequest Request;
      Request.Method = "GET";
      Request.Target = "/";
      return callAndWait(Local, Request,
                         systemClock().Now() + std::chrono::seconds(10),
                         Timers);
    };
    for (int Request = 0; Request < 30; ++Request)
      REQUIRE(Send().value().Status == status::GatewayTimeout);
    CHECK(Log.lines(Event).size() == 20);
    Time.advance(std::chrono::seconds(1));
    REQUIRE(Send());
    REQUIRE(Log.lines(Event).size() == 21);
    CHECK(Field("not-logged") == "10");
  }
}

// Guards against an answer that says more than the server knows: the request
// may have taken effect (issue 55).
TEST_CASE("a request whose handler is gone is answered as a time-out") {
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  const Address Local = tests::ownAddress(11, 9100);
  HttpServer Server(Local, {}, Time, Timers,
                    [](const HttpRequest &, const Responder &) {});
  REQUIRE(Server.open());
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/";
  Request.Body = "job";
  const HttpResult Answer = callAndWait(
      Local, Request, Time.Now() + std::chrono::seconds(10), Timers);
  REQUIRE(Answer);
  CHECK(Answer.value().Status == status::GatewayTimeout);
}
