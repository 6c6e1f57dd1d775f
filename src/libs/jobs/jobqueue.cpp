#include "whintack/jobs/jobqueue.h"

namespace whintack::jobs {

namespace {

/// What a job can still earn if it starts now.
enum class Prospect { OnTime, Late, Nothing };

} // namespace

/// Until when a late job still earns, in multiples of the time in which one on
/// time has to end; from the platform's pages.
static constexpr int64_t LateFactor = 3;

static TimePoint lateBound(const JobStanding &Job) {
  return Job.Accepted + (Job.Objective - Job.Accepted) * LateFactor;
}

static Prospect prospectOf(const JobStanding &Job, TimePoint Now) {
  if (Now + Job.ChainLeft <= Job.Objective)
    return Prospect::OnTime;
  if (Now + Job.ChainLeft <= lateBound(Job))
    return Prospect::Late;
  return Prospect::Nothing;
}

bool canStillEarn(const JobStanding &Job, TimePoint Now) {
  return prospectOf(Job, Now) != Prospect::Nothing;
}

bool goesBefore(const JobStanding &First, const JobStanding &Second,
                TimePoint Now) {
  if (First.Priority != Second.Priority)
    return First.Priority < Second.Priority;
  if (First.Lasts != Second.Lasts)
    return First.Lasts;
  const Prospect OfFirst = prospectOf(First, Now);
  const Prospect OfSecond = prospectOf(Second, Now);
  if (OfFirst != OfSecond)
    return OfFirst < OfSecond;
  switch (OfFirst) {
  case Prospect::OnTime:
    return First.WorkLeft < Second.WorkLeft;
  case Prospect::Late:
    return lateBound(First) < lateBound(Second);
  case Prospect::Nothing:
    break;
  }
  return First.Accepted < Second.Accepted;
}

} // namespace whintack::jobs
