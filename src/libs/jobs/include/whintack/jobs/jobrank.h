#ifndef WHINTACK_JOBS_JOBRANK_H
#define WHINTACK_JOBS_JOBRANK_H

#include "whintack/base/time.h"

#include <cstdint>

namespace whintack::jobs {

/// The properties of a job that determine its rank among the waiting jobs.
struct JobRank {
  /// 0 is the highest priority.
  int64_t Priority = 0;
  /// The job has tasks that run until it is cancelled. Such a job needs few
  /// resources and earns value all the time, so it ranks before jobs that end.
  bool IsLongRunning = false;
  /// The job will be late and would soon have no value at all.
  bool IsLastChance = false;
  TimePoint Accepted;
  /// Until when a job that ends still has its full value.
  TimePoint Objective;
  /// Estimated remaining work, in core-seconds.
  double RemainingWork = 0;
  /// Estimated duration of the remaining critical path, without waiting.
  Duration RemainingCriticalPath = Duration::zero();
};

/// Value that a job can still reach if it starts now.
enum class ExpectedOutcome { OnTime, Late, Worthless };

ExpectedOutcome expectedOutcome(const JobRank &Job, TimePoint Now);

/// Until when the job may start what is left and still have some value.
TimePoint lastUsefulStart(const JobRank &Job);

/// Whether \p First gets resources before \p Second. The queues take turns in
/// submitting several times what their pool can hold, so the order matters:
/// jobs that can still be on time come first, least work first, so that as many
/// as possible are on time. Jobs that can only be late but still have value
/// follow, earliest deadline first, so that large jobs do not starve. All
/// others come last, oldest first. A few of the late jobs that would soon have
/// no value go before all that (see IsLastChance), so that a long turn does not
/// leave those without any answer that came at its beginning.
bool ranksBefore(const JobRank &First, const JobRank &Second, TimePoint Now);

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_JOBRANK_H
