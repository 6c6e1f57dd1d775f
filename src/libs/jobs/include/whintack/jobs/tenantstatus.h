#ifndef WHINTACK_JOBS_TENANTSTATUS_H
#define WHINTACK_JOBS_TENANTSTATUS_H

#include "whintack/base/computeresources.h"
#include "whintack/base/identifier.h"

#include <cstdint>

namespace whintack::jobs {

/// What one service does for a tenant, for metrics and status.
struct TenantStatus {
  TenantName Tenant;
  /// Declared resources of the tenant's runs.
  ComputeResources Use;
  /// The service's share of the tenant's quota; 0 for resources without a
  /// limit.
  ComputeResources Share;
  /// 0 for resources without a limit.
  ComputeResources Maximum;
  /// Declared resources of the tasks that could start now.
  ComputeResources Waiting;
  /// Part of the pool, of the resource that the tenant uses most.
  double UsedPart = 0;
  /// The part that the tenant was entitled to when room was last short.
  double EntitledPart = 0;
  /// Tasks wait only because of the tenant's quota.
  bool IsHeldBack = false;
  /// Number of jobs so far that had no guarantee of service.
  uint64_t JobsBeyondWeight = 0;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_TENANTSTATUS_H
