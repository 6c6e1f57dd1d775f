#ifndef WHINTACK_BASE_TIMERQUEUE_H
#define WHINTACK_BASE_TIMERQUEUE_H

#include "whintack/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace whintack {

/// Handle of a scheduled call.
using TimerId = uint64_t;

/// Calls functions at their deadlines on a thread of its own. The functions
/// must be short. Safe for several threads.
class TimerQueue {
public:
  explicit TimerQueue(Clock Time);
  ~TimerQueue();

  /// Calls \p Call once \p Deadline has passed.
  TimerId schedule(TimePoint Deadline, std::function<void()> Call);

  /// Calls \p Call as soon as possible, after the calls posted before.
  void post(std::function<void()> Call) {
    this->schedule(TimePoint::min(), std::move(Call));
  }

  /// Forgets a call that has not started.
  void cancel(TimerId Id);

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack

#endif // WHINTACK_BASE_TIMERQUEUE_H
