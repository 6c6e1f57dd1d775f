#include "slowfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::seconds;

// Guards against a holder that renews its claims for ever but cannot load its
// shards, so that their jobs are lost.
TEST_CASE("a shard that its holder cannot load is taken over by another VM "
          "within the time for recovery") {
  SlowFleet Fleet(1000);
  auto &Store = Fleet.Platform.store();
  // Carries the renewals of leases, but loads a service in a minute.
  constexpr double VerySlowLinkRate = SlowLinkRate / 20;
  Store.setLinkRate(EntryName("e1"), VerySlowLinkRate);
  Fleet.restartAll();
  REQUIRE(Fleet.plannerOf("quotes") == "e1");
  REQUIRE(Fleet.plannerOf("payouts") == "e1");
  Fleet.runFor(RecoveryTime);
  CHECK(Fleet.plannerOf("quotes") != "e1");
  CHECK(Fleet.plannerOf("payouts") != "e1");
  CHECK(Fleet.completedJobs("quotes") > 0);
  CHECK(Fleet.completedJobs("payouts") > 0);
}

TEST_CASE("the only VM of a fleet keeps trying to load its shards") {
  SlowFleet Fleet(1000);
  // One service takes 7 s.
  Fleet.Platform.store().setLinkRate(EntryName("e1"), SlowLinkRate / 2);
  Fleet.restartNode("e1");
  Fleet.runFor(3 * RecoveryTime);
  CHECK(Fleet.plannerOf("quotes") == "e1");
  CHECK(Fleet.plannerOf("payouts") == "e1");
  CHECK(Fleet.completedJobs("quotes") > 0);
  CHECK(Fleet.completedJobs("payouts") > 0);
}
