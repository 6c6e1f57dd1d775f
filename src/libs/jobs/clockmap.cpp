#include "whintack/jobs/clockmap.h"

namespace whintack::jobs {

void ClockMap::note(ExecutorTime NewlySaid, TimePoint At) {
  // Answers overtake each other; the latest instant counts.
  if (this->IsKnown && NewlySaid < this->Said)
    return;
  this->IsKnown = true;
  this->Said = NewlySaid;
  this->Received = At;
}

ExecutorTime ClockMap::estimate(TimePoint Now) const {
  return this->Said + toMilliseconds(Now - this->Received);
}

void ClockMap::noteLease(ExecutorTime Deadline) {
  this->HasLease = true;
  this->LatestLease = std::max(this->LatestLease, Deadline);
}

TimePoint ClockMap::lapsedBy() const {
  if (!this->HasLease)
    return TimePoint::min();
  const auto Left = static_cast<double>(this->LatestLease - this->Said);
  if (Left <= 0)
    return this->Received;
  return this->Received +
         std::chrono::milliseconds(
             static_cast<int64_t>(Left / SlowestClockRate) + 1);
}

} // namespace whintack::jobs
