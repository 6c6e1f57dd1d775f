#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

TEST_CASE("a step starts only after the steps that it depends on") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  std::vector<StepSpec> Steps = {step(2), step(1)};
  Steps[1].Dependencies = {0};
  Fixture.Planner.addJob(job("1", Steps));
  const auto First = Fixture.starts();
  REQUIRE(First.size() == 2);
  CHECK(First[0].Run == 1);
  Fixture.confirm(First[0]);
  Fixture.confirm(First[1]);
  Fixture.endRun(First[0], RunEnd::Done);
  CHECK(Fixture.starts().empty());
  Fixture.endRun(First[1], RunEnd::Done);
  const auto Second = Fixture.starts();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Task.Step.Index == 1);
  Fixture.confirm(Second[0]);
  Fixture.endRun(Second[0], RunEnd::Done);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Running);
  Fixture.store();
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Completed);
}

TEST_CASE("an executor may discard an end only once it is stored") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.Planner.addJob(job("1", {step(2)}));
  const auto Starts = Fixture.starts();
  Fixture.confirm(Starts[0]);
  Fixture.endRun(Starts[0], RunEnd::Done);
  CHECK(Fixture.Planner.lastDiscardableEnd(ExecutorId("a")) == 0);
  Fixture.store();
  CHECK(Fixture.Planner.lastDiscardableEnd(ExecutorId("a")) == 1);
}

TEST_CASE("a start that was not answered is not repeated elsewhere") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  Fixture.Planner.noteStart(Starts[0], StartOutcome::Unknown, 0,
                            Fixture.Time.now());
  CHECK(Fixture.starts().empty());

  SECTION("the run is adopted if a report lists it") {
    Fixture.report(Starts[0].Executor.text(), {{Starts[0].Task, 1, "", 10, 0}},
                   {});
    Fixture.Time.advance(std::chrono::seconds(2));
    Fixture.report(Starts[0].Executor.text(), {{Starts[0].Task, 1, "", 20, 0}},
                   {});
    CHECK(Fixture.takeOrders<StopOrder>().empty());
    CHECK(Fixture.starts().empty());
  }
  SECTION(
      "the run is stopped if no report lists it, and the task starts again") {
    Fixture.Time.advance(std::chrono::seconds(2));
    Fixture.report(Starts[0].Executor.text(), {}, {});
    const auto Stops = Fixture.takeOrders<StopOrder>();
    REQUIRE(Stops.size() == 1);
    CHECK(Fixture.starts().empty());
    Fixture.Planner.noteStop(Stops[0], ++Fixture.ExecutorNow,
                             Fixture.Time.now());
    Fixture.report(Starts[0].Executor.text(), {}, {});
    const auto Again = Fixture.starts();
    REQUIRE(Again.size() == 1);
    CHECK(Again[0].Run == 2);
  }
}

// Guards against running work that is stopped because its start was answered
// late, while other tasks of its step are away (AVAIL).
TEST_CASE("a run whose start was carried out late goes on") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  const std::string Name = Starts[0].Executor.text();
  Fixture.Planner.noteStart(Starts[0], StartOutcome::Unknown, 0,
                            Fixture.Time.now());
  Fixture.Time.advance(std::chrono::seconds(1));
  Fixture.report(Name, {}, {});
  const auto Stops = Fixture.takeOrders<StopOrder>();
  REQUIRE(Stops.size() == 1);

  SECTION("if no stop was confirmed") {
    Fixture.report(Name, {{Starts[0].Task, 1, "", 100, 0}}, {});
    Fixture.Planner.noteStop(Stops[0], std::nullopt, Fixture.Time.now());
    Fixture.Time.advance(std::chrono::seconds(2));
    Fixture.Planner.repeatStops(Fixture.Time.now());
    CHECK(Fixture.takeOrders<StopOrder>().empty());
    CHECK(Fixture.starts().empty());
    Fixture.report(Name, {}, {Fixture.end(Starts[0], RunEnd::Stopped)});
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("but not if its job has been cancelled") {
    Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
    Fixture.report(Name, {{Starts[0].Task, 1, "", 100, 0}}, {});
    Fixture.Planner.noteStop(Stops[0], std::nullopt, Fixture.Time.now());
    Fixture.Time.advance(std::chrono::seconds(2));
    Fixture.Planner.repeatStops(Fixture.Time.now());
    CHECK(Fixture.takeOrders<StopOrder>().size() == 1);
  }
}

TEST_CASE(
    "tasks of an unreachable executor start elsewhere only once it is empty") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto Starts = Fixture.starts();
  Fixture.confirm(Starts[0]);
  Fixture.list({executor("b")});
  Fixture.Planner.setReachable(ExecutorId("a"), false);
  CHECK(Fixture.starts().empty());
  Fixture.Planner.noteEmpty(ExecutorId("a"), ExecutorLoss::LeasesExpired,
                            Fixture.Time.now());
  const auto Again = Fixture.starts();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Executor == ExecutorId("b"));
}

TEST_CASE("a new planner waits for every executor that may run a task") {
  PlannerFixture Fixture(2);
  Fixture.Planner.beginExecutorDiscovery();
  Fixture.Planner.restoreJob(job("1", {step(1)}), {}, Fixture.Time.now());
  Fixture.Planner.setExecutors({executor("a"), executor("b")});
  Fixture.Planner.awaitReports({ExecutorId("a"), ExecutorId("b")});
  Fixture.report("a", {}, {});
  CHECK(Fixture.starts().empty());
  Fixture.Planner.endExecutorDiscovery();
  CHECK(Fixture.starts().empty());

  SECTION("and adopts running tasks") {
    const TaskKey Task{{JobId("1"), 0, 0}, 0};
    Fixture.report("b", {{Task, 3, "", 50, 0}}, {});
    CHECK(Fixture.starts().empty());
    CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Running);
  }
  SECTION("and numbers runs above those of its predecessor") {
    Fixture.report("b", {}, {});
    const auto Starts = Fixture.starts();
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].Run == 10001);
  }
  SECTION("and starts its own jobs at once") {
    Fixture.Planner.addJob(job("2", {step(1)}));
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("and treats an executor as vacant only once it has reported") {
    // Once an executor has reported to the successor, it refuses orders that
    // the predecessor may still send.
    CHECK(Fixture.Planner.occupancy(ExecutorId("a")) == Occupancy::Vacant);
    CHECK(Fixture.Planner.occupancy(ExecutorId("b")) == Occupancy::Protected);
    const PoolDemand Demand = Fixture.Planner.demand(Fixture.Time.now());
    CHECK(Demand.Vacant == std::set<ExecutorId>{ExecutorId("a")});
  }
  SECTION("and never treats an executor that runs unknown tasks as vacant") {
    const TaskKey Unknown{{JobId("9"), 0, 0}, 0};
    Fixture.report("b", {{Unknown, 3, "", 50, 0}}, {});
    CHECK(Fixture.Planner.occupancy(ExecutorId("b")) == Occupancy::Protected);
  }
}

// Guards against a task that is started again after a take-over although it is
// done, because an executor with many ends had not listed all of them yet.
TEST_CASE("a new planner waits for the rest of an executor's ends") {
  PlannerFixture Fixture(2);
  Fixture.Planner.restoreJob(job("1", {step(2)}), {}, Fixture.Time.now());
  Fixture.Planner.setExecutors({executor("a")});
  Fixture.Planner.awaitReports({ExecutorId("a")});
  const StepKey Step{JobId("1"), 0, 0};
  const auto ReportEnd = [&Fixture, Step](size_t Index, bool IsTruncated) {
    ExecutorReport Report;
    Report.At = ++Fixture.ExecutorNow;
    Report.Ended = {{++Fixture.LastEnd, {Step, Index}, 3, RunEnd::Done, ""}};
    Report.IsTruncated = IsTruncated;
    Fixture.Planner.noteReport(ExecutorId("a"), Report, Fixture.Time.now());
  };
  ReportEnd(0, true);
  CHECK(Fixture.Planner.isRecovering());
  CHECK(Fixture.starts().empty());
  ReportEnd(1, false);
  CHECK_FALSE(Fixture.Planner.isRecovering());
  CHECK(Fixture.starts().empty());
  Fixture.store();
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Completed);
}

TEST_CASE("an end of an unknown job is kept until the job is added") {
  PlannerFixture Fixture;
  Fixture.Planner.beginCatchUp();
  Fixture.list({executor("a")});
  const TaskKey Task{{JobId("1"), 0, 0}, 0};
  EndReport End;
  End.Number = 1;
  End.Task = Task;
  End.Run = 3;
  End.Outcome = RunEnd::Done;
  Fixture.report("a", {}, {End});
  CHECK(Fixture.Planner.lastDiscardableEnd(ExecutorId("a")) == 0);

  SECTION("the job is added: its task is done and not run again") {
    Fixture.Planner.restoreJob(job("1", {step(1)}), {}, Fixture.Time.now());
    CHECK(Fixture.starts().empty());
    CHECK(Fixture.Planner.takeWrites(10).size() == 1);
  }
  SECTION("the job is not added: the end may be discarded") {
    Fixture.Planner.endCatchUp();
    CHECK(Fixture.Planner.lastDiscardableEnd(ExecutorId("a")) == 1);
  }
}

TEST_CASE("a start refused as outdated may have run; the next report decides") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto First = Fixture.starts();
  REQUIRE(First.size() == 1);
  Fixture.Planner.noteStart(First[0], StartOutcome::Outdated,
                            ++Fixture.ExecutorNow, Fixture.Time.now());
  CHECK(Fixture.starts().empty());

  SECTION("the run has ended") {
    Fixture.endRun(First[0], RunEnd::Done);
    CHECK(Fixture.starts().empty());
  }
  SECTION("the run never started") {
    Fixture.report(First[0].Executor.text(), {}, {});
    CHECK(Fixture.starts().size() == 1);
  }
}

TEST_CASE("a job fails once a task has failed as often as its queue allows") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto First = Fixture.starts();
  Fixture.confirm(First[0]);
  const EndReport End = Fixture.end(First[0], RunEnd::Failed);
  Fixture.report(First[0].Executor.text(), {}, {End});
  const auto Second = Fixture.starts();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Executor != First[0].Executor);
  // The same end counts once if it is reported again.
  Fixture.report(First[0].Executor.text(), {}, {End});
  Fixture.confirm(Second[0]);
  Fixture.store();
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Running);
  Fixture.endRun(Second[0], RunEnd::Failed);
  CHECK(Fixture.starts().empty());
  Fixture.store();
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Failed);
}

TEST_CASE("the resources of an executor are never overbooked") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 2500)});
  Fixture.Planner.addJob(job("1", {step(5)}));
  const auto Starts = Fixture.starts();
  CHECK(Starts.size() == 2);
  for (const auto &Order : Starts)
    Fixture.confirm(Order);
  // Runs that are being stopped still count.
  Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().size() == 2);
  Fixture.Planner.addJob(job("2", {step(1, 2000)}));
  CHECK(Fixture.starts().empty());
  Fixture.endRun(Starts[0], RunEnd::Stopped);
  Fixture.endRun(Starts[1], RunEnd::Stopped);
  CHECK(Fixture.starts().size() == 1);
}

TEST_CASE("all members of a gang start together or none starts") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 2000)});
  StepSpec Gang = step(3);
  Gang.IsGang = true;
  Fixture.Planner.addJob(job("1", {Gang}));
  CHECK(Fixture.starts().empty());
  Fixture.list({executor("a", 2000), executor("b", 2000)});
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 3);
  CHECK(Starts[0].Run == Starts[2].Run);
  for (const auto &Order : Starts)
    Fixture.confirm(Order);
  Fixture.endRun(Starts[0], RunEnd::Done);
  Fixture.store();
  CHECK(Fixture.starts().empty());
}

// Guards against a pass that never ends: the members need nothing, so that an
// executor that has its limit of them still has room for more.
TEST_CASE("a gang without needs does not fit beyond its limit per executor") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  StepSpec Gang = step(3);
  Gang.Need = {};
  Gang.IsGang = true;
  Gang.MaxTasksPerExecutor = 1;
  Fixture.Planner.addJob(job("1", {Gang}));
  CHECK(Fixture.starts().empty());
  Fixture.list({executor("a"), executor("b"), executor("c")});
  CHECK(Fixture.starts().size() == 3);
}

TEST_CASE("labels, anti-affinity and draining restrict where a task may run") {
  PlannerFixture Fixture;
  ExecutorInfo Draining = executor("c");
  Draining.IsDraining = true;
  ExecutorInfo Labelled = executor("b");
  Labelled.Labels = {"fast", "r1-2"};
  Fixture.list({executor("a"), Labelled, Draining});
  StepSpec Constrained = step(3);
  Constrained.RequiredLabel = "fast";
  Constrained.MaxTasksPerExecutor = 2;
  Fixture.Planner.addJob(job("1", {Constrained}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 2);
  CHECK(Starts[0].Executor == ExecutorId("b"));
  CHECK(Starts[1].Executor == ExecutorId("b"));
}

TEST_CASE("advice is requested once and its tickets are used") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  AcceptedJob Advised = job("1", {step(1)});
  Advised.Policy.Advice = AdvicePolicy();
  Fixture.Planner.addJob(Advised);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime());
  const auto Requests = Fixture.takeOrders<AdviceOrder>();
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].Candidates.size() == 2);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime());
  CHECK(Fixture.takeOrders<AdviceOrder>().empty());
  Fixture.Planner.noteAdvice(Requests[0], {{ExecutorId("b"), "ticket"}},
                             Fixture.Time.now() + std::chrono::seconds(3));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Executor == ExecutorId("b"));
  CHECK(Starts[0].Ticket == "ticket");
}

TEST_CASE("long-running tasks move within what their step may miss") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b"), executor("c")});
  StepSpec LongRunning = step(2);
  LongRunning.IsLongRunning = true;
  LongRunning.MaxTasksPerExecutor = 1;
  LongRunning.HasMaxUnavailable = true;
  LongRunning.MaxUnavailable = 1;
  Fixture.Planner.addJob(job("1", {LongRunning}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 2);
  for (const auto &Order : Starts) {
    Fixture.confirm(Order);
    Fixture.report(Order.Executor.text(), {{Order.Task, Order.Run, "", 100, 0}},
                   {});
  }
  Fixture.Planner.evacuate(Starts[0].Executor, Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().size() == 1);
  CHECK(Fixture.Planner.occupancy(Starts[0].Executor) == Occupancy::Protected);
  // The other task has to stay while the first is unavailable.
  Fixture.Planner.evacuate(Starts[1].Executor, Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().empty());
}

TEST_CASE(
    "a long-running task is not stopped if it fits on no other executor") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  StepSpec LongRunning = step(1);
  LongRunning.IsLongRunning = true;
  Fixture.Planner.addJob(job("1", {LongRunning}));
  const auto Starts = Fixture.starts();
  Fixture.confirm(Starts[0]);
  Fixture.Planner.evacuate(ExecutorId("a"), Fixture.Time.now());
  CHECK(Fixture.takeOrders<StopOrder>().empty());
  CHECK(Fixture.Planner.demand(Fixture.Time.now()).Displaced == 1);
}

TEST_CASE("only as many long-running tasks move as fit elsewhere, and no other "
          "task takes their place") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 4000)});
  StepSpec LongRunning = step(2, 2000);
  LongRunning.IsLongRunning = true;
  Fixture.Planner.addJob(job("1", {LongRunning}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 2);
  for (const StartOrder &Order : Starts)
    Fixture.confirm(Order);
  Fixture.Planner.setExecutors({executor("a", 4000), executor("b", 2000)});
  Fixture.report("b", {}, {});
  Fixture.Planner.evacuate(ExecutorId("a"), Fixture.Time.now());
  const auto Stops = Fixture.takeOrders<StopOrder>();
  REQUIRE(Stops.size() == 1);
  // The stop has been ordered; the short task must not take the reserved place.
  Fixture.Planner.addJob(job("2", {step(1, 2000)}));
  CHECK(Fixture.starts().empty());
}

// Guards against giving away a reserved place: a start on the executor made the
// pass forget what was reserved there.
TEST_CASE("a place stays reserved when another task starts beside it") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 2000)});
  StepSpec LongRunning = step(1, 2000);
  LongRunning.IsLongRunning = true;
  Fixture.Planner.addJob(job("1", {LongRunning}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  Fixture.confirm(Starts[0]);
  Fixture.Planner.setExecutors({executor("a", 2000), executor("b", 3000)});
  Fixture.report("b", {}, {});
  Fixture.Planner.evacuate(ExecutorId("a"), Fixture.Time.now());
  REQUIRE(Fixture.takeOrders<StopOrder>().size() == 1);
  Fixture.Planner.addJob(job("2", {step(3, 1000)}));
  CHECK(Fixture.starts().size() == 1);
}

TEST_CASE("an executor is reserved for a long-running task that fits nowhere") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 2000)});
  Fixture.Planner.addJob(job("1", {step(2, 1000)}));
  const auto Small = Fixture.starts();
  REQUIRE(Small.size() == 2);
  StepSpec LongRunning = step(1, 2000);
  LongRunning.IsLongRunning = true;
  Fixture.Planner.addJob(job("2", {LongRunning}));
  Fixture.Planner.addJob(job("3", {step(4, 1000)}));
  for (const auto &Order : Small)
    Fixture.confirm(Order);
  Fixture.endRun(Small[0], RunEnd::Done);
  CHECK(Fixture.starts().empty());
  Fixture.endRun(Small[1], RunEnd::Done);
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Task.Step.Job == JobId("2"));
}

TEST_CASE("occurrences of a periodic job start when they are due") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  AcceptedJob Periodic = job("1", {step(1)});
  Periodic.Spec.Repetitions = 2;
  Periodic.Spec.FirstRun = WallTime(std::chrono::seconds(100));
  Periodic.Spec.Interval = std::chrono::seconds(10);
  Fixture.Planner.addJob(Periodic);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime(std::chrono::seconds(99)));
  CHECK(Fixture.takeOrders<StartOrder>().empty());
  Fixture.Planner.plan(Fixture.Time.now(), WallTime(std::chrono::seconds(100)));
  CHECK(Fixture.takeOrders<StartOrder>().size() == 1);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime(std::chrono::seconds(110)));
  const auto Second = Fixture.takeOrders<StartOrder>();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Task.Step.Occurrence == 1);
}

TEST_CASE("each stop that was not answered is repeated until it is") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.Planner.addJob(job("1", {step(2)}));
  for (const auto &Order : Fixture.starts())
    Fixture.confirm(Order);
  Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
  const auto Stops = Fixture.takeOrders<StopOrder>();
  REQUIRE(Stops.size() == 2);
  const auto RepeatedStops = [&Fixture] {
    Fixture.Planner.plan(Fixture.Time.now(), WallTime());
    return Fixture.takeOrders<StopOrder>();
  };
  Fixture.Planner.noteStop(Stops[1], std::nullopt, Fixture.Time.now());
  Fixture.Time.advance(std::chrono::milliseconds(200));
  Fixture.Planner.noteStop(Stops[0], std::nullopt, Fixture.Time.now());
  CHECK(RepeatedStops().empty());
  Fixture.Time.advance(std::chrono::milliseconds(300));
  const auto First = RepeatedStops();
  REQUIRE(First.size() == 1);
  CHECK(First[0].Task == Stops[1].Task);
  Fixture.Planner.noteStop(First[0], std::nullopt, Fixture.Time.now());
  Fixture.Time.advance(std::chrono::milliseconds(200));
  CHECK(RepeatedStops().size() == 1);
  Fixture.Time.advance(std::chrono::milliseconds(300));
  CHECK(RepeatedStops().size() == 1);
  CHECK(RepeatedStops().empty());
}

TEST_CASE("a cancelled job starts nothing and asks for no advice") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 1000)});
  AcceptedJob Advised = job("1", {step(1)});
  Advised.Policy.Advice = AdvicePolicy();
  Fixture.Planner.addJob(Advised);
  Fixture.Planner.addJob(job("2", {step(1)}));
  Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
  Fixture.Planner.cancel(JobId("2"), Fixture.Time.now());
  Fixture.Planner.plan(Fixture.Time.now(), WallTime());
  CHECK(Fixture.Planner.takeOrders().empty());
}

// Guards against a lag of the store whose age is not known.
TEST_CASE("the backlog of the store tells the age of the oldest change") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.Planner.addJob(job("1", {step(3)}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 3);
  for (const auto &Order : Starts)
    Fixture.confirm(Order);
  CHECK(Fixture.Planner.storeBacklog().Jobs == 0);
  CHECK(Fixture.Planner.storeBacklog().OldestChangeAt == TimePoint::max());

  const TimePoint FirstAt = Fixture.Time.now();
  Fixture.endRun(Starts[0], RunEnd::Done);
  const auto Taken = Fixture.Planner.takeWrites(10);
  Fixture.Time.advance(std::chrono::milliseconds(300));
  const TimePoint SecondAt = Fixture.Time.now();
  Fixture.endRun(Starts[1], RunEnd::Done);
  Fixture.Time.advance(std::chrono::milliseconds(300));
  Fixture.endRun(Starts[2], RunEnd::Done);
  CHECK(Fixture.Planner.storeBacklog().Jobs == 1);
  CHECK(Fixture.Planner.storeBacklog().OldestChangeAt == FirstAt);
  CHECK(Fixture.Planner.storeBacklog().Executors == 1);
  CHECK(Fixture.Planner.storeBacklog().Ends == 3);
  CHECK(Fixture.Planner.storeBacklog().OldestEndAt == FirstAt);

  SECTION("a write that failed leaves the age as it was") {
    Fixture.Planner.noteWriteFailed(Taken);
    CHECK(Fixture.Planner.storeBacklog().OldestChangeAt == FirstAt);
    CHECK(Fixture.Planner.storeBacklog().Ends == 3);
  }
  SECTION("changes made since the write was taken remain") {
    Fixture.Planner.noteWritten(Taken);
    CHECK(Fixture.Planner.storeBacklog().OldestChangeAt == SecondAt);
    CHECK(Fixture.Planner.storeBacklog().Ends == 2);
    Fixture.store();
    CHECK(Fixture.Planner.storeBacklog().Jobs == 0);
    CHECK(Fixture.Planner.storeBacklog().Executors == 0);
    CHECK(Fixture.Planner.storeBacklog().OldestEndAt == TimePoint::max());
  }
}

TEST_CASE("a job is shown as cancelled only once that is stored") {
  PlannerFixture Fixture;
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto Change = Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
  REQUIRE(Change);
  CHECK(Fixture.Planner.storedThrough() < *Change);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Queued);
  Fixture.store();
  CHECK(Fixture.Planner.storedThrough() >= *Change);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Cancelled);
  CHECK_FALSE(Fixture.Planner.cancel(JobId("2"), Fixture.Time.now()));
}
