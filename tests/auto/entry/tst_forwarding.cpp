#include "forwarderfixture.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::entry;
using routing::OutcomeReason;
using routing::RequestOutcome;
using Fixture = tests::ForwarderFixture;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

std::string answerWith(const std::string &Body, const std::string &More = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n" + More + "\r\n" + Body;
}

} // namespace

TEST_CASE("a dropped connection does not make an order run twice") {
  const Address Local = tests::ownAddress(1, 9000);
  // The server runs the second request of each connection and closes the
  // connection without an answer. The HTTP library repeats a request that fails
  // this way on a reused connection, which would run the order twice.
  ScriptedServer Server(Local, [](const std::string &, unsigned Number) {
    return Number == 1 ? ScriptedAnswer{answerWith("ok")}
                       : ScriptedAnswer{"", true};
  });
  REQUIRE(Server.isOpen());
  Fixture Test({Local});
  unsigned Done = 0;
  constexpr unsigned Orders = 10;
  for (unsigned Number = 0; Number < Orders; ++Number)
    Done += Test.call("POST", "/order", "x").Outcome == RequestOutcome::Done;
  REQUIRE(Done == Orders);
  REQUIRE(Server.executions() == Orders);
}

TEST_CASE("an order whose connection breaks is unknown and is not sent again") {
  const Address Local = tests::ownAddress(2, 9000);
  for (const bool Resets : {false, true}) {
    ScriptedServer Server(Local, [Resets](const std::string &, unsigned) {
      return ScriptedAnswer{"", true, Resets};
    });
    Fixture Test({Local});
    const ForwardResult Result = Test.call("POST", "/order", "x");
    REQUIRE(Result.Outcome == RequestOutcome::Unknown);
    REQUIRE(Server.executions() == 1);
  }
}

TEST_CASE("an order for an unreachable server is reported as not run") {
  Fixture Test({tests::ownAddress(3, 9000)});
  const ForwardResult Result = Test.call("POST", "/order", "x");
  REQUIRE(Result.Outcome == RequestOutcome::NotRun);
  REQUIRE(Result.Reason == OutcomeReason::ConnectionFailed);
}

TEST_CASE("an order is sent to another server if the first is unreachable") {
  const Address Local = tests::ownAddress(4, 9000);
  ScriptedServer Server(Local, [](const std::string &, unsigned) {
    return ScriptedAnswer{answerWith("ok")};
  });
  Fixture Test({tests::ownAddress(5, 9000), Local});
  for (int Number = 0; Number < 8; ++Number)
    REQUIRE(Test.call("POST", "/order", "x").Outcome == RequestOutcome::Done);
  REQUIRE(Server.executions() == 8);
}

TEST_CASE("a truncated answer body is never passed on as complete") {
  const Address Local = tests::ownAddress(6, 9000);
  for (const char *Cut :
       {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le"}) {
    ScriptedServer Server(Local, [Cut](const std::string &, unsigned) {
      return ScriptedAnswer{Cut, true};
    });
    Fixture Test({Local});
    const ForwardResult Result = Test.call("POST", "/order", "x");
    REQUIRE(Result.Outcome == RequestOutcome::Unknown);
  }
}

TEST_CASE("complete answers are passed on whatever their form") {
  const Address Local = tests::ownAddress(7, 9000);
  const std::string Large(8U << 20U, 'x');
  ScriptedServer Server(Local, [&Large](const std::string &Request, unsigned) {
    if (Request.starts_with("GET /chunked"))
      return ScriptedAnswer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"};
    if (Request.starts_with("GET /empty"))
      return ScriptedAnswer{"HTTP/1.1 204 No Content\r\n\r\n"};
    if (Request.starts_with("GET /same"))
      return ScriptedAnswer{"HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n"};
    if (Request.starts_with("HEAD "))
      return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n"};
    if (Request.starts_with("GET /large"))
      return ScriptedAnswer{answerWith(Large)};
    return ScriptedAnswer{answerWith(Request.substr(0, Request.find(' ', 5)))};
  });
  Fixture Test({Local});
  REQUIRE(Test.call("GET", "/chunked").Answer.Body == "abcdef");
  REQUIRE(Test.call("GET", "/empty").Answer.Status == 204);
  const ForwardResult Same = Test.call("GET", "/same");
  REQUIRE(Same.Answer.Status == 304);
  REQUIRE(Same.Answer.Headers.find("etag") == "\"1\"");
  REQUIRE(Test.call("HEAD", "/").Answer.Headers.find("Content-Length") == "77");
  REQUIRE(Test.call("GET", "/large").Answer.Body == Large);
  REQUIRE(Test.call("GET", "/a%20b%2Fc?q=%26&x=1").Answer.Body ==
          "GET /a%20b%2Fc?q=%26&x=1");
}

TEST_CASE("bytes past the declared length do not reach the next request") {
  const Address Local = tests::ownAddress(8, 9000);
  ScriptedServer Server(Local, [](const std::string &Request, unsigned) {
    const std::string Path = Request.substr(4, Request.find(' ', 4) - 4);
    return ScriptedAnswer{answerWith(Path) +
                          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"};
  });
  Fixture Test({Local});
  for (int Number = 0; Number < 6; ++Number) {
    const std::string Path = "/item" + std::to_string(Number);
    const ForwardResult Result = Test.call("GET", Path);
    REQUIRE(Result.Outcome == RequestOutcome::Done);
    REQUIRE(Result.Answer.Body == Path);
  }
}

TEST_CASE("an answer with the id of another request is rejected") {
  const Address Local = tests::ownAddress(9, 9000);
  ScriptedServer Server(Local, [](const std::string &, unsigned) {
    return ScriptedAnswer{answerWith("secret", "Request-Id: other\r\n")};
  });
  Fixture Test({Local});
  const ForwardResult Result = Test.call("POST", "/order", "x");
  REQUIRE(Result.Outcome == RequestOutcome::Unknown);
  REQUIRE(Result.Answer.Body.empty());
}

TEST_CASE("an answer over the size limit is an error and is not truncated") {
  const Address Local = tests::ownAddress(10, 9000);
  ScriptedServer Server(Local, [](const std::string &, unsigned) {
    return ScriptedAnswer{answerWith(std::string(300000, 'x'))};
  });
  Fixture Test({Local}, 100000);
  const ForwardResult Result = Test.call("GET", "/");
  REQUIRE(Result.Outcome == RequestOutcome::Unknown);
  REQUIRE(Result.Reason == OutcomeReason::AnswerTooLarge);
}

TEST_CASE("a server that misses the deadline is given up and probed") {
  const Address Local = tests::ownAddress(11, 9000);
  std::atomic<bool> WasProbed{false};
  ScriptedServer Server(Local, [&](const std::string &Request, unsigned) {
    if (!Request.starts_with("GET /healthz"))
      return ScriptedAnswer{};
    WasProbed = true;
    return ScriptedAnswer{answerWith("{}")};
  });
  Fixture Test({Local});
  const ForwardResult Result =
      Test.call("POST", "/order", "x", std::chrono::milliseconds(100));
  REQUIRE(Result.Outcome == RequestOutcome::Unknown);
  REQUIRE(Result.Reason == OutcomeReason::TimedOut);
  while (!WasProbed)
    std::this_thread::yield();
  REQUIRE(Server.executions() == 2);
}

TEST_CASE(
    "a request refused by a server of another service is sent elsewhere") {
  const Address Wrong = tests::ownAddress(12, 9000);
  const Address Right = tests::ownAddress(13, 9000);
  ScriptedServer Other(Wrong, [](const std::string &, unsigned) {
    return ScriptedAnswer{
        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"};
  });
  ScriptedServer Server(Right, [](const std::string &, unsigned) {
    return ScriptedAnswer{answerWith("ok")};
  });
  Fixture Test({Wrong, Right});
  for (int Number = 0; Number < 8; ++Number)
    REQUIRE(Test.call("POST", "/order", "x").Outcome == RequestOutcome::Done);
}

TEST_CASE("a server that reports it is leaving gets no new requests") {
  const Address First = tests::ownAddress(14, 9000);
  const Address Second = tests::ownAddress(15, 9000);
  ScriptedServer Leaving(First, [](const std::string &, unsigned) {
    return ScriptedAnswer{answerWith("ok", "Server-State: leaving\r\n")};
  });
  ScriptedServer Staying(Second, [](const std::string &, unsigned) {
    return ScriptedAnswer{answerWith("ok")};
  });
  Fixture Test({First, Second});
  for (int Number = 0; Number < 20; ++Number)
    REQUIRE(Test.call("POST", "/order", "x").Outcome == RequestOutcome::Done);
  REQUIRE(Leaving.executions() <= 1);
}

// An answer that arrived after the forwarder was gone still went through its
// router, which used timers, a journal and hooks that were gone as well.
TEST_CASE("an answer does not reach a forwarder that is gone") {
  const Address Local = tests::ownAddress(16, 9000);
  std::promise<void> Release;
  ScriptedServer Server(Local, [Released = Release.get_future().share()](
                                   const std::string &, unsigned) {
    Released.wait();
    return ScriptedAnswer{answerWith("late")};
  });
  REQUIRE(Server.isOpen());
  std::atomic<unsigned> Reached{0};
  ForwardResult Ended;
  std::shared_ptr<int> Lifetime;
  {
    Fixture Test({Local});
    Lifetime = Test.Lifetime;
    ForwardRequest Request;
    Request.Id = RequestId("r1");
    Request.Info = {tests::testService(), CallerName("c"), false,
                    std::chrono::hours(1)};
    Request.Content.Method = "POST";
    Request.Content.Target = "/order";
    Test.Forwarding->submit(Request,
                            [&Reached, &Ended](const ForwardResult &Result) {
                              Ended = Result;
                              ++Reached;
                            });
    while (Server.executions() == 0)
      std::this_thread::yield();
  }
  CHECK(Reached == 1);
  CHECK(Ended.Outcome == RequestOutcome::Unknown);
  Release.set_value();
  // Wait until the call in flight has ended and let the forwarder go.
  while (Lifetime.use_count() > 1)
    std::this_thread::yield();
  CHECK(Reached == 1);
}
