#ifndef WHINTACK_TESTS_STEPPEDLOOP_H
#define WHINTACK_TESTS_STEPPEDLOOP_H

#include "manualclock.h"

#include "whintack/base/timerqueue.h"

namespace whintack::tests {

/// A timer queue with its own clock. Time advances only in runFor(), from one
/// deadline to the next, so that test runs are reproducible.
class SteppedLoop {
public:
  /// Runs all calls that become due within \p Length and advances the clock by
  /// \p Length.
  void runFor(Duration Length) {
    const TimePoint End = this->Time.now() + Length;
    while (true) {
      const std::optional<TimePoint> Next = this->Queue.nextDeadline();
      if (!Next || *Next > End)
        break;
      if (*Next > this->Time.now())
        this->Time.advance(*Next - this->Time.now());
      this->Queue.runNext();
    }
    if (End > this->Time.now())
      this->Time.advance(End - this->Time.now());
  }

  /// Runs all calls that are due now, without advancing the clock.
  void settle() { this->runFor(Duration::zero()); }

  ManualClock Time;
  TimerQueue Queue{this->Time.clock(), TimerThread::Caller};
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_STEPPEDLOOP_H
