#ifndef WHINTACK_BASE_HYBRIDCLOCK_H
#define WHINTACK_BASE_HYBRIDCLOCK_H

#include "whintack/base/time.h"

#include <compare>
#include <mutex>

namespace whintack {

/// Time stamp of a hybrid logical clock: orders causes before their effects
/// even if the wall clocks of the machines differ.
struct HybridStamp {
  WallTime Wall;
  uint32_t Logical = 0;

  auto operator<=>(const HybridStamp &) const = default;
  bool operator==(const HybridStamp &) const = default;
};

/// Hybrid logical clock of one process. Safe for several threads.
class HybridClock {
public:
  explicit HybridClock(std::function<WallTime()> WallNow);

  /// Returns the stamp of a local event, later than all earlier stamps.
  HybridStamp tick();

  /// Advances the clock to the stamp of a received message, so that all later
  /// local events come after it.
  void observe(HybridStamp Seen);

private:
  std::function<WallTime()> WallNow;
  std::mutex Mutex;
  HybridStamp Last;
};

} // namespace whintack

#endif // WHINTACK_BASE_HYBRIDCLOCK_H
