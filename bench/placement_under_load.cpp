// Plays the same loads in virtual time with placement by best fit alone and
// with reservations, and prints the waits, the unused capacity, the outcomes of
// jobs and the cost of planning.

#include "placementload.h"

#include <cstdio>
#include <cstdlib>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;

static void print(const char *Name, PlacementLoad Load, uint64_t Seeds) {
  for (const bool ReservesRoom : {false, true}) {
    std::array<double, 9> Sums{};
    Duration Longest = Duration::zero();
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      Load.Seed = Seed;
      Load.ReservesRoom = ReservesRoom;
      const PlacementResult Run = PlacementRun(Load).run();
      const std::array<double, 9> Values = {
          Run.meanWaitMs(Run.largeMilliCores()),
          Run.meanWaitMs(0),
          100 * Run.Unused,
          100 * Run.share(ExpectedOutcome::OnTime, false),
          100 * Run.share(ExpectedOutcome::Late, false),
          100 * Run.share(ExpectedOutcome::OnTime, true),
          100 * Run.share(ExpectedOutcome::Late, true),
          static_cast<double>(Run.PlanTime.count()) /
              static_cast<double>(Run.Passes),
          static_cast<double>(Run.LogLines)};
      for (size_t Index = 0; Index < Sums.size(); ++Index)
        Sums[Index] += Values[Index] / static_cast<double>(Seeds);
      Longest = std::max(Longest, Run.LongestPass);
    }
    std::printf(
        "%-22s %-8s %8.0f %8.0f %7.1f%% %6.1f%% %6.1f%% %6.1f%% %6.1f%% "
        "%8.0f %8lld %6.0f\n",
        Name, ReservesRoom ? "reserve" : "best-fit", Sums[0], Sums[1], Sums[2],
        Sums[3], Sums[4], Sums[5], Sums[6], Sums[7],
        static_cast<long long>(Longest.count()), Sums[8]);
  }
}

int main(int Count, char **Arguments) {
  const uint64_t Seeds =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 5;
  std::printf("%-22s %-8s %8s %8s %8s %7s %7s %7s %7s %8s %8s %6s\n", "load",
              "", "big ms", "all ms", "unused", "ontime", "late", "big-on",
              "big-lat", "pass us", "max us", "lines");
  PlacementLoad Load;
  print("3 times, 6 s", Load, Seeds);
  Load.Objective = std::chrono::milliseconds(600);
  print("short objective", Load, Seeds);
  Load = {};
  Load.Peak = 1.2;
  print("1.2 times", Load, Seeds);
  Load.Peak = 0.9;
  print("0.9 times", Load, Seeds);
  Load = {};
  Load.EstimateBias = 0.7;
  print("estimates half", Load, Seeds);
  Load = {};
  Load.LargestTask = 60;
  print("up to 60 cores", Load, Seeds);
  Load = {};
  Load.Executors = 70;
  print("70 executors", Load, Seeds);
  return 0;
}
