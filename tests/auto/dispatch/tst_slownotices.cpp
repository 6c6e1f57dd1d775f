#include "slowfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;

// Guards against notices that planners never read because their pages share a
// slow link, time out and are requested again.
TEST_CASE(
    "a VM with a slow link handles the notices of two services within the "
    "time for recovery") {
  SlowFleet Fleet(400);
  Fleet.leaveNotices();
  Fleet.restartAll();
  Fleet.runFor(RecoveryTime);
  CHECK(Fleet.plannerOf("quotes") == "e1");
  CHECK(Fleet.plannerOf("payouts") == "e1");
  CHECK(Fleet.noticesLeft("quotes") == 0);
  CHECK(Fleet.noticesLeft("payouts") == 0);
}
