#include "faultseries.h"

// Random series of faults on a fleet whose calls to executors are made by VMs
// that hold no shard. WHINTACK_FLEET_SEEDS gives the seeds as for
// tst_fleetfaults.

using namespace whintack;
using namespace whintack::tests;

// Guards against tasks that run twice or are lost because a relay dies, is cut
// off or passes a call on late.
TEST_CASE("no series with relayed calls violates a guarantee") {
  const auto [First, Last] = seedsToRun();
  for (uint64_t Seed = First; Seed <= Last; ++Seed)
    checkSeries(Seed, FaultKinds::WithCrashes, Duration::zero(),
                ExecutorPath::Relayed);
}

TEST_CASE("no series with relayed calls and a grace violates a guarantee") {
  const auto [First, Last] = seedsToRun(GraceSeedCount);
  for (uint64_t Seed = First; Seed <= Last; ++Seed)
    checkSeries(Seed, FaultKinds::Plain, SeriesGrace, ExecutorPath::Relayed);
}
