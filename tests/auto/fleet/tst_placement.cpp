#include "poolfixture.h"
#include "whintack/fleet/taskplanner.h"

#include <catch2/catch.hpp>
#include <set>

using namespace whintack;
using namespace whintack::fleet;
using declaration::Priority;

namespace {

const TeamName Team("team");

Resources cores(int64_t Count) {
  return {Count * MilliCoresPerCore, Count * 1024, 0};
}

PlacementInput workers(int Count, int64_t Cores) {
  PlacementInput Input;
  for (int Number = 0; Number < Count; ++Number)
    Input.Workers.push_back({VmName("w" + std::to_string(Number)),
                             RackName("r" + std::to_string(Number / 4)),
                             cores(Cores), cores(Cores)});
  Input.Quotas[Team] = cores(1000);
  return Input;
}

WaitingTask waiting(const std::string &Id, int64_t Cores,
                    Priority Order = Priority::Normal,
                    const std::string &Job = "job") {
  return {TaskId(Id), JobName(Job), Team, Order, cores(Cores), {}};
}

/// A job with one run, whose only task runs on vm0.
struct RunFixture {
  explicit RunFixture(bool IsIdempotent) {
    this->Job.Name = JobName("job");
    this->Job.Owner = Team;
    this->Job.Size = cores(4);
    this->Job.IsIdempotent = IsIdempotent;
    this->Run.Id = "run";
    this->Run.Job = this->Job.Name;
    this->Run.Tasks.resize(1);
    RunTask &Task = this->Run.Tasks[0];
    Task.Phase = TaskPhase::Running;
    Task.Attempt = 1;
    Task.Worker = VmName("vm0");
  }

  void report(ReportedState State) {
    const TaskId Id = taskIdOf(this->Run, 0);
    applyReports(this->Run, this->Job, {{Id, {Id, State, cores(1)}}},
                 this->Failures, this->Sizes);
  }

  TaskPlan plan(const PoolView &View) {
    TaskInput Input;
    Input.Runs = {this->Run};
    Input.Vms = View.Vms;
    for (const VmView &Vm : View.Vms)
      Input.Capacities[Vm.Record.Name] = cores(8);
    Input.Jobs[this->Job.Name] = this->Job;
    Input.Teams[Team] = {Team, cores(1000)};
    return planTasks(Input, this->Failures, this->Sizes, tests::testNow());
  }

  declaration::Job Job;
  RunRecord Run;
  FailureTracker Failures;
  SizeEstimator Sizes{declaration::Weights()};
};

} // namespace

TEST_CASE("a task goes to the best fitting worker") {
  PlacementInput Input = workers(3, 16);
  Input.Workers[1].Free = cores(4);
  Input.Waiting = {waiting("t", 4)};
  REQUIRE(planPlacement(Input).Starts[0].Worker == VmName("w1"));
}

TEST_CASE("no worker gets tasks beyond its capacity") {
  PlacementInput Input = workers(4, 10);
  for (int Number = 0; Number < 20; ++Number)
    Input.Waiting.push_back(waiting("t" + std::to_string(Number), 3));
  const PlacementPlan Plan = planPlacement(Input);
  REQUIRE(Plan.Starts.size() == 12);
  REQUIRE(Plan.Waits.size() == 8);
  std::map<VmName, int> OnWorker;
  for (const TaskPlacement &Start : Plan.Starts)
    REQUIRE(++OnWorker[Start.Worker] <= 3);
}

TEST_CASE("memory and accelerators are limited as well as cores") {
  PlacementInput Input = workers(2, 16);
  Input.Workers[0].Free.MemoryMb = 100;
  Input.Waiting = {waiting("t", 2)};
  REQUIRE(planPlacement(Input).Starts[0].Worker == VmName("w1"));
  Input.Waiting[0].Size.Accelerators = 1;
  Input.Quotas[Team].Accelerators = 1;
  const PlacementPlan Plan = planPlacement(Input);
  REQUIRE(Plan.Starts.empty());
  REQUIRE(Plan.Waits[0].Reason == WaitReason::TooLarge);
}

TEST_CASE("urgent tasks come first and preempt checkpointable ones") {
  PlacementInput Input = workers(1, 8);
  Input.Waiting = {waiting("slow", 8, Priority::Batch),
                   waiting("now", 8, Priority::Urgent)};
  REQUIRE(planPlacement(Input).Starts[0].Id == TaskId("now"));
  Input.Workers[0].Free = cores(0);
  Input.Running = {{TaskId("a"), JobName("b"), Team, VmName("w0"),
                    Priority::Batch, cores(4), true},
                   {TaskId("c"), JobName("b"), Team, VmName("w0"),
                    Priority::Batch, cores(4), false}};
  Input.Waiting = {waiting("now", 4, Priority::Urgent)};
  REQUIRE(planPlacement(Input).Preempted == std::vector<TaskId>{TaskId("a")});
  Input.Waiting = {waiting("now", 8, Priority::Urgent)};
  REQUIRE(planPlacement(Input).Preempted.empty());
  Input.Waiting = {waiting("later", 4, Priority::Normal)};
  REQUIRE(planPlacement(Input).Preempted.empty());
}

TEST_CASE("a team does not exceed its quota") {
  PlacementInput Input = workers(4, 16);
  Input.Quotas[Team] = cores(10);
  Input.Running = {{TaskId("r"), JobName("j"), Team, VmName("w0"),
                    Priority::Normal, cores(4), false}};
  Input.Waiting = {waiting("a", 4), waiting("b", 4)};
  const PlacementPlan Plan = planPlacement(Input);
  REQUIRE(Plan.Starts.size() == 1);
  REQUIRE(Plan.Waits[0].Reason == WaitReason::Quota);
}

TEST_CASE("the tasks of a job are spread over racks") {
  PlacementInput Input = workers(8, 16);
  for (int Number = 0; Number < 4; ++Number)
    Input.Waiting.push_back(waiting("t" + std::to_string(Number), 2));
  std::map<char, int> InRack;
  for (const TaskPlacement &Start : planPlacement(Input).Starts)
    ++InRack[Start.Worker.text()[1] < '4' ? 'a' : 'b'];
  REQUIRE(InRack['a'] == 2);
  REQUIRE(InRack['b'] == 2);
}

TEST_CASE("a lost task ends as unknown unless it may run twice") {
  RunFixture NonIdempotent(false);
  NonIdempotent.report(ReportedState::Lost);
  REQUIRE(NonIdempotent.Run.Tasks[0].Phase == TaskPhase::Unknown);
  REQUIRE(NonIdempotent.plan(tests::makePool(3, 1, 0)).Starts.empty());
  RunFixture Idempotent(true);
  Idempotent.report(ReportedState::Lost);
  REQUIRE(Idempotent.Run.Tasks[0].Phase == TaskPhase::Waiting);
  REQUIRE(Idempotent.plan(tests::makePool(3, 1, 0)).Starts.size() == 1);
}

TEST_CASE("a report of an earlier attempt changes nothing") {
  RunFixture Test(true);
  const TaskId Earlier = taskIdOf(Test.Run, 0);
  Test.Run.Tasks[0].Attempt = 2;
  REQUIRE_FALSE(
      applyReports(Test.Run, Test.Job,
                   {{Earlier, {Earlier, ReportedState::Failed, Resources()}}},
                   Test.Failures, Test.Sizes));
}

TEST_CASE("a failed task is retried on another worker") {
  RunFixture Test(true);
  Test.report(ReportedState::Failed);
  const TaskPlan Plan = Test.plan(tests::makePool(2, 1, 0));
  REQUIRE(Plan.Starts[0].Worker == VmName("vm1"));
}

TEST_CASE("bad workers and bad jobs are told apart") {
  FailureTracker Failures;
  for (const char *Job : {"a", "b", "c"})
    Failures.recordFailure(JobName(Job), VmName("bad"));
  REQUIRE(Failures.isBadWorker(VmName("bad")));
  REQUIRE_FALSE(Failures.isBadJob(JobName("a")));
  for (const char *Worker : {"x", "y", "z"})
    Failures.recordFailure(JobName("poison"), VmName(Worker));
  REQUIRE(Failures.isBadJob(JobName("poison")));
  REQUIRE_FALSE(Failures.isBadWorker(VmName("x")));
  Failures.recordSuccess(JobName("a"), VmName("bad"));
  REQUIRE_FALSE(Failures.isBadWorker(VmName("bad")));
}

TEST_CASE("tasks on a draining VM are checkpointed, or stopped when overdue") {
  PoolView View = tests::makePool(2, 1, 0);
  View.Vms[0].Record.Phase = VmPhase::Draining;
  View.Vms[0].Record.PhaseSince = tests::testNow();
  RunFixture Test(true);
  Test.Job.IsCheckpointable = true;
  REQUIRE(Test.plan(View).Checkpoints.size() == 1);
  Test.Job.IsCheckpointable = false;
  REQUIRE(Test.plan(View).Stops.empty());
  View.Vms[0].Record.PhaseSince -= std::chrono::hours(1);
  REQUIRE(Test.plan(View).Stops.size() == 1);
  Test.Job.IsIdempotent = false;
  REQUIRE(Test.plan(View).Stops.empty());
}

TEST_CASE("no task is placed on VMs that are lost, draining or to move") {
  PoolView View = tests::makePool(3, 1, 0);
  View.Vms[0].IsLive = false;
  View.Vms[1].Record.Phase = VmPhase::Draining;
  View.Vms[2].Record.NextPool = PoolName("other");
  RunFixture Test(true);
  Test.Run.Tasks[0].Phase = TaskPhase::Waiting;
  REQUIRE(Test.plan(View).Starts.empty());
}

TEST_CASE("a cancelled run stops its running tasks and starts no others") {
  RunFixture Test(true);
  Test.Run.Tasks.resize(2);
  Test.Run.IsCancelled = true;
  const TaskPlan Plan = Test.plan(tests::makePool(3, 1, 0));
  REQUIRE(Plan.Stops.size() == 1);
  REQUIRE(Plan.Starts.empty());
  REQUIRE(endWaitingTasks(Test.Run));
  REQUIRE(Test.Run.Tasks[1].Phase == TaskPhase::Cancelled);
  Test.report(ReportedState::Failed);
  REQUIRE(Test.Run.isEnded());
}

TEST_CASE("sizes are estimated from the reported use with headroom") {
  declaration::Job Job;
  Job.Name = JobName("j");
  Job.Size = cores(16);
  declaration::Weights Buffer{3, 1};
  declaration::Weights Moves{1, 3};
  SizeEstimator SmallHeadroom(Buffer);
  SizeEstimator LargeHeadroom(Moves);
  for (int Number = 0; Number < 3; ++Number) {
    REQUIRE(SmallHeadroom.estimate(Job) == Job.Size);
    SmallHeadroom.recordUsage(Job.Name, cores(4));
    LargeHeadroom.recordUsage(Job.Name, cores(4));
  }
  REQUIRE(SmallHeadroom.estimate(Job).MilliCores == 4400);
  REQUIRE(LargeHeadroom.estimate(Job).MilliCores == 5600);
}

TEST_CASE("a run can be encoded and decoded") {
  RunFixture Test(false);
  Test.Run.Tasks[0].FailedOn = {VmName("x")};
  const auto Read = runFromJson(toJson(Test.Run));
  REQUIRE(Read);
  REQUIRE(Read->Tasks == Test.Run.Tasks);
  REQUIRE_FALSE(runFromJson(web::json::value()));
}
