#ifndef WHINTACK_BASE_TIMERQUEUE_H
#define WHINTACK_BASE_TIMERQUEUE_H

#include "whintack/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace whintack {

/// Handle of a scheduled call.
using TimerId = uint64_t;

/// Who runs the calls of a TimerQueue.
enum class TimerThread {
  /// A thread of the queue's own.
  Own,
  /// Whoever calls runNext(); for tests and replays on a clock of their own.
  Caller,
};

/// Calls functions at their deadlines, one at a time. The functions must be
/// short. Safe for several threads.
class TimerQueue {
public:
  explicit TimerQueue(Clock Time, TimerThread Thread = TimerThread::Own);
  ~TimerQueue();

  /// Calls \p Call once \p Deadline has passed.
  TimerId schedule(TimePoint Deadline, std::function<void()> Call);

  /// Calls \p Call as soon as possible, after the calls posted before.
  void post(std::function<void()> Call) {
    this->schedule(TimePoint::min(), std::move(Call));
  }

  /// Forgets a call that has not started.
  void cancel(TimerId Id);

  /// The deadline of the next call, if there is one.
  std::optional<TimePoint> nextDeadline() const;
  /// Runs the next call if its deadline has passed. Only with
  /// TimerThread::Caller.
  bool runNext();

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack

#endif // WHINTACK_BASE_TIMERQUEUE_H
