#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::seconds;

// Guards against an accepted job that lies in the store unknown to its planner,
// because the VM that accepted it died before it could tell the planner.
TEST_CASE("a job is run although the VM that accepted it dies at once") {
  SimulatedFleet Fleet;
  Fleet.startAll();
  const std::string Planner = Fleet.plannerOf("quotes");
  std::string Other;
  for (const std::string &Name : Fleet.nodeNames())
    if (Name != Planner)
      Other = Name;
  const std::string Path = "/quotes/00000000000000aa";
  Fleet.Platform.runChecker().noteSubmitted(
      Fleet.Platform.codec()
          .DecodeJob(jobs::JobId("00000000000000aa"), "short")
          .value(),
      3);
  const auto Answer = Fleet.send(Other, "POST", Path, "short");
  for (int Steps = 0; Steps < 1000 && Answer->Status == 0; ++Steps)
    Fleet.runFor(std::chrono::microseconds(100));
  REQUIRE(Answer->Status == 200);
  Fleet.killNode(Other);
  Fleet.runFor(seconds(5));
  Fleet.restartNode(Other);
  Fleet.runFor(seconds(25));
  CHECK(Fleet.Platform.runChecker().starts() == 4);
}
