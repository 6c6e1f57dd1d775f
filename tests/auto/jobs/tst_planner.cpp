#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

TEST_CASE("steps start in the order that the job names") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  std::vector<StepSpec> Steps = {step(2), step(1)};
  Steps[1].After = {0};
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
  CHECK(Second[0].Task.Of.Step == 1);
  Fixture.confirm(Second[0]);
  Fixture.endRun(Second[0], RunEnd::Done);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Running);
  Fixture.store();
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Completed);
}

TEST_CASE("an end may be forgotten only once it is stored") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.Planner.addJob(job("1", {step(2)}));
  const auto Starts = Fixture.starts();
  Fixture.confirm(Starts[0]);
  Fixture.endRun(Starts[0], RunEnd::Done);
  CHECK(Fixture.Planner.forgettableEnd(ExecutorId("a")) == 0);
  Fixture.store();
  CHECK(Fixture.Planner.forgettableEnd(ExecutorId("a")) == 1);
}

TEST_CASE("a start without an answer is not repeated elsewhere") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  Fixture.Planner.noteStart(Starts[0], StartOutcome::Unknown, 0,
                            Fixture.Time.now());
  CHECK(Fixture.starts().empty());

  SECTION("it is adopted if a report lists it") {
    Fixture.report(Starts[0].On.text(), {{Starts[0].Task, 1, "", 10, 0}}, {});
    Fixture.Time.advance(std::chrono::seconds(2));
    Fixture.report(Starts[0].On.text(), {{Starts[0].Task, 1, "", 20, 0}}, {});
    CHECK(Fixture.taken<StopOrder>().empty());
    CHECK(Fixture.starts().empty());
  }
  SECTION("it is barred if reports do not list it, and then starts anew") {
    Fixture.Time.advance(std::chrono::seconds(2));
    Fixture.report(Starts[0].On.text(), {}, {});
    const auto Stops = Fixture.taken<StopOrder>();
    REQUIRE(Stops.size() == 1);
    CHECK(Fixture.starts().empty());
    Fixture.Planner.noteStop(Stops[0], ++Fixture.ExecutorClock,
                             Fixture.Time.now());
    Fixture.report(Starts[0].On.text(), {}, {});
    const auto Again = Fixture.starts();
    REQUIRE(Again.size() == 1);
    CHECK(Again[0].Run == 2);
  }
}

TEST_CASE("a silent executor's tasks start elsewhere only once it is empty") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto Starts = Fixture.starts();
  Fixture.confirm(Starts[0]);
  Fixture.list({executor("b")});
  Fixture.Planner.setReachable(ExecutorId("a"), false);
  CHECK(Fixture.starts().empty());
  Fixture.Planner.noteEmpty(ExecutorId("a"), "lapsed");
  const auto Again = Fixture.starts();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].On == ExecutorId("b"));
}

TEST_CASE("a successor waits for every executor that may run a task") {
  PlannerFixture Fixture(2);
  Fixture.Planner.beginCensus();
  Fixture.Planner.restoreJob(job("1", {step(1)}), {});
  Fixture.Planner.setExecutors({executor("a"), executor("b")});
  Fixture.Planner.awaitReports({ExecutorId("a"), ExecutorId("b")});
  Fixture.report("a", {}, {});
  CHECK(Fixture.starts().empty());
  Fixture.Planner.endCensus();
  CHECK(Fixture.starts().empty());

  SECTION("and adopts what runs") {
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
  SECTION("and starts jobs of its own at once") {
    Fixture.Planner.addJob(job("2", {step(1)}));
    CHECK(Fixture.starts().size() == 1);
  }
  SECTION("and calls an executor vacant only once it has reported") {
    // From its report on, it refuses what the predecessor may still send.
    CHECK(Fixture.Planner.occupancy(ExecutorId("a")) == Occupancy::Vacant);
    CHECK(Fixture.Planner.occupancy(ExecutorId("b")) == Occupancy::Protected);
    const PoolDemand Demand = Fixture.Planner.demand(Fixture.Time.now());
    CHECK(Demand.Vacant == std::set<ExecutorId>{ExecutorId("a")});
  }
  SECTION("and never calls one vacant that runs what no known job explains") {
    const TaskKey Unknown{{JobId("9"), 0, 0}, 0};
    Fixture.report("b", {{Unknown, 3, "", 50, 0}}, {});
    CHECK(Fixture.Planner.occupancy(ExecutorId("b")) == Occupancy::Protected);
  }
}

TEST_CASE("an end of a job that has not turned up yet is kept until it has") {
  PlannerFixture Fixture;
  Fixture.Planner.beginCatchUp();
  Fixture.list({executor("a")});
  const TaskKey Task{{JobId("1"), 0, 0}, 0};
  EndReport End;
  End.Number = 1;
  End.Task = Task;
  End.Run = 3;
  End.How = RunEnd::Done;
  Fixture.report("a", {}, {End});
  CHECK(Fixture.Planner.forgettableEnd(ExecutorId("a")) == 0);

  SECTION("its job turns up: it is done, and not run again") {
    Fixture.Planner.restoreJob(job("1", {step(1)}), {});
    CHECK(Fixture.starts().empty());
    CHECK(Fixture.Planner.takeWrites(10).size() == 1);
  }
  SECTION("its job does not turn up: it is forgotten") {
    Fixture.Planner.endCatchUp();
    CHECK(Fixture.Planner.forgettableEnd(ExecutorId("a")) == 1);
  }
}

TEST_CASE("a start refused as outdated may have run: the next report tells") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto First = Fixture.starts();
  REQUIRE(First.size() == 1);
  Fixture.Planner.noteStart(First[0], StartOutcome::Outdated,
                            ++Fixture.ExecutorClock, Fixture.Time.now());
  CHECK(Fixture.starts().empty());

  SECTION("it has ended") {
    Fixture.endRun(First[0], RunEnd::Done);
    CHECK(Fixture.starts().empty());
  }
  SECTION("it never ran") {
    Fixture.report(First[0].On.text(), {}, {});
    CHECK(Fixture.starts().size() == 1);
  }
}

TEST_CASE("a job fails after as many failed runs as its queue allows") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto First = Fixture.starts();
  Fixture.confirm(First[0]);
  const EndReport End = Fixture.end(First[0], RunEnd::Failed);
  Fixture.report(First[0].On.text(), {}, {End});
  const auto Second = Fixture.starts();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].On != First[0].On);
  // A repeated report of the same end counts once.
  Fixture.report(First[0].On.text(), {}, {End});
  Fixture.confirm(Second[0]);
  Fixture.store();
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Running);
  Fixture.endRun(Second[0], RunEnd::Failed);
  CHECK(Fixture.starts().empty());
  Fixture.store();
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Failed);
}

TEST_CASE("the room of an executor is never booked twice") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 2500)});
  Fixture.Planner.addJob(job("1", {step(5)}));
  const auto Starts = Fixture.starts();
  CHECK(Starts.size() == 2);
  for (const auto &Order : Starts)
    Fixture.confirm(Order);
  // What is being stopped still counts.
  Fixture.Planner.cancel(JobId("1"));
  CHECK(Fixture.taken<StopOrder>().size() == 2);
  Fixture.Planner.addJob(job("2", {step(1, 2000)}));
  CHECK(Fixture.starts().empty());
  Fixture.endRun(Starts[0], RunEnd::Stopped);
  Fixture.endRun(Starts[1], RunEnd::Stopped);
  CHECK(Fixture.starts().size() == 1);
}

TEST_CASE("a gang starts whole or not at all") {
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

TEST_CASE("labels, anti-affinity and draining bound where a task may run") {
  PlannerFixture Fixture;
  ExecutorInfo Draining = executor("c");
  Draining.IsDraining = true;
  ExecutorInfo Labelled = executor("b");
  Labelled.Labels = {"fast", "r1-2"};
  Fixture.list({executor("a"), Labelled, Draining});
  StepSpec Bound = step(3);
  Bound.RequiredLabel = "fast";
  Bound.MostPerExecutor = 2;
  Fixture.Planner.addJob(job("1", {Bound}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 2);
  CHECK(Starts[0].On == ExecutorId("b"));
  CHECK(Starts[1].On == ExecutorId("b"));
}

TEST_CASE("advice is asked for once and its tickets are used") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  AcceptedJob Advised = job("1", {step(1)});
  Advised.Policy.Advice = AdvicePolicy();
  Fixture.Planner.addJob(Advised);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime());
  const auto Questions = Fixture.taken<AdviceOrder>();
  REQUIRE(Questions.size() == 1);
  CHECK(Questions[0].Candidates.size() == 2);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime());
  CHECK(Fixture.taken<AdviceOrder>().empty());
  Fixture.Planner.noteAdvice(Questions[0], {{ExecutorId("b"), "ticket"}},
                             Fixture.Time.now() + std::chrono::seconds(3));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].On == ExecutorId("b"));
  CHECK(Starts[0].Ticket == "ticket");
}

TEST_CASE("what lasts moves within what its step may miss") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b"), executor("c")});
  StepSpec Lasting = step(2);
  Lasting.IsLongRunning = true;
  Lasting.MostPerExecutor = 1;
  Lasting.HasMayMiss = true;
  Lasting.MayMiss = 1;
  Fixture.Planner.addJob(job("1", {Lasting}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 2);
  for (const auto &Order : Starts) {
    Fixture.confirm(Order);
    Fixture.report(Order.On.text(), {{Order.Task, Order.Run, "", 100, 0}}, {});
  }
  Fixture.Planner.evacuate(Starts[0].On, Fixture.Time.now());
  CHECK(Fixture.taken<StopOrder>().size() == 1);
  CHECK(Fixture.Planner.occupancy(Starts[0].On) == Occupancy::Protected);
  // The other one has to stay while the first is away.
  Fixture.Planner.evacuate(Starts[1].On, Fixture.Time.now());
  CHECK(Fixture.taken<StopOrder>().empty());
}

TEST_CASE("a task that lasts is not stopped where it has no other place") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  StepSpec Lasting = step(1);
  Lasting.IsLongRunning = true;
  Fixture.Planner.addJob(job("1", {Lasting}));
  const auto Starts = Fixture.starts();
  Fixture.confirm(Starts[0]);
  Fixture.Planner.evacuate(ExecutorId("a"), Fixture.Time.now());
  CHECK(Fixture.taken<StopOrder>().empty());
  CHECK(Fixture.Planner.demand(Fixture.Time.now()).Displaced == 1);
}

TEST_CASE("of tasks that last, only as many are moved as have another place, "
          "and nothing else takes it meanwhile") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 4000)});
  StepSpec Lasting = step(2, 2000);
  Lasting.IsLongRunning = true;
  Fixture.Planner.addJob(job("1", {Lasting}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 2);
  for (const StartOrder &Order : Starts)
    Fixture.confirm(Order);
  Fixture.Planner.setExecutors({executor("a", 4000), executor("b", 2000)});
  Fixture.report("b", {}, {});
  Fixture.Planner.evacuate(ExecutorId("a"), Fixture.Time.now());
  const auto Stops = Fixture.taken<StopOrder>();
  REQUIRE(Stops.size() == 1);
  // The stop is under way; short work waits for the place to be taken.
  Fixture.Planner.addJob(job("2", {step(1, 2000)}));
  CHECK(Fixture.starts().empty());
}

TEST_CASE("a task that lasts and fits nowhere keeps room from others") {
  PlannerFixture Fixture;
  Fixture.list({executor("a", 2000)});
  Fixture.Planner.addJob(job("1", {step(2, 1000)}));
  const auto Small = Fixture.starts();
  REQUIRE(Small.size() == 2);
  StepSpec Lasting = step(1, 2000);
  Lasting.IsLongRunning = true;
  Fixture.Planner.addJob(job("2", {Lasting}));
  Fixture.Planner.addJob(job("3", {step(4, 1000)}));
  for (const auto &Order : Small)
    Fixture.confirm(Order);
  Fixture.endRun(Small[0], RunEnd::Done);
  CHECK(Fixture.starts().empty());
  Fixture.endRun(Small[1], RunEnd::Done);
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Task.Of.Job == JobId("2"));
}

TEST_CASE("occurrences start when they are due") {
  PlannerFixture Fixture;
  Fixture.list({executor("a")});
  AcceptedJob Timed = job("1", {step(1)});
  Timed.Spec.Repetitions = 2;
  Timed.Spec.FirstRun = WallTime(std::chrono::seconds(100));
  Timed.Spec.Interval = std::chrono::seconds(10);
  Fixture.Planner.addJob(Timed);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime(std::chrono::seconds(99)));
  CHECK(Fixture.taken<StartOrder>().empty());
  Fixture.Planner.plan(Fixture.Time.now(), WallTime(std::chrono::seconds(100)));
  CHECK(Fixture.taken<StartOrder>().size() == 1);
  Fixture.Planner.plan(Fixture.Time.now(), WallTime(std::chrono::seconds(110)));
  const auto Second = Fixture.taken<StartOrder>();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Task.Of.Occurrence == 1);
}

TEST_CASE("a cancelled job shows so only once that is stored") {
  PlannerFixture Fixture;
  Fixture.Planner.addJob(job("1", {step(1)}));
  const auto Change = Fixture.Planner.cancel(JobId("1"));
  REQUIRE(Change);
  CHECK(Fixture.Planner.storedThrough() < *Change);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Queued);
  Fixture.store();
  CHECK(Fixture.Planner.storedThrough() >= *Change);
  CHECK(Fixture.Planner.shownState(JobId("1")) == JobState::Cancelled);
  CHECK_FALSE(Fixture.Planner.cancel(JobId("2")));
}
