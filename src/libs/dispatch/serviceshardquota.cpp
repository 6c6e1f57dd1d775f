#include "serviceshard.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Interval at which the age of the configuration is checked while it keeps
/// tasks from starting. Nothing else calls the planner when it becomes current.
static constexpr Duration ConfigurationCheckInterval =
    std::chrono::milliseconds(200);

bool ServiceShard::hasQuotas() const {
  const auto Queues = this->Environment.Queues();
  if (!Queues)
    return false;
  const std::vector<tenants::Tenant> &All = Queues->tenants().tenants();
  return std::any_of(All.begin(), All.end(), [](const tenants::Tenant &Each) {
    return Each.Maximum != ComputeResources();
  });
}

void ServiceShard::adoptStoredQuotas(const ShardStore::Contents &Loaded) {
  if (Loaded.Quotas.empty())
    return;
  this->Planner.adoptQuota(
      grantsOf(this->Service, decodeQuotaRecords(Loaded.Quotas)));
}

void ServiceShard::checkConfigurationAge() {
  if (!this->Environment.ConfigurationKnownThrough || !this->hasQuotas())
    return;
  const TimePoint Now = this->Shared.now();
  const bool IsCurrent = this->Environment.ConfigurationKnownThrough() >=
                         Now - this->Environment.MaxConfigurationAge;
  this->Planner.setMayStartLimited(IsCurrent);
  if (IsCurrent || std::exchange(this->IsConfigurationCheckDue, true))
    return;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              Now + ConfigurationCheckInterval, [](ServiceShard &Self) {
                Self.IsConfigurationCheckDue = false;
                Self.requestPlan();
              });
}

void ServiceShard::answerQuota(const peers::ServiceCall &Call,
                               const AnswerCallback &Respond) {
  if (!Call.Content.empty()) {
    const auto Granted = decodeQuotaGrants(Call.Content);
    if (!Granted) {
      logEvent(LogLevel::Error, "quota-grants-unreadable",
               {{"shard", this->OwnClaim.Shard},
                {"cause", Granted.error().Message}});
      Respond({Call.Id, peers::ServiceOutcome::Failed, ""});
      return;
    }
    this->Planner.adoptQuota(Granted.value());
    this->requestPlan();
  }
  Respond({Call.Id, peers::ServiceOutcome::Done,
           encodeQuotaAnswer({this->Planner.quotaReport(this->Shared.now()),
                              this->OwnClaim.Token})});
}

} // namespace whintack::dispatch::Internal
