#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ExecutorIncarnation First = 1000;
constexpr ExecutorIncarnation Second = 2000;

/// A planner with an executor that starts again under its id, and another one
/// without room for a task.
class RestartFixture : public PlannerFixture {
public:
  RestartFixture() {
    this->listIncarnations(First);
    this->reportFrom("a", First, 50000, {}, {});
    this->reportFrom("b", First, 50000, {}, {});
  }

  void listIncarnations(ExecutorIncarnation OfA) {
    ExecutorInfo A = executor("a", 4000);
    A.Incarnation = OfA;
    ExecutorInfo B = executor("b", 500);
    B.Incarnation = First;
    this->Planner.setExecutors({A, B});
  }

  /// A report that was requested now and arrives a millisecond later.
  void reportFrom(const std::string &Id, ExecutorIncarnation Incarnation,
                  ExecutorTime At, std::vector<RunReport> Running,
                  std::vector<EndReport> Ended) {
    ExecutorReport Report;
    Report.Incarnation = Incarnation;
    Report.RequestedAt = this->Time.now();
    Report.At = At;
    Report.Running = std::move(Running);
    Report.Ended = std::move(Ended);
    this->Time.advance(milliseconds(1));
    this->Planner.noteReport(ExecutorId(Id), Report, this->Time.now());
  }

  void answer(const StartOrder &Order, ExecutorTime At) {
    this->Planner.noteStart(Order, StartOutcome::Started, At, this->Time.now());
    this->Time.advance(milliseconds(1));
  }

  /// Runs a job of \p Tasks tasks on "a" to its end, which is stored.
  void runToEnd(const std::string &Id, size_t Tasks) {
    this->Planner.addJob(job(Id, {step(Tasks)}));
    std::vector<EndReport> Ended;
    for (const StartOrder &Order : this->starts()) {
      REQUIRE(Order.Executor == ExecutorId("a"));
      this->answer(Order, 50001);
      Ended.push_back(this->end(Order, RunEnd::Done));
    }
    this->reportFrom("a", First, 50002, {}, Ended);
    this->store();
  }

  /// Starts a job of one task on "a".
  StartOrder startOne(const std::string &Id, bool IsAnswered = true,
                      bool IsLongRunning = false) {
    AcceptedJob Job = job(Id, {step(1, 2000)});
    Job.Spec.Steps[0].IsLongRunning = IsLongRunning;
    this->Planner.addJob(Job);
    const auto Orders = this->starts();
    REQUIRE(Orders.size() == 1);
    REQUIRE(Orders.front().Executor == ExecutorId("a"));
    if (IsAnswered)
      this->answer(Orders.front(), 50010);
    return Orders.front();
  }

  /// Starts a job of one task on "a", loses that executor before it answers,
  /// and lists another one with room.
  StartOrder loseUnanswered(ExecutorLoss Cause, bool IsSent = true,
                            bool IsLongRunning = false) {
    const StartOrder Order = this->startOne("1", false, IsLongRunning);
    if (IsSent)
      this->Planner.noteStartSent(Order, this->Time.now());
    this->Time.advance(milliseconds(800));
    this->Planner.noteStart(Order, StartOutcome::Unknown, 0, this->Time.now());
    this->Planner.noteEmpty(Order.Executor, Cause, this->Time.now());
    this->Planner.setExecutors({executor("a", 4000), executor("c", 4000)});
    this->reportFrom("c", First, 50000, {}, {});
    // The crash is stored before the task starts again.
    this->store();
    return Order;
  }

  uint64_t discardable() const {
    return this->Planner.lastDiscardableEnd(ExecutorId("a"));
  }
};

} // namespace

// Guards against an end that is passed over and acknowledged because an earlier
// incarnation of the executor had reported more ends: its task ran again.
TEST_CASE("ends of a new incarnation count although their numbers are lower") {
  RestartFixture Fixture;
  Fixture.runToEnd("1", 4);
  CHECK(Fixture.discardable() == 4);
  Fixture.listIncarnations(Second);
  Fixture.reportFrom("a", Second, 5, {}, {});
  CHECK(Fixture.discardable() == 0);
  Fixture.Planner.addJob(job("2", {step(1, 2000)}));
  const auto Orders = Fixture.starts();
  REQUIRE(Orders.size() == 1);
  Fixture.answer(Orders.front(), 10);
  Fixture.reportFrom("a", Second, 600, {},
                     {{1, Orders.front().Task, 1, RunEnd::Done, ""}});
  CHECK(Fixture.discardable() == 0);
  Fixture.store();
  CHECK(Fixture.discardable() == 1);
  CHECK(Fixture.Planner.shownState(JobId("2")) == JobState::Completed);
  Fixture.reportFrom("a", Second, 700, {}, {});
  CHECK(Fixture.starts().empty());
}

// Guards against runs that wait until the clock of the new incarnation has
// passed the time at which the earlier one confirmed them.
TEST_CASE("runs of an earlier incarnation are over whatever the clock shows") {
  RestartFixture Fixture;
  const StartOrder Lost = Fixture.startOne("1");
  Fixture.listIncarnations(Second);
  Fixture.reportFrom("a", Second, 5, {}, {});
  // The crash is stored before the task starts again.
  Fixture.store();
  const auto Again = Fixture.starts();
  REQUIRE(Again.size() == 1);
  CHECK(Again.front().Task == Lost.Task);
  CHECK(Again.front().Run > Lost.Run);
}

// Guards against a run that is started again although the order for it was
// carried out by the new incarnation.
TEST_CASE("a run that the new incarnation lists goes on") {
  RestartFixture Fixture;
  const StartOrder Order = Fixture.startOne("1", false);
  Fixture.listIncarnations(Second);
  Fixture.reportFrom("a", Second, 5, {{Order.Task, Order.Run, "", 10, 0}}, {});
  Fixture.Time.advance(seconds(1));
  CHECK(Fixture.starts().empty());
  CHECK(Fixture.takeOrders<StopOrder>().empty());
  Fixture.reportFrom("a", Second, 900, {},
                     {{1, Order.Task, Order.Run, RunEnd::Done, ""}});
  CHECK(Fixture.starts().empty());
}

// Guards against two runs at the same time: an order that was not answered may
// reach the new incarnation late.
TEST_CASE("an unanswered start is stopped at the new incarnation first") {
  RestartFixture Fixture;
  const StartOrder Order = Fixture.startOne("1", false);
  Fixture.Planner.noteStart(Order, StartOutcome::Unknown, 0,
                            Fixture.Time.now());
  Fixture.listIncarnations(Second);
  Fixture.reportFrom("a", Second, 5, {}, {});
  Fixture.store();
  CHECK(Fixture.starts().empty());
  Fixture.Time.advance(milliseconds(400));
  Fixture.reportFrom("a", Second, 400, {}, {});
  CHECK(Fixture.starts().empty());
  Fixture.Planner.noteStop({Order.Executor, Order.Task, Order.Run}, 410,
                           Fixture.Time.now());
  CHECK(Fixture.starts().empty());
  Fixture.reportFrom("a", Second, 420, {}, {});
  CHECK(Fixture.starts().size() == 1);
}

// Guards against a late order that starts a run which the earlier incarnation
// had been told to refuse.
TEST_CASE("a new incarnation is told to refuse runs that were given up") {
  RestartFixture Fixture;
  const StartOrder Order = Fixture.startOne("1", false);
  Fixture.Planner.noteEmpty(Order.Executor, ExecutorLoss::LeasesExpired,
                            Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().empty());
  Fixture.listIncarnations(Second);
  Fixture.reportFrom("a", Second, 5, {}, {});
  Fixture.Planner.repeatStops(Fixture.Time.now());
  const auto Stops = Fixture.takeOrders<StopOrder>();
  REQUIRE(Stops.size() == 1);
  CHECK(Stops.front().Task == Order.Task);
  CHECK(Stops.front().Run == Order.Run);
  Fixture.Time.advance(seconds(1));
  Fixture.Planner.repeatStops(Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().size() == 1);
  Fixture.Planner.noteStop(Stops.front(), 20, Fixture.Time.now());
  Fixture.Time.advance(seconds(1));
  Fixture.Planner.repeatStops(Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().empty());
}

// Guards against a task that is done elsewhere and then started again by a late
// order, which the next incarnation carries out before it can be told anything.
TEST_CASE(
    "an unanswered start on a lost executor is awaited until it is lost") {
  for (const ExecutorLoss Cause :
       {ExecutorLoss::LeasesExpired, ExecutorLoss::MachineLost}) {
    RestartFixture Fixture;
    Fixture.loseUnanswered(Cause);
    CHECK(Fixture.starts().empty());
    // Orders are carried out up to 12 s late.
    Fixture.Time.advance(milliseconds(11500));
    CHECK(Fixture.starts().empty());
    Fixture.Planner.noteEmpty(ExecutorId("a"), ExecutorLoss::MachineLost,
                              Fixture.Time.now());
    Fixture.store();
    CHECK(Fixture.starts().empty());
    Fixture.Time.advance(seconds(4));
    const auto Again = Fixture.starts();
    REQUIRE(Again.size() == 1);
    CHECK(Again.front().Executor == ExecutorId("c"));
    CHECK(Again.front().Run == 2);
  }
}

// Guards against a long-running task that runs twice: its executor restarted
// within seconds and carried out the late order, while the task had been
// started elsewhere.
TEST_CASE("a long-running task waits for the restart of an executor that may "
          "have its start order") {
  RestartFixture Fixture;
  const StartOrder Order =
      Fixture.loseUnanswered(ExecutorLoss::MachineLost, true, true);
  CHECK(Fixture.starts().empty());
  Fixture.Time.advance(seconds(3));
  CHECK(Fixture.starts().empty());
  SECTION("the next incarnation has carried the order out") {
    Fixture.reportFrom("a", Second, 5, {{Order.Task, Order.Run, "", 100, 0}},
                       {});
    Fixture.Time.advance(seconds(20));
    CHECK(Fixture.starts().empty());
    CHECK(Fixture.takeOrders<StopOrder>().empty());
  }
  SECTION("the executor does not come back") {
    Fixture.Time.advance(seconds(2));
    const auto Again = Fixture.starts();
    REQUIRE(Again.size() == 1);
    CHECK(Again.front().Executor == ExecutorId("c"));
    // The order may still come.
    Fixture.reportFrom("a", Second, 5, {}, {});
    Fixture.Planner.repeatStops(Fixture.Time.now());
    const auto Stops = Fixture.takeOrders<StopOrder>();
    REQUIRE(Stops.size() == 1);
    CHECK(Stops.front().Run == Order.Run);
  }
}

// Guards against a task that waits although no later incarnation can carry out
// its order.
TEST_CASE("an unanswered start is not awaited if it cannot be carried out") {
  SECTION("another executor answers at the address") {
    RestartFixture Fixture;
    Fixture.loseUnanswered(ExecutorLoss::Replaced);
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("another executor answers after the machine was lost") {
    RestartFixture Fixture;
    const StartOrder Order = Fixture.loseUnanswered(ExecutorLoss::MachineLost);
    CHECK(Fixture.starts().empty());
    Fixture.Planner.noteEmpty(Order.Executor, ExecutorLoss::Replaced,
                              Fixture.Time.now());
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("the order has not been sent") {
    RestartFixture Fixture;
    Fixture.loseUnanswered(ExecutorLoss::MachineLost, false);
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("the order has been refused") {
    RestartFixture Fixture;
    const StartOrder Order = Fixture.loseUnanswered(ExecutorLoss::MachineLost);
    Fixture.Planner.noteStart(Order, StartOutcome::NoRoom, 0,
                              Fixture.Time.now());
    CHECK(Fixture.starts().size() == 1);
  }
}

// Guards against a second run beside one that the next incarnation has started
// on a late order.
TEST_CASE("a late start on the next incarnation is the task's run") {
  RestartFixture Fixture;
  const StartOrder Order = Fixture.loseUnanswered(ExecutorLoss::MachineLost);
  Fixture.Time.advance(seconds(3));
  Fixture.reportFrom("a", Second, 5, {{Order.Task, Order.Run, "", 10, 0}}, {});
  CHECK(Fixture.starts().empty());
  Fixture.Time.advance(seconds(20));
  CHECK(Fixture.starts().empty());
  CHECK(Fixture.takeOrders<StopOrder>().empty());
  Fixture.reportFrom("a", Second, 20900, {},
                     {{1, Order.Task, Order.Run, RunEnd::Done, ""}});
  Fixture.store();
  CHECK(Fixture.starts().empty());
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Completed);
}

// Guards against a task that starts elsewhere while the next incarnation may
// still carry the late order out, and against one that waits longer than that.
TEST_CASE("an awaited start is stopped at the next incarnation at once") {
  RestartFixture Fixture;
  const StartOrder Order = Fixture.loseUnanswered(ExecutorLoss::MachineLost);
  Fixture.Time.advance(seconds(3));
  Fixture.reportFrom("a", Second, 5, {}, {});
  Fixture.Planner.repeatStops(Fixture.Time.now());
  const auto Stops = Fixture.takeOrders<StopOrder>();
  REQUIRE(Stops.size() == 1);
  CHECK(Stops.front().Task == Order.Task);
  CHECK(Stops.front().Run == Order.Run);
  CHECK(Fixture.starts().empty());
  Fixture.Planner.noteStop(Stops.front(), 10, Fixture.Time.now());
  CHECK(Fixture.starts().empty());
  Fixture.reportFrom("a", Second, 20, {}, {});
  CHECK(Fixture.starts().size() == 1);
}

// Guards against an awaited start that holds the end of its job up.
TEST_CASE("a cancelled job does not await a late start") {
  RestartFixture Fixture;
  const StartOrder Order = Fixture.loseUnanswered(ExecutorLoss::MachineLost);
  Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
  Fixture.Planner.repeatStops(Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().empty());
  Fixture.store();
  // The next incarnation is told to refuse the run that was given up.
  Fixture.Time.advance(seconds(3));
  Fixture.reportFrom("a", Second, 5, {}, {});
  Fixture.Planner.repeatStops(Fixture.Time.now());
  const auto Stops = Fixture.takeOrders<StopOrder>();
  REQUIRE(Stops.size() == 1);
  CHECK(Stops.front().Run == Order.Run);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Cancelled);
  CHECK(Fixture.starts().empty());
}

// Guards against tasks that crash executors without a bound because these come
// back under the same id.
TEST_CASE("a restart under the same id counts as a crash, and once") {
  RestartFixture Fixture;
  Fixture.Planner.addJob(job("1", {step(1, 2000)}));
  size_t Starts = 0;
  for (ExecutorIncarnation Incarnation = First; Incarnation < First + 20;
       ++Incarnation) {
    Fixture.listIncarnations(Incarnation);
    Fixture.Time.advance(seconds(1));
    Fixture.reportFrom("a", Incarnation, 5, {}, {});
    Fixture.reportFrom("b", First, 50000 + Incarnation, {}, {});
    Fixture.store();
    for (const StartOrder &Order : Fixture.starts()) {
      Fixture.answer(Order, 50000);
      ++Starts;
    }
  }
  CHECK(Starts == 3);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Failed);
}

// Guards against a task placed on the capacity of an earlier incarnation.
TEST_CASE("nothing starts while the list shows another incarnation") {
  RestartFixture Fixture;
  Fixture.reportFrom("a", Second, 5, {}, {});
  Fixture.Planner.addJob(job("1", {step(1, 2000)}));
  CHECK(Fixture.starts().empty());
  Fixture.listIncarnations(Second);
  CHECK(Fixture.starts().size() == 1);
}

// Guards against incarnations that are told apart by which is higher.
TEST_CASE("an incarnation with a lower number is a new one as well") {
  RestartFixture Fixture;
  Fixture.runToEnd("1", 4);
  const StartOrder Lost = Fixture.startOne("2");
  Fixture.listIncarnations(First - 500);
  Fixture.reportFrom("a", First - 500, 5, {}, {});
  CHECK(Fixture.discardable() == 0);
  Fixture.store();
  const auto Again = Fixture.starts();
  REQUIRE(Again.size() == 1);
  CHECK(Again.front().Task == Lost.Task);
}
