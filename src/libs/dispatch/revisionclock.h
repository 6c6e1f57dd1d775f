#ifndef WHINTACK_DISPATCH_REVISIONCLOCK_H
#define WHINTACK_DISPATCH_REVISIONCLOCK_H

#include "whintack/base/time.h"

#include <cstdint>
#include <deque>

namespace whintack::dispatch::Internal {

/// Estimates by this process's clock when a revision was written to the store,
/// from the revisions that the store has reported since. This needs no clock of
/// another VM. Has no side effects outside the object.
class RevisionClock {
public:
  /// Records that the store has reported \p Revision as its newest.
  void note(uint64_t Revision, TimePoint Now);
  /// Returns a time by which \p Revision had certainly been written; \p Now if
  /// no earlier time is known.
  TimePoint writtenBy(uint64_t Revision, TimePoint Now) const;

private:
  struct Sample {
    uint64_t Revision = 0;
    TimePoint At;
  };

  /// Revisions and times increase from sample to sample.
  std::deque<Sample> Samples;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_REVISIONCLOCK_H
