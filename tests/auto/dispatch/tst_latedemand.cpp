#include "simulatedfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet in which the planner of "quotes" can answer its peers late.
class LateFleet : public SimulatedFleet {
public:
  LateFleet() {
    this->startAll();
    REQUIRE(this->plannerOf("quotes") != this->plannerOf("fleet"));
  }

  void delayPlanner() {
    this->setSendDelay(this->plannerOf("quotes"), milliseconds(800));
  }

  size_t machinesOf(const std::string &Pool) const {
    const auto Machines = this->Platform.machineList();
    return static_cast<size_t>(std::count_if(
        Machines.begin(), Machines.end(), [&Pool](const auto &Machine) {
          return Machine.Pool == ServiceName(Pool);
        }));
  }

  void submitBurst(const std::string &Queue) {
    for (int Count = 0; Count < 150; ++Count)
      this->submit(Queue, "short");
  }
};

} // namespace

// Guards against a pool that gets no machines because its planner is too busy
// to report the demand at once.
TEST_CASE("a pool whose planner answers late gets machines for a burst") {
  LateFleet Fleet;
  Fleet.delayPlanner();
  const size_t Before = Fleet.machinesOf("quotes");
  Fleet.submitBurst("quotes");
  Fleet.runFor(seconds(4));
  CHECK(Fleet.machinesOf("quotes") > Before);
}

// Guards against machines that stay in the pool of a busy planner although
// nothing runs on them.
TEST_CASE("a pool whose planner answers late gives vacant machines away") {
  LateFleet Fleet;
  const size_t Before = Fleet.machinesOf("quotes");
  Fleet.submitBurst("quotes");
  Fleet.runFor(seconds(4));
  REQUIRE(Fleet.machinesOf("quotes") > Before);
  Fleet.delayPlanner();
  Fleet.runFor(seconds(12));
  CHECK(Fleet.machinesOf("quotes") == Before);
}
