#ifndef WHINTACK_DISPATCH_REVISIONCLOCK_H
#define WHINTACK_DISPATCH_REVISIONCLOCK_H

#include "whintack/base/time.h"

#include <cstdint>
#include <deque>

namespace whintack::dispatch::Internal {

/// Tells by this process's clock how long ago something was written to the
/// store, from the revisions that the store has named since. No clock of
/// another VM is needed. Pure.
class RevisionClock {
public:
  /// The store has named \p Revision as its newest.
  void note(uint64_t Revision, TimePoint Now);
  /// An instant by which \p Revision had certainly been written; \p Now if
  /// nothing better is known.
  TimePoint writtenBy(uint64_t Revision, TimePoint Now) const;

private:
  struct Sample {
    uint64_t Revision = 0;
    TimePoint At;
  };

  /// Both rise from sample to sample.
  std::deque<Sample> Samples;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_REVISIONCLOCK_H
