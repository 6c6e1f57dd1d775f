#include "whintack/fleet/failuretracker.h"

namespace whintack::fleet {

/// Number of distinct jobs that must fail on a worker, or of distinct workers
/// on which a job must fail, before the worker or job is considered bad.
static constexpr size_t MinDistinctFailures = 3;

void FailureTracker::recordFailure(const JobName &Job, const VmName &Worker) {
  this->FailedJobs[Worker].insert(Job);
  this->FailedWorkers[Job].insert(Worker);
}

void FailureTracker::recordSuccess(const JobName &Job, const VmName &Worker) {
  this->FailedJobs.erase(Worker);
  this->FailedWorkers.erase(Job);
}

bool FailureTracker::isBadJob(const JobName &Job) const {
  const auto Found = this->FailedWorkers.find(Job);
  if (Found == this->FailedWorkers.end())
    return false;
  size_t GoodWorkers = 0;
  // Failures on a bad worker say nothing about the job.
  for (const VmName &Worker : Found->second)
    GoodWorkers += this->isBadWorker(Worker) ? 0 : 1;
  return GoodWorkers >= MinDistinctFailures;
}

bool FailureTracker::isBadWorker(const VmName &Worker) const {
  const auto Found = this->FailedJobs.find(Worker);
  return Found != this->FailedJobs.end() &&
         Found->second.size() >= MinDistinctFailures;
}

} // namespace whintack::fleet
