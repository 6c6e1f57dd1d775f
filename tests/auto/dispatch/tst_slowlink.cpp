#include "slowfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;

// Guards against loads of shards that never end because their reads and copies
// of them share a slow link, time out and start again.
TEST_CASE("a VM with a slow link loads thousands of jobs and completes some "
          "within the time for recovery") {
  SlowFleet Fleet(1000);
  Fleet.restartAll();
  Fleet.runFor(RecoveryTime);
  CHECK(Fleet.completedJobs("quotes") > 0);
  CHECK(Fleet.completedJobs("payouts") > 0);
}
