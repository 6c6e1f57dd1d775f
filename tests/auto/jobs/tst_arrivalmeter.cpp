// Guards against a queue whose turn begins and whose rate is known only after a
// whole window, and against a rate that chance alone raises: machines are moved
// for it.

#include "whintack/jobs/arrivalmeter.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace whintack;
using namespace whintack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr double MeanWork = 20;

TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

/// Notes arrivals at equal distances from \p From until \p To.
void noteEvenly(ArrivalMeter &Meter, Duration From, Duration To,
                Duration Distance) {
  for (Duration When = From; When < To; When += Distance)
    Meter.note(MeanWork, at(When));
}

} // namespace

TEST_CASE("the rate of a queue whose turn begins is known in a quarter of a "
          "second") {
  ArrivalMeter Meter;
  noteEvenly(Meter, 0s, 3s, 150ms);
  noteEvenly(Meter, 3s, 3250ms, 7ms);
  const double TurnRate = MeanWork / 0.007;
  CHECK(Meter.rate(at(3250ms)) > 0.75 * TurnRate);
  CHECK(Meter.rate(at(3250ms)) < 1.05 * TurnRate);
}

TEST_CASE("the rate of a queue whose turn has ended falls within a second") {
  ArrivalMeter Meter;
  noteEvenly(Meter, 0s, 3s, 7ms);
  noteEvenly(Meter, 3s, 4s, 150ms);
  CHECK(Meter.rate(at(4s)) < 1.1 * MeanWork / 0.15);
  CHECK(Meter.rate(at(9s)) == 0);
}

TEST_CASE("the rate of an even queue is not raised by chance") {
  std::mt19937 Source(5);
  std::exponential_distribution<double> Gap(40);
  // Sizes scatter as widely as their mean.
  std::exponential_distribution<double> Work(1 / MeanWork);
  ArrivalMeter Meter;
  double Seconds = 0;
  double Sum = 0;
  int Count = 0;
  while (Seconds < 200) {
    Seconds += Gap(Source);
    const TimePoint Now = at(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds)));
    Meter.note(Work(Source), Now);
    Sum += Meter.rate(Now);
    ++Count;
  }
  CHECK(Sum / Count < 1.15 * 40 * MeanWork);
}

TEST_CASE("a rise that goes on is expected to go on while machines move") {
  ArrivalMeter Meter;
  // The distance of arrivals falls, so that the rate rises by 1,000 a second.
  Duration When = 0s;
  double Rate = 1000;
  while (When < 4s) {
    Meter.note(MeanWork, at(When));
    const double Gap = MeanWork / Rate;
    When += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap));
    Rate += 1000 * Gap;
  }
  const double Now = Meter.rate(at(4s));
  const double Expected = Meter.expectedRate(at(4s), 2s);
  CHECK(Expected > Now + 1000);
  CHECK(Expected < Now + 2500);
}

TEST_CASE("no rise is expected of an even queue, and no more than half as much "
          "again of any") {
  ArrivalMeter Even;
  noteEvenly(Even, 0s, 4s, 10ms);
  CHECK(Even.expectedRate(at(4s), 2s) == Even.rate(at(4s)));
  ArrivalMeter Begun;
  noteEvenly(Begun, 3s, 4s, 7ms);
  CHECK(Begun.expectedRate(at(4s), 2s) == 1.5 * Begun.rate(at(4s)));
}
