#include "fleetcore.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

/// Subtracted from the time within which a configuration must be in force: the
/// time from the decision to start a task to the start.
static constexpr Duration StartMargin = std::chrono::milliseconds(500);

Duration FleetCore::maxConfigurationAge() const {
  return this->Self.ConfigurationTime - StartMargin;
}

void FleetCore::openQuotas(const HeldClaim &Acquired) {
  QuotaEnvironment Environment;
  Environment.Call = [Calls = this->Calls](const peers::ServiceCall &Call,
                                           Duration Timeout,
                                           ResultCallback Done) {
    Calls->call(Call, Timeout, std::move(Done));
  };
  Environment.ClaimValidUntil = this->claimValidity();
  Environment.OnLost = this->shardLossHandler();
  this->Quotas = std::make_shared<QuotaCoordinator>(
      this->Shared, std::move(Environment), Acquired);
  if (this->Queues)
    this->Quotas->setTenants(this->Queues->configuration());
}

ConfigurationHooks FleetCore::configurationHooks() {
  const std::weak_ptr<FleetCore> Weak = this->weak_from_this();
  ConfigurationHooks Hooks;
  Hooks.Queues = this->queueSource();
  Hooks.KnownThrough = [Weak] {
    const auto Alive = Weak.lock();
    return Alive ? Alive->OperatorItems->knownThrough() : TimePoint::min();
  };
  Hooks.Refresh = [Weak](std::function<void()> Done) {
    const auto Alive = Weak.lock();
    if (!Alive)
      Done();
    else if (Alive->Feed->isTransferring())
      Alive->OperatorItems->awaitReport(std::move(Done));
    else
      Alive->OperatorItems->refresh(std::move(Done));
  };
  Hooks.IsOutdated = [Weak] {
    const auto Alive = Weak.lock();
    return Alive && Alive->Feed->isOutdated();
  };
  return Hooks;
}

void FleetCore::handleOperatorItems(const ItemMap &Items) {
  const jobs::PlatformCodec &Codec = this->Connections.Codec;
  this->Waves.clear();
  for (const auto &[Key, Item] : Items) {
    if (Key == Codec.ConfigurationKey) {
      // A large configuration takes long to decode.
      if (std::exchange(this->ConfigurationRevision, Item.Revision) ==
          Item.Revision)
        continue;
      auto Read = Codec.DecodeConfiguration(Item.Value);
      if (Read)
        this->adoptConfiguration(std::move(Read).value(), Item.Revision);
      else
        logEvent(LogLevel::Error, "configuration-unreadable",
                 {{"cause", Read.error().Message}});
    } else if (Key.starts_with(Codec.WavePrefix)) {
      auto Read = Codec.DecodeWave(Item.Value);
      if (Read)
        this->Waves.push_back(std::move(Read).value());
      else
        logEvent(LogLevel::Error, "wave-unreadable",
                 {{"key", Key}, {"cause", Read.error().Message}});
    }
  }
  if (this->Maintenance)
    this->Maintenance->setWaves(this->Waves);
}

void FleetCore::adoptConfiguration(jobs::FleetConfiguration Newest,
                                   uint64_t Revision) {
  if (this->Queues && Newest.Version <= this->Queues->configuration().Version)
    return;
  logEvent(
      LogLevel::Info, "configuration-adopted",
      {{"version", Newest.Version},
       {"revision", Revision},
       {"age-ms", toMilliseconds(this->Shared.now() -
                                 this->OperatorItems->knownThrough())},
       {"by", nameOf(ReportKindNames, this->OperatorItems->lastReport())},
       {"via", this->OperatorItems->lastReportVia()},
       {"queues", Newest.Queues.size()},
       {"services", Newest.Services.size()},
       {"tenants", Newest.Tenants.size()},
       {"client-keys", Newest.RequiresKeys ? "required" : "not-required"}});
  this->Queues = std::make_shared<const jobs::QueueTable>(std::move(Newest));
  std::set<ShardId> RequiredShards = {ShardId::fleet()};
  for (const jobs::ServicePolicy &Service :
       this->Queues->configuration().Services)
    if (!Service.IsSpare)
      RequiredShards.insert(ShardId::of(Service.Name));
  for (const auto &[Name, Shard] : this->Shards)
    Shard->setQueues(*this->Queues);
  if (this->Quotas)
    this->Quotas->setTenants(this->Queues->configuration());
  this->Claimer->setShards(std::move(RequiredShards));
  this->IsReadyNow = this->canServe();
}

} // namespace whintack::dispatch::Internal
