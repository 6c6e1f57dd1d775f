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
