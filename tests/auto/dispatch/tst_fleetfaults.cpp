#include "faultseries.h"

#include <catch2/catch.hpp>

// Random series of faults on a simulated fleet. The environment variable
// WHINTACK_FLEET_SEEDS gives the number of seeds to run, or a range FIRST-LAST.

using namespace whintack;
using namespace whintack::tests;

// Guards against faults that single seeds have shown: 185, a job whose request
// handler died before it announced the job; 400, an executor taken as empty
// while leases of an earlier planner still held.
TEST_CASE("series of faults that violated a guarantee once do so no more") {
  for (const uint64_t Seed : {185, 400}) {
    FaultSeries Series(Seed);
    for (const std::string &Text : Series.run())
      FAIL_CHECK("seed " << Seed << ": " << Text);
  }
}

TEST_CASE("no series of faults violates a guarantee") {
  const auto [First, Last] = seedsToRun();
  for (uint64_t Seed = First; Seed <= Last; ++Seed) {
    FaultSeries Series(Seed);
    for (const std::string &Text : Series.run())
      FAIL_CHECK("seed " << Seed << ": " << Text);
  }
}

// Guards against tasks that are started without a bound, jobs that are given up
// with them, and starts beyond a capacity that has shrunk.
TEST_CASE("no series with crashing executors violates a guarantee") {
  const auto [First, Last] = seedsToRun();
  for (uint64_t Seed = First; Seed <= Last; ++Seed) {
    FaultSeries Series(Seed, FaultKinds::WithCrashes);
    for (const std::string &Text : Series.run())
      FAIL_CHECK("seed " << Seed << ": " << Text);
  }
}

// Guards against holders that go on without the store and run a task twice, or
// order a machine beside their successor.
TEST_CASE("no series with a grace for outages violates a guarantee") {
  const auto [First, Last] = seedsToRun(GraceSeedCount);
  for (uint64_t Seed = First; Seed <= Last; ++Seed)
    checkSeries(Seed, FaultKinds::Plain, SeriesGrace);
}

TEST_CASE("no series with a grace and crashing executors violates a "
          "guarantee") {
  const auto [First, Last] = seedsToRun(GraceSeedCount);
  for (uint64_t Seed = First; Seed <= Last; ++Seed)
    checkSeries(Seed, FaultKinds::WithCrashes, SeriesGrace);
}
