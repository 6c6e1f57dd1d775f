#ifndef WHINTACK_TENANTS_QUOTA_H
#define WHINTACK_TENANTS_QUOTA_H

#include "whintack/base/computeresources.h"
#include "whintack/base/identifier.h"
#include "whintack/base/time.h"

#include <map>

namespace whintack::tenants {

/// What one service uses of a tenant's quota, and what it lacks.
struct QuotaUse {
  /// Resources of all runs that are not known to be over, and of executors
  /// whose runs are not known.
  ComputeResources InUse;
  /// Resources of the tasks that could start now if the share were larger.
  ComputeResources Waiting;
  /// The largest of these tasks, separately for each resource.
  ComputeResources LargestWaiting;
  /// How long the oldest of these tasks has waited.
  Duration LongestWait = Duration::zero();
};

/// A planner's answer to the coordinator of the quotas.
struct QuotaReport {
  std::map<TenantName, QuotaUse> Tenants;
  /// Number of the plan whose shares the planner applies.
  uint64_t ConfirmedPlan = 0;
};

/// The part of a tenant's quota that one service may use.
struct QuotaGrant {
  ComputeResources Share;
  /// The tenant's maximum that the share is a part of. A resource whose maximum
  /// is 0 has no limit.
  ComputeResources Maximum;

  bool operator==(const QuotaGrant &) const = default;
};

/// The shares of one service.
struct QuotaGrants {
  /// Number of the plan. Later plans have higher numbers, also across
  /// coordinators.
  uint64_t Plan = 0;
  std::map<TenantName, QuotaGrant> Tenants;
};

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_QUOTA_H
