#include "fleetcore.h"

namespace whintack::dispatch::Internal {

/// Lateness of the reconciliation above which the event loop counts as late.
static constexpr Duration MaxLoopDelay = std::chrono::milliseconds(250);
/// Logs how late the event loop runs its timers. All work of this process waits
/// that long.
void FleetCore::reportLoopDelay() const {
  const Duration Delay = this->Shared.now() - this->NextCheck;
  if (Delay > MaxLoopDelay)
    logEvent(LogLevel::Warning, "event-loop-late",
             {{"delay-ms", toMilliseconds(Delay)},
              {"shards", this->OwnClaims.size()}});
}

} // namespace whintack::dispatch::Internal
