#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using simulation::StoreFaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an accepted job that no planner learns of, because the VM that
// accepted it could reach neither the planner nor the store for seconds (issue
// 20).
TEST_CASE("a planner learns of an accepted job however long its notice could "
          "not be stored") {
  constexpr int Ok = 200;
  SimulatedFleet Fleet;
  Fleet.startAll();
  const std::string Planner = Fleet.plannerOf("quotes");
  const std::string Other = Planner == "e1" ? "e2" : "e1";
  auto Spec = Fleet.Platform.codec().DecodeJob(jobs::JobId("1000000000000001"),
                                               "short");
  Fleet.Platform.runChecker().noteSubmitted(Spec.value(), 3);
  Fleet.breakWatches(Other);
  const auto Answer =
      Fleet.send(Other, "POST", "/quotes/1000000000000001", "short");
  while (Answer->Status == 0)
    Fleet.runFor(milliseconds(1));
  REQUIRE(Answer->Status == Ok);
  Fleet.Platform.store().setFaultMode(EntryName(Other),
                                      StoreFaultMode::Refused);
  Fleet.runFor(seconds(10));
  CHECK(Fleet.Platform.runChecker().starts() == 4);
  Fleet.setCut(Other, false);
  Fleet.runFor(seconds(5));
  CHECK(Fleet.plannerOf("quotes") == Planner);
  CHECK(Fleet.Platform.runChecker().starts() == 4);
}
