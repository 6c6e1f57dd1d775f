#ifndef WHINTACK_JOBS_EXECUTORCLOCK_H
#define WHINTACK_JOBS_EXECUTORCLOCK_H

#include "whintack/base/time.h"
#include "whintack/jobs/executor.h"

namespace whintack::jobs {

/// Lowest rate of an executor's clock relative to ours; specified by the
/// platform.
constexpr double MinClockRate = 0.98;

/// Time after which a call that was not answered is certainly lost. Executors
/// may carry a call out many seconds late.
constexpr Duration MaxCallDelay = std::chrono::seconds(15);

/// Longest time for which a lease of length \p Lease can last, by our clock.
Duration longestLease(Duration Lease);

/// Maps the clock of one incarnation of an executor to ours, and tells when
/// every lease that was sent to the executor has certainly expired. The
/// executor's clock may be up to 2 % slow.
class ExecutorClock {
public:
  /// Records that an answer carrying the executor's time \p Reported was
  /// received at \p AnsweredAt. Answers may arrive out of order; the latest
  /// executor time is kept.
  void note(ExecutorTime Reported, TimePoint AnsweredAt);
  /// Whether any answer has been recorded.
  bool isKnown() const { return this->IsKnown; }

  /// Latest time that the executor has reported; 0 if none is known.
  ExecutorTime latest() const { return this->LastExecutorTime; }

  /// Estimates the executor's time at \p Now.
  ExecutorTime estimate(TimePoint Now) const;

  /// Records that a lease until \p Deadline is about to be sent.
  void noteLease(ExecutorTime Deadline);

  /// Latest end of the recorded leases, by the executor's clock; 0 if no lease
  /// was sent.
  ExecutorTime latestLeaseEnd() const { return this->LatestLeaseEnd; }
  /// When the latest time that the executor has reported was received.
  TimePoint answeredAt() const { return this->LastAnsweredAt; }

  /// Time at which all recorded leases have expired, even if the executor's
  /// clock runs as slowly as it may. TimePoint::min() if no lease was sent.
  TimePoint leasesExpiredAt() const;

private:
  bool IsKnown = false;
  ExecutorTime LastExecutorTime = 0;
  TimePoint LastAnsweredAt;
  ExecutorTime LatestLeaseEnd = 0;
  bool HasLease = false;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_EXECUTORCLOCK_H
