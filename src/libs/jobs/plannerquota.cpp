#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

void Planner::adoptQuota(const tenants::QuotaGrants &Granted) {
  this->D->Quota.adopt(Granted);
  this->D->QuotaPlan = std::max(this->D->QuotaPlan, Granted.Plan);
}

tenants::QuotaReport Planner::quotaReport(TimePoint) const {
  tenants::QuotaReport Report;
  Report.ConfirmedPlan = this->D->QuotaPlan;
  return Report;
}

void Planner::setMayStartLimited(bool) {}

} // namespace whintack::jobs
