#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What the log tells of runs that were given up, and of their ends.

namespace {

constexpr ExecutorIncarnation First = 1000;
constexpr ExecutorIncarnation Second = 2000;
const ExecutorId A("a");

/// A job of one task on two executors.
class EarlierRunFixture : public PlannerFixture {
public:
  explicit EarlierRunFixture(StepSpec Spec = step(1, 2000)) {
    this->listIncarnation(First);
    this->Planner.addJob(job("1", {std::move(Spec)}));
  }

  /// Lists the executors and reports that nothing runs on them.
  void listIncarnation(ExecutorIncarnation OfA) {
    ExecutorInfo Info = executor("a");
    Info.Incarnation = OfA;
    this->Planner.setExecutors({Info, executor("b")});
    this->reportFrom(A, OfA, {}, {});
    this->reportFrom(ExecutorId("b"), First, {}, {});
  }

  void reportFrom(const ExecutorId &Id, ExecutorIncarnation Incarnation,
                  std::vector<RunReport> Running,
                  std::vector<EndReport> Ended) {
    ExecutorReport Report;
    Report.Incarnation = Incarnation;
    Report.RequestedAt = this->Time.now();
    Report.At = ++this->ExecutorNow;
    Report.Running = std::move(Running);
    Report.Ended = std::move(Ended);
    this->Time.advance(milliseconds(1));
    this->Planner.noteReport(Id, Report, this->Time.now());
  }

  /// The fields of the only line of the event.
  std::map<std::string, std::string> line(const std::string &Event) const {
    const auto Lines = this->lines(Event);
    REQUIRE(Lines.size() == 1);
    return Lines.front();
  }

  /// Starts the task; only \p On gets it.
  StartOrder startOn(const std::string &On, bool IsAnswered = true) {
    this->Planner.setReachable(A, On == "a");
    this->Planner.setReachable(ExecutorId("b"), On == "b");
    const auto Orders = this->starts();
    REQUIRE(Orders.size() == 1);
    REQUIRE(Orders.front().Executor == ExecutorId(On));
    if (IsAnswered)
      this->confirm(Orders.front());
    this->Time.advance(milliseconds(1));
    return Orders.front();
  }

  /// Starts the task again, and checks the line about that.
  void checkRestart(const StartOrder &Earlier, const std::string &Cause,
                    uint64_t End = 0, const std::string &On = "b") {
    this->store();
    this->Time.advance(milliseconds(400));
    const StartOrder Next = this->startOn(On);
    auto Line = this->line("task-restarted");
    CHECK(Line["task"] == Next.Task.text());
    CHECK(Line["run"] == std::to_string(Next.Run));
    CHECK(Line["executor"] == On);
    CHECK(Line["earlier-run"] == std::to_string(Earlier.Run));
    CHECK(Line["earlier-executor"] == "a");
    CHECK(Line["earlier-incarnation"] == std::to_string(First));
    CHECK(Line["cause"] == Cause);
    CHECK(std::stoll(Line["given-up-ms"]) >= 400);
    CHECK(Line["end"] == std::to_string(End));
  }

  /// Gives up a run on "a", and starts the task on "b".
  StartOrder giveUp() {
    const StartOrder Lost = this->startOn("a");
    this->Planner.noteEmpty(A, ExecutorLoss::LeasesExpired, this->Time.now());
    this->Time.advance(seconds(1));
    this->startOn("b");
    return Lost;
  }
};

} // namespace

// Guards against a task that is started again after its executor was lost, and
// of which no line says why.
TEST_CASE("a restart after the loss of an executor names the cause") {
  const ExecutorLoss Cause =
      GENERATE(ExecutorLoss::LeasesExpired, ExecutorLoss::Replaced,
               ExecutorLoss::MachineLost);
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.startOn("a");
  CHECK(Fixture.lines("task-restarted").empty());
  Fixture.Planner.noteEmpty(A, Cause, Fixture.Time.now());
  CHECK(Fixture.line("executor-empty")["incarnation"] == std::to_string(First));
  Fixture.checkRestart(Lost, std::string(nameOf(ExecutorLossNames, Cause)));
}

// Guards against a run that a new incarnation has lost and that looks as if its
// executor had forgotten it.
TEST_CASE("a restart after a new incarnation names it as the cause") {
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.startOn("a");
  Fixture.listIncarnation(Second);
  CHECK(Fixture.line("run-gone")["cause"] == "restarted");
  Fixture.checkRestart(Lost, "restarted");
}

// Guards against a run of the present incarnation that counts as lost with an
// earlier one.
TEST_CASE("a run that the new incarnation has listed is not lost with the "
          "earlier one") {
  EarlierRunFixture Fixture;
  const StartOrder Order = Fixture.startOn("a", false);
  Fixture.reportFrom(A, Second, {{Order.Task, Order.Run, "", 10, 0}}, {});
  Fixture.reportFrom(A, Second, {}, {});
  CHECK(Fixture.line("run-gone")["cause"] == "gone");
}

// Guards against a run that is missing from a report and whose task is started
// again without a cause.
TEST_CASE("a restart after a run has gone names that as the cause") {
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.startOn("a");
  Fixture.reportFrom(A, First, {}, {});
  Fixture.checkRestart(Lost, "gone");
}

// Guards against a run that was stopped because its start was not answered, and
// that looks as if it had gone by itself.
TEST_CASE("a restart after a confirmed stop names the stop as the cause") {
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.startOn("a", false);
  Fixture.Planner.noteStart(Lost, StartOutcome::Unknown, 0, Fixture.Time.now());
  Fixture.Time.advance(seconds(1));
  Fixture.reportFrom(A, First, {}, {});
  REQUIRE(Fixture.takeOrders<StopOrder>().size() == 1);
  Fixture.Planner.noteStop({A, Lost.Task, Lost.Run}, ++Fixture.ExecutorNow,
                           Fixture.Time.now());
  Fixture.reportFrom(A, First, {}, {});
  Fixture.checkRestart(Lost, "stopped");
}

// Guards against a start order that is taken as refused and is carried out all
// the same: the log has to show both runs.
TEST_CASE("a restart after a refused start names the refusal as the cause") {
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.startOn("a", false);
  Fixture.Planner.noteStart(Lost, StartOutcome::NoRoom, 0, Fixture.Time.now());
  Fixture.checkRestart(Lost, "refused");
  Fixture.reportFrom(A, First, {{Lost.Task, Lost.Run, "", 10, 0}}, {});
  CHECK(Fixture.line("run-doubled")["given-up"] == "refused");
}

// Guards against a task that is started again after an end, and of which no
// line says after which end.
TEST_CASE("a restart after an end names how the run ended, and the end") {
  const RunEnd Outcome =
      GENERATE(RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Broken,
               RunEnd::Alone);
  EarlierRunFixture Fixture;
  const StartOrder Ended = Fixture.startOn("a");
  Fixture.reportFrom(A, First, {}, {Fixture.end(Ended, Outcome)});
  CHECK(Fixture.line("run-ended")["given-up"].empty());
  Fixture.checkRestart(Ended, std::string(nameOf(RunEndNames, Outcome)),
                       Fixture.LastEnd);
}

// Guards against a long-running task that is started again without a cause
// because its run has ended as done.
TEST_CASE("a restart of a long-running task names the end of its run") {
  StepSpec Spec = step(1, 2000);
  Spec.IsLongRunning = true;
  EarlierRunFixture Fixture(Spec);
  const StartOrder Ended = Fixture.startOn("a");
  Fixture.reportFrom(A, First, {}, {Fixture.end(Ended, RunEnd::Done)});
  Fixture.checkRestart(Ended, "done", Fixture.LastEnd);
}

// Guards against a task that was started twice although its first run was done,
// where the log does not tell whether that end was acknowledged.
TEST_CASE("the acknowledgement of an end of a run given up before is logged "
          "once") {
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.giveUp();
  Fixture.reportFrom(A, First, {}, {Fixture.end(Lost, RunEnd::Done)});
  auto Ended = Fixture.line("run-ended");
  CHECK(Ended["current"] == "no");
  CHECK(Ended["given-up"] == "leases-expired");
  CHECK(std::stoll(Ended["given-up-ms"]) >= 1000);
  Fixture.Planner.noteAcknowledged(A, Fixture.LastEnd - 1, Fixture.Time.now());
  CHECK(Fixture.lines("end-acknowledged").empty());
  Fixture.Time.advance(milliseconds(300));
  Fixture.Planner.noteAcknowledged(A, Fixture.LastEnd, Fixture.Time.now());
  Fixture.Planner.noteAcknowledged(A, Fixture.LastEnd, Fixture.Time.now());
  auto Line = Fixture.line("end-acknowledged");
  CHECK(Line["task"] == Lost.Task.text());
  CHECK(Line["run"] == std::to_string(Lost.Run));
  CHECK(Line["executor"] == "a");
  CHECK(Line["incarnation"] == std::to_string(First));
  CHECK(Line["how"] == "done");
  CHECK(Line["number"] == std::to_string(Fixture.LastEnd));
  CHECK(Line["reported-ms"] == "300");
  CHECK(Line["given-up"] == "leases-expired");
}

// Guards against an acknowledgement that is logged for an end of an earlier
// incarnation with the same number.
TEST_CASE("ends of an earlier incarnation are not acknowledged to the next") {
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.giveUp();
  Fixture.reportFrom(A, First, {}, {Fixture.end(Lost, RunEnd::Done)});
  Fixture.listIncarnation(Second);
  Fixture.Planner.noteAcknowledged(A, Fixture.LastEnd, Fixture.Time.now());
  CHECK(Fixture.lines("end-acknowledged").empty());
}

// Guards against an end of which the log says nothing because its task was
// started again and its job has ended meanwhile.
TEST_CASE("an end that is reported after its job has ended is logged") {
  EarlierRunFixture Fixture;
  const StartOrder Lost = Fixture.startOn("a");
  Fixture.Planner.noteEmpty(A, ExecutorLoss::LeasesExpired, Fixture.Time.now());
  const StartOrder Next = Fixture.startOn("b");
  Fixture.reportFrom(Next.Executor, First, {},
                     {Fixture.end(Next, RunEnd::Done)});
  Fixture.store();
  Fixture.reportFrom(A, First, {}, {Fixture.end(Lost, RunEnd::Done)});
  auto Line = Fixture.line("end-after-job");
  CHECK(Line["task"] == Lost.Task.text());
  CHECK(Line["run"] == std::to_string(Lost.Run));
  CHECK(Line["executor"] == "a");
  CHECK(Line["how"] == "done");
}

// Guards against a log that grows with each ordinary start and end.
TEST_CASE("ordinary starts and ends add no lines about earlier runs") {
  EarlierRunFixture Fixture;
  const StartOrder Order = Fixture.startOn("a");
  Fixture.reportFrom(A, First, {}, {Fixture.end(Order, RunEnd::Done)});
  Fixture.Planner.noteAcknowledged(A, Fixture.LastEnd, Fixture.Time.now());
  CHECK(Fixture.lines("run-ended").size() == 1);
  CHECK(Fixture.lines("task-restarted").empty());
  CHECK(Fixture.lines("end-acknowledged").empty());
  CHECK(Fixture.lines("end-after-job").empty());
}
