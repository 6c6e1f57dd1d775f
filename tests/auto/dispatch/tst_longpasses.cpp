// Guards against calls that keep the event loop busy for longer than the lease,
// because there is so much to place or to read: the planner loses its claim,
// drops what it has decided, and its successor does the same.

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
    jobs::JobSpec Unplaceable = Large;
    Unplaceable.Steps[0].Count = 1;
    Unplaceable.Steps[0].RequiredLabel = "none";
    this->Platform.addTemplate("unplaceable", Unplaceable);
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

TEST_CASE("the jobs of a service take longer to decode than the lease lasts") {
  constexpr Duration DecodeTime = milliseconds(5);
  constexpr size_t JobCount = 800;
  LargePool Fleet;
  bool IsDecodingSlow = false;
  Fleet.WrapCodec = [&](jobs::PlatformCodec Direct) {
    Direct.DecodeJob = [&, Decode = Direct.DecodeJob](const jobs::JobId &Id,
                                                      const std::string &Body) {
      if (IsDecodingSlow)
        Fleet.Loop.Time.advance(DecodeTime);
      return Decode(Id, Body);
    };
    return Direct;
  };
  for (const std::string &Name : Fleet.nodeNames()) {
    Fleet.killNode(Name);
    Fleet.runFor(seconds(3));
    Fleet.restartNode(Name);
    Fleet.runFor(seconds(3));
  }
  // They are accepted and need more than the pool has.
  for (size_t Job = 0; Job < JobCount; ++Job) {
    Fleet.submit("quotes", "unplaceable");
    if (Job % 20 == 0)
      Fleet.runFor(milliseconds(100));
  }
  const std::string Before = Fleet.submit("quotes", "lasting");
  Fleet.runFor(seconds(3));
  REQUIRE(Fleet.stateOf(Before) == "running");
  IsDecodingSlow = true;
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.killNode(Planner);
  Fleet.runFor(seconds(1));
  Fleet.restartNode(Planner);
  Fleet.runFor(seconds(12));
  const std::string After = Fleet.submit("quotes", "short");
  Fleet.runFor(seconds(5));
  CHECK(Fleet.stateOf(After) == "completed");
  CHECK(Fleet.stateOf(Before) == "running");
  CHECK(Fleet.Log.lines("shard-dropped").empty());
  CHECK(Fleet.Platform.runChecker().violations().empty());
}
