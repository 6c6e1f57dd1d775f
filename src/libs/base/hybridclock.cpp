#include "whintack/base/hybridclock.h"

#include <utility>

namespace whintack {

HybridClock::HybridClock(std::function<WallTime()> WallNow)
    : WallNow(std::move(WallNow)) {}

HybridStamp HybridClock::tick() {
  const WallTime Wall = this->WallNow();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Wall > this->Last.Wall)
    this->Last = {Wall, 0};
  else
    ++this->Last.Logical;
  return this->Last;
}

void HybridClock::observe(HybridStamp Seen) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Seen > this->Last)
    this->Last = Seen;
}

} // namespace whintack
