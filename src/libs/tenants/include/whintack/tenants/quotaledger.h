#ifndef WHINTACK_TENANTS_QUOTALEDGER_H
#define WHINTACK_TENANTS_QUOTALEDGER_H

#include "whintack/tenants/quota.h"

#include <optional>

namespace whintack::tenants {

/// Counts what one service has running for each tenant, and decides whether
/// more may start within the service's shares of the quotas.
class QuotaLedger {
public:
  /// Adopts the maximums of a new configuration. Shares of a maximum that has
  /// fallen fall in proportion at once.
  void setMaximums(std::map<TenantName, ComputeResources> Maximums);
  /// Adopts shares. Older plans than the last are ignored.
  void adopt(const QuotaGrants &Granted);
  /// A run of the tenant is placed, or found on an executor.
  void book(const TenantName &Tenant, const ComputeResources &Need);
  /// A run that was booked is over.
  void release(const TenantName &Tenant, const ComputeResources &Need);
  /// What may be running without being booked. It counts against the share of
  /// every tenant.
  void setUnknownUse(const ComputeResources &Use);

  /// Whether the tenant has a maximum in the configuration.
  bool isLimited(const TenantName &Tenant) const;
  /// What may still start, separately for each resource; std::nullopt for a
  /// tenant without a maximum. Negative where the share is exceeded.
  std::optional<ComputeResources> room(const TenantName &Tenant) const;
  /// Rises with each change that can affect room().
  uint64_t changes() const { return this->Changes; }
  /// Whether tasks that together have this need may start now. If more is in
  /// use than the share of any resource allows, nothing may start, not even a
  /// task that does not need this resource.
  bool mayStart(const TenantName &Tenant, const ComputeResources &Need) const;
  /// The part of \p Need, from 0 to 1, that fits into what the share leaves.
  /// 1 for a tenant without a maximum.
  double partThatMayStart(const TenantName &Tenant,
                          const ComputeResources &Need) const;
  /// What the tenant has running, without the unknown use.
  ComputeResources booked(const TenantName &Tenant) const;
  /// What the tenant has running, including the unknown use.
  ComputeResources inUse(const TenantName &Tenant) const;
  /// The share that applies now; 0 for resources without a limit.
  ComputeResources share(const TenantName &Tenant) const;
  /// The tenant's maximum in the configuration; 0 for resources without a
  /// limit.
  ComputeResources maximum(const TenantName &Tenant) const;
  /// Reports what is in use of each tenant that has a maximum. Does not fill in
  /// what waits.
  QuotaReport report() const;

private:
  std::map<TenantName, ComputeResources> Maximums;
  QuotaGrants Granted;
  /// Tenants with runs.
  std::map<TenantName, ComputeResources> Booked;
  ComputeResources UnknownUse;
  uint64_t Changes = 1;
};

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_QUOTALEDGER_H
