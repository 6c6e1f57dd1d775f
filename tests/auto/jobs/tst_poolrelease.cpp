// Guards against a pool whose queue's turn is over and that keeps all machines
// busy with late work, while the next queue's work waits and becomes late too.

#include "plannerfixture.h"

#include "whintack/jobs/poolpolicy.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

constexpr double CoresOfMachine = 32;

/// Two pools without vacant or spare machines.
struct TwoPools {
  TwoPools() {
    this->Ended = this->addPool("ended", 40);
    this->Begun = this->addPool("begun", 6);
  }

  PoolDemand addPool(const std::string &Name, int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      MachineInfo Info;
      Info.Name = MachineName(Name + std::to_string(Number));
      Info.Pool = ServiceName(Name);
      Info.State = MachineState::Up;
      Info.Capacity = {32000, 128000, 0};
      Info.Executor = ExecutorId("e-" + Info.Name.text());
      this->Machines.push_back(Info);
    }
    PoolDemand Demand;
    Demand.Pool = ServiceName(Name);
    Demand.Cores = CoresOfMachine * Count;
    return Demand;
  }

  PoolDecision decide() {
    return this->Policy.decide(this->Machines, {this->Ended, this->Begun},
                               ServiceName("spare"), {}, at(0s));
  }

  PoolPolicy Policy;
  std::vector<MachineInfo> Machines;
  PoolDemand Ended;
  PoolDemand Begun;
};

} // namespace

TEST_CASE("a pool with late work only empties machines for one whose work can "
          "be on time") {
  TwoPools Pools;
  Pools.Ended.LateWork = 8000;
  Pools.Begun.ArrivingWork = 16 * CoresOfMachine;
  const PoolDecision Decision = Pools.decide();
  CHECK(Decision.Moves.empty());
  REQUIRE(Decision.Releases.size() == 1);
  CHECK(Decision.Releases.at(ServiceName("ended")) == 10);

  // Machines that have become vacant move directly.
  Pools.Ended.Vacant = {ExecutorId("e-ended0"), ExecutorId("e-ended1"),
                        ExecutorId("e-ended2")};
  const PoolDecision Next = Pools.decide();
  CHECK(Next.Moves.size() == 2);
  for (const MoveProposal &Move : Next.Moves)
    CHECK(Move.TargetPool == ServiceName("begun"));
}

TEST_CASE("a pool whose own work can be on time empties no machines") {
  TwoPools Pools;
  Pools.Ended.ArrivingWork = Pools.Ended.Cores;
  Pools.Begun.ArrivingWork = 16 * CoresOfMachine;
  CHECK(Pools.decide().Releases.empty());
}

TEST_CASE("waiting and arriving work both count") {
  TwoPools Pools;
  for (int Number = 0; Number < 30; ++Number) {
    MachineInfo Spare = Pools.Machines[0];
    Spare.Name = MachineName("s" + std::to_string(Number));
    Spare.Pool = ServiceName("spare");
    Pools.Machines.push_back(Spare);
  }
  // 10 machines for what arrives, and 8 to complete what waits in 1.5 s.
  Pools.Begun.ArrivingWork = 10 * CoresOfMachine;
  Pools.Begun.WaitingWork = 8 * CoresOfMachine * 1.5;
  CHECK(Pools.decide().Moves.size() == 18 - 6);
}

TEST_CASE("a released executor gets no new tasks for a while") {
  PlannerFixture Fixture;
  Fixture.list({executor("a"), executor("b")});
  Fixture.Planner.addJob(job("first", {step(1, 1000)}));
  Fixture.Planner.addJob(job("second", {step(1, 1000)}));
  for (const StartOrder &Order : Fixture.starts())
    Fixture.confirm(Order);
  // Both tasks run on the same executor, which is the only one in use.
  const ExecutorId InUse = Fixture.Confirmed[0].Executor;
  REQUIRE(Fixture.Confirmed[1].Executor == InUse);
  Fixture.Planner.release(1, Fixture.Time.now());
  Fixture.Planner.addJob(job("next", {step(1, 1000)}));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Executor != InUse);
  Fixture.confirm(Starts[0]);
  Fixture.Time.advance(1s);
  Fixture.Planner.addJob(job("later", {step(1, 1000)}));
  const auto Later = Fixture.starts();
  REQUIRE(Later.size() == 1);
  CHECK(Later[0].Executor == InUse);
}
