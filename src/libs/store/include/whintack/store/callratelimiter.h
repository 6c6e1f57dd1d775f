#ifndef WHINTACK_STORE_CALLRATELIMITER_H
#define WHINTACK_STORE_CALLRATELIMITER_H

#include "whintack/base/backoff.h"
#include "whintack/base/time.h"

#include <mutex>

namespace whintack::store {

/// Limits the number of calls per second that this process makes to the
/// platform. Calls that were not used within the last second are lost. Safe for
/// several threads.
class CallRateLimiter {
public:
  CallRateLimiter(int64_t CallsPerSecond, TimePoint Now);

  /// Uses up one call of the allowance. Returns false if none is left.
  bool tryAcquire(TimePoint Now);

private:
  int64_t CallsPerSecond;
  std::mutex Mutex;
  /// Instant since which the allowance has not been used.
  TimePoint AllowanceStart;
};

/// Stops calls to a platform that does not answer. Opens after three failures
/// in a row, and then lets one probe through after each jittered delay. Safe
/// for several threads.
class CircuitBreaker {
public:
  explicit CircuitBreaker(Random Source);

  /// Returns whether a call may be made now. While calls are held back, a call
  /// that is allowed is a probe. The next probe follows after the longest delay
  /// unless an outcome is recorded before.
  bool allowsCall(TimePoint Now);
  void recordSuccess();
  void recordFailure(TimePoint Now);
  /// Returns whether calls are being held back.
  bool isOpen() const;

private:
  mutable std::mutex Mutex;
  Backoff ProbeBackoff;
  unsigned Failures = 0;
  TimePoint NextProbe;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_CALLBUDGET_H
