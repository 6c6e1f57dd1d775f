#include "whintack/jobs/executorclock.h"

namespace whintack::jobs {

Duration longestLease(Duration Lease) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(Lease.count()) / MinClockRate));
}

void ExecutorClock::note(ExecutorTime Reported, TimePoint AnsweredAt) {
  // Answers can arrive out of order; keep the latest executor time.
  if (this->IsKnown && Reported < this->LastExecutorTime)
    return;
  this->IsKnown = true;
  this->LastExecutorTime = Reported;
  this->LastAnsweredAt = AnsweredAt;
}

ExecutorTime ExecutorClock::estimate(TimePoint Now) const {
  return this->LastExecutorTime + toMilliseconds(Now - this->LastAnsweredAt);
}

void ExecutorClock::noteLease(ExecutorTime Deadline) {
  this->HasLease = true;
  this->LatestLeaseEnd = std::max(this->LatestLeaseEnd, Deadline);
}

TimePoint ExecutorClock::leasesExpiredAt() const {
  if (!this->HasLease)
    return TimePoint::min();
  const auto Left =
      static_cast<double>(this->LatestLeaseEnd - this->LastExecutorTime);
  if (Left <= 0)
    return this->LastAnsweredAt;
  return this->LastAnsweredAt +
         std::chrono::milliseconds(static_cast<int64_t>(Left / MinClockRate) +
                                   1);
}

} // namespace whintack::jobs
