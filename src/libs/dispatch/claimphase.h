#ifndef WHINTACK_DISPATCH_CLAIMPHASE_H
#define WHINTACK_DISPATCH_CLAIMPHASE_H

#include "whintack/base/time.h"

namespace whintack::dispatch::Internal {

/// What a process may do under its claims.
enum class ClaimPhase {
  /// The store certainly keeps the claims.
  Valid,
  /// The store has not answered for a while and may have ended the claims. The
  /// holder goes on with what it knew, see
  /// docs/design/store-outage-grace.md.
  Grace,
  /// Nothing may be ordered.
  Over,
};

inline ClaimPhase claimPhase(TimePoint Now, TimePoint ValidUntil,
                             TimePoint GraceUntil) {
  if (Now < ValidUntil)
    return ClaimPhase::Valid;
  return Now < GraceUntil ? ClaimPhase::Grace : ClaimPhase::Over;
}

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_CLAIMPHASE_H
