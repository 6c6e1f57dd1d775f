#include "unequalfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

// Which VMs claim the shards that have no holder.

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against one VM claiming all shards because the configuration was in
// the store before the VM had read of the others.
TEST_CASE("VMs started at once spread the shards by processor share") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startVms();
    Fleet.runFor(seconds(4));
    Fleet.checkSpread();
    CHECK(Fleet.claimCount() == UnequalFleet::Shards.size());
  }
}

// Guards against claims made the moment a configuration arrives, without regard
// to the delay in which VMs learn of each other.
TEST_CASE("a configuration that arrives during the start does not bundle the "
          "shards") {
  const int Delay = GENERATE(0, 4, 8, 12, 30, 100, 600, 900, 2000);
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("after " << Delay << " ms, seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.removeConfiguration();
    Fleet.startVms();
    Fleet.runFor(milliseconds(Delay));
    Fleet.addConfiguration();
    Fleet.runFor(seconds(4));
    Fleet.checkSpread();
    CHECK(Fleet.claimCount() == UnequalFleet::Shards.size());
  }
}

// Guards against one VM claiming all shards while the others register again.
TEST_CASE("VMs killed and restarted at once spread the shards again") {
  const int Down = GENERATE(100, 1000, 1900, 2500);
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("down for " << Down << " ms, seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startVms();
    Fleet.runFor(seconds(4));
    Fleet.killVms();
    Fleet.runFor(milliseconds(Down));
    Fleet.startVms();
    Fleet.runFor(seconds(6));
    Fleet.checkSpread();
  }
}

// Guards against the first VM that gets its lease back claiming all shards.
TEST_CASE("VMs whose leases all lapsed in an outage of the store spread the "
          "shards again") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startVms();
    Fleet.runFor(seconds(4));
    Fleet.Platform.store().setFaultModeForAll(
        simulation::StoreFaultMode::Silent);
    Fleet.runFor(seconds(4));
    Fleet.Platform.store().setFaultModeForAll(
        simulation::StoreFaultMode::Served);
    Fleet.runFor(seconds(8));
    Fleet.checkSpread();
  }
}

// Guards against small VMs winning the race for the shards of a VM that died or
// stopped but is still listed as a member.
TEST_CASE("the shards of a VM that dies or stops go to a VM with a large "
          "share") {
  const bool IsStopped = GENERATE(false, true);
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO((IsStopped ? "stopped, seed " : "killed, seed ") << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startVms();
    Fleet.runFor(seconds(4));
    const std::string Holder = Fleet.plannerOf("quotes");
    if (IsStopped)
      Fleet.stopNode(Holder);
    else
      Fleet.killNode(Holder);
    Fleet.runFor(seconds(6));
    CHECK(Fleet.plannerOf("quotes") != Holder);
    CHECK(Fleet.processorShareOf(Fleet.plannerOf("quotes")) == 0.5);
  }
}

// Guards against the first of many VMs claiming before the last has registered,
// on a store that answers slowly.
TEST_CASE("VMs that start one after the other spread the shards") {
  const int StoreDelay = GENERATE(2, 50, 150);
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("store answers after " << StoreDelay << " ms, seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.Platform.store().setDelay(milliseconds(StoreDelay));
    std::vector<std::string> Names = UnequalFleet::SmallVms;
    Names.insert(Names.end(), UnequalFleet::LargeVms.begin(),
                 UnequalFleet::LargeVms.end());
    std::shuffle(Names.begin(), Names.end(), std::mt19937_64(Seed));
    for (const std::string &Name : Names) {
      Fleet.startVm(Name);
      Fleet.runFor(milliseconds(Fleet.source()() % 120));
    }
    Fleet.runFor(seconds(5));
    Fleet.checkSpread();
    CHECK(Fleet.claimCount() == UnequalFleet::Shards.size());
  }
}
