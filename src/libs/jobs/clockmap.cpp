#include "whintack/jobs/clockmap.h"

namespace whintack::jobs {

void ClockMap::note(ExecutorTime Reported, TimePoint AnsweredAt) {
  // Answers can arrive out of order; keep the latest executor time.
  if (this->IsKnown && Reported < this->LastExecutorTime)
    return;
  this->IsKnown = true;
  this->LastExecutorTime = Reported;
  this->LastAnsweredAt = AnsweredAt;
}

ExecutorTime ClockMap::estimate(TimePoint Now) const {
  return this->LastExecutorTime + toMilliseconds(Now - this->LastAnsweredAt);
}

void ClockMap::noteLease(ExecutorTime Deadline) {
  this->HasLease = true;
  this->LatestLeaseEnd = std::max(this->LatestLeaseEnd, Deadline);
}

TimePoint ClockMap::lapsedBy() const {
  if (!this->HasLease)
    return TimePoint::min();
  const auto Left =
      static_cast<double>(this->LatestLeaseEnd - this->LastExecutorTime);
  if (Left <= 0)
    return this->LastAnsweredAt;
  return this->LastAnsweredAt +
         std::chrono::milliseconds(
             static_cast<int64_t>(Left / SlowestClockRate) + 1);
}

} // namespace whintack::jobs
