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

static double secondsOf(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

void ArrivalMeter::note(double Work, TimePoint At) {
  this->Arrivals.push_back({At, Work});
  // Jobs that a take-over restores may have arrived in any order and long ago;
  // they are removed when they reach the front.
  while (this->Arrivals.front().At + Windows.front() < At)
    this->Arrivals.pop_front();
}

double ArrivalMeter::rate(TimePoint Now) const {
  double Rate = 0;
  for (const Duration Window : Windows) {
    double Work = 0;
    double SquaredWork = 0;
    for (const Arrival &Each : this->Arrivals)
      if (Each.At > Now - Window) {
        Work += Each.Work;
        SquaredWork += Each.Work * Each.Work;
      }
    // The work of jobs that arrive independently of each other scatters by the
    // root of the sum of its squares.
    const double Certain =
        Window == Windows.front() ? Work : Work - std::sqrt(SquaredWork);
    Rate = std::max(Rate, Certain / secondsOf(Window));
  }
  return Rate;
}

} // namespace whintack::jobs
