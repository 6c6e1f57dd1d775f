#include "scriptedserver.h"

#include "whintack/platform/platform.h"

#include <catch2/catch.hpp>
#include <future>

using namespace whintack;
using namespace whintack::platform;
using tests::ScriptedAnswer;
using tests::ScriptedServer;

namespace {

std::string httpAnswer(const std::string &Status, const std::string &Body) {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// A server that answers the first call with \p FirstBody, resets the
/// connection when it has read the second one, and answers all others with \p
/// Other.
class LossyServer {
public:
  LossyServer(unsigned Host, const std::string &FirstBody,
              const std::string &Other)
      : Local(tests::ownAddress(Host, 18100)),
        Server(Local,
               [this, FirstBody, Other](const std::string &Request, unsigned) {
                 const std::lock_guard<std::mutex> Lock(this->Mutex);
                 this->Requests.push_back(Request);
                 if (this->Requests.size() == 1)
                   return ScriptedAnswer{httpAnswer("200 OK", FirstBody), false,
                                         false};
                 if (this->Requests.size() == 2)
                   return ScriptedAnswer{"", true, true};
                 return ScriptedAnswer{Other, false, false};
               }) {}

  Address address() const { return this->Local; }
  bool isOpen() const { return this->Server.isOpen(); }
  /// All requests that were read, in their order.
  std::vector<std::string> requests() const {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Requests;
  }

private:
  Address Local;
  mutable std::mutex Mutex;
  std::vector<std::string> Requests;
  ScriptedServer Server;
};

/// A client with its timers.
struct Client {
  Clock Time = systemClock();
  TimerQueue Timers{Time};
  http::CallClient Calls{Time, Timers, 1 << 20};

  TimePoint deadline() const {
    return this->Time.Now() + std::chrono::seconds(5);
  }
};

/// Makes a call that passes its result to a callback, and waits for it.
template <typename T>
T resultOf(const std::function<void(std::function<void(T)>)> &Call) {
  auto Promise = std::make_shared<std::promise<T>>();
  Call([Promise](T Result) { Promise->set_value(std::move(Result)); });
  return Promise->get_future().get();
}

constexpr const char *EmptyReport = R"({"clock-ms":5,"running":[],"ended":[]})";

jobs::GatewayResult<jobs::ExecutorReport>
report(const jobs::ExecutorGateway &Gateway, const jobs::ExecutorAddress &To,
       const Client &From, const jobs::ReportRequest &Request) {
  return resultOf<jobs::GatewayResult<jobs::ExecutorReport>>(
      [&](const auto &Done) {
        Gateway.Report(To, Request, From.deadline(), Done);
      });
}

/// Sends a start order on a connection that has carried a report call.
jobs::StartAnswer startAfterReport(const LossyServer &Server) {
  Client From;
  const jobs::ExecutorGateway Gateway = makeExecutorGateway(From.Calls);
  const jobs::ExecutorAddress To{jobs::ExecutorId("i-1"), Server.address()};
  REQUIRE(report(Gateway, To, From, {}));
  jobs::StartOrder Order;
  Order.Executor = To.Id;
  Order.Task = {{jobs::JobId("5c0e7a21d94b36f8"), 0, 1}, 17};
  Order.Run = 1;
  return resultOf<jobs::StartAnswer>([&](const auto &Done) {
    Gateway.Start(To, Order, 7, 1000, From.deadline(), Done);
  });
}

/// Orders a move on a connection that has carried a list of machines.
jobs::GatewayResult<void> moveAfterList(const LossyServer &Server) {
  Client From;
  const jobs::MachineGateway Gateway =
      makeMachineGateway(Server.address(), From.Calls);
  using List = jobs::GatewayResult<std::vector<jobs::MachineInfo>>;
  REQUIRE(resultOf<List>(
      [&](const auto &Done) { Gateway.List(From.deadline(), Done); }));
  return resultOf<jobs::GatewayResult<void>>([&](const auto &Done) {
    Gateway.Move({"v1", 7}, jobs::MachineName("m1"), ServiceName("s"),
                 From.deadline(), Done);
  });
}

/// Commits on a connection that has carried a read.
store::StoreResult<store::CommitAnswer>
commitAfterRead(const LossyServer &Server) {
  Client From;
  const store::AsyncStore Store =
      makeStore(Server.address(), From.Calls, From.Time);
  REQUIRE(resultOf<store::StoreResult<store::StorePage>>([&](const auto &Done) {
    Store.Range("a/", "", store::ReadKind::Current, Done);
  }));
  store::StoreTransaction Change;
  Change.Expect = {{"a/1", 0}};
  Change.Puts = {{"a/1", "x", 0}};
  return resultOf<store::StoreResult<store::CommitAnswer>>(
      [&](const auto &Done) { Store.Commit(Change, Done); });
}

} // namespace

// Guards against a run that is taken as not started, and is started elsewhere,
// because a second copy of its order was refused.
TEST_CASE("a start order whose connection breaks is never taken as refused") {
  const auto Refusal =
      GENERATE(httpAnswer("503 Service Unavailable", "{}"),
               httpAnswer("429 Too Many Requests", "{}"),
               httpAnswer("409 Conflict", R"({"clock-ms":6,"reason":"old"})"),
               httpAnswer("409 Conflict", R"({"clock-ms":6,"reason":"room"})"));
  INFO(Refusal);
  const LossyServer Server(21, EmptyReport, Refusal);
  REQUIRE(Server.isOpen());
  CHECK(startAfterReport(Server).Outcome == jobs::StartOutcome::Unknown);
}

// Guards against a machine that is moved by an order which counts as refused.
TEST_CASE("a machine order whose connection breaks is never taken as refused") {
  const auto Refusal =
      GENERATE(httpAnswer("409 Conflict", R"({"reason":"busy"})"),
               httpAnswer("429 Too Many Requests", "{}"),
               httpAnswer("503 Service Unavailable", "{}"));
  INFO(Refusal);
  const LossyServer Server(22, R"({"machines":[]})", Refusal);
  REQUIRE(Server.isOpen());
  const jobs::GatewayResult<void> Moved = moveAfterList(Server);
  REQUIRE_FALSE(Moved);
  CHECK(Moved.error().Code == jobs::GatewayErrorCode::NoAnswer);
}

// Guards against a commit that was carried out, and is reported as refused or
// as prevented by another writer.
TEST_CASE("a commit whose connection breaks has an unknown outcome") {
  const auto Refusal = GENERATE(
      httpAnswer(
          "412 Precondition Failed",
          R"({"items":[{"key":"a/1","value":"eA==","revision":9,"lease":0}]})"),
      httpAnswer("429 Too Many Requests", "{}"),
      httpAnswer("503 Service Unavailable", "{}"));
  INFO(Refusal);
  const LossyServer Server(23, R"({"items":[],"as-of":8})", Refusal);
  REQUIRE(Server.isOpen());
  const auto Committed = commitAfterRead(Server);
  REQUIRE_FALSE(Committed);
  CHECK(Committed.error().Code == store::StoreErrorCode::Ambiguous);
}

// Guards against a sound executor that counts as silent, because it has closed
// a connection while it was idle.
TEST_CASE("a report call whose connection breaks is repeated as an inquiry") {
  const LossyServer Server(24, EmptyReport, httpAnswer("200 OK", EmptyReport));
  REQUIRE(Server.isOpen());
  Client From;
  const jobs::ExecutorGateway Gateway = makeExecutorGateway(From.Calls);
  const jobs::ExecutorAddress To{jobs::ExecutorId("i-1"), Server.address()};
  REQUIRE(report(Gateway, To, From, {}));
  CHECK(report(Gateway, To, From, {7, 12, 1000, std::chrono::seconds(1)}));
  const std::vector<std::string> Requests = Server.requests();
  REQUIRE(Requests.size() == 3);
  CHECK(Requests[1].find(R"("last-seen":12)") != std::string::npos);
  // Another incarnation may read the second copy.
  CHECK(Requests[2].find(R"("last-seen":0)") != std::string::npos);
  CHECK(Requests[2].find("deadline-ms") == std::string::npos);
  CHECK(Requests[2].find("wait-ms") == std::string::npos);
}

// Guards against a lease that is not waited for, because a second copy of the
// call that may still give it was refused.
TEST_CASE("a report call whose connection breaks is never taken as refused") {
  const auto Refusal =
      GENERATE(httpAnswer("503 Service Unavailable", "{}"),
               httpAnswer("429 Too Many Requests", "{}"),
               httpAnswer("400 Bad Request", "{}"), httpAnswer("200 OK", "{"));
  INFO(Refusal);
  const LossyServer Server(28, EmptyReport, Refusal);
  REQUIRE(Server.isOpen());
  Client From;
  const jobs::ExecutorGateway Gateway = makeExecutorGateway(From.Calls);
  const jobs::ExecutorAddress To{jobs::ExecutorId("i-1"), Server.address()};
  REQUIRE(report(Gateway, To, From, {}));
  const auto Answer =
      report(Gateway, To, From, {7, 12, 1000, std::chrono::seconds(1)});
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == jobs::GatewayErrorCode::NoAnswer);
}

// Guards against orders that are not carried out, or late, because the executor
// has closed a connection while it was idle.
TEST_CASE("a stop or pace order whose connection breaks is repeated") {
  const bool IsStop = GENERATE(true, false);
  const LossyServer Server(26, EmptyReport,
                           httpAnswer("200 OK", R"({"clock-ms":6})"));
  REQUIRE(Server.isOpen());
  Client From;
  const jobs::ExecutorGateway Gateway = makeExecutorGateway(From.Calls);
  const jobs::ExecutorAddress To{jobs::ExecutorId("i-1"), Server.address()};
  REQUIRE(report(Gateway, To, From, {}));
  const jobs::TaskKey Task{{jobs::JobId("5c0e7a21d94b36f8"), 0, 1}, 17};
  CHECK(
      resultOf<jobs::GatewayResult<jobs::ExecutorTime>>([&](const auto &Done) {
        if (IsStop)
          Gateway.Stop(To, {To.Id, Task, 1}, 7, From.deadline(), Done);
        else
          Gateway.Pace(To, {To.Id, Task, 1, 50}, 7, From.deadline(), Done);
      }));
}

// Guards against a run that is stopped, or a sound executor that gets no new
// tasks, because the executor has closed a connection while it was idle.
TEST_CASE(
    "a start order whose connection breaks is confirmed by another copy") {
  const LossyServer Server(25, EmptyReport,
                           httpAnswer("200 OK", R"({"clock-ms":6})"));
  REQUIRE(Server.isOpen());
  CHECK(startAfterReport(Server).Outcome == jobs::StartOutcome::Started);
}
