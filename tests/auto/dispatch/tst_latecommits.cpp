#include "simulatedfleet.h"

#include "storekeys.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using simulation::StoreFaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against stored progress that goes back, because the store carries out
// a commit seconds after its time-out (issue 28).
TEST_CASE("progress that a late commit would undo stays as it is") {
  SimulatedFleet Fleet;
  Fleet.startAll();
  std::vector<std::string> Paths;
  for (int Count = 0; Count < 20; ++Count) {
    Paths.push_back(Fleet.submit("quotes", "chain"));
    Fleet.runFor(milliseconds(50));
  }
  const EntryName Planner(Fleet.plannerOf("quotes"));
  Fleet.Platform.store().setFaultMode(Planner, StoreFaultMode::CarriedOutLate);
  Fleet.runFor(milliseconds(300));
  Fleet.Platform.store().setFaultMode(Planner, StoreFaultMode::Served);
  Fleet.runFor(seconds(20));
  for (const std::string &Path : Paths) {
    INFO(Path);
    CHECK(Fleet.stateOf(Path) == "completed");
    const std::string Id = Path.substr(Path.rfind('/') + 1);
    CHECK_FALSE(Fleet.Platform.store().value(
        dispatch::Internal::keys::progress(ServiceName("quotes")) + Id));
  }
  for (const std::string &Text : Fleet.Platform.runChecker().violations())
    FAIL_CHECK(Text);
}
