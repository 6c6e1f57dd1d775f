#ifndef WHINTACK_TENANTS_QUOTAALLOCATOR_H
#define WHINTACK_TENANTS_QUOTAALLOCATOR_H

#include "whintack/tenants/quota.h"

#include <optional>
#include <set>
#include <vector>

namespace whintack::tenants {

/// Shares to be stored before they are granted.
struct QuotaPlan {
  uint64_t Number = 0;
  std::map<ServiceName, QuotaGrants> Services;
  /// Services whose confirmed use made room for the plan, each with the token
  /// of the claim under which its planner confirmed. The plan may be stored
  /// only while these claims hold.
  std::map<ServiceName, uint64_t> Confirmations;
};

/// Divides the quotas of all tenants among the services. The shares of a tenant
/// never add up to more than its maximum; a share grows only by what no other
/// service can still be using.
class QuotaAllocator {
public:
  void setMaximums(std::map<TenantName, ComputeResources> Maximums);
  void setServices(std::set<ServiceName> Services);
  /// Adopts shares that an earlier coordinator stored.
  void restore(const ServiceName &Service, const QuotaGrants &Stored);
  /// Takes in the report of a service's planner, which holds the claim
  /// \p ClaimToken.
  void noteReport(const ServiceName &Service, const QuotaReport &Report,
                  uint64_t ClaimToken, TimePoint Now);
  /// The next shares, if any share has to move.
  std::optional<QuotaPlan> propose(TimePoint Now);
  /// The plan is stored and may be granted.
  void noteStored(const QuotaPlan &Plan);
  /// The shares that the service may be told.
  QuotaGrants grants(const ServiceName &Service) const;

private:
  std::map<TenantName, ComputeResources> Maximums;
  std::set<ServiceName> Services;
};

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_QUOTAALLOCATOR_H
