#ifndef WHINTACK_TENANTS_FAIRSHARES_H
#define WHINTACK_TENANTS_FAIRSHARES_H

#include "whintack/base/computeresources.h"
#include "whintack/base/identifier.h"

#include <map>

namespace whintack::tenants {

/// A tenant's claim to a pool.
struct ShareClaim {
  double Weight = 1;
  /// What the tenant has running and could start now.
  ComputeResources Demand;
};

/// Divides a pool by weighted dominant-resource fairness: returns for each
/// tenant the part of the pool, of the resource that it uses most, which it is
/// entitled to. What a tenant does not demand goes to the others in proportion
/// to their weights.
std::map<TenantName, double>
fairShares(const std::map<TenantName, ShareClaim> &Claims,
           const ComputeResources &Capacity);

/// The largest part that \p Use takes of any resource of \p Capacity.
double dominantPart(const ComputeResources &Use,
                    const ComputeResources &Capacity);

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_FAIRSHARES_H
