#ifndef WHINTACK_DISPATCH_JOBOWNERSHIP_H
#define WHINTACK_DISPATCH_JOBOWNERSHIP_H

#include "whintack/jobs/configuration.h"

namespace whintack::dispatch::Internal {

/// Whether calls for \p Queue need a key; also if the configuration lacks the
/// queue (null) and has tenants.
bool needsKey(const jobs::QueueTable &Queues, const jobs::Queue *Queue);

/// The tenant of a job and the queue that it was submitted to.
struct JobOrigin {
  std::string QueueName;
  /// Empty if the job has no tenant.
  TenantName Tenant;
};

/// Whether a call of the tenant \p Caller, or without a key if that is empty,
/// may read or change a job. A call without a key may do so only if it would
/// also need none for the job's own queue: a public queue may share its service
/// with queues that need keys.
bool mayAccess(const jobs::QueueTable &Queues, const TenantName &Caller,
               const JobOrigin &Job);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_JOBOWNERSHIP_H
