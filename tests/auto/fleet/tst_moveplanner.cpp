#include "whintack/fleet/moveplanner.h"

#include <catch2/catch.hpp>
#include <set>

using namespace whintack;
using namespace whintack::fleet;

static VmView vm(int Number, const std::string &Pool, int64_t Tasks = 0) {
  VmView Vm;
  Vm.Record.Name = VmName("vm" + std::to_string(Number));
  Vm.Record.Pool = PoolName(Pool);
  Vm.Rack = RackName("rack" + std::to_string(Number / 4));
  Vm.IsLive = true;
  Vm.Tasks = Tasks;
  return Vm;
}

static FleetView view(int64_t TargetA, int64_t TargetB) {
  FleetView View;
  View.Targets = {{PoolName("a"), TargetA}, {PoolName("b"), TargetB}};
  View.MoveRoom = {{PoolName("a"), 100}, {PoolName("b"), 100}};
  return View;
}

TEST_CASE("no more VMs move than the preset requires") {
  FleetView View = view(3, 5);
  for (int Number = 0; Number < 8; ++Number)
    View.Vms.push_back(vm(Number, Number < 5 ? "a" : "b"));
  const auto Moves = planMoves(View);
  REQUIRE(Moves.size() == 2);
  for (const VmMove &Move : Moves) {
    REQUIRE(Move.From == PoolName("a"));
    REQUIRE(Move.To == PoolName("b"));
  }
}

TEST_CASE("VMs that are already moving count for their new pool") {
  FleetView View = view(1, 1);
  View.Vms = {vm(0, "a"), vm(1, "a")};
  View.Vms[1].Record.NextPool = PoolName("b");
  REQUIRE(planMoves(View).empty());
}

TEST_CASE("VMs without a pool move before those in a pool") {
  FleetView View = view(1, 2);
  View.Vms = {vm(0, "a"), vm(1, "a"), vm(2, ""), vm(3, "")};
  const auto Moves = planMoves(View);
  REQUIRE(Moves.size() == 2);
  for (const VmMove &Move : Moves)
    REQUIRE(Move.From.isEmpty());
}

TEST_CASE("idle VMs move before those with tasks") {
  FleetView View = view(1, 1);
  View.Vms = {vm(0, "a", 3), vm(1, "a", 0)};
  REQUIRE(planMoves(View)[0].Vm == VmName("vm1"));
}

TEST_CASE("VMs that are lost or disrupted do not move") {
  FleetView View = view(0, 2);
  View.Vms = {vm(0, "a"), vm(1, "a")};
  View.Vms[0].IsLive = false;
  View.Vms[1].Record.Phase = VmPhase::Draining;
  REQUIRE(planMoves(View).empty());
}

TEST_CASE("VMs that join a pool are spread over racks") {
  FleetView View = view(0, 4);
  for (int Number = 0; Number < 16; ++Number)
    View.Vms.push_back(vm(Number, ""));
  std::set<RackName> Racks;
  for (const VmMove &Move : planMoves(View))
    Racks.insert(Move.Rack);
  REQUIRE(Racks.size() == 4);
}

TEST_CASE("a move that is not needed any more is cancelled") {
  FleetView View = view(2, 0);
  View.Vms = {vm(0, "a"), vm(1, "a")};
  View.Vms[1].Record.NextPool = PoolName("b");
  REQUIRE(planCancellations(View) == std::vector<VmName>{VmName("vm1")});
  View.Vms[1].Record.Phase = VmPhase::Draining;
  REQUIRE(planCancellations(View).empty());
}

TEST_CASE("the estimate counts moves, spare and missing VMs and rounds") {
  FleetView View = view(2, 4);
  for (int Number = 0; Number < 6; ++Number)
    View.Vms.push_back(vm(Number, "a"));
  View.MoveRoom[PoolName("a")] = 2;
  const MoveEstimate Estimate = estimateMoves(View, std::chrono::minutes(3));
  REQUIRE(Estimate.Moves == 4);
  REQUIRE(Estimate.SpareVms == 0);
  REQUIRE(Estimate.RollOut == std::chrono::minutes(6));
  View.Targets[PoolName("b")] = 9;
  REQUIRE(estimateMoves(View, std::chrono::minutes(3)).MissingVms == 5);
}
