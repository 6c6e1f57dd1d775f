#ifndef WHINTACK_TESTS_TENANTFIXTURE_H
#define WHINTACK_TESTS_TENANTFIXTURE_H

#include "plannerfixture.h"

namespace whintack::tests {

inline const TenantName Acme("acme");
inline const TenantName Other("other");

inline tenants::Tenant tenant(const TenantName &Name, double Weight,
                              const ComputeResources &Maximum = {}) {
  return {Name, {}, Weight, Maximum};
}

inline jobs::AcceptedJob tenantJob(const std::string &Id,
                                   const TenantName &Owner,
                                   std::vector<jobs::StepSpec> Steps) {
  jobs::AcceptedJob Job = job(Id, std::move(Steps));
  Job.Tenant = Owner;
  return Job;
}

/// Adopts tenants, and the queue of the jobs.
inline void configure(jobs::Planner &Planner,
                      std::vector<tenants::Tenant> Tenants) {
  jobs::FleetConfiguration Given;
  Given.Queues = {job("any", {}).Policy};
  Given.Tenants = std::move(Tenants);
  Planner.setQueues(jobs::QueueTable(Given));
}

/// A planner of tenants, of which one may have a maximum.
class TenantFixture : public PlannerFixture {
public:
  explicit TenantFixture(uint64_t Generation = 1)
      : PlannerFixture(Generation) {}

  /// Declares a maximum for one tenant.
  void limit(const ComputeResources &Maximum) {
    this->Maximum = Maximum;
    configure(this->Planner, {tenant(Acme, 100, Maximum), tenant(Other, 100)});
    this->Planner.setMayStartLimited(true);
  }

  void grant(const ComputeResources &Share) {
    this->Planner.adoptQuota({++this->Plan, {{Acme, {Share, this->Maximum}}}});
  }

  /// Plans, and confirms all starts.
  std::vector<jobs::StartOrder> startAll() {
    const std::vector<jobs::StartOrder> Orders = this->starts();
    for (const jobs::StartOrder &Each : Orders)
      this->confirm(Each);
    return Orders;
  }

  tenants::QuotaUse use() const {
    return this->Planner.quotaReport(this->Time.now()).Tenants.at(Acme);
  }

  jobs::TenantStatus status(const TenantName &Name) const {
    for (const jobs::TenantStatus &Each :
         this->Planner.tenantStatus(this->Time.now()))
      if (Each.Tenant == Name)
        return Each;
    return {};
  }

  ComputeResources Maximum;
  uint64_t Plan = 0;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_TENANTFIXTURE_H
