#include "whintack/fleet/records.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::fleet;

TEST_CASE("records can be encoded and decoded") {
  RackRecord Rack;
  Rack.Rack = RackName("r");
  Rack.DataCentre = DataCentreName("d");
  VmRecord Vm;
  Vm.Name = VmName("v");
  Vm.Pool = PoolName("p");
  Vm.Phase = VmPhase::Rebooting;
  Vm.PhaseSince = WallTime(Duration(5));
  Vm.Disruption = OperationId("o");
  Vm.NextPool = PoolName("n");
  Vm.IncarnationBefore = 4;
  Vm.Epoch = 9;
  Rack.Vms = {Vm};
  const auto ReadRack = rackFromJson(toJson(Rack));
  REQUIRE(ReadRack);
  REQUIRE(ReadRack->Vms == Rack.Vms);

  BudgetRecord Budget;
  Budget.Service = ServiceName("s");
  Budget.Tickets = {{VmName("v"), OperationId("o"), WallTime(Duration(1))}};
  REQUIRE(budgetFromJson(toJson(Budget))->Tickets == Budget.Tickets);

  WaveRecord Wave;
  Wave.Pool = PoolName("p");
  Wave.State = WaveState::Paused;
  REQUIRE(waveFromJson(toJson(Wave))->State == WaveState::Paused);

  ShardRecord Shard{3, EntryName("e"), 8};
  REQUIRE(shardFromJson(toJson(Shard))->Epoch == 3);
}

TEST_CASE("an invalid record is not decoded") {
  const auto Wrong = web::json::value::parse(R"({"vms":[{"name":1}]})");
  REQUIRE_FALSE(rackFromJson(Wrong));
  REQUIRE_FALSE(budgetFromJson(Wrong));
  REQUIRE_FALSE(waveFromJson(web::json::value()));
}
