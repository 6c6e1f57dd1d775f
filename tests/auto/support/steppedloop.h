#ifndef WHINTACK_TESTS_STEPPEDLOOP_H
#define WHINTACK_TESTS_STEPPEDLOOP_H

#include "manualclock.h"

#include "whintack/base/timerqueue.h"

namespace whintack::tests {

/// A loop on a clock of its own: time passes only in runFor(), from one
/// deadline to the next, so that a test runs the same way each time.
class SteppedLoop {
public:
  /// Runs all calls that become due within \p Length.
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

  /// Runs what was posted, without letting time pass.
  void settle() { this->runFor(Duration::zero()); }

  ManualClock Time;
  TimerQueue Queue{this->Time.clock(), TimerThread::Caller};
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_STEPPEDLOOP_H
