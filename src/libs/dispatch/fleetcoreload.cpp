#include "fleetcore.h"

namespace whintack::dispatch::Internal {

/// Lateness of the reconciliation above which the event loop counts as late.
static constexpr Duration MaxLoopDelay = std::chrono::milliseconds(250);

/// Logs how late the event loop runs its timers. All work of this process waits
/// that long.
void FleetCore::reportLoopDelay() const {
  const Duration Delay = this->Shared.now() - this->NextCheck;
  const LongestWork::Item Work = this->Longest->take();
  if (Delay > MaxLoopDelay)
    logEvent(LogLevel::Warning, "event-loop-late",
             {{"delay-ms", toMilliseconds(Delay)},
              {"shards", this->OwnClaims.size()},
              {"longest", nameOf(PlannerWorkNames, Work.Kind)},
              {"longest-ms", toMilliseconds(Work.Time)},
              {"size", Work.Size},
              {"shard", Work.Service}});
}

std::vector<ShardCandidate> FleetCore::executorRelays() const {
  const std::vector<EntryName> Usable = this->usablePeers();
  return chooseRelays(this->Claimer->layout(), this->Self.Name,
                      {Usable.begin(), Usable.end()});
}

void FleetCore::openExecutorCalls() {
  ExecutorRelayHooks Hooks;
  Hooks.Send = this->Transport.Send;
  Hooks.Relays = [Weak = this->weak_from_this()] {
    const auto Alive = Weak.lock();
    return Alive ? Alive->executorRelays() : std::vector<ShardCandidate>();
  };
  this->ExecutorCalls = std::make_shared<ExecutorRelay>(
      this->Shared, this->Self.Incarnation, this->Self.ProcessorShare,
      this->Connections.Executors, std::move(Hooks));
  this->RelayedCalls = std::make_shared<RelayedCallHandler>(
      this->Shared, this->Connections.Executors, this->Transport.Send);
}

} // namespace whintack::dispatch::Internal
