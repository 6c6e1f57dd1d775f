#ifndef WHINTACK_JOBS_CLOCKMAP_H
#define WHINTACK_JOBS_CLOCKMAP_H

#include "whintack/base/time.h"
#include "whintack/jobs/executor.h"

namespace whintack::jobs {

/// Slowest rate of an executor's clock; from the platform's pages.
constexpr double SlowestClockRate = 0.98;

/// Relates one executor's clock to ours, and tells when every lease that was
/// sent to it has certainly run out. Its clock may be up to 2 % slow.
class ClockMap {
public:
  /// Notes that a call sent at \p Sent was answered at \p Received with the
  /// executor's time \p Said.
  void note(ExecutorTime Said, TimePoint Received);
  bool isKnown() const { return this->IsKnown; }

  /// The executor's time at \p Now, as far as it is known.
  ExecutorTime estimate(TimePoint Now) const;

  /// Notes that a lease until \p Deadline is about to be sent.
  void noteLease(ExecutorTime Deadline);

  /// Instant at which all leases noted have run out, however slow the
  /// executor's clock is. The lowest instant if none was sent.
  TimePoint lapsedBy() const;

private:
  bool IsKnown = false;
  ExecutorTime Said = 0;
  TimePoint Received;
  ExecutorTime LatestLease = 0;
  bool HasLease = false;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_CLOCKMAP_H
