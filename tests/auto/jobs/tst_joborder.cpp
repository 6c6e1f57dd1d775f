// Guards against room for jobs that can no longer be on time while others still
// can, in a pool that is overloaded at the beginning of its queue's turn.

#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using namespace std::chrono_literals;

/// A job of one task that takes all of an executor.
static AcceptedJob jobOf(const std::string &Id, Duration Estimate,
                         TimePoint Accepted) {
  AcceptedJob Job = job(Id, {step(1, 8000)});
  Job.Spec.Steps[0].Estimate = Estimate;
  Job.Accepted = Accepted;
  return Job;
}

TEST_CASE("a job that can no longer be on time waits for one that can") {
  PlannerFixture Fixture;
  Fixture.list({executor("e")});
  const TimePoint Begin = Fixture.Time.now();
  // On time until 0.6 s + 1.6 x 0.5 s after it was accepted.
  Fixture.Planner.addJob(jobOf("late", 500ms, Begin));
  Fixture.Time.advance(1s);
  Fixture.Planner.addJob(jobOf("fresh", 600ms, Fixture.Time.now()));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Task.Step.Job == JobId("fresh"));
}

TEST_CASE("a job is ranked by what is left of it") {
  PlannerFixture Fixture;
  Fixture.list({executor("e")});
  const TimePoint Begin = Fixture.Time.now();
  AcceptedJob Begun = jobOf("begun", 500ms, Begin);
  Begun.Spec.Steps.push_back(Begun.Spec.Steps[0]);
  Begun.Spec.Steps[1].Dependencies = {0};
  Fixture.Planner.addJob(std::move(Begun));
  const auto First = Fixture.starts();
  REQUIRE(First.size() == 1);
  Fixture.confirm(First[0]);
  Fixture.Planner.addJob(jobOf("single", 700ms, Begin));
  Fixture.endRun(First[0], RunEnd::Done);
  const auto Next = Fixture.starts();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Task.Step.Job == JobId("begun"));
}

TEST_CASE("few late jobs that would soon have no value go first") {
  PlannerFixture Fixture;
  // 5 % of the capacity is 2 cores.
  Fixture.list({executor("e", 40000)});
  const TimePoint Begin = Fixture.Time.now();
  const auto Small = [](const std::string &Id, TimePoint Accepted) {
    AcceptedJob Job = job(Id, {step(1, 1000)});
    Job.Accepted = Accepted;
    return Job;
  };
  for (int Number = 0; Number < 10; ++Number)
    Fixture.Planner.addJob(Small("old" + std::to_string(Number), Begin));
  // On time until 1.4 s after it was accepted, of value until 4.2 s.
  Fixture.Time.advance(3s);
  for (int Number = 0; Number < 50; ++Number)
    Fixture.Planner.addJob(
        Small("new" + std::to_string(Number), Fixture.Time.now()));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 40);
  const auto Old =
      std::count_if(Starts.begin(), Starts.end(), [](const auto &Each) {
        return Each.Task.Step.Job.text().starts_with("old");
      });
  CHECK(Old == 2);
}

TEST_CASE("an executor that has arrived counts for its pool before it is "
          "listed") {
  PlannerFixture Fixture;
  Fixture.list({executor("known")});
  const std::vector<ArrivedExecutor> Arrived = {{ExecutorId("known"), 8},
                                                {ExecutorId("new"), 64}};
  const auto Read = decodeDemandRequest(encodeDemandRequest({Arrived, 3}));
  REQUIRE(Read);
  CHECK(Read.value().Release == 3);
  const TimePoint Now = Fixture.Time.now();
  CHECK(Fixture.Planner.demand(Now).Cores == 8);
  CHECK(Fixture.Planner.demand(Now, Read.value().Arrived).Cores == 8 + 64);
  CHECK(decodeDemandRequest("").value().Arrived.empty());
  CHECK_FALSE(decodeDemandRequest("{}"));
}
