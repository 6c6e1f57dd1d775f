// Guards against planning passes that decide differently because they were
// interrupted, or do not see what has happened in between.

#include "tenantfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

namespace {

/// A planner whose passes are interrupted after each task, or never.
class Passes {
public:
  Passes(bool AreInterrupted, bool ReservesRoom)
      : Planner({TestService, 1, nullptr, ReservesRoom,
                 [AreInterrupted] { return AreInterrupted; }}) {}

  void list(const std::vector<ExecutorInfo> &Infos) {
    this->Planner.setExecutors(Infos);
    for (const ExecutorInfo &Info : Infos)
      this->report(Info.Id);
  }

  /// Works on the pass for one turn and returns the start orders.
  std::vector<StartOrder> turn() {
    this->Planner.plan(this->Time.now(), WallTime());
    std::vector<StartOrder> Found;
    for (const Order &Given : this->Planner.takeOrders())
      if (const auto *Start = std::get_if<StartOrder>(&Given))
        Found.push_back(*Start);
    return Found;
  }

  /// Makes a whole pass.
  std::vector<StartOrder> pass() {
    std::vector<StartOrder> Found;
    do {
      const std::vector<StartOrder> Part = this->turn();
      Found.insert(Found.end(), Part.begin(), Part.end());
    } while (this->Planner.openPass());
    return Found;
  }

  void confirm(const std::vector<StartOrder> &Orders) {
    for (const StartOrder &Order : Orders) {
      this->Planner.noteStart(Order, StartOutcome::Started, ++this->ExecutorNow,
                              this->Time.now());
      this->Running.push_back(Order);
    }
  }

  /// Ends the run at this place of the list of running ones.
  void end(size_t Place) {
    const StartOrder Ended = this->Running[Place];
    this->Running.erase(this->Running.begin() + static_cast<long>(Place));
    this->report(Ended.Executor,
                 {{++this->LastEnd, Ended.Task, Ended.Run, RunEnd::Done, ""}});
  }

  ManualClock Time;
  jobs::Planner Planner;
  std::vector<StartOrder> Running;

private:
  void report(const ExecutorId &From, std::vector<EndReport> Ended = {}) {
    ExecutorReport Report;
    Report.At = ++this->ExecutorNow;
    Report.Ended = std::move(Ended);
    for (const StartOrder &Each : this->Running)
      if (Each.Executor == From)
        Report.Running.push_back({Each.Task, Each.Run, "", 50, 0});
    this->Planner.noteReport(From, Report, this->Time.now());
  }

  ExecutorTime ExecutorNow = 1000;
  uint64_t LastEnd = 0;
};

/// Start orders as text, for comparison.
std::string textOf(const std::vector<StartOrder> &Orders) {
  std::string Text;
  for (const StartOrder &Each : Orders)
    Text += Each.Executor.text() + " " + Each.Task.text() + " " +
            std::to_string(Each.Run) + "\n";
  return Text;
}

size_t drawn(size_t Limit) { return *rc::gen::inRange<size_t>(0, Limit); }

StepSpec drawnStep(size_t Index) {
  StepSpec Spec = step(1 + drawn(6), 1000 * static_cast<int64_t>(1 + drawn(6)));
  switch (drawn(8)) {
  case 0:
  case 1:
    Spec.MaxTasksPerExecutor = 1 + drawn(2);
    break;
  case 2:
    Spec.RequiredLabel = "b";
    break;
  case 3:
    Spec.IsOnOneRack = true;
    break;
  case 4:
    Spec.IsGang = true;
    Spec.Count = 1 + drawn(3);
    break;
  case 5:
    Spec.IsLongRunning = true;
    break;
  default:
    break;
  }
  if (Index > 0 && drawn(2) == 0)
    Spec.Dependencies = {Index - 1};
  return Spec;
}

AcceptedJob drawnJob(size_t Number, TimePoint Now) {
  std::vector<StepSpec> Steps;
  const size_t Count = 1 + drawn(3);
  for (size_t Index = 0; Index < Count; ++Index)
    Steps.push_back(drawnStep(Index));
  AcceptedJob Job = job("j" + std::to_string(Number), std::move(Steps));
  if (drawn(2) == 0)
    Job.Tenant = drawn(2) == 0 ? Acme : Other;
  Job.Policy.Objective = std::chrono::milliseconds(100 + drawn(2000));
  Job.Accepted = Now;
  return Job;
}

/// Two executors of 4 cores.
const std::vector<ExecutorInfo> TwoExecutors = {executor("e1", 4000),
                                                executor("e2", 4000)};

/// Passes that are interrupted after each task.
class Interrupted : public Passes {
public:
  Interrupted() : Passes(true, false) { this->list(TwoExecutors); }
};

} // namespace

TEST_CASE("an interrupted pass gives the same orders as one that is not") {
  CHECK(rc::check("same orders", [] {
    const bool ReservesRoom = drawn(2) == 0;
    Passes Whole(false, ReservesRoom);
    Passes Parts(true, ReservesRoom);
    std::vector<ExecutorInfo> Infos;
    for (size_t Number = 0; Number < 4; ++Number) {
      Infos.push_back(executor("e" + std::to_string(Number),
                               4000 * static_cast<int64_t>(1 + drawn(3))));
      Infos.back().Labels = {drawn(2) == 0 ? "a" : "b",
                             "r" + std::to_string(Number % 2)};
    }
    for (Passes *Each : {&Whole, &Parts}) {
      configure(Each->Planner, {tenant(Acme, 100), tenant(Other, 50)});
      Each->list(Infos);
    }
    for (size_t Round = 0; Round < 6; ++Round) {
      std::vector<AcceptedJob> Added;
      const size_t Count = drawn(5);
      for (size_t Number = 0; Number < Count; ++Number)
        Added.push_back(drawnJob(10 * Round + Number, Whole.Time.now()));
      for (Passes *Each : {&Whole, &Parts})
        for (const AcceptedJob &Job : Added)
          Each->Planner.addJob(Job);
      const std::vector<StartOrder> Orders = Whole.pass();
      RC_ASSERT(textOf(Parts.pass()) == textOf(Orders));
      for (Passes *Each : {&Whole, &Parts})
        Each->confirm(Orders);
      const size_t Ends = drawn(Whole.Running.size() + 1);
      for (size_t End = 0; End < Ends; ++End) {
        const size_t Place = drawn(Whole.Running.size());
        Whole.end(Place);
        Parts.end(Place);
      }
      Whole.Time.advance(std::chrono::milliseconds(200));
      Parts.Time.advance(std::chrono::milliseconds(200));
    }
  }));
}

TEST_CASE("orders leave before the next part of a pass") {
  Interrupted Test;
  Test.Planner.addJob(job("1", {step(3)}));
  CHECK(Test.turn().size() == 1);
  REQUIRE(Test.Planner.openPass());
  CHECK(Test.Planner.openPass()->Turns == 1);
  CHECK(Test.Planner.openPass()->JobsLeft == 1);
  CHECK(Test.Planner.openPass()->Next == TaskKey{{JobId("1"), 0, 0}, 1});
  CHECK(Test.turn().size() == 1);
  CHECK(Test.turn().size() == 1);
  CHECK(Test.pass().empty());
}

TEST_CASE("a job that ends between two parts of a pass starts nothing more") {
  Interrupted Test;
  Test.Planner.addJob(job("1", {step(3)}));
  Test.Planner.addJob(job("2", {step(3)}));
  const std::vector<StartOrder> First = Test.turn();
  REQUIRE(First.size() == 1);
  const JobId Current = First[0].Task.Step.Job;
  SECTION("while it has a run") {
    Test.Planner.cancel(Current, Test.Time.now());
    for (const StartOrder &Each : Test.pass())
      CHECK(Each.Task.Step.Job != Current);
  }
  SECTION("and is removed") {
    Test.confirm(First);
    Test.Planner.cancel(Current, Test.Time.now());
    Test.end(0);
    Test.Planner.noteWritten(Test.Planner.takeWrites(10));
    Test.Planner.addJob(job("3", {step(1)}));
    for (const StartOrder &Each : Test.pass())
      CHECK(Each.Task.Step.Job != Current);
  }
  SECTION("and is another one than the current") {
    const JobId Later(Current == JobId("1") ? "2" : "1");
    Test.Planner.cancel(Later, Test.Time.now());
    Test.Planner.noteWritten(Test.Planner.takeWrites(10));
    const std::vector<StartOrder> Rest = Test.pass();
    CHECK(Rest.size() == 2);
    for (const StartOrder &Each : Rest)
      CHECK(Each.Task.Step.Job == Current);
  }
}

TEST_CASE("an executor that is lost between two parts of a pass gets no task") {
  Interrupted Test;
  Test.Planner.addJob(job("1", {step(8)}));
  const std::vector<StartOrder> First = Test.turn();
  REQUIRE(First.size() == 1);
  const ExecutorId Lost = First[0].Executor;
  SECTION("because it is empty") {
    Test.Planner.noteEmpty(Lost, ExecutorLoss::Replaced, Test.Time.now());
  }
  SECTION("because it does not answer") {
    Test.Planner.setReachable(Lost, false);
  }
  SECTION("because it drains") {
    std::vector<ExecutorInfo> Infos = TwoExecutors;
    for (ExecutorInfo &Each : Infos)
      Each.IsDraining = Each.Id == Lost;
    Test.Planner.setExecutors(Infos);
  }
  SECTION("because it is gone from the list") {
    Test.Planner.noteEmpty(Lost, ExecutorLoss::Replaced, Test.Time.now());
    std::vector<ExecutorInfo> Infos = TwoExecutors;
    std::erase_if(
        Infos, [&Lost](const ExecutorInfo &Each) { return Each.Id == Lost; });
    Test.Planner.setExecutors(Infos);
  }
  const std::vector<StartOrder> Rest = Test.pass();
  CHECK(Rest.size() == 4);
  for (const StartOrder &Each : Rest)
    CHECK(Each.Executor != Lost);
}

TEST_CASE(
    "an executor that shrinks between two parts of a pass is not filled") {
  Interrupted Test;
  Test.Planner.addJob(job("1", {step(8)}));
  const std::vector<StartOrder> First = Test.turn();
  REQUIRE(First.size() == 1);
  std::vector<ExecutorInfo> Infos = TwoExecutors;
  for (ExecutorInfo &Each : Infos)
    Each.Capacity.MilliCores = 2000;
  Test.Planner.setExecutors(Infos);
  CHECK(Test.pass().size() == 3);
}

TEST_CASE("what becomes free in a pass is left to the jobs that rank first") {
  Interrupted Test;
  Test.Planner.addJob(job("filler", {step(1, 4000)}));
  Test.confirm(Test.pass());
  REQUIRE(Test.Running.size() == 1);
  // The urgent job needs two whole executors, and one is left.
  AcceptedJob Urgent = job("urgent", {step(2, 4000)});
  AcceptedJob Patient = job("patient", {step(4, 1000)});
  Patient.Policy.Priority = Urgent.Policy.Priority + 1;
  Test.Planner.addJob(Urgent);
  Test.Planner.addJob(Patient);
  const std::vector<StartOrder> First = Test.turn();
  REQUIRE(First.size() == 1);
  REQUIRE(First[0].Task.Step.Job == JobId("urgent"));
  REQUIRE(Test.turn().empty());
  Test.end(0);
  CHECK(Test.pass().empty());
  const std::vector<StartOrder> Next = Test.pass();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Task.Step.Job == JobId("urgent"));
}

TEST_CASE("a pass that is abandoned is followed by a new one") {
  Interrupted Test;
  Test.Planner.addJob(job("1", {step(3)}));
  REQUIRE(Test.turn().size() == 1);
  Test.Planner.abandonPass();
  CHECK_FALSE(Test.Planner.openPass());
  AcceptedJob Urgent = job("2", {step(1)});
  Urgent.Policy.Priority = -1;
  Test.Planner.addJob(Urgent);
  const std::vector<StartOrder> First = Test.turn();
  REQUIRE(First.size() == 1);
  CHECK(First[0].Task.Step.Job == JobId("2"));
  CHECK(Test.pass().size() == 2);
}

TEST_CASE("an interrupted pass begins each occurrence with its first task") {
  Interrupted Test;
  AcceptedJob Periodic = job("1", {step(3)});
  Periodic.Spec.Interval = Duration::zero();
  Periodic.Spec.Repetitions = 2;
  Test.Planner.addJob(Periodic);
  Test.confirm(Test.turn());
  // The first occurrence is done before the pass goes on.
  std::vector<EndReport> Ends;
  for (size_t Index = 0; Index < 3; ++Index)
    Ends.push_back(
        {Index + 1, {{JobId("1"), 0, 0}, Index}, 1, RunEnd::Done, ""});
  ExecutorReport Report;
  Report.At = 5000;
  Report.Ended = Ends;
  Test.Planner.noteReport(Test.Running[0].Executor, Report, Test.Time.now());
  const std::vector<StartOrder> Rest = Test.pass();
  REQUIRE(Rest.size() == 3);
  CHECK(Rest[0].Task == TaskKey{{JobId("1"), 1, 0}, 0});
}

TEST_CASE("a job of which an earlier planner may have started tasks waits if "
          "the recovery begins in a pass") {
  Interrupted Test;
  AcceptedJob Earlier = job("1", {step(4)});
  Earlier.MayHaveRun = true;
  Test.Planner.addJob(Earlier);
  CHECK(Test.turn().size() == 1);
  Test.Planner.awaitReports({ExecutorId("e3")});
  CHECK(Test.pass().empty());
}
