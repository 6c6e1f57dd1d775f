// Guards against maintenance that waits without end for a long-running task: in
// a busy pool, short tasks took whatever room became free before the task could
// move there.

#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using namespace std::chrono_literals;

namespace {

AcceptedJob lastingJob(const std::string &Id) {
  AcceptedJob Job = job(Id, {step(1, 2000)});
  Job.Spec.Steps[0].IsLongRunning = true;
  return Job;
}

/// A long-running task on one executor, and another one full of short tasks.
class BusyPool : public PlannerFixture {
public:
  BusyPool() {
    this->list({executor("leaving", 2000)});
    this->Planner.addJob(lastingJob("lasting"));
    this->startAll();
    this->list({executor("leaving", 2000), executor("other")});
    this->report("leaving", {{this->Confirmed[0].Task, 1, "", 100, 0}}, {});
    for (int Number = 0; Number < 8; ++Number)
      this->Planner.addJob(job("a" + std::to_string(Number), {step(1, 1000)}));
    this->startAll();
    this->Planner.evacuate(ExecutorId("leaving"), this->Time.now());
    for (int Number = 0; Number < 8; ++Number)
      this->Planner.addJob(job("b" + std::to_string(Number), {step(1, 1000)}));
  }

  /// Lets the planner plan, and confirms all starts.
  void startAll() {
    this->Planner.plan(this->Time.now(), WallTime());
    for (const Order &Given : this->Planner.takeOrders()) {
      if (const auto *Start = std::get_if<StartOrder>(&Given))
        this->confirm(*Start);
      else if (const auto *Stop = std::get_if<StopOrder>(&Given))
        this->Stops.push_back(*Stop);
    }
  }

  /// Ends a short task and lets the planner use the room.
  void endShortTask() {
    const auto Short = std::find_if(
        this->Confirmed.begin(), this->Confirmed.end(),
        [](const auto &Each) { return Each.Executor == ExecutorId("other"); });
    REQUIRE(Short != this->Confirmed.end());
    this->endRun(StartOrder(*Short), RunEnd::Done);
    this->startAll();
  }

  std::vector<StopOrder> Stops;
};

} // namespace

TEST_CASE("a long-running task gets the room that it needs to leave its "
          "executor") {
  BusyPool Pool;
  const size_t Before = Pool.Confirmed.size();
  Pool.endShortTask();
  CHECK(Pool.Confirmed.size() == Before - 1);
  CHECK(Pool.Stops.empty());
  Pool.endShortTask();
  CHECK(Pool.Confirmed.size() == Before - 2);
  REQUIRE(Pool.Stops.size() == 1);
  CHECK(Pool.Stops[0].Executor == ExecutorId("leaving"));
}

TEST_CASE("an evacuation that has run out holds no room") {
  BusyPool Pool;
  Pool.Time.advance(EvacuationTimeout + 1s);
  const size_t Before = Pool.Confirmed.size();
  Pool.endShortTask();
  CHECK(Pool.Confirmed.size() >= Before);
  CHECK(Pool.Stops.empty());
}

// Tasks stayed on an executor that was about to leave, ended with it, and ran
// again only once its leases had run out: their runs became known after the
// executor had been listed as draining.
TEST_CASE("a long-running task leaves a draining executor, whenever its run "
          "becomes known") {
  PlannerFixture Fixture;
  ExecutorInfo Draining = executor("draining");
  SECTION("a new planner takes the run over") {
    Draining.IsDraining = true;
    Fixture.Planner.setExecutors({Draining, executor("other")});
    const AcceptedJob Lasting = lastingJob("lasting");
    Fixture.Planner.addJob(Lasting);
    Fixture.report("other", {}, {});
    Fixture.report("draining", {{{{Lasting.Spec.Id, 0, 0}, 0}, 1, "", 100, 0}},
                   {});
  }
  SECTION("the start is answered late") {
    Fixture.list({Draining});
    Fixture.Planner.addJob(lastingJob("lasting"));
    const std::vector<StartOrder> Starts = Fixture.starts();
    REQUIRE(Starts.size() == 1);
    Draining.IsDraining = true;
    Fixture.Planner.setExecutors({Draining, executor("other")});
    Fixture.report("other", {}, {});
    CHECK(Fixture.takeOrders<StopOrder>().empty());
    Fixture.confirm(Starts[0]);
  }
  const std::vector<StopOrder> Stops = Fixture.takeOrders<StopOrder>();
  REQUIRE(Stops.size() == 1);
  CHECK(Stops[0].Executor == Draining.Id);
  Fixture.Planner.noteStop(Stops[0], ++Fixture.ExecutorNow, Fixture.Time.now());
  Fixture.report("draining", {}, {{1, Stops[0].Task, 1, RunEnd::Stopped, ""}});
  const std::vector<StartOrder> Again = Fixture.starts();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Executor == ExecutorId("other"));
}

// Guards against tasks that run again after they are done: the machine of their
// executor was moved before their ends were stored, and a successor could not
// learn of them from anyone.
TEST_CASE("an executor is not vacant until its ends are stored") {
  PlannerFixture Fixture;
  const ExecutorId Id("a");
  Fixture.list({executor("a")});
  Fixture.Planner.addJob(job("1", {step(1)}));
  const std::vector<StartOrder> Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  Fixture.confirm(Starts[0]);
  Fixture.endRun(Starts[0], RunEnd::Done);
  CHECK(Fixture.Planner.occupancy(Id) == Occupancy::Protected);
  CHECK(Fixture.Planner.demand(Fixture.Time.now(), {}).Vacant.empty());
  Fixture.store();
  CHECK(Fixture.Planner.occupancy(Id) == Occupancy::Vacant);
  CHECK(Fixture.Planner.demand(Fixture.Time.now(), {}).Vacant.contains(Id));
}
