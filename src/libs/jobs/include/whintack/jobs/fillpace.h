#ifndef WHINTACK_JOBS_FILLPACE_H
#define WHINTACK_JOBS_FILLPACE_H

#include "whintack/base/time.h"

#include <cstdint>
#include <optional>

namespace whintack::jobs {

/// Paces the filling tasks of one executor by the tails of the serving tasks
/// beside them, for the load "filling work that disturbs serving tasks by
/// amounts that change within seconds": halves at once when a tail nears its
/// target and returns in small steps.
class FillPace {
public:
  /// Takes the worst ratio of a tail to its target among the executor's
  /// serving tasks; 0 if none serves. Returns the new pace in percent if it
  /// changes.
  std::optional<int64_t> update(double WorstRatio, TimePoint Now);

  int64_t percent() const { return this->Percent; }

private:
  int64_t Percent = 100;
  TimePoint NextRise = TimePoint::min();
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_FILLPACE_H
