// Guards against reservations that do not shorten the wait of large tasks when
// the load is several times what fits, or that cost all others more than that
// is worth. bench/placement_under_load prints the figures of more loads.

#include "placementload.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

namespace {

/// Means over several seeds.
struct Means {
  double LargeWaitMs = 0;
  double WaitMs = 0;
  double Unused = 0;
  double OnTime = 0;
};

} // namespace

static Means play(PlacementLoad Load, const char *Name) {
  constexpr uint64_t Seeds = 6;
  Means Found;
  for (Load.Seed = 1; Load.Seed <= Seeds; ++Load.Seed) {
    const PlacementResult Run = PlacementRun(Load).run();
    Found.LargeWaitMs += Run.meanWaitMs(Run.largeMilliCores()) / Seeds;
    Found.WaitMs += Run.meanWaitMs(0) / Seeds;
    Found.Unused += Run.Unused / Seeds;
    Found.OnTime += Run.share(ExpectedOutcome::OnTime, false) / Seeds;
    CHECK(Run.LogLines < 1000);
  }
  std::printf("%s: wait of the largest tenth %.0f ms, of all %.0f ms, unused "
              "%.1f %%, on time %.1f %%\n",
              Name, Found.LargeWaitMs, Found.WaitMs, 100 * Found.Unused,
              100 * Found.OnTime);
  return Found;
}

TEST_CASE("reservations shorten the wait of large tasks under overload") {
  PlacementLoad Load;
  const Means BestFit = play(Load, "3 times, best fit");
  Load.ReservesRoom = true;
  const Means Reserving = play(Load, "3 times, reservations");
  CHECK(Reserving.LargeWaitMs < 0.95 * BestFit.LargeWaitMs);
  CHECK(Reserving.WaitMs < 1.02 * BestFit.WaitMs);
  CHECK(Reserving.OnTime > BestFit.OnTime);
  CHECK(Reserving.Unused < BestFit.Unused + 0.02);
}

TEST_CASE("reservations do little when everything fits") {
  PlacementLoad Load;
  Load.Peak = 0.9;
  const Means BestFit = play(Load, "0.9 times, best fit");
  Load.ReservesRoom = true;
  const Means Reserving = play(Load, "0.9 times, reservations");
  CHECK(Reserving.WaitMs < 1.1 * BestFit.WaitMs);
  CHECK(Reserving.OnTime > BestFit.OnTime - 0.005);
}
