#include "simulatedfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;

/// Time from a burst of jobs to the first machine that is ordered to the pool.
static Duration timeToOrder(SimulatedFleet &Fleet) {
  for (int Count = 0; Count < 150; ++Count)
    Fleet.submit("quotes", "short");
  constexpr Duration Step = milliseconds(10);
  Duration Waited = Duration::zero();
  const auto IsOrdered = [&Fleet] {
    const auto Machines = Fleet.Platform.machineList();
    return std::any_of(Machines.begin(), Machines.end(), [](const auto &Each) {
      return Each.State == jobs::MachineState::Moving;
    });
  };
  while (!IsOrdered() && Waited < std::chrono::seconds(2)) {
    Fleet.runFor(Step);
    Waited += Step;
  }
  return Waited;
}

// Guards against orders for machines that wait for the next read of the list of
// machines: a pool gets its machines that much later.
TEST_CASE("machines are ordered within 300 ms of a burst, whenever it comes") {
  for (const int OffsetMs : {0, 100, 200, 300, 400}) {
    SimulatedFleet Fleet;
    Fleet.startAll();
    Fleet.runFor(milliseconds(OffsetMs));
    INFO("burst " << OffsetMs << " ms after the start");
    CHECK(timeToOrder(Fleet) <= milliseconds(300));
  }
}
