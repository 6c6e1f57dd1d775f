#include "callerrequest.h"
#include "claimmanager.h"
#include "forwarderfixture.h"
#include "scriptedserver.h"
#include "whintack/entry/callerserver.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::entry;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

/// A caller server with one executor. It belongs to the only entry VM of its
/// data centre, so it is the only owner of every key.
struct CallerServerFixture {
  CallerServerFixture(const Address &Local, const Address &Server)
      : Test({Server}), Local(Local) {
    const EntryName Self("e1");
    this->Claims = std::make_shared<Internal::ClaimManager>(
        Self, 1, std::vector<EntryName>{Self},
        Internal::ClaimHooks{
            [](const EntryName &, const peers::Message &) { return false; },
            [](const EntryName &) { return false; }},
        this->Test.Time, this->Test.Timers);
    this->TestedServer = std::make_unique<CallerServer>(
        Self, Local, http::ServerLimits(), http::ServerTls(),
        CallerServerHooks{[] { return true; }, [] { return uint64_t(7); }},
        *this->Test.Forwarding, this->Claims, this->Test.Time, seededRandom(1),
        this->Test.Timers);
    REQUIRE(this->TestedServer->open());
  }

  http::HttpResponse call(const std::string &Method, const std::string &Target,
                          const std::string &Key = "",
                          const std::string &Body = "") {
    http::HttpRequest Request;
    Request.Method = Method;
    Request.Target = Target;
    Request.Body = Body;
    if (!Key.empty())
      Request.Headers.set("Idempotency-Key", Key);
    const auto Answer = http::callAndWait(
        this->Local, Request, this->Test.Time.Now() + std::chrono::seconds(20),
        this->Test.Timers);
    REQUIRE(Answer);
    return Answer.value();
  }

  tests::ForwarderFixture Test;
  Address Local;
  std::shared_ptr<Internal::ClaimManager> Claims;
  std::unique_ptr<CallerServer> TestedServer;
};

std::string okAnswer(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string requestOutcome(const http::HttpResponse &Answer) {
  return Answer.Headers.find("Request-Outcome").value_or("");
}

} // namespace

TEST_CASE(
    "a request with a repeated key gets the first answer and is not run") {
  const Address Server = tests::ownAddress(20, 9000);
  std::atomic<int> Number{0};
  ScriptedServer Backend(Server, [&Number](const std::string &, unsigned) {
    return ScriptedAnswer{okAnswer("order " + std::to_string(++Number))};
  });
  CallerServerFixture Fixture(tests::ownAddress(21, 9200), Server);
  REQUIRE(Fixture.call("POST", "/shop/order", "k1", "x").Body == "order 1");
  REQUIRE(Fixture.call("POST", "/shop/order", "k1", "x").Body == "order 1");
  REQUIRE(Fixture.call("POST", "/shop/order", "k2", "x").Body == "order 2");
  REQUIRE(Backend.executions() == 2);
  REQUIRE(Fixture.call("POST", "/shop/order", "k1", "other").Status ==
          http::status::BadRequest);
  REQUIRE(Backend.executions() == 2);
}

TEST_CASE("a request whose key is in use is never reported as not run") {
  const Address Server = tests::ownAddress(22, 9000);
  std::promise<void> Arrived;
  std::promise<void> Release;
  ScriptedServer Backend(Server, [&](const std::string &, unsigned) {
    Arrived.set_value();
    Release.get_future().wait();
    return ScriptedAnswer{okAnswer("done")};
  });
  CallerServerFixture Fixture(tests::ownAddress(23, 9200), Server);
  auto First = std::async(std::launch::async, [&] {
    return Fixture.call("POST", "/shop/order", "k", "x");
  });
  Arrived.get_future().wait();
  const http::HttpResponse Second =
      Fixture.call("POST", "/shop/order", "k", "x");
  REQUIRE(Second.Status == http::status::Conflict);
  REQUIRE(requestOutcome(Second) == "unknown");
  REQUIRE(Second.Headers.has("Retry-After"));
  Release.set_value();
  REQUIRE(requestOutcome(First.get()) == "done");
  REQUIRE(Backend.executions() == 1);
}

TEST_CASE("a request with unknown outcome stays unknown when repeated") {
  const Address Server = tests::ownAddress(24, 9000);
  ScriptedServer Backend(Server, [](const std::string &, unsigned) {
    return ScriptedAnswer{"", true};
  });
  CallerServerFixture Fixture(tests::ownAddress(25, 9200), Server);
  for (int Number = 0; Number < 3; ++Number)
    REQUIRE(requestOutcome(Fixture.call("POST", "/shop/order", "k", "x")) ==
            "unknown");
  REQUIRE(Backend.executions() == 1);
}

TEST_CASE("a request that was not run can be repeated with the same key") {
  const Address Server = tests::ownAddress(26, 9000);
  CallerServerFixture Fixture(tests::ownAddress(27, 9200), Server);
  REQUIRE(requestOutcome(Fixture.call("POST", "/shop/order", "k", "x")) ==
          "not-run");
  ScriptedServer Backend(Server, [](const std::string &, unsigned) {
    return ScriptedAnswer{okAnswer("done")};
  });
  REQUIRE(requestOutcome(Fixture.call("POST", "/shop/order", "k", "x")) ==
          "done");
  REQUIRE(Backend.executions() == 1);
}

TEST_CASE("invalid requests get an error response and reach no server") {
  const Address Server = tests::ownAddress(28, 9000);
  ScriptedServer Backend(Server, [](const std::string &, unsigned) {
    return ScriptedAnswer{okAnswer("done")};
  });
  CallerServerFixture Fixture(tests::ownAddress(29, 9200), Server);
  const http::HttpResponse Missing = Fixture.call("GET", "/other/x");
  REQUIRE(Missing.Status == http::status::NotFound);
  REQUIRE(requestOutcome(Missing) == "not-run");
  REQUIRE(Missing.Body.find("\"revision\":7") != std::string::npos);
  REQUIRE(Fixture.call("GET", "/").Status == http::status::NotFound);
  REQUIRE(Fixture.call("BREW", "/shop/x").Status ==
          http::status::MethodNotAllowed);
  REQUIRE(Fixture.call("POST", "/shop/x", std::string(256, 'k')).Status ==
          http::status::BadRequest);
  REQUIRE(Backend.executions() == 0);
}

TEST_CASE("the service is split off the path and the rest is unchanged") {
  for (const char *Target : {"/shop/a%2Fb?x=1", "/shop", "/shop?x=1"}) {
    http::HttpRequest Received;
    Received.Method = "GET";
    Received.Target = Target;
    const auto Read = Internal::readCallerRequest(Received, RequestId("r"));
    REQUIRE(Read);
    REQUIRE(Read.value().Forward.Info.Service == ServiceName("shop"));
    REQUIRE(Read.value().Forward.Content.Target.front() == '/');
  }
  http::HttpRequest Late;
  Late.Method = "GET";
  Late.Target = "/shop/";
  Late.Headers.set("Deadline-Ms", "soon");
  REQUIRE_FALSE(Internal::readCallerRequest(Late, RequestId("r")));
}
