#include "jobownership.h"

namespace whintack::dispatch::Internal {

bool needsKey(const jobs::QueueTable &Queues, const jobs::Queue *Queue) {
  const jobs::FleetConfiguration &Configuration = Queues.configuration();
  const bool HasKeys =
      Configuration.RequiresKeys || !Configuration.Tenants.empty();
  return HasKeys && !(Queue && Queue->IsPublic);
}

bool mayAccess(const jobs::QueueTable &Queues, const TenantName &Caller,
               const JobOrigin &Job) {
  if (Job.Tenant.isEmpty() || Job.Tenant == Caller)
    return true;
  return Caller.isEmpty() && !needsKey(Queues, Queues.named(Job.QueueName));
}

} // namespace whintack::dispatch::Internal
