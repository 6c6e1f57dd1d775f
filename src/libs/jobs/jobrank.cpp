#include "whintack/jobs/jobrank.h"

namespace whintack::jobs {

/// How long a late job still has some value, as a multiple of the time within
/// which it would be on time; specified by the platform.
static constexpr int64_t LateDeadlineFactor = 3;

static TimePoint lateDeadline(const JobRank &Job) {
  return Job.Accepted + (Job.Objective - Job.Accepted) * LateDeadlineFactor;
}

ExpectedOutcome expectedOutcome(const JobRank &Job, TimePoint Now) {
  if (Now + Job.RemainingCriticalPath <= Job.Objective)
    return ExpectedOutcome::OnTime;
  if (Now + Job.RemainingCriticalPath <= lateDeadline(Job))
    return ExpectedOutcome::Late;
  return ExpectedOutcome::Worthless;
}

TimePoint lastUsefulStart(const JobRank &Job) {
  return lateDeadline(Job) - Job.RemainingCriticalPath;
}

bool ranksBefore(const JobRank &First, const JobRank &Second, TimePoint Now) {
  if (First.Priority != Second.Priority)
    return First.Priority < Second.Priority;
  if (First.IsLongRunning != Second.IsLongRunning)
    return First.IsLongRunning;
  if (First.Standing != Second.Standing)
    return First.Standing < Second.Standing;
  if (First.IsLastChance != Second.IsLastChance)
    return First.IsLastChance;
  const ExpectedOutcome FirstOutcome = expectedOutcome(First, Now);
  const ExpectedOutcome SecondOutcome = expectedOutcome(Second, Now);
  if (FirstOutcome != SecondOutcome)
    return FirstOutcome < SecondOutcome;
  switch (FirstOutcome) {
  case ExpectedOutcome::OnTime:
    return First.RemainingWork < Second.RemainingWork;
  case ExpectedOutcome::Late:
    return lateDeadline(First) < lateDeadline(Second);
  case ExpectedOutcome::Worthless:
    break;
  }
  return First.Accepted < Second.Accepted;
}

} // namespace whintack::jobs
