#ifndef WHINTACK_JOBS_JOBQUEUE_H
#define WHINTACK_JOBS_JOBQUEUE_H

#include "whintack/base/time.h"

#include <cstdint>

namespace whintack::jobs {

/// What decides a job's place among those that wait.
struct JobStanding {
  /// 0 goes first.
  int64_t Priority = 0;
  /// Its tasks run until it is cancelled. It needs little room and earns all
  /// the time, so it goes before jobs that end.
  bool Lasts = false;
  TimePoint Accepted;
  /// Until when a job that ends still earns in full.
  TimePoint Objective;
  /// Estimated work that is left, in core-seconds.
  double WorkLeft = 0;
  /// Estimated time that the rest takes with no waiting.
  Duration ChainLeft = Duration::zero();
};

/// Whether a job that starts now can end in time, or late but with some worth.
bool canStillEarn(const JobStanding &Job, TimePoint Now);

/// Decides which of two jobs gets room first, for the load "each queue in its
/// turn asks several times what its pool holds": jobs that can still be on
/// time go first, the one with the least work before others, so that most are
/// on time; then those that can still earn as late, the one that has to end
/// first before others, so that large ones do not starve; then the rest by
/// age.
bool goesBefore(const JobStanding &First, const JobStanding &Second,
                TimePoint Now);

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_JOBQUEUE_H
