#include "failingsockets.h"
#include "scriptedserver.h"

#include "whintack/platform/platform.h"

#include <catch2/catch.hpp>
#include <future>

using namespace whintack;
using namespace whintack::platform;
using namespace whintack::tests;

namespace {

/// A server that has read a call when the connection to it fails, and that is
/// called on a new connection.
struct Fixture {
  explicit Fixture(unsigned Host)
      : Local(ownAddress(Host, 18130)),
        Server(this->Local, [this](const std::string &, unsigned) {
          this->Sockets.arm();
          return ScriptedAnswer{
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, false};
        }) {
    REQUIRE(this->Server.isOpen());
  }

  TimePoint deadline() const {
    return systemClock().Now() + std::chrono::seconds(5);
  }

  Address Local;
  FailingSockets Sockets{SocketCall::Receive, EHOSTUNREACH};
  ScriptedServer Server;
  TimerQueue Timers{systemClock()};
  http::CallClient Calls{systemClock(), Timers, 1 << 20};
};

/// Makes a call that passes its result to a callback, and waits for it.
template <typename T>
T resultOf(const std::function<void(std::function<void(T)>)> &Call) {
  auto Promise = std::make_shared<std::promise<T>>();
  Call([Promise](T Result) { Promise->set_value(std::move(Result)); });
  return Promise->get_future().get();
}

} // namespace

// Guards against a task that is started a second time, because its first start
// counts as refused.
TEST_CASE("a start order that was read is never taken as refused") {
  Fixture Test(41);
  const jobs::ExecutorGateway Gateway = makeExecutorGateway(Test.Calls);
  jobs::StartOrder Order;
  Order.Executor = jobs::ExecutorId("i-1");
  Order.Task = {{jobs::JobId("5c0e7a21d94b36f8"), 0, 1}, 17};
  Order.Run = 1;
  const auto Answer = resultOf<jobs::StartAnswer>([&](const auto &Done) {
    Gateway.Start({Order.Executor, Test.Local}, Order, 7, 1000, Test.deadline(),
                  Done);
  });
  CHECK(Test.Server.executions() == 1);
  CHECK(Answer.Outcome == jobs::StartOutcome::Unknown);
}

// Guards against a refused job that is stored and runs.
TEST_CASE("a commit that was read has an unknown outcome") {
  Fixture Test(42);
  const store::AsyncStore Store =
      makeStore(Test.Local, Test.Calls, systemClock());
  store::StoreTransaction Change;
  Change.Expect = {{"a/1", 0}};
  Change.Puts = {{"a/1", "x", 0}};
  const auto Committed = resultOf<store::StoreResult<store::CommitAnswer>>(
      [&](const auto &Done) { Store.Commit(Change, Done); });
  CHECK(Test.Server.executions() == 1);
  REQUIRE_FALSE(Committed);
  CHECK(Committed.error().Code == store::StoreErrorCode::Ambiguous);
}

// Guards against a machine that is moved by an order which counts as refused.
TEST_CASE("a machine order that was read is never taken as refused") {
  Fixture Test(43);
  const jobs::MachineGateway Gateway =
      makeMachineGateway(Test.Local, Test.Calls);
  const auto Moved = resultOf<jobs::GatewayResult<void>>([&](const auto &Done) {
    Gateway.Move({"v1", 7}, jobs::MachineName("m1"), ServiceName("s"),
                 Test.deadline(), Done);
  });
  CHECK(Test.Server.executions() == 1);
  REQUIRE_FALSE(Moved);
  CHECK(Moved.error().Code == jobs::GatewayErrorCode::NoAnswer);
}
