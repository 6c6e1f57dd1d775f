#include "gracemonitor.h"

#include <utility>

namespace whintack::dispatch::Internal {

static constexpr Duration CheckInterval = std::chrono::milliseconds(100);

GraceMonitor::GraceMonitor(Context Shared, std::shared_ptr<NodeLease> Lease,
                           std::function<std::set<ShardId>()> HeldShards)
    : Shared(std::move(Shared)), Lease(std::move(Lease)),
      HeldShards(std::move(HeldShards)) {}

void GraceMonitor::start() { this->check(); }

void GraceMonitor::check() {
  switch (this->Lease->phase()) {
  case ClaimPhase::Valid:
    this->endGrace("the lease was renewed");
    break;
  case ClaimPhase::Grace:
    this->beginGrace();
    break;
  case ClaimPhase::Over:
    this->endGrace("its time is over");
    break;
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + CheckInterval,
              [](GraceMonitor &Self) { Self.check(); });
}

void GraceMonitor::beginGrace() {
  const Duration Left = this->Lease->graceUntil() - this->Shared.now();
  for (const ShardId &Shard : this->HeldShards())
    if (this->InGrace.insert(Shard).second)
      logEvent(LogLevel::Warning, "grace-begun",
               {{"shard", Shard},
                {"left-ms", toMilliseconds(Left)},
                {"cause", "the lease could not be renewed"}});
}

void GraceMonitor::endGrace(const std::string &Cause) {
  for (const ShardId &Shard : std::exchange(this->InGrace, {}))
    logEvent(LogLevel::Warning, "grace-ended",
             {{"shard", Shard}, {"cause", Cause}});
}

void GraceMonitor::noteDropped(const ShardId &Shard, const std::string &Cause) {
  if (this->InGrace.erase(Shard) > 0)
    logEvent(LogLevel::Warning, "grace-ended",
             {{"shard", Shard}, {"cause", Cause}});
}

} // namespace whintack::dispatch::Internal
