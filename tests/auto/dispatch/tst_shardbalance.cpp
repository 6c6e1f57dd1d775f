#include "unequalfleet.h"

#include <catch2/catch.hpp>

// How shards that have a holder move to another VM.

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a VM that started first keeping all shards for good.
TEST_CASE("a VM that claimed all shards hands them over to VMs that join") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startNode("a1", "d1", 0.12);
    Fleet.submitJobs(seconds(4));
    CHECK(Fleet.shardCount("a1") == UnequalFleet::Shards.size());
    Fleet.startVms();
    Fleet.submitJobs(seconds(60));
    Fleet.checkSpread();
    Fleet.finishAndCheck();
    Fleet.checkSpread();
    // Each shard was claimed once by the first VM and once by its successor.
    CHECK(Fleet.claimCount() == 2 * UnequalFleet::Shards.size());
  }
}

// Guards against handovers that collide when several holders find the same VM.
TEST_CASE("two VMs hand shards over at the same time") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startNode("a1", "d1", 0.12);
    Fleet.startNode("a2", "d2", 0.12);
    Fleet.startNode("a3", "d2", 0.12);
    Fleet.submitJobs(seconds(4));
    Fleet.startVms();
    Fleet.submitJobs(seconds(40));
    Fleet.checkSpread();
    Fleet.finishAndCheck();
  }
}

// Guards against shards that wander although no VM joins or leaves.
TEST_CASE("shards that are spread stay where they are") {
  UnequalFleet Fleet;
  Fleet.addPlatform();
  Fleet.startVms();
  Fleet.submitJobs(seconds(60));
  CHECK(Fleet.claimCount() == UnequalFleet::Shards.size());
  Fleet.finishAndCheck();
}

// Guards against shards that gather on few VMs while each restarts in turn.
TEST_CASE("a rolling restart leaves the shards spread") {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startVms();
    Fleet.submitJobs(seconds(4));
    for (const std::string &Name : Fleet.nodeNames()) {
      Fleet.stopNode(Name);
      Fleet.submitJobs(seconds(1));
      Fleet.restartNode(Name);
      Fleet.submitJobs(seconds(2));
    }
    Fleet.submitJobs(seconds(40));
    Fleet.checkSpread();
    Fleet.finishAndCheck();
  }
}

// Guards against a handover to a VM that is still listed but cannot claim.
TEST_CASE("VMs that are cut off just after they joined take no shards") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startNode("a1", "d1", 0.12);
    Fleet.submitJobs(seconds(4));
    Fleet.startVms();
    Fleet.submitJobs(milliseconds(200 * (Fleet.source()() % 100)));
    for (const std::string &Name : UnequalFleet::LargeVms)
      Fleet.setCut(Name, true);
    Fleet.submitJobs(seconds(6));
    for (const std::string &Name : UnequalFleet::LargeVms) {
      INFO(Name);
      CHECK(Fleet.shardCount(Name) == 0);
      Fleet.setCut(Name, false);
    }
    Fleet.submitJobs(seconds(60));
    Fleet.checkSpread();
    Fleet.finishAndCheck();
  }
}

// Guards against a holder that hands shards over by an outdated list of members
// while the store rejects it.
TEST_CASE("a holder that the store rejects for a while loses no job") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    UnequalFleet Fleet(Seed);
    Fleet.addPlatform();
    Fleet.startNode("a1", "d1", 0.12);
    Fleet.submitJobs(seconds(4));
    Fleet.startVms();
    for (int Count = 0; Count < 6; ++Count) {
      Fleet.Platform.store().setFaultMode(
          EntryName("a1"), Count % 2 == 0
                               ? simulation::StoreFaultMode::Silent
                               : simulation::StoreFaultMode::AnswersLost);
      Fleet.submitJobs(seconds(3));
      Fleet.Platform.store().setFaultMode(EntryName("a1"),
                                          simulation::StoreFaultMode::Served);
      Fleet.submitJobs(seconds(3));
    }
    Fleet.submitJobs(seconds(40));
    Fleet.checkSpread();
    Fleet.finishAndCheck();
  }
}
