#ifndef WHINTACK_BASE_LOGLIMITER_H
#define WHINTACK_BASE_LOGLIMITER_H

#include "whintack/base/time.h"

#include <optional>
#include <utility>

namespace whintack {

/// Bounds how many lines of one kind are logged in a second, for lines that
/// callers from outside can cause. Not thread-safe.
class LogLimiter {
public:
  explicit LogLimiter(size_t MaxLines) : MaxLines(MaxLines) {}

  /// Returns the number of lines left out since the last logged one if another
  /// line may be logged at \p Now; otherwise counts the line as left out.
  std::optional<size_t> admit(TimePoint Now) {
    constexpr Duration Window = std::chrono::seconds(1);
    if (Now >= this->WindowEnd) {
      this->WindowEnd = Now + Window;
      this->Lines = 0;
    }
    if (this->Lines >= this->MaxLines) {
      ++this->LeftOut;
      return std::nullopt;
    }
    ++this->Lines;
    return std::exchange(this->LeftOut, 0);
  }

private:
  size_t MaxLines;
  TimePoint WindowEnd = TimePoint::min();
  /// Number of lines logged in the current window.
  size_t Lines = 0;
  size_t LeftOut = 0;
};

} // namespace whintack

#endif // WHINTACK_BASE_LOGLIMITER_H
