#include "writefixture.h"

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

// Guards against a job that is never stored because jobs with lower
// identifiers keep changing.
TEST_CASE("the job whose change is oldest is in the next commit whatever its "
          "identifier") {
  WriteFixture Fixture;
  const auto Oldest = Fixture.run("z", 2);
  std::vector<std::vector<StartOrder>> Others;
  for (size_t Number = 0; Number < 2 * CommitSize; ++Number)
    Others.push_back(Fixture.run(numbered("a", Number), 2));
  Fixture.endRun(Oldest[0], RunEnd::Done);
  for (const auto &Other : Others)
    Fixture.endRun(Other[0], RunEnd::Done);
  CHECK(Fixture.isWritten(Fixture.Planner.takeWrites(CommitSize), "z"));
}

// Guards against a job that is never stored because others keep ending.
TEST_CASE("the job whose change is oldest is in the next commit beside many "
          "jobs that have ended") {
  WriteFixture Fixture;
  Fixture.endRun(Fixture.run("z", 2).front(), RunEnd::Done);
  for (size_t Number = 0; Number < 2 * CommitSize; ++Number)
    Fixture.runToEnd(numbered("a", Number));
  CHECK(Fixture.isWritten(Fixture.Planner.takeWrites(CommitSize), "z"));
}

// Guards against changes that wait for those made after them.
TEST_CASE(
    "a change waits only for the commits of jobs that changed before it") {
  WriteFixture Fixture;
  constexpr size_t Commits = 4;
  constexpr size_t Jobs = Commits * CommitSize;
  std::vector<std::vector<StartOrder>> Starts;
  for (size_t Number = 0; Number < Jobs; ++Number)
    Starts.push_back(Fixture.run(numbered("j", Number), Commits + 2));
  // All jobs change, and those with low identifiers change again after each
  // commit.
  for (const auto &Each : Starts)
    Fixture.endRun(Each[0], RunEnd::Done);
  for (size_t Commit = 1; Commit <= Commits; ++Commit) {
    Fixture.Planner.noteWritten(Fixture.Planner.takeWrites(CommitSize));
    for (size_t Number = 0; Number < CommitSize; ++Number)
      Fixture.endRun(Starts[Number][Commit], RunEnd::Done);
  }
  CHECK(Fixture.Planner.storedThrough() >= Jobs);
}

// Guards against executors that repeat their ends until the whole service is
// stored.
TEST_CASE("an end does not wait for the change of a job that ran elsewhere") {
  NarrowFixture Fixture;
  const auto First = Fixture.run("1", 1).front();
  const auto Second = Fixture.run("2", 1).front();
  REQUIRE(First.Executor != Second.Executor);
  Fixture.endRun(First, RunEnd::Done);
  const uint64_t FirstEnd = Fixture.LastEnd;
  Fixture.endRun(Second, RunEnd::Done);
  const uint64_t SecondEnd = Fixture.LastEnd;
  Fixture.storeAllBut("1");
  CHECK(Fixture.discardable(Second.Executor.text()) == SecondEnd);
  CHECK(Fixture.discardable(First.Executor.text()) == 0);
  Fixture.store();
  CHECK(Fixture.discardable(First.Executor.text()) == FirstEnd);
}

// Guards against ends that wait although nothing follows from them.
TEST_CASE("an end of a job that is stored as ended waits for no other job") {
  NarrowFixture Fixture;
  const auto Cancelled = Fixture.run("1", 1).front();
  const auto Other = Fixture.run("2", 1).front();
  Fixture.Planner.cancel(JobId("1"), Fixture.Time.now());
  Fixture.store();
  Fixture.endRun(Other, RunEnd::Done);
  Fixture.endRun(Cancelled, RunEnd::Stopped);
  CHECK(Fixture.discardable(Cancelled.Executor.text()) == Fixture.LastEnd);
  CHECK(Fixture.discardable(Other.Executor.text()) == 0);
}
