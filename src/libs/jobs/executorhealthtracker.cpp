#include "whintack/jobs/executorhealthtracker.h"

#include <algorithm>

namespace whintack::jobs {

/// Number of distinct jobs that must fail in a row before an executor is
/// suspected. A single failure says more about its job.
static constexpr size_t MinFailedJobs = 2;
/// Duration of the first suspicion, and how often it may double. The first
/// duration is about one task's run time; the maximum bounds how long a
/// recovered executor stays unused.
static constexpr Duration InitialSuspectTime = std::chrono::seconds(1);
static constexpr int64_t MaxDoublings = 3;

void ExecutorHealthTracker::markSuspect(Record &Entry, TimePoint Now) const {
  const int64_t Doublings = std::min(Entry.Suspicions, MaxDoublings);
  Entry.SuspectUntil = Now + InitialSuspectTime * (1 << Doublings);
  ++Entry.Suspicions;
}

void ExecutorHealthTracker::noteSuccess(const ExecutorId &Id) {
  this->Records.erase(Id);
}

void ExecutorHealthTracker::noteFailure(const ExecutorId &Id, const JobId &Job,
                                        TimePoint Now) {
  Record &Entry = this->Records[Id];
  Entry.FailedJobs.insert(Job);
  if (Entry.FailedJobs.size() >= MinFailedJobs || Entry.Suspicions > 0)
    this->markSuspect(Entry, Now);
}

void ExecutorHealthTracker::noteUnavailable(const ExecutorId &Id,
                                            TimePoint Now) {
  this->markSuspect(this->Records[Id], Now);
}

bool ExecutorHealthTracker::isSuspect(const ExecutorId &Id,
                                      TimePoint Now) const {
  const auto Found = this->Records.find(Id);
  return Found != this->Records.end() && Now < Found->second.SuspectUntil;
}

} // namespace whintack::jobs
