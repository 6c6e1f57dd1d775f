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

/// Thread on which a TimerQueue runs its calls.
enum class TimerThread {
  /// A thread owned by the queue.
  Own,
  /// The thread that calls runNext(); for tests and replays with a simulated
  /// clock.
  Caller,
};

class TimerQueueRef;

/// Calls functions at their deadlines, one at a time. The functions must be
/// short, since they delay those after them. Safe for several threads.
class TimerQueue {
public:
  explicit TimerQueue(Clock Time, TimerThread Thread = TimerThread::Own);
  ~TimerQueue();

  /// Schedules \p Call to run once when \p Deadline has passed.
  TimerId schedule(TimePoint Deadline, std::function<void()> Call);

  /// Calls \p Call as soon as possible, after the calls posted before.
  void post(std::function<void()> Call) {
    this->schedule(TimePoint::min(), std::move(Call));
  }

  /// Removes a call that has not started; does nothing for any other.
  void cancel(TimerId Id);

  /// Returns a reference for callbacks that may run after the queue is gone.
  TimerQueueRef ref() const;

  /// Returns the deadline of the next call, if there is one.
  std::optional<TimePoint> nextDeadline() const;
  /// Runs the next call if its deadline has passed. Returns whether a call was
  /// run. Only for TimerThread::Caller.
  bool runNext();

private:
  friend class TimerQueueRef;
  class Private;
  std::shared_ptr<Private> D;
};

/// Reference to a TimerQueue that may outlive it; its functions do nothing once
/// the queue is gone. Safe for several threads.
class TimerQueueRef {
public:
  TimerQueueRef() = default;

  /// Like TimerQueue::post().
  void post(std::function<void()> Call) const;
  /// Like TimerQueue::cancel().
  void cancel(TimerId Id) const;

private:
  friend class TimerQueue;
  explicit TimerQueueRef(std::weak_ptr<TimerQueue::Private> Queue)
      : Queue(std::move(Queue)) {}

  std::weak_ptr<TimerQueue::Private> Queue;
};

} // namespace whintack

#endif // WHINTACK_BASE_TIMERQUEUE_H
