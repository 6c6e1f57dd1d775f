#ifndef WHINTACK_DISPATCH_JOBRECORDS_H
#define WHINTACK_DISPATCH_JOBRECORDS_H

#include "whintack/base/identifier.h"
#include "whintack/base/result.h"
#include "whintack/base/time.h"
#include "whintack/jobs/configuration.h"
#include "whintack/jobs/jobspec.h"

#include <optional>
#include <string>

namespace whintack::dispatch::Internal {

/// A job as recorded in the store.
struct StoredJob {
  std::string QueueName;
  WallTime Accepted;
  /// The body that the client submitted; empty once the job has ended.
  std::string Body;
  /// Final state of the job; nothing while it has not ended.
  std::optional<jobs::JobState> End;
  /// The tenant that submitted the job; empty if it has none.
  TenantName Tenant = TenantName();
  /// The queue as the job was accepted for it, without its service; nothing
  /// once the job has ended, or if an earlier version of the product accepted
  /// it.
  std::optional<jobs::Queue> Policy = std::nullopt;
};

/// Why a job's record cannot be decoded.
struct RecordError {
  std::string Message;
};

/// Encodes a job as the JSON text of its record.
std::string encodeStoredJob(const StoredJob &Job);
/// Decodes the JSON text of a job's record.
Result<StoredJob, RecordError> decodeStoredJob(const std::string &Text);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_JOBRECORDS_H
