#include "scriptedserver.h"

#include "whintack/http/callclient.h"
#include "whintack/store/httpplatform.h"

#include <catch2/catch.hpp>
#include <future>

using namespace whintack;
using namespace whintack::http;
using namespace whintack::tests;

namespace {

ScriptedAnswer answer(int Status, const std::string &Body = "{}",
                      const std::string &Header = "") {
  return {"HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Header +
              "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
              Body,
          false, false};
}

ScriptedAnswer closing(bool Resets) { return {"", true, Resets}; }

/// A server that responds to the requests in turn, whatever connection they
/// arrive on, and answers those beyond the last response with 503.
class Fixture {
public:
  Fixture(unsigned Host, std::vector<ScriptedAnswer> Responses)
      : Local(ownAddress(Host, 18100)), Responses(std::move(Responses)),
        Server(this->Local, [this](const std::string &Request, unsigned) {
          const std::lock_guard<std::mutex> Lock(this->Mutex);
          this->Received.push_back(Request);
          return this->Received.size() <= this->Responses.size()
                     ? this->Responses[this->Received.size() - 1]
                     : answer(status::ServiceUnavailable);
        }) {
    REQUIRE(this->Server.isOpen());
  }

  HttpResult call(const std::string &Method, const std::string &Body) {
    std::promise<HttpResult> Promise;
    this->Calls.call(this->Local, makeRequest(Method, Body),
                     systemClock().Now() + std::chrono::seconds(10),
                     [&Promise](HttpResult Outcome) {
                       Promise.set_value(std::move(Outcome));
                     });
    return Promise.get_future().get();
  }

  /// Checks that the server has read \p Count requests. A call that the server
  /// refuses comes first, so that no copy of an earlier request is still on its
  /// way.
  void checkReceived(unsigned Count) {
    const HttpResult Last = this->call("POST", "last");
    REQUIRE(Last);
    CHECK(Last.value().Status == status::ServiceUnavailable);
    CHECK(this->Server.executions() == Count + 1);
  }

  static HttpRequest makeRequest(const std::string &Method,
                                 const std::string &Body) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Target = "/";
    Request.Body = Body;
    return Request;
  }

  Address Local;
  std::vector<ScriptedAnswer> Responses;
  std::mutex Mutex;
  std::vector<std::string> Received;
  ScriptedServer Server;
  TimerQueue Timers{systemClock()};
  CallClient Calls{systemClock(), Timers, 1 << 20};
};

} // namespace

// Guards against a refusal of a second copy that is taken as one of the first.
TEST_CASE("a request on a reused connection is sent once") {
  const bool Resets = GENERATE(true, false);
  const std::string Method = GENERATE("POST", "PUT", "DELETE");
  const std::string Body = GENERATE("{}", "");
  CAPTURE(Resets, Method, Body);
  Fixture Test(1, {answer(status::Ok), closing(Resets)});
  REQUIRE(Test.call("POST", "{}"));
  const HttpResult Lost = Test.call(Method, Body);
  Test.checkReceived(2);
  REQUIRE_FALSE(Lost);
  CHECK(Lost.error().Code == HttpErrorCode::Broken);
}

// Guards against a connection that repeats requests for its other users.
TEST_CASE("a connection sends each request once") {
  const std::string Method = GENERATE("POST", "GET");
  Fixture Test(2, {answer(status::Ok), closing(true)});
  HttpConnection Used(Test.Local, 1 << 20, Test.Timers);
  const TimePoint Deadline = systemClock().Now() + std::chrono::seconds(10);
  REQUIRE(sendAndWait(Used, Fixture::makeRequest(Method, ""), Deadline));
  const HttpResult Lost =
      sendAndWait(Used, Fixture::makeRequest(Method, ""), Deadline);
  Test.checkReceived(2);
  REQUIRE_FALSE(Lost);
  CHECK(Lost.error().Code == HttpErrorCode::Broken);
}

// Guards against a second copy of a request that the server reads in part.
TEST_CASE("a request that is reset while it is sent is sent once") {
  Fixture Test(3, {answer(status::Ok)});
  REQUIRE(Test.call("POST", "{}"));
  Test.Server.resetLargerRequests(1 << 16);
  const HttpResult Lost = Test.call("POST", std::string(1 << 24, '.'));
  Test.checkReceived(1);
  REQUIRE_FALSE(Lost);
  CHECK(Lost.error().Code == HttpErrorCode::Broken);
}

// Guards against a call that fails although nothing of it was sent.
TEST_CASE("a request is sent whole if its connection was closed while idle") {
  const bool Resets = GENERATE(true, false);
  const std::string Body = GENERATE("{}", "");
  CAPTURE(Resets, Body);
  Fixture Test(4, {answer(status::Ok), answer(status::Ok)});
  REQUIRE(Test.call("POST", Body));
  Test.Server.endConnections(Resets);
  const HttpResult Outcome = Test.call("POST", Body);
  REQUIRE(Outcome);
  CHECK(Outcome.value().Status == status::Ok);
  Test.checkReceived(2);
  CHECK(Test.Received[1] == Test.Received[0]);
}

// Guards against an unknown outcome for a request that was certainly not sent.
TEST_CASE("a server that goes away while a connection is idle reads nothing") {
  const bool Resets = GENERATE(true, false);
  CAPTURE(Resets);
  Fixture Test(5, {answer(status::Ok)});
  REQUIRE(Test.call("POST", "{}"));
  Test.Server.refuseConnections();
  Test.Server.endConnections(Resets);
  const HttpResult Outcome = Test.call("POST", "{}");
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Code == HttpErrorCode::NotConnected);
  CHECK(Test.Server.executions() == 1);
}

// Guards against an answer that was sent before the server read the request.
TEST_CASE("what a server sends on an idle connection answers no request") {
  ScriptedAnswer Early = answer(status::Ok);
  const size_t PartBytes = Early.Bytes.size();
  Early.Bytes +=
      answer(status::ServiceUnavailable, std::string(2 * PartBytes, '.')).Bytes;
  Fixture Test(6, {Early, answer(status::Ok)});
  std::promise<void> IsAnswered;
  std::promise<void> IsSent;
  Test.Server.sendInParts(PartBytes, [&, Part = 1U]() mutable {
    ++Part;
    if (Part == 2)
      IsAnswered.get_future().wait();
    else if (Part == 3)
      IsSent.set_value();
  });
  REQUIRE(Test.call("POST", "{}"));
  IsAnswered.set_value();
  IsSent.get_future().wait();
  const HttpResult Outcome = Test.call("POST", "{}");
  REQUIRE(Outcome);
  CHECK(Outcome.value().Status == status::Ok);
}

// Guards against reads that fail whenever a server ends its connections.
TEST_CASE("a GET whose reused connection breaks is sent again once") {
  const bool Resets = GENERATE(true, false);
  CAPTURE(Resets);
  SECTION("and answered") {
    Fixture Test(7, {answer(status::Ok), closing(Resets), answer(status::Ok)});
    REQUIRE(Test.call("GET", ""));
    const HttpResult Outcome = Test.call("GET", "");
    REQUIRE(Outcome);
    CHECK(Outcome.value().Status == status::Ok);
    Test.checkReceived(3);
  }
  SECTION("and fails if the next connection breaks too") {
    Fixture Test(8, {answer(status::Ok), closing(Resets), closing(Resets)});
    REQUIRE(Test.call("GET", ""));
    const HttpResult Outcome = Test.call("GET", "");
    Test.checkReceived(3);
    REQUIRE_FALSE(Outcome);
    CHECK(Outcome.error().Code == HttpErrorCode::Broken);
  }
  SECTION("but not if its answer had begun") {
    ScriptedAnswer Begun = answer(status::Ok, "0123456789");
    Begun.Bytes.resize(Begun.Bytes.size() - 1);
    Begun.ClosesAfter = true;
    Begun.Resets = Resets;
    Fixture Test(9, {answer(status::Ok), Begun});
    REQUIRE(Test.call("GET", ""));
    const HttpResult Outcome = Test.call("GET", "");
    Test.checkReceived(2);
    CHECK_FALSE(Outcome);
  }
}

// Guards against a request that is sent again because the answer asks for it.
TEST_CASE("a redirection is an answer and is not followed") {
  const std::string Method = GENERATE("POST", "GET");
  constexpr int TemporaryRedirect = 307;
  Fixture Test(10, {answer(TemporaryRedirect, "", "Location: /other\r\n")});
  const HttpResult Outcome = Test.call(Method, "");
  REQUIRE(Outcome);
  CHECK(Outcome.value().Status == TemporaryRedirect);
  Test.checkReceived(1);
}

// Guards against lists that cannot be read after a server has closed its
// connections.
TEST_CASE("a read of the platform survives a connection that breaks") {
  const bool Resets = GENERATE(true, false);
  CAPTURE(Resets);
  Fixture Test(11, {answer(status::Ok, "[]"), closing(Resets),
                    answer(status::Ok, "[]")});
  store::HttpPlatform Platform(Test.Local, std::chrono::seconds(10),
                               systemClock(), Test.Timers);
  const store::VmDirectory Directory = Platform.directory();
  REQUIRE(Directory.List());
  CHECK(Directory.List());
  Test.checkReceived(3);
}
