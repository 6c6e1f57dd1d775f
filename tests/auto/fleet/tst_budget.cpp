#include "poolfixture.h"
#include "whintack/fleet/budget.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::fleet;

static Ticket ticket(const std::string &Vm) {
  return {VmName(Vm), OperationId("op-" + Vm), tests::testNow()};
}

TEST_CASE("the number of required executors is rounded up") {
  declaration::Service Service;
  Service.BudgetPercent = 90;
  REQUIRE(requiredExecutors(Service, 10) == 9);
  REQUIRE(requiredExecutors(Service, 11) == 10);
  REQUIRE(requiredExecutors(Service, 0) == 0);
}

TEST_CASE("no ticket is given when the budget is used up") {
  const PoolView View = tests::makePool(10, 4, 80);
  BudgetRecord Record;
  Record = *withTicket(View, View.Services[0], Record, ticket("vm0"));
  Record = *withTicket(View, View.Services[0], Record, ticket("vm1"));
  REQUIRE_FALSE(withTicket(View, View.Services[0], Record, ticket("vm2")));
  REQUIRE_FALSE(withTicket(View, View.Services[0], Record, ticket("vm1")));
}

TEST_CASE("lost VMs reduce the budget") {
  PoolView View = tests::makePool(10, 4, 80);
  View.Vms[5].IsLive = false;
  View.Vms[6].IsLive = false;
  REQUIRE_FALSE(
      withTicket(View, View.Services[0], BudgetRecord(), ticket("vm0")));
  // The disruption of a VM that is already lost needs no room in the budget.
  REQUIRE(withTicket(View, View.Services[0], BudgetRecord(), ticket("vm5")));
}

TEST_CASE("a ticket ends when its VM serves or has left the pool") {
  PoolView View = tests::makePool(3, 1, 50);
  BudgetRecord Record;
  Record.Tickets = {ticket("vm0"), ticket("vm1"), ticket("gone")};
  View.Vms[0].Record.Phase = VmPhase::Rebooting;
  View.Vms[1].IsLive = false;
  const auto Ended = endedTickets(View, Record);
  REQUIRE(Ended.size() == 1);
  REQUIRE(Ended[0].Vm == VmName("gone"));
  View.Vms[1].IsLive = true;
  REQUIRE(endedTickets(View, Record).size() == 2);
}

TEST_CASE("a ticket is released only by its own disruption") {
  BudgetRecord Record;
  Record.Tickets = {ticket("vm0")};
  REQUIRE(withoutTicket(Record, VmName("vm0"), OperationId("other"))
              .Tickets.size() == 1);
  REQUIRE(withoutTicket(Record, VmName("vm0"), OperationId("op-vm0"))
              .Tickets.empty());
}
