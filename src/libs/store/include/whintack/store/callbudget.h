#ifndef WHINTACK_STORE_CALLBUDGET_H
#define WHINTACK_STORE_CALLBUDGET_H

#include "whintack/base/backoff.h"
#include "whintack/base/time.h"

#include <mutex>

namespace whintack::store {

/// Bounds the calls a second that this process makes to the platform.
class CallBudget {
public:
  CallBudget(int64_t CallsPerSecond, TimePoint Now);

  /// Takes one call out of the budget, if there is one left.
  bool take(TimePoint Now);

private:
  int64_t CallsPerSecond;
  std::mutex Mutex;
  /// Instant from which the budget counts as unused.
  TimePoint UnusedFrom;
};

/// Keeps calls from a platform that does not answer; lets one probe through
/// after each jittered wait.
class Breaker {
public:
  explicit Breaker(Random Source);

  /// Tells whether a call may be made.
  bool allows(TimePoint Now);
  void noteSuccess();
  void noteFailure(TimePoint Now);
  /// Tells whether calls are being held back.
  bool isOpen() const;

private:
  mutable std::mutex Mutex;
  Backoff Wait;
  unsigned Failures = 0;
  TimePoint NextProbe;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_CALLBUDGET_H
