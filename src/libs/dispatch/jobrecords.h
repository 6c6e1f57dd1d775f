#ifndef WHINTACK_DISPATCH_JOBRECORDS_H
#define WHINTACK_DISPATCH_JOBRECORDS_H

#include "whintack/base/result.h"
#include "whintack/base/time.h"
#include "whintack/jobs/jobspec.h"

#include <optional>
#include <string>

namespace whintack::dispatch::Internal {

/// A job as it lies in the store.
struct StoredJob {
  std::string QueueName;
  WallTime Accepted;
  /// What the client handed in; empty once the job has ended.
  std::string Body;
  /// How the job ended; nothing while it has not.
  std::optional<jobs::JobState> End;
};

struct RecordError {
  std::string Message;
};

std::string encodeStoredJob(const StoredJob &Job);
Result<StoredJob, RecordError> decodeStoredJob(const std::string &Text);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_JOBRECORDS_H
