#include "whintack/jobs/executorjudge.h"

#include <algorithm>

namespace whintack::jobs {

/// Distinct jobs that fail in a row before an executor is suspected. A single
/// failure says more about its job.
static constexpr size_t FailuresToSuspect = 2;
/// First and longest time without new work; the first is about one task's run
/// time, the longest bounds how long a recovered executor stays unused.
static constexpr Duration FirstSuspicion = std::chrono::seconds(1);
static constexpr int64_t MostDoublings = 3;

void ExecutorJudge::condemn(Record &Of, TimePoint Now) const {
  const int64_t Doublings = std::min(Of.Verdicts, MostDoublings);
  Of.SuspectUntil = Now + FirstSuspicion * (1 << Doublings);
  ++Of.Verdicts;
}

void ExecutorJudge::noteDone(const ExecutorId &On) { this->Records.erase(On); }

void ExecutorJudge::noteFailure(const ExecutorId &On, const JobId &Job,
                                TimePoint Now) {
  Record &Of = this->Records[On];
  Of.FailedJobs.insert(Job);
  if (Of.FailedJobs.size() >= FailuresToSuspect || Of.Verdicts > 0)
    this->condemn(Of, Now);
}

void ExecutorJudge::noteUnwell(const ExecutorId &On, TimePoint Now) {
  this->condemn(this->Records[On], Now);
}

bool ExecutorJudge::isSuspect(const ExecutorId &On, TimePoint Now) const {
  const auto Found = this->Records.find(On);
  return Found != this->Records.end() && Now < Found->second.SuspectUntil;
}

} // namespace whintack::jobs
