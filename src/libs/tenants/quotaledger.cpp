#include "whintack/tenants/quotaledger.h"

namespace whintack::tenants {

void QuotaLedger::setMaximums(std::map<TenantName, ComputeResources> Given) {
  this->Maximums = std::move(Given);
}

void QuotaLedger::adopt(const QuotaGrants &Newer) {
  if (Newer.Plan >= this->Granted.Plan)
    this->Granted = Newer;
}

void QuotaLedger::book(const TenantName &Tenant, const ComputeResources &Need) {
  this->Booked[Tenant] += Need;
}

void QuotaLedger::release(const TenantName &Tenant,
                          const ComputeResources &Need) {
  this->Booked[Tenant] -= Need;
}

void QuotaLedger::setUnknownUse(const ComputeResources &Use) {
  this->UnknownUse = Use;
}

} // namespace whintack::tenants
