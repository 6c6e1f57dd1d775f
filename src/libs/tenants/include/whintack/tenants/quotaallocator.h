#ifndef WHINTACK_TENANTS_QUOTAALLOCATOR_H
#define WHINTACK_TENANTS_QUOTAALLOCATOR_H

#include "whintack/base/enumnames.h"
#include "whintack/tenants/quota.h"

#include <optional>
#include <set>
#include <vector>

namespace whintack::tenants {

/// Why shares are changed.
enum class QuotaTrigger {
  /// Part of the maximum is granted to no service.
  Unallocated,
  /// A maximum in the configuration has changed.
  MaximumChanged,
  /// Work of a service waits beyond its share.
  Waiting,
};

inline constexpr EnumNames<QuotaTrigger, 3> QuotaTriggerNames = {{
    {QuotaTrigger::Unallocated, "unallocated"},
    {QuotaTrigger::MaximumChanged, "maximum-changed"},
    {QuotaTrigger::Waiting, "waiting"},
}};

/// Shares to be stored before they are granted. Contains the shares of all
/// services for each tenant that it changes.
struct QuotaPlan {
  uint64_t Number = 0;
  std::map<ServiceName, QuotaGrants> Services;
  /// Services whose confirmed use made room for the plan, each with the token
  /// of the claim under which its planner confirmed. The plan may be stored
  /// only while these claims hold.
  std::map<ServiceName, uint64_t> Confirmations;
  /// The first cause that was found.
  QuotaTrigger Trigger = QuotaTrigger::Unallocated;
};

/// Divides the quotas of all tenants among the services. The shares of a tenant
/// never add up to more than its maximum; a share grows only by what no other
/// service can still be using.
///
/// A share falls in two steps. The service is first granted less than is stored
/// for it, which needs no write. Once its planner has confirmed that, one plan
/// stores the lower share and the shares that grow by the difference. That plan
/// depends on the planner's claim, because a new planner would start with the
/// stored share.
class QuotaAllocator {
public:
  /// A plan depends on at most \p MaxConfirmations claims.
  explicit QuotaAllocator(size_t MaxConfirmations = 29)
      : MaxConfirmations(MaxConfirmations) {}

  void setMaximums(std::map<TenantName, ComputeResources> Maximums);
  void setServices(std::set<ServiceName> Services);
  /// All plans get numbers above \p Number.
  void setLastPlan(uint64_t Number);
  /// Adopts shares that an earlier coordinator stored.
  void restore(const ServiceName &Service, const QuotaGrants &Stored);
  /// Takes in the report of a service's planner, which holds the claim
  /// \p ClaimToken.
  void noteReport(const ServiceName &Service, const QuotaReport &Report,
                  uint64_t ClaimToken, TimePoint Now);
  /// The next shares, if any share has to move. The tenants in the plan are
  /// left out of later plans until noteStored() or noteRefused() is called.
  std::optional<QuotaPlan> propose(TimePoint Now);
  /// The plan, or the part of it that is passed, is stored and may be granted.
  void noteStored(const QuotaPlan &Plan);
  /// The plan, or the part of it that is passed, can no longer be stored.
  void noteRefused(const QuotaPlan &Plan);
  /// The shares that the service may be told.
  QuotaGrants grants(const ServiceName &Service) const;
  /// Number of grants(Service).
  uint64_t grantPlan(const ServiceName &Service) const;
  /// Whether the service's planner applies grants(Service).
  bool isConfirmed(const ServiceName &Service) const;
  /// All services that have a share or may have something in use.
  std::set<ServiceName> services() const;
  const std::map<TenantName, ComputeResources> &maximums() const {
    return this->Maximums;
  }

private:
  /// The part of a tenant's quota that belongs to one service.
  struct Part {
    /// The share in the store, with which a new planner starts.
    ComputeResources Stored;
    /// The share that the planner is told; at most Stored.
    ComputeResources Granted;
    /// The largest share that any planner of the service may apply, also one
    /// that has not claimed it yet.
    ComputeResources Certain;
    /// The largest share that the planner of the last report may apply; at most
    /// Certain.
    ComputeResources Confirmed;
    /// What Certain becomes when the plan is stored.
    ComputeResources CertainIfStored;
    QuotaUse Use;
    bool IsReported = false;
  };
  /// A tenant with a maximum.
  struct Row {
    ComputeResources Maximum;
    /// The maximum with which the shares were stored.
    ComputeResources StoredMaximum;
    std::map<ServiceName, Part> Parts;
    /// Until this time, changes that start no waiting task are put off.
    TimePoint NextSmallChange = TimePoint::min();
    /// When the planners must have confirmed the shares of a maximum that has
    /// fallen; TimePoint::max() if it has not.
    TimePoint StrictFrom = TimePoint::max();
    bool IsStored = false;
    /// The maximum has fallen, and more may be in use than it allows.
    bool IsFalling = false;
    /// A plan may be stored at any time.
    bool IsPending = false;
  };
  /// A service's planner.
  struct PlannerState {
    uint64_t Token = 0;
    /// Number of the current grants. Differs from the number of any stored
    /// plan, so that only a planner that was told the grants can confirm it.
    uint64_t GrantPlan = 0;
    bool IsConfirmed = false;
  };
  /// Shares of one tenant, by service.
  using Shares = std::map<ServiceName, ComputeResources>;

  Part &part(Row &Of, const ServiceName &Service);
  void addMissingParts();
  void boundRemoved(Row &Of);
  void grant(const ServiceName &Service, Part &Of,
             const ComputeResources &Share);
  void numberGrants();
  bool isConfigured(const ServiceName &Service) const {
    return this->Services.contains(Service);
  }
  void shrink(Row &Of, bool IsStrict);
  bool mayExceed(const Row &Of) const;
  static bool isUseKnown(const Row &Of, const Part &Each);
  static ComputeResources heldBy(const Row &Of, const Part &Each);
  bool isWaiting(const Row &Of) const;
  bool isUnallocated(const Row &Of) const;
  Shares targetsByDemand(const Row &Of) const;
  Shares targetsByEqualParts(const Row &Of) const;
  bool isWorthwhile(const Row &Of, const Shares &Next, TimePoint Now) const;
  std::set<ServiceName> usedConfirmations(const Row &Of,
                                          const QuotaPlan &Plan) const;
  Shares grow(const Row &Of, const Shares &Targets,
              const std::set<ServiceName> &Used) const;
  void planTenant(const TenantName &Name, Row &Of, QuotaPlan &Plan,
                  TimePoint Now);
  void addToPlan(const TenantName &Name, Row &Of, const Shares &Next,
                 const std::set<ServiceName> &Used, QuotaTrigger Trigger,
                 QuotaPlan &Plan);

  size_t MaxConfirmations;
  std::map<TenantName, ComputeResources> Maximums;
  std::set<ServiceName> Services;
  std::map<TenantName, Row> Rows;
  std::map<ServiceName, PlannerState> Planners;
  /// Services whose grants differ from those with the number GrantPlan.
  std::set<ServiceName> ChangedGrants;
  uint64_t LastPlan = 0;
};

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_QUOTAALLOCATOR_H
