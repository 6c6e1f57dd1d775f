#ifndef WHINTACK_JOBS_BESTEFFORTTHROTTLE_H
#define WHINTACK_JOBS_BESTEFFORTTHROTTLE_H

#include "whintack/base/time.h"

#include <cstdint>
#include <optional>

namespace whintack::jobs {

/// Throttles the best-effort tasks of one executor to protect the tail latency
/// of the serving tasks beside them. How much best-effort tasks disturb serving
/// tasks changes within seconds, so the throttle halves their pace at once when
/// a tail latency nears its target, and raises it again in small steps.
class BestEffortThrottle {
public:
  /// Updates the pace from the highest ratio of tail latency to its target
  /// among the executor's serving tasks; 0 if there are none. Returns the new
  /// pace in percent if it changes.
  std::optional<int64_t> update(double WorstRatio, TimePoint Now);

  /// The current pace in percent.
  int64_t percent() const { return this->Percent; }

private:
  int64_t Percent = 100;
  TimePoint NextIncrease = TimePoint::min();
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_BESTEFFORTTHROTTLE_H
