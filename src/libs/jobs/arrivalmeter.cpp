#include "whintack/jobs/arrivalmeter.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace whintack::jobs {

/// The rate is the mean over the longest window, or what a shorter one shows
/// with certainty if that is more. Longest first.
static constexpr std::array<Duration, 4> Windows = {
    std::chrono::milliseconds(1000), std::chrono::milliseconds(500),
    std::chrono::milliseconds(250), std::chrono::milliseconds(125)};

/// A rise is the difference of two such spans.
static constexpr Duration RiseSpan = std::chrono::milliseconds(1000);
/// Maximum ratio of the expected rate to the present one.
static constexpr double MaxRise = 1.5;

static double secondsOf(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

void ArrivalMeter::note(double Work, TimePoint At) {
  this->Arrivals.push_back({At, Work});
  // Jobs that a take-over restores may have arrived in any order and long ago;
  // they are removed when they reach the front.
  while (this->Arrivals.front().At + 2 * RiseSpan < At)
    this->Arrivals.pop_front();
}

ArrivalMeter::Sum ArrivalMeter::sumBetween(TimePoint Begin,
                                           TimePoint End) const {
  Sum Found;
  for (const Arrival &Each : this->Arrivals)
    if (Each.At > Begin && Each.At <= End) {
      Found.Work += Each.Work;
      Found.Variance += Each.Work * Each.Work;
    }
  return Found;
}

double ArrivalMeter::rate(TimePoint Now) const {
  double Rate = 0;
  for (const Duration Window : Windows) {
    const Sum Found = this->sumBetween(Now - Window, Now);
    const double Certain = Window == Windows.front()
                               ? Found.Work
                               : Found.Work - std::sqrt(Found.Variance);
    Rate = std::max(Rate, Certain / secondsOf(Window));
  }
  return Rate;
}

double ArrivalMeter::expectedRate(TimePoint Now, Duration Lead) const {
  const Sum Recent = this->sumBetween(Now - RiseSpan, Now);
  const Sum Earlier = this->sumBetween(Now - 2 * RiseSpan, Now - RiseSpan);
  const double Rise = Recent.Work - Earlier.Work -
                      std::sqrt(Recent.Variance + Earlier.Variance);
  const double Rate = this->rate(Now);
  const double RisePerSecond =
      std::max(Rise, 0.0) / (secondsOf(RiseSpan) * secondsOf(RiseSpan));
  return std::min(Rate + RisePerSecond * secondsOf(Lead), Rate * MaxRise);
}

} // namespace whintack::jobs
