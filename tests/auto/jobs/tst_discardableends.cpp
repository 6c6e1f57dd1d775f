#include "writefixture.h"

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

// Guards against a task that runs again after a take-over, because its end was
// discarded and nothing stored says that the job is over.
TEST_CASE("an end of a job that has ended waits until that is stored") {
  NarrowFixture Fixture;
  const auto Ended = Fixture.run("1", 1).front();
  Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
  Fixture.endRun(Ended, RunEnd::Done);
  CHECK(Fixture.discardable(Ended.Executor.text()) == 0);
  Fixture.storeAllBut("1");
  CHECK(Fixture.discardable(Ended.Executor.text()) == 0);
  Fixture.store();
  CHECK(Fixture.discardable(Ended.Executor.text()) == Fixture.LastEnd);
}

// Guards against an end that is discarded with a write that was taken before
// it.
TEST_CASE("an end waits for a write that was taken after it") {
  WriteFixture Fixture;
  const auto Starts = Fixture.run("1", 3);
  Fixture.endRun(Starts[0], RunEnd::Done);
  const uint64_t First = Fixture.LastEnd;
  const auto Earlier = Fixture.Planner.takeWrites(CommitSize);
  Fixture.endRun(Starts[1], RunEnd::Done);
  Fixture.Planner.noteWritten(Earlier);
  CHECK(Fixture.discardable("wide") == First);
  Fixture.store();
  CHECK(Fixture.discardable("wide") == First + 1);
}

// Guards against an end that is discarded because a later one of the same
// executor is stored.
TEST_CASE("ends of one executor are discarded in order") {
  WriteFixture Fixture;
  const auto Blocked = Fixture.run("1", 1).front();
  const auto Stored = Fixture.run("2", 1).front();
  Fixture.endRun(Blocked, RunEnd::Done);
  Fixture.endRun(Stored, RunEnd::Done);
  Fixture.storeAllBut("1");
  CHECK(Fixture.discardable("wide") == 0);
  Fixture.store();
  CHECK(Fixture.discardable("wide") == Fixture.LastEnd);
}

// Guards against a state that the store rejects as too large, so that no end is
// acknowledged any more: each failed run of a long-running task was part of it.
TEST_CASE(
    "the stored state does not grow with failures of long-running tasks") {
  PlannerFixture Fixture;
  Fixture.list({executor("e")});
  AcceptedJob Lasting = job("1", {step(1)}, 2);
  Lasting.Spec.Steps[0].IsLongRunning = true;
  SECTION("that it has seen") { Fixture.Planner.addJob(Lasting); }
  SECTION("that an earlier version has stored") {
    JobProgress Stored;
    for (uint64_t Run = 1; Run <= 1000; ++Run)
      Stored.Tasks[{{JobId("1"), 0, 0}, 0}].FailedRuns.insert(Run);
    Fixture.Planner.restoreJob(Lasting, Stored, Fixture.Time.now());
  }
  std::string Written;
  for (int Failure = 0; Failure < 100; ++Failure) {
    const std::vector<StartOrder> Starts = Fixture.starts();
    REQUIRE(Starts.size() == 1);
    Fixture.confirm(Starts[0]);
    Fixture.endRun(Starts[0], RunEnd::Failed);
    const auto Writes = Fixture.Planner.takeWrites(10);
    REQUIRE(Writes.size() == 1);
    Written = encodeProgress(Writes[0].Progress);
    Fixture.Planner.noteWritten(Writes);
    CHECK(Fixture.Planner.lastDiscardableEnd(ExecutorId("e")) ==
          Fixture.LastEnd);
  }
  CHECK(Written.size() < 100);
}
