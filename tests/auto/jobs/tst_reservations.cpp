// Guards against large tasks that wait while smaller ones of a lower rank take
// all room that becomes free, and against reservations that keep room from
// tasks that would be out of the way in time.

#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using namespace std::chrono_literals;

/// A job of one task that is on time for long after it was accepted.
static AcceptedJob jobOf(const std::string &Id, int64_t MilliCores,
                         Duration Estimate, TimePoint Accepted) {
  AcceptedJob Job = job(Id, {step(1, MilliCores)});
  Job.Spec.Steps[0].Estimate = Estimate;
  Job.Policy.Objective = 60s;
  Job.Accepted = Accepted;
  return Job;
}

namespace {

/// An executor of 8 cores with runs of 4 cores for 1 s and 4 cores for 3 s, the
/// first of which has ended. A job that needs 6 cores waits.
class HalfFullExecutor : public PlannerFixture {
public:
  explicit HalfFullExecutor(bool ReservesRoom)
      : PlannerFixture(1, ReservesRoom) {
    this->list({executor("e")});
    const TimePoint Begin = this->Time.now();
    this->Planner.addJob(jobOf("short", 4000, 1s, Begin));
    this->Planner.addJob(jobOf("long", 4000, 3s, Begin));
    const auto First = this->starts();
    REQUIRE(First.size() == 2);
    for (const StartOrder &Each : First)
      this->confirm(Each);
    this->Long = First[First[0].Task.Step.Job == JobId("long") ? 0 : 1];
    this->Short = First[First[0].Task.Step.Job == JobId("long") ? 1 : 0];
    this->Planner.addJob(jobOf("large", 6000, 100ms, Begin));
    this->Time.advance(1s);
    this->endRun(this->Short, RunEnd::Done);
  }

  StartOrder Short;
  StartOrder Long;
};

} // namespace

static std::vector<std::string> jobsOf(const std::vector<StartOrder> &Starts) {
  std::vector<std::string> Ids;
  for (const StartOrder &Each : Starts)
    Ids.push_back(Each.Task.Step.Job.text());
  return Ids;
}

using Ids = std::vector<std::string>;

TEST_CASE("without the setting, a small task takes what a large one waits "
          "for") {
  HalfFullExecutor Fixture(false);
  Fixture.Planner.addJob(jobOf("small", 4000, 10s, Fixture.Time.now()));
  CHECK(jobsOf(Fixture.starts()) == Ids{"small"});
  CHECK(std::count(Fixture.Logged.begin(), Fixture.Logged.end(),
                   "room-reserved") == 0);
}

TEST_CASE("a task that would delay a reservation is not placed") {
  HalfFullExecutor Fixture(true);
  Fixture.Planner.addJob(jobOf("small", 4000, 10s, Fixture.Time.now()));
  CHECK(Fixture.starts().empty());
  CHECK(std::count(Fixture.Logged.begin(), Fixture.Logged.end(),
                   "room-reserved") == 1);
  Fixture.endRun(Fixture.Long, RunEnd::Done);
  CHECK(jobsOf(Fixture.starts()) == Ids{"large"});
  CHECK(std::count(Fixture.Logged.begin(), Fixture.Logged.end(),
                   "room-released") == 1);
}

TEST_CASE("a task that ends in time or leaves the reserved room is placed") {
  HalfFullExecutor Fixture(true);
  const TimePoint Now = Fixture.Time.now();
  // The long run reports 50 % after 1 s, so that it is expected to end in 1 s.
  // Three times 300 ms is within that time, three times 400 ms is not.
  Fixture.Planner.addJob(jobOf("brief", 2000, 300ms, Now));
  // 2 of 8 cores are not reserved.
  Fixture.Planner.addJob(jobOf("narrow", 2000, 10s, Now));
  auto Placed = jobsOf(Fixture.starts());
  std::sort(Placed.begin(), Placed.end());
  CHECK(Placed == Ids{"brief", "narrow"});
}

TEST_CASE("no room is reserved for a job that has no value any more") {
  HalfFullExecutor Fixture(true);
  Fixture.Time.advance(1h);
  Fixture.Planner.addJob(jobOf("small", 4000, 10s, Fixture.Time.now()));
  CHECK(jobsOf(Fixture.starts()) == Ids{"small"});
}

TEST_CASE("no room is reserved for a job that was cancelled") {
  HalfFullExecutor Fixture(true);
  Fixture.Planner.addJob(jobOf("small", 4000, 10s, Fixture.Time.now()));
  CHECK(Fixture.starts().empty());
  Fixture.Planner.cancel(JobId("large"), Fixture.Time.now());
  CHECK(jobsOf(Fixture.starts()) == Ids{"small"});
}

TEST_CASE("a large task starts on an executor that has arrived") {
  HalfFullExecutor Fixture(true);
  Fixture.Planner.addJob(jobOf("small", 4000, 10s, Fixture.Time.now()));
  CHECK(Fixture.starts().empty());
  Fixture.Planner.setExecutors({executor("e"), executor("new")});
  Fixture.report("new", {}, {});
  const auto Starts = Fixture.starts();
  CHECK(jobsOf(Starts) == Ids{"large", "small"});
  CHECK(Starts[0].Executor == ExecutorId("new"));
}

TEST_CASE("room on an executor that is lost is reserved elsewhere") {
  HalfFullExecutor Fixture(true);
  Fixture.Planner.addJob(jobOf("small", 4000, 10s, Fixture.Time.now()));
  CHECK(Fixture.starts().empty());
  Fixture.Planner.noteEmpty(ExecutorId("e"), ExecutorLoss::MachineLost,
                            Fixture.Time.now());
  Fixture.Planner.setExecutors({executor("new")});
  Fixture.report("new", {}, {});
  const Ids Placed = jobsOf(Fixture.starts());
  CHECK(std::count(Placed.begin(), Placed.end(), "large") == 1);
}

TEST_CASE("a large task that needs a label has room reserved where it is") {
  PlannerFixture Fixture(1, true);
  ExecutorInfo Labelled = executor("b");
  Labelled.Labels = {"b", "r1-2"};
  Fixture.list({executor("a"), Labelled});
  const TimePoint Begin = Fixture.Time.now();
  for (const std::string Id : {"1", "2"})
    Fixture.Planner.addJob(jobOf(Id, 6000, 1s, Begin));
  for (const StartOrder &Each : Fixture.starts())
    Fixture.confirm(Each);
  AcceptedJob Large = jobOf("large", 8000, 100ms, Begin);
  Large.Spec.Steps[0].RequiredLabel = "b";
  Fixture.Planner.addJob(std::move(Large));
  Fixture.Planner.addJob(jobOf("small", 2000, 30s, Begin));
  const auto Starts = Fixture.starts();
  REQUIRE(jobsOf(Starts) == Ids{"small"});
  CHECK(Starts[0].Executor == ExecutorId("a"));
}

TEST_CASE("a gang does not take room that is reserved") {
  // Two members fit one by one beside the reservation, but not together.
  HalfFullExecutor Fixture(true);
  AcceptedJob Gang = job("gang", {step(2, 2000)});
  Gang.Spec.Steps[0].IsGang = true;
  Gang.Spec.Steps[0].Estimate = 10s;
  Gang.Policy.Objective = 60s;
  Gang.Accepted = Fixture.Time.now();
  Fixture.Planner.addJob(std::move(Gang));
  CHECK(Fixture.starts().empty());
  Fixture.endRun(Fixture.Long, RunEnd::Done);
  CHECK(jobsOf(Fixture.starts()) == Ids{"large"});
}
