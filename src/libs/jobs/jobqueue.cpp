#include "whintack/jobs/jobqueue.h"

namespace whintack::jobs {

static bool canBeOnTime(const JobStanding &Job, TimePoint Now) {
  return Now + Job.ChainLeft <= Job.Objective;
}

bool goesBefore(const JobStanding &First, const JobStanding &Second,
                TimePoint Now) {
  if (First.Priority != Second.Priority)
    return First.Priority < Second.Priority;
  const bool IsFirstOnTime = canBeOnTime(First, Now);
  const bool IsSecondOnTime = canBeOnTime(Second, Now);
  if (IsFirstOnTime != IsSecondOnTime)
    return IsFirstOnTime;
  if (IsFirstOnTime && First.WorkLeft != Second.WorkLeft)
    return First.WorkLeft < Second.WorkLeft;
  return First.Accepted < Second.Accepted;
}

} // namespace whintack::jobs
