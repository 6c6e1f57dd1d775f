#ifndef WHINTACK_JOBS_JOBRANK_H
#define WHINTACK_JOBS_JOBRANK_H

#include "whintack/base/time.h"

#include <cstdint>

namespace whintack::jobs {

/// How a job's tenant has been served, while work waits that does not fit.
enum class ServiceStanding {
  /// The tenant uses less than the part of the pool that it is entitled to.
  /// Also the standing of all jobs if nothing has to be divided among tenants.
  BelowShare,
  AboveShare,
  /// The tenant has submitted more jobs than it has a guarantee of service for,
  /// and this is one of those in excess.
  BeyondGuarantee,
};

/// The properties of a job that determine its rank among the waiting jobs.
struct JobRank {
  /// 0 is the highest priority.
  int64_t Priority = 0;
  /// The job has tasks that run until it is cancelled. Such a job needs few
  /// resources and earns value all the time, so it ranks before jobs that end.
  bool IsLongRunning = false;
  ServiceStanding Standing = ServiceStanding::BelowShare;
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
/// leave those without any answer that came at its beginning. Among jobs of the
/// same priority, the standing of the tenants takes precedence over all that,
/// so that a tenant that submits more than its share delays only its own jobs.
bool ranksBefore(const JobRank &First, const JobRank &Second, TimePoint Now);

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_JOBRANK_H
