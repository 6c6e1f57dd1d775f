#include "faultseries.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;

// Guards against a start order without an answer that a later incarnation of
// the executor carries out after the task has been done elsewhere.
TEST_CASE("no late order starts a task on a later incarnation again") {
  for (const uint64_t Seed : LateOrderSeeds)
    checkSeries(Seed, FaultKinds::WithRestarts);
}
