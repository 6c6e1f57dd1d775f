#include "plannerfixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A planner whose executors crash and come back as new incarnations.
class CrashFixture : public PlannerFixture {
public:
  explicit CrashFixture(size_t Executors, uint64_t Generation = 1)
      : PlannerFixture(Generation) {
    for (size_t Count = 0; Count < Executors; ++Count)
      this->addExecutor();
    this->list(this->Up);
  }

  /// Starts all tasks that can start, and confirms each start. All executors
  /// have just answered.
  std::vector<StartOrder> startAll() {
    for (const ExecutorInfo &Each : this->Up)
      this->reportRunning(Each.Id);
    const std::vector<StartOrder> Orders = this->starts();
    for (const StartOrder &Order : Orders)
      this->confirm(Order);
    return Orders;
  }

  /// The executor is lost. Another incarnation is listed in its place.
  void lose(const ExecutorId &Id, ExecutorLoss Cause) {
    std::erase_if(this->Up,
                  [&Id](const ExecutorInfo &Each) { return Each.Id == Id; });
    std::erase_if(this->Confirmed, [&Id](const StartOrder &Each) {
      return Each.Executor == Id;
    });
    this->Planner.noteEmpty(Id, Cause, this->Time.now());
    this->addExecutor();
    this->list(this->Up);
  }

  void crash(const ExecutorId &Id) { this->lose(Id, ExecutorLoss::Replaced); }

  /// Lets all runs settle, as far as the executors' reports show it.
  void settle() {
    this->Time.advance(seconds(1));
    for (const ExecutorInfo &Each : this->Up)
      this->reportRunning(Each.Id);
  }

  /// Starts the only task again and again and crashes its executor each time,
  /// until it is not started any more. Returns the number of starts.
  size_t crashAllStarts() {
    size_t Starts = 0;
    for (int Pass = 0; Pass < 100; ++Pass) {
      this->Time.advance(milliseconds(100));
      for (const StartOrder &Order : this->startAll()) {
        ++Starts;
        this->crash(Order.Executor);
      }
      this->store();
    }
    return Starts;
  }

  void reportRunning(const ExecutorId &Id) {
    std::vector<RunReport> Running;
    for (const StartOrder &Each : this->Confirmed)
      if (Each.Executor == Id)
        Running.push_back({Each.Task, Each.Run, "", 50, 0});
    this->report(Id.text(), Running, {});
  }

  std::vector<ExecutorInfo> Up;

private:
  void addExecutor() {
    this->Up.push_back(executor("e" + std::to_string(++this->LastExecutor)));
  }

  size_t LastExecutor = 0;
};

const JobId First("1");

} // namespace

// Guards against a task that is started without a bound because runs that end
// with their executor are not counted.
TEST_CASE("a task under which three executors have crashed is given up") {
  CrashFixture Fixture(3);
  Fixture.Planner.addJob(job("1", {step(1)}));
  CHECK(Fixture.crashAllStarts() == 3);
  CHECK(Fixture.Planner.shownState(First) == JobState::Failed);
}

// Guards against a gang of which another member crashes its executor each time.
TEST_CASE("a gang under which three executors have crashed is given up") {
  CrashFixture Fixture(3);
  std::vector<StepSpec> Steps = {step(2)};
  Steps[0].IsGang = true;
  Steps[0].MaxTasksPerExecutor = 1;
  Fixture.Planner.addJob(job("1", Steps));
  size_t Runs = 0;
  for (int Pass = 0; Pass < 100; ++Pass) {
    Fixture.Time.advance(milliseconds(400));
    const auto Orders = Fixture.startAll();
    if (!Orders.empty()) {
      Fixture.crash(Orders[Runs % 2].Executor);
      const auto Survivor = Orders[(Runs + 1) % 2];
      Fixture.endRun(Survivor, RunEnd::Broken);
      ++Runs;
    }
    Fixture.store();
  }
  CHECK(Runs == 3);
  CHECK(Fixture.Planner.shownState(First) == JobState::Failed);
}

// Guards against a task that crashes its executors before they answer and is
// started without a bound.
TEST_CASE("a task whose start order is never answered is given up, too") {
  CrashFixture Fixture(3);
  Fixture.Planner.addJob(job("1", {step(1)}));
  size_t Starts = 0;
  for (int Pass = 0; Pass < 100; ++Pass) {
    Fixture.Time.advance(milliseconds(400));
    // Executors without runs answer their report calls from time to time.
    if (Pass % 5 == 0)
      Fixture.settle();
    for (const StartOrder &Order : Fixture.starts()) {
      ++Starts;
      Fixture.crash(Order.Executor);
    }
    Fixture.store();
  }
  CHECK(Starts <= 5);
  CHECK(Fixture.Planner.shownState(First) == JobState::Failed);
}

// Guards against jobs that are given up because they meet executors of a rack
// that has just lost power.
TEST_CASE("start orders to executors that are gone already do not count") {
  CrashFixture Fixture(3);
  Fixture.Planner.addJob(job("1", {step(1)}));
  for (int Count = 0; Count < 10; ++Count) {
    Fixture.Time.advance(seconds(2));
    for (const StartOrder &Order : Fixture.starts())
      Fixture.crash(Order.Executor);
    Fixture.store();
  }
  Fixture.Time.advance(seconds(1));
  const auto Orders = Fixture.startAll();
  REQUIRE(Orders.size() == 1);
  Fixture.endRun(Orders[0], RunEnd::Done);
  Fixture.store();
  CHECK(Fixture.Planner.shownState(First) == JobState::Completed);
}

// Guards against jobs that are given up because their machines lose power.
TEST_CASE("a third crash that is noticed late does not give the task up") {
  CrashFixture Fixture(1);
  Fixture.Planner.addJob(job("1", {step(1)}));
  for (int Count = 0; Count < 4; ++Count) {
    const StartOrder Order = Fixture.startAll().at(0);
    Fixture.Time.advance(seconds(2));
    Fixture.crash(Order.Executor);
    Fixture.store();
  }
  CHECK(Fixture.Planner.shownState(First) == JobState::Running);
  Fixture.crash(Fixture.startAll().at(0).Executor);
  Fixture.store();
  CHECK(Fixture.Planner.shownState(First) == JobState::Failed);
}

// Guards against a crash that is put down to an order to the machine.
TEST_CASE("an executor that is released for another pool counts as crashed") {
  CrashFixture Fixture(1);
  Fixture.Planner.addJob(job("1", {step(1)}));
  const StartOrder Order = Fixture.startAll().at(0);
  Fixture.Planner.release(1, Fixture.Time.now());
  Fixture.crash(Order.Executor);
  CHECK(Fixture.Planner.takeWrites(10).size() == 1);
}

// Guards against a successor that begins to count anew.
TEST_CASE("a task is not started again before its crash is stored") {
  CrashFixture Fixture(3);
  Fixture.Planner.addJob(job("1", {step(1)}));
  Fixture.crash(Fixture.startAll().at(0).Executor);
  Fixture.Time.advance(seconds(1));
  CHECK(Fixture.startAll().empty());
  const std::vector<JobWrite> Writes = Fixture.Planner.takeWrites(10);
  REQUIRE(Writes.size() == 1);
  CHECK(Fixture.startAll().empty());
  Fixture.Planner.noteWritten(Writes);
  CHECK(Fixture.startAll().size() == 1);

  SECTION("and a successor goes on counting") {
    const auto Read = decodeProgress(First, encodeProgress(Writes[0].Progress));
    REQUIRE(Read);
    CrashFixture Successor(3, 2);
    Successor.Planner.restoreJob(job("1", {step(1)}), Read.value(),
                                 Successor.Time.now());
    CHECK(Successor.crashAllStarts() == 2);
    CHECK(Successor.Planner.shownState(First) == JobState::Failed);
  }
}

// Guards against neighbours of a crashing task that are given up with it.
TEST_CASE("runs that have settled are not blamed for a crash") {
  CrashFixture Fixture(1);
  Fixture.Planner.addJob(job("1", {step(2)}));
  REQUIRE(Fixture.startAll().size() == 2);
  Fixture.settle();
  Fixture.Planner.addJob(job("2", {step(1)}));
  const StartOrder Crashing = Fixture.startAll().at(0);
  Fixture.crash(Crashing.Executor);
  const std::vector<JobWrite> Writes = Fixture.Planner.takeWrites(10);
  REQUIRE(Writes.size() == 1);
  CHECK(Writes[0].Job == JobId("2"));
}

// Guards against a task that crashes its executor late and is never suspected.
TEST_CASE("settled runs are blamed if nothing else was starting") {
  CrashFixture Fixture(1);
  Fixture.Planner.addJob(job("1", {step(1)}));
  const StartOrder Order = Fixture.startAll().at(0);
  Fixture.settle();
  Fixture.crash(Order.Executor);
  CHECK(Fixture.Planner.takeWrites(10).size() == 1);
}

// Guards against a long-running job that is given up after years because its
// executors crash from time to time.
TEST_CASE("a long-running task is not blamed for a crash once it has settled") {
  CrashFixture Fixture(1);
  std::vector<StepSpec> Steps = {step(1)};
  Steps[0].IsLongRunning = true;
  Fixture.Planner.addJob(job("1", Steps));
  for (int Count = 0; Count < 5; ++Count) {
    const StartOrder Order = Fixture.startAll().at(0);
    Fixture.settle();
    Fixture.crash(Order.Executor);
    Fixture.store();
  }
  CHECK(Fixture.Planner.shownState(First) == JobState::Running);
}

TEST_CASE("crashes under a long-running task count until it has settled") {
  CrashFixture Fixture(1);
  std::vector<StepSpec> Steps = {step(1)};
  Steps[0].IsLongRunning = true;
  Fixture.Planner.addJob(job("1", Steps));
  for (int Count = 0; Count < 10; ++Count) {
    const StartOrder Order = Fixture.startAll().at(0);
    if (Count % 2 == 1)
      Fixture.settle();
    Fixture.crash(Order.Executor);
    Fixture.store();
  }
  CHECK(Fixture.Planner.shownState(First) == JobState::Running);
  Fixture.crashAllStarts();
  CHECK(Fixture.Planner.shownState(First) == JobState::Failed);
}

// Guards against running work that is given up because its executor was silent.
TEST_CASE("an executor that was only silent does not count as crashed") {
  CrashFixture Fixture(2);
  Fixture.Planner.addJob(job("1", {step(1)}));
  const StartOrder Order = Fixture.startAll().at(0);
  Fixture.Planner.setReachable(Order.Executor, false);
  Fixture.Planner.noteEmpty(Order.Executor, ExecutorLoss::LeasesExpired,
                            Fixture.Time.now());
  CHECK(Fixture.Planner.takeWrites(10).empty());

  SECTION("and counts once another incarnation answers") {
    Fixture.crash(Order.Executor);
    CHECK(Fixture.Planner.takeWrites(10).size() == 1);
  }
  SECTION("nor later if it reports again") {
    Fixture.report(Order.Executor.text(), {},
                   {Fixture.end(Order, RunEnd::Lapsed)});
    Fixture.store();
    Fixture.crash(Order.Executor);
    CHECK(Fixture.Planner.takeWrites(10).empty());
  }
}

TEST_CASE("a run that turns out to have ended is not counted any more") {
  CrashFixture Fixture(2);
  Fixture.Planner.addJob(job("1", {step(1)}));
  const StartOrder Order = Fixture.startAll().at(0);
  Fixture.Planner.noteEmpty(Order.Executor, ExecutorLoss::MachineLost,
                            Fixture.Time.now());
  Fixture.store();
  Fixture.report(Order.Executor.text(), {},
                 {Fixture.end(Order, RunEnd::Stopped)});
  const std::vector<JobWrite> Writes = Fixture.Planner.takeWrites(10);
  REQUIRE(Writes.size() == 1);
  CHECK(Writes[0].Progress.Tasks.empty());
}

// Guards against jobs that are given up because their executors leave as
// announced.
TEST_CASE("an executor that leaves does not count as crashed") {
  CrashFixture Fixture(1);
  Fixture.Planner.addJob(job("1", {step(1)}));
  const StartOrder Order = Fixture.startAll().at(0);
  SECTION("because it drains") {
    Fixture.Up[0].IsDraining = true;
    Fixture.Planner.setExecutors(Fixture.Up);
  }
  SECTION("because its machine was ordered to") {
    Fixture.Planner.evacuate(Order.Executor, Fixture.Time.now());
  }
  Fixture.crash(Order.Executor);
  CHECK(Fixture.Planner.takeWrites(10).empty());
}

// Guards against suspects that crash an executor together, so that both stay
// suspect.
TEST_CASE("two suspects do not start on one executor at a time") {
  CrashFixture Fixture(3);
  Fixture.Planner.addJob(job("1", {step(4)}));
  const auto Orders = Fixture.startAll();
  REQUIRE(Orders.size() == 4);
  Fixture.crash(Orders[0].Executor);
  Fixture.store();
  std::set<ExecutorId> Places;
  const auto Again = Fixture.startAll();
  for (const StartOrder &Each : Again)
    Places.insert(Each.Executor);
  CHECK(Places.size() == Again.size());
  CHECK(Again.size() == 3);
}

// Guards against a task that is blamed for the crash of a neighbour a third
// time.
TEST_CASE("a task under which two executors have crashed starts alone") {
  CrashFixture Fixture(1);
  Fixture.Planner.addJob(job("1", {step(1)}));
  for (int Count = 0; Count < 2; ++Count) {
    Fixture.crash(Fixture.startAll().at(0).Executor);
    Fixture.store();
    Fixture.Time.advance(seconds(1));
  }
  Fixture.Planner.addJob(job("2", {step(1)}));
  Fixture.Planner.addJob(job("3", {step(1)}));
  const auto Orders = Fixture.startAll();
  REQUIRE(Orders.size() == 1);
  CHECK(Orders[0].Task.Step.Job == First);
  CHECK(Fixture.startAll().empty());
  Fixture.settle();
  CHECK(Fixture.startAll().size() == 2);
}

// Guards against a suspect that waits for good on a busy executor.
TEST_CASE("an executor is kept free for a task that must start alone") {
  CrashFixture Fixture(1);
  Fixture.Planner.addJob(job("1", {step(1)}));
  for (int Count = 0; Count < 2; ++Count) {
    Fixture.crash(Fixture.startAll().at(0).Executor);
    Fixture.store();
  }
  // The other jobs come at once, before the executor can take the suspect.
  bool HasStarted = false;
  for (int Pass = 0; Pass < 20 && !HasStarted; ++Pass) {
    Fixture.Planner.addJob(job("x" + std::to_string(Pass), {step(1, 100)}));
    for (const StartOrder &Each : Fixture.startAll())
      HasStarted = HasStarted || Each.Task.Step.Job == First;
    Fixture.Time.advance(milliseconds(100));
  }
  CHECK(HasStarted);
}
