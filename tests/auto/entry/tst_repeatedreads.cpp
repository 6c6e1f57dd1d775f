#include "forwarderfixture.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>
#include <utility>

using namespace whintack;
using routing::RequestOutcome;
using Fixture = tests::ForwarderFixture;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

static const ScriptedAnswer OkAnswer = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};

// Guards against reads that fail, and executors that are given up, because a
// server has closed a connection while it was idle.
TEST_CASE("a read on a connection that was closed is repeated at once") {
  const Address Local = tests::ownAddress(17, 9000);
  const bool Resets = GENERATE(false, true);
  ScriptedServer Server(Local, [Resets](const std::string &, unsigned Number) {
    return Number == 1 ? OkAnswer : ScriptedAnswer{"", true, Resets};
  });
  REQUIRE(Server.isOpen());
  Fixture Test({Local});
  for (int Number = 0; Number < 20; ++Number)
    REQUIRE(Test.call("GET", "/item").Outcome == RequestOutcome::Done);
  CHECK(Test.Forwarding->counts().Retried == 0);
}

// Guards against a read that ran and is reported as not run, because a second
// copy of it was refused.
TEST_CASE("a read whose connection breaks is never taken as not run") {
  const Address Local = tests::ownAddress(18, 9000);
  ScriptedServer Server(
      Local, [First = true](const std::string &, unsigned Number) mutable {
        if (std::exchange(First, false))
          return OkAnswer;
        if (Number == 2)
          return ScriptedAnswer{"", true, true};
        return ScriptedAnswer{"HTTP/1.1 503 Service Unavailable\r\n"
                              "Request-Outcome: not-run\r\n"
                              "Content-Length: 0\r\n\r\n",
                              true};
      });
  REQUIRE(Server.isOpen());
  Fixture Test({Local});
  REQUIRE(Test.call("GET", "/item").Outcome == RequestOutcome::Done);
  CHECK(Test.call("GET", "/item").Outcome == RequestOutcome::Unknown);
}
