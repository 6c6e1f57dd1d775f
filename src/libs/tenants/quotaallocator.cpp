#include "whintack/tenants/quotaallocator.h"

namespace whintack::tenants {

void QuotaAllocator::setMaximums(std::map<TenantName, ComputeResources> Given) {
  this->Maximums = std::move(Given);
}

void QuotaAllocator::setServices(std::set<ServiceName> Given) {
  this->Services = std::move(Given);
}

} // namespace whintack::tenants
