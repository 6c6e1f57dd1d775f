#ifndef WHINTACK_BASE_TIME_H
#define WHINTACK_BASE_TIME_H

#include <chrono>
#include <functional>
#include <string>

namespace whintack {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Instant of one process's monotonic clock. Must not be compared across
/// processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Instant of the wall clock, for records and for people.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time, passed explicitly so that tests and replays can set it.
struct Clock {
  std::function<TimePoint()> Now;
  std::function<WallTime()> WallNow;
};

/// Returns the clock of this machine.
Clock systemClock();

/// Returns the processor time that this process has used.
Duration processorTime();

/// Formats \p Time as UTC in ISO 8601 with milliseconds.
std::string formatWallTime(WallTime Time);

/// Returns microseconds since the Unix epoch, the form in which records store
/// wall times.
inline int64_t toMicroseconds(WallTime Time) {
  return Time.time_since_epoch().count();
}

/// Inverse of toMicroseconds().
inline WallTime wallTimeFromMicroseconds(int64_t Value) {
  return WallTime(Duration(Value));
}

/// Milliseconds in \p Length, rounded down.
inline int64_t toMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace whintack

#endif // WHINTACK_BASE_TIME_H
