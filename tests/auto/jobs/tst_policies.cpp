#include "manualclock.h"

#include "whintack/jobs/besteffortthrottle.h"
#include "whintack/jobs/configuration.h"
#include "whintack/jobs/executorclock.h"
#include "whintack/jobs/executorhealthtracker.h"
#include "whintack/jobs/jobprogress.h"
#include "whintack/jobs/jobrank.h"
#include "whintack/jobs/poolpolicy.h"
#include "whintack/jobs/wavescheduler.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace std::chrono_literals;

static TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

TEST_CASE("a lease counts as expired only once the slowest clock has passed "
          "its end") {
  ExecutorClock Clocks;
  Clocks.note(500000, at(0s));
  CHECK(Clocks.leasesExpiredAt() == TimePoint::min());
  Clocks.noteLease(506000);
  CHECK(Clocks.leasesExpiredAt() > at(6s));
  CHECK(Clocks.leasesExpiredAt() < at(6200ms));
  // An answer that arrives out of order changes nothing.
  Clocks.note(499000, at(1s));
  CHECK(Clocks.estimate(at(1s)) == 501000);
}

TEST_CASE(
    "an executor is suspected after failures of distinct jobs, not of one") {
  ExecutorHealthTracker Tracker;
  const ExecutorId Faulty("g");
  Tracker.noteFailure(Faulty, JobId("1"), at(0s));
  Tracker.noteFailure(Faulty, JobId("1"), at(0s));
  CHECK_FALSE(Tracker.isSuspect(Faulty, at(0s)));
  Tracker.noteFailure(Faulty, JobId("2"), at(0s));
  CHECK(Tracker.isSuspect(Faulty, at(0s)));
  CHECK_FALSE(Tracker.isSuspect(Faulty, at(20s)));
  Tracker.noteSuccess(Faulty);
  CHECK_FALSE(Tracker.isSuspect(Faulty, at(0s)));
}

TEST_CASE("best-effort tasks slow down at once and speed up in steps") {
  BestEffortThrottle Throttle;
  CHECK_FALSE(Throttle.update(0.3, at(0s)));
  CHECK(Throttle.update(0.9, at(0s)) == 50);
  CHECK(Throttle.update(1.2, at(1s)) == 0);
  CHECK_FALSE(Throttle.update(0.2, at(2s)));
  CHECK(Throttle.update(0.2, at(3s)) == 20);
}

static JobRank rank(double Work, Duration Accepted,
                    Duration CriticalPath = 500ms) {
  JobRank Rank;
  Rank.RemainingWork = Work;
  Rank.Accepted = at(Accepted);
  Rank.RemainingCriticalPath = CriticalPath;
  Rank.Objective = at(Accepted) + 2s;
  return Rank;
}

TEST_CASE(
    "job rank: least work first, late jobs by their deadline, jobs without "
    "value last") {
  const TimePoint Now = at(4s);
  const JobRank Small = rank(1, 3500ms);
  const JobRank Large = rank(9, 3s);
  const JobRank Late = rank(1, 1s);
  const JobRank LateAndOlder = rank(9, 0s);
  const JobRank Worthless = rank(1, -10s);
  CHECK(ranksBefore(Small, Large, Now));
  CHECK(ranksBefore(Large, Late, Now));
  CHECK(ranksBefore(LateAndOlder, Late, Now));
  CHECK(ranksBefore(Late, Worthless, Now));
  JobRank HighPriority = Worthless;
  HighPriority.Priority = 0;
  JobRank LowPriority = Small;
  LowPriority.Priority = 1;
  CHECK(ranksBefore(HighPriority, LowPriority, Now));
}

static MachineInfo machine(const std::string &Name, const std::string &Pool) {
  MachineInfo Info;
  Info.Name = MachineName(Name);
  Info.Pool = ServiceName(Pool);
  Info.State = MachineState::Up;
  Info.Capacity = {32000, 128000, 0};
  Info.Executor = ExecutorId("e-" + Name);
  return Info;
}

/// Adds \p Count machines to \p Pool, named by \p Prefix and a number.
static void addMachines(std::vector<MachineInfo> &To, const std::string &Prefix,
                        const std::string &Pool, int Count) {
  for (int Number = 0; Number < Count; ++Number)
    To.push_back(machine(Prefix + std::to_string(Number), Pool));
}

TEST_CASE(
    "machines move from idle pools to the spare pool and from there to the "
    "busy pool") {
  std::vector<MachineInfo> Machines;
  PoolDemand Idle;
  Idle.Pool = ServiceName("idle");
  Idle.Cores = 320;
  for (int Number = 0; Number < 10; ++Number) {
    Machines.push_back(machine("i" + std::to_string(Number), "idle"));
    Idle.Vacant.insert(Machines.back().Executor);
  }
  PoolDemand Busy;
  Busy.Pool = ServiceName("busy");
  Busy.Cores = 128;
  addMachines(Machines, "b", "busy", 4);
  PoolPolicy Policy;
  CHECK(Policy.decide(Machines, {Idle, Busy}, ServiceName("spare"), {}, at(0s))
            .Moves.empty());
  const auto ToSpare =
      Policy.decide(Machines, {Idle, Busy}, ServiceName("spare"), {}, at(2s))
          .Moves;
  CHECK(ToSpare.size() == 6);
  for (const MoveProposal &Move : ToSpare)
    CHECK(Move.TargetPool == ServiceName("spare"));

  Machines.push_back(machine("s0", "spare"));
  Busy.WaitingWork = 250;
  const auto ToBusy =
      Policy.decide(Machines, {Idle, Busy}, ServiceName("spare"), {}, at(2s))
          .Moves;
  REQUIRE_FALSE(ToBusy.empty());
  CHECK(ToBusy[0].Machine.Name == MachineName("s0"));
  CHECK(ToBusy[0].TargetPool == ServiceName("busy"));
  const auto Reserved =
      Policy
          .decide(Machines, {Idle, Busy}, ServiceName("spare"),
                  {MachineName("s0")}, at(2s))
          .Moves;
  for (const MoveProposal &Move : Reserved)
    CHECK(Move.Machine.Name != MachineName("s0"));
}

TEST_CASE("a pool gets machines for arriving work before a backlog builds up") {
  std::vector<MachineInfo> Machines;
  PoolDemand Busy;
  Busy.Pool = ServiceName("busy");
  Busy.Cores = 128;
  Busy.ArrivingWork = 300;
  addMachines(Machines, "b", "busy", 4);
  addMachines(Machines, "s", "spare", 10);
  PoolPolicy Policy;
  const auto Moves =
      Policy.decide(Machines, {Busy}, ServiceName("spare"), {}, at(0s)).Moves;
  // 300 cores are needed and 128 present; a machine has 32.
  CHECK(Moves.size() == 6);
}

TEST_CASE("displaced long-running tasks get machines before waiting work, with "
          "the label that they require") {
  std::vector<MachineInfo> Machines;
  PoolDemand Busy;
  Busy.Pool = ServiceName("busy");
  Busy.Cores = 160;
  Busy.WaitingWork = 4000;
  PoolDemand Lasting;
  Lasting.Pool = ServiceName("lasting");
  Lasting.Cores = 128;
  Lasting.Displaced = 2;
  Lasting.DisplacedLabels = {"big"};
  addMachines(Machines, "b", "busy", 5);
  addMachines(Machines, "l", "lasting", 4);
  Machines.push_back(machine("s0", "spare"));
  Machines.push_back(machine("s1", "spare"));
  Machines.back().Labels = {"big"};
  PoolPolicy Policy;
  const auto Moves =
      Policy.decide(Machines, {Busy, Lasting}, ServiceName("spare"), {}, at(0s))
          .Moves;
  REQUIRE(Moves.size() == 2);
  CHECK(Moves[0].Machine.Name == MachineName("s1"));
  for (const MoveProposal &Move : Moves)
    CHECK(Move.TargetPool == ServiceName("lasting"));

  // Without spare machines, a pool with waiting work gives up a vacant machine.
  Machines.resize(9);
  Busy.Vacant = {Machines[0].Executor};
  Lasting.DisplacedLabels.clear();
  Lasting.Displaced = 1;
  const auto Given =
      Policy.decide(Machines, {Busy, Lasting}, ServiceName("spare"), {}, at(1s))
          .Moves;
  REQUIRE(Given.size() == 1);
  CHECK(Given[0].Machine.Name == MachineName("b0"));
}

TEST_CASE("a pool whose demand is not known keeps its machines") {
  PoolPolicy Policy;
  std::vector<MachineInfo> Machines;
  addMachines(Machines, "i", "unknown", 10);
  CHECK(Policy.decide(Machines, {}, ServiceName("spare"), {}, at(0s))
            .Moves.empty());
  CHECK(Policy.decide(Machines, {}, ServiceName("spare"), {}, at(9s))
            .Moves.empty());
}

TEST_CASE("pool demand is encoded and decoded") {
  PoolDemand Demand;
  Demand.Pool = ServiceName("p");
  Demand.WaitingWork = 12.5;
  Demand.ArrivingWork = 7;
  Demand.Displaced = 2;
  Demand.DisplacedLabels = {"gpu"};
  Demand.Vacant = {ExecutorId("a")};
  const auto Read = decodeDemand(ServiceName("p"), encodeDemand(Demand));
  REQUIRE(Read);
  CHECK(Read.value().WaitingWork == 12.5);
  CHECK(Read.value().ArrivingWork == 7);
  CHECK(Read.value().Displaced == 2);
  CHECK(Read.value().DisplacedLabels == Demand.DisplacedLabels);
  CHECK(Read.value().Vacant == Demand.Vacant);
  CHECK_FALSE(decodeDemand(ServiceName("p"), "{}"));
}

TEST_CASE("a wave keeps its limit and ends no protected tasks") {
  WaveRequest Request;
  Request.Number = 1;
  Request.MaxConcurrent = 2;
  std::vector<MachineInfo> Machines;
  for (int Number = 0; Number < 4; ++Number) {
    Machines.push_back(machine("m" + std::to_string(Number), "p"));
    Request.Machines.push_back(Machines.back().Name);
  }
  WaveScheduler Scheduler(Request, at(30s), {});
  CHECK(Scheduler.machinesToEvacuate(at(0s)).empty());
  Scheduler.noteMachines(Machines, at(0s));
  CHECK(Scheduler.machinesToEvacuate(at(0s)).size() == 2);
  const MachineName First = Machines[0].Name;
  CHECK_FALSE(Scheduler.canOrder(First, Occupancy::Protected, at(29s)));
  CHECK_FALSE(Scheduler.canOrder(First, Occupancy::Interruptible, at(0s)));
  CHECK(Scheduler.canOrder(First, Occupancy::Interruptible, at(10s)));
  CHECK(Scheduler.canOrder(First, Occupancy::Vacant, at(0s)));
  Scheduler.noteOrdered(First);
  Scheduler.noteOrdered(Machines[1].Name);
  CHECK(Scheduler.down() == 2);
  CHECK(Scheduler.machinesToEvacuate(at(1s)).empty());
  Scheduler.noteBegun(First, at(1s));
  Scheduler.noteBegun(Machines[1].Name, at(1s));
  Machines[0].State = MachineState::Maintenance;
  Machines[1].State = MachineState::Maintenance;
  Scheduler.noteMachines(Machines, at(2s));
  CHECK(Scheduler.machinesToEvacuate(at(2s)).empty());
  for (int Number = 0; Number < 2; ++Number) {
    Machines[Number].State = MachineState::Up;
    Machines[Number].Executor = ExecutorId("new" + std::to_string(Number));
  }
  Scheduler.noteMachines(Machines, at(4s));
  CHECK(Scheduler.machinesToEvacuate(at(4s)).size() == 2);
  CHECK_FALSE(Scheduler.isCompleted());
  for (int Number = 2; Number < 4; ++Number) {
    Scheduler.noteOrdered(Machines[Number].Name);
    Scheduler.noteBegun(Machines[Number].Name, at(5s));
  }
  CHECK(Scheduler.isCompleted());
}

TEST_CASE("a machine that was maintained earlier does not block a wave") {
  WaveRequest Request;
  Request.MaxConcurrent = 1;
  Request.Machines = {MachineName("m0"), MachineName("m1")};
  WaveScheduler Scheduler(Request, at(30s), {});
  const std::vector<MachineInfo> Machines = {machine("m0", "p"),
                                             machine("m1", "p")};
  Scheduler.noteMachines(Machines, at(0s));
  Scheduler.machinesToEvacuate(at(0s));
  Scheduler.noteOrdered(MachineName("m0"));
  Scheduler.noteBegun(MachineName("m0"), at(0s));
  // A list that was requested before the order has no effect.
  Scheduler.noteMachines(Machines, at(-1s));
  CHECK(Scheduler.machinesToEvacuate(at(500ms)).empty());
  Scheduler.noteMachines(Machines, at(2s));
  CHECK(Scheduler.machinesToEvacuate(at(2s)).size() == 1);
}

namespace {

/// A wave of two machines, one at a time, whose first order got no answer.
class UnansweredWave {
public:
  UnansweredWave() {
    this->Scheduler.noteMachines(this->Machines, at(0s));
    this->Scheduler.machinesToEvacuate(at(0s));
    this->Scheduler.noteOrdered(this->First);
    this->Scheduler.noteUnanswered(this->First);
  }

  /// The first machine is listed in \p State.
  void list(MachineState State, Duration RequestedAt) {
    this->Machines[0].State = State;
    this->Scheduler.noteMachines(this->Machines, at(RequestedAt));
  }

  MachineName First = MachineName("m0");
  std::vector<MachineInfo> Machines = {machine("m0", "p"), machine("m1", "p")};
  WaveScheduler Scheduler{
      {1, {this->First, MachineName("m1")}, Duration::zero(), 1}, at(60s), {}};
};

} // namespace

TEST_CASE("a machine with an unanswered order counts as down and is ordered "
          "again only once it is vacant") {
  UnansweredWave Wave;
  WaveScheduler &Scheduler = Wave.Scheduler;
  CHECK(Scheduler.down() == 1);
  const auto Again = Scheduler.machinesToEvacuate(at(1s));
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Name == Wave.First);
  CHECK_FALSE(Scheduler.canOrder(Wave.First, Occupancy::Protected, at(20s)));
  CHECK(Scheduler.canOrder(Wave.First, Occupancy::Vacant, at(1s)));
  // The refusal does not mean that the first order had no effect.
  Scheduler.noteOrdered(Wave.First);
  Scheduler.noteRefused(Wave.First);
  CHECK(Scheduler.down() == 1);
  // The maintenance may be that of another wave, which only the answer tells.
  Wave.list(MachineState::Maintenance, 2s);
  CHECK(Scheduler.begun().empty());
  CHECK(Scheduler.down() == 1);
  const auto InMaintenance = Scheduler.machinesToEvacuate(at(2s));
  REQUIRE(InMaintenance.size() == 1);
  CHECK(InMaintenance[0].Name == Wave.First);
  CHECK(Scheduler.canOrder(Wave.First, Occupancy::Vacant, at(2s)));
  Scheduler.noteOrdered(Wave.First);
  Scheduler.noteBegun(Wave.First, at(2s));
  CHECK(Scheduler.begun() == std::set<MachineName>{Wave.First});
  CHECK(Scheduler.machinesToEvacuate(at(2s)).empty());
}

TEST_CASE(
    "the tasks of a machine that comes up again after an unanswered order "
    "get time to end") {
  UnansweredWave Wave;
  Wave.list(MachineState::Maintenance, 6s);
  Wave.list(MachineState::Up, 8s);
  CHECK_FALSE(
      Wave.Scheduler.canOrder(Wave.First, Occupancy::Interruptible, at(8s)));
  CHECK(Wave.Scheduler.canOrder(Wave.First, Occupancy::Interruptible, at(12s)));
}

// A wave was reported as completed without the maintenance of a machine that
// one list had left out.
TEST_CASE("a machine that a single list lacks still gets its maintenance") {
  WaveRequest Request;
  Request.MaxConcurrent = 1;
  Request.Machines = {MachineName("m0"), MachineName("m1")};
  WaveScheduler Scheduler(Request, at(60s), {});
  const std::vector<MachineInfo> All = {machine("m0", "p"), machine("m1", "p")};
  const std::vector<MachineInfo> OnlySecond = {All[1]};
  Scheduler.noteMachines(OnlySecond, at(0s));
  CHECK(Scheduler.begun().empty());
  const auto Listed = Scheduler.machinesToEvacuate(at(0s));
  REQUIRE(Listed.size() == 1);
  CHECK(Listed[0].Name == All[1].Name);
  Scheduler.noteOrdered(All[1].Name);
  Scheduler.noteBegun(All[1].Name, at(0s));
  CHECK_FALSE(Scheduler.isCompleted());

  // The machine in maintenance is missed, too, and still counts as down.
  Scheduler.noteMachines({All[0]}, at(400ms));
  CHECK(Scheduler.down() == 1);
  CHECK(Scheduler.machinesToEvacuate(at(400ms)).empty());

  SECTION("listed again") {
    Scheduler.noteMachines(All, at(4s));
    const auto Next = Scheduler.machinesToEvacuate(at(4s));
    REQUIRE(Next.size() == 1);
    CHECK(Next[0].Name == All[0].Name);
    CHECK_FALSE(Scheduler.isCompleted());
  }
  SECTION("removed for good") {
    Scheduler.noteMachines(OnlySecond, at(4s));
    CHECK_FALSE(Scheduler.isCompleted());
    Scheduler.noteMachines(OnlySecond, at(6s));
    CHECK(Scheduler.isCompleted());
    // A successor looks for itself.
    CHECK(Scheduler.begun() == std::set<MachineName>{All[1].Name});
    Scheduler.noteMachines(All, at(7s));
    CHECK_FALSE(Scheduler.isCompleted());
    CHECK(Scheduler.machinesToEvacuate(at(7s)).size() == 1);
  }
}

TEST_CASE("job progress is encoded and decoded, and damage is reported") {
  JobProgress Progress;
  Progress.State = JobState::Running;
  const TaskKey Key{{JobId("1"), 2, 3}, 4};
  Progress.Tasks[Key] = {false, {1, 10001}, "check"};
  const auto Read = decodeProgress(JobId("1"), encodeProgress(Progress));
  REQUIRE(Read);
  CHECK(Read.value().State == JobState::Running);
  CHECK(Read.value().Tasks.at(Key).FailedRuns == std::set<uint64_t>{1, 10001});
  CHECK(Read.value().Tasks.at(Key).Checkpoint == "check");
  for (const std::string Damaged : {"", "{}", R"({"state":"odd","tasks":[]})",
                                    R"({"state":"queued","tasks":[{}]})"})
    CHECK_FALSE(decodeProgress(JobId("1"), Damaged));
}

TEST_CASE("the longest prefix of the host selects the queue") {
  FleetConfiguration Configuration;
  Queue Short;
  Short.Name = "short";
  Short.Host = "h.example";
  Short.Prefix = "/a/";
  Queue Long = Short;
  Long.Name = "long";
  Long.Prefix = "/a/b/";
  Configuration.Queues = {Short, Long};
  const QueueTable Table(Configuration);
  CHECK(Table.find("h.example", "/a/b/1")->Name == "long");
  CHECK(Table.find("h.example", "/a/c")->Name == "short");
  CHECK(Table.find("h.example", "/b/") == nullptr);
  CHECK(Table.find("other", "/a/") == nullptr);
}
