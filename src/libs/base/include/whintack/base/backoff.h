#ifndef WHINTACK_BASE_BACKOFF_H
#define WHINTACK_BASE_BACKOFF_H

#include "whintack/base/random.h"
#include "whintack/base/time.h"

#include <algorithm>

namespace whintack {

/// Exponential back-off with jitter: each delay is drawn at random between zero
/// and a bound, which doubles from InitialBound up to MaxBound.
class Backoff {
public:
  Backoff(Duration InitialBound, Duration MaxBound, Random Source)
      : InitialBound(InitialBound), MaxBound(MaxBound),
        Source(std::move(Source)), Bound(InitialBound) {}

  /// Returns the next delay and doubles the bound.
  Duration next() {
    const auto Span = static_cast<uint64_t>(this->Bound.count());
    const Duration Wait(static_cast<int64_t>(this->Source() % (Span + 1)));
    this->Bound = std::min(this->Bound * 2, this->MaxBound);
    return Wait;
  }

  /// Resets the bound after a success.
  void reset() { this->Bound = this->InitialBound; }

private:
  Duration InitialBound;
  Duration MaxBound;
  Random Source;
  Duration Bound;
};

} // namespace whintack

#endif // WHINTACK_BASE_BACKOFF_H
