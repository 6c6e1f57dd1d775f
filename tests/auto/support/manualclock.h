#ifndef WHINTACK_TESTS_MANUALCLOCK_H
#define WHINTACK_TESTS_MANUALCLOCK_H

#include "whintack/base/time.h"

#include <atomic>
#include <memory>

namespace whintack::tests {

/// A clock whose time changes only when advance() is called. Any thread may
/// read it.
class ManualClock {
public:
  Clock clock() const {
    Clock Source;
    Source.Now = [Now = this->Now] { return TimePoint(Now->load()); };
    Source.WallNow = [Now = this->Now] {
      constexpr Duration StartDate = std::chrono::hours(24 * 365 * 50);
      return WallTime(StartDate + Now->load());
    };
    return Source;
  }

  void advance(Duration Length) { *this->Now = this->Now->load() + Length; }
  TimePoint now() const { return TimePoint(this->Now->load()); }

private:
  std::shared_ptr<std::atomic<Duration>> Now =
      std::make_shared<std::atomic<Duration>>(std::chrono::seconds(1000));
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_MANUALCLOCK_H
