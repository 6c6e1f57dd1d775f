#ifndef WHINTACK_JOBS_ARRIVALMETER_H
#define WHINTACK_JOBS_ARRIVALMETER_H

#include "whintack/base/time.h"

#include <deque>

namespace whintack::jobs {

/// Estimates the rate at which work arrives. Answers a queue that suddenly asks
/// for several times as much as before: a mean over a long window would show
/// the new rate only when the window has passed, and machines take seconds to
/// arrive after that. A short window counts as far as its work exceeds what
/// chance explains. Does no I/O and reads no clock.
class ArrivalMeter {
public:
  /// Records a job of \p Work core-seconds that arrived at \p At.
  void note(double Work, TimePoint At);

  /// Core-seconds of work that arrive per second.
  double rate(TimePoint Now) const;
  /// The rate to expect after \p Lead if a rise that chance does not explain
  /// goes on; at most half as much again as the rate.
  double expectedRate(TimePoint Now, Duration Lead) const;

private:
  struct Arrival {
    TimePoint At;
    double Work = 0;
  };
  /// Work that arrived in a span of time.
  struct Sum {
    double Work = 0;
    /// Variance of the work of jobs that arrive independently of each other.
    double Variance = 0;
  };

  Sum sumBetween(TimePoint Begin, TimePoint End) const;

  std::deque<Arrival> Arrivals;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_ARRIVALMETER_H
