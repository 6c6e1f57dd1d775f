#ifndef WHINTACK_TESTS_MANUALCLOCK_H
#define WHINTACK_TESTS_MANUALCLOCK_H

#include "whintack/base/time.h"

#include <memory>

namespace whintack::tests {

/// A clock whose time changes only when advance() is called.
class ManualClock {
public:
  Clock clock() const {
    Clock Source;
    Source.Now = [Now = this->Now] { return TimePoint(*Now); };
    Source.WallNow = [Now = this->Now] {
      constexpr Duration StartDate = std::chrono::hours(24 * 365 * 50);
      return WallTime(StartDate + *Now);
    };
    return Source;
  }

  void advance(Duration Length) { *this->Now += Length; }
  TimePoint now() const { return TimePoint(*this->Now); }

private:
  std::shared_ptr<Duration> Now =
      std::make_shared<Duration>(std::chrono::seconds(1000));
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_MANUALCLOCK_H
