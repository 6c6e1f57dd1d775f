// Guards against a planning pass that keeps the event loop busy for longer than
// the lease: the planner loses its claim, drops what it has decided, and its
// successor does the same.

#include "logcapture.h"
#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time that a planner takes to place a task.
constexpr Duration PlacementTime = milliseconds(1);
constexpr size_t LargeCount = 4000;

/// A fleet with a pool that has room for a job of LargeCount tasks.
class LargePool : public SimulatedFleet {
public:
  LargePool() {
    jobs::JobSpec Large;
    Large.Steps.resize(1);
    Large.Steps[0].Count = LargeCount;
    Large.Steps[0].Need = {500, 256, 0};
    Large.Steps[0].Estimate = milliseconds(500);
    Large.Steps[0].MaxTasksPerExecutor = 100;
    this->Platform.addTemplate("large", Large);
    for (int Number = 0; Number < 42; ++Number) {
      simulation::MachineSetup Machine;
      Machine.Name = jobs::MachineName("q" + std::to_string(Number));
      Machine.Pool = ServiceName("quotes");
      Machine.Rack = "r" + std::to_string(Number % 4);
      Machine.DataCentre = DataCentreName(Number % 2 == 0 ? "d1" : "d2");
      Machine.Capacity = {64000, 64000, 0};
      this->Platform.addMachine(Machine);
    }
    this->startAll();
  }

  LogCapture Log{[this](const std::string &Line) {
    if (Line.find(" event=run-placed ") != std::string::npos)
      this->Loop.Time.advance(PlacementTime);
  }};
};

} // namespace

TEST_CASE("a job takes longer to place than the lease lasts") {
  LargePool Fleet;
  const std::string Large = Fleet.submit("quotes", "large");
  std::vector<std::string> Small;
  for (int Count = 0; Count < 10; ++Count) {
    Fleet.runFor(milliseconds(500));
    Small.push_back(Fleet.submit("payouts", "short"));
    Small.push_back(Fleet.submit("quotes", "short"));
  }
  Fleet.runFor(seconds(15));
  CHECK(Fleet.stateOf(Large) == "completed");
  for (const std::string &Path : Small)
    CHECK(Fleet.stateOf(Path) == "completed");
  CHECK(Fleet.Log.lines("shard-dropped").empty());
  CHECK(Fleet.Platform.runChecker().violations().empty());
}
