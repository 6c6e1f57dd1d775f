#ifndef WHINTACK_DISPATCH_SHARDSTORE_H
#define WHINTACK_DISPATCH_SHARDSTORE_H

#include "context.h"
#include "jobrecords.h"

#include "whintack/jobs/planner.h"

namespace whintack::dispatch::Internal {

/// Reads and writes the store's records of one service for its planner. Every
/// write expects the planner's claim, so that the store rejects it once another
/// planner has taken over.
class ShardStore : public std::enable_shared_from_this<ShardStore> {
public:
  ShardStore(Context Shared, ServiceName Service, uint64_t Token);

  /// All records of the service.
  struct Contents {
    std::vector<store::StoreItem> Jobs;
    std::vector<store::StoreItem> Progress;
  };
  /// Reads all records; retries until that succeeds or stop() is called.
  void load(const std::function<void(Contents)> &Done);

  /// How a write ended.
  enum class WriteOutcome {
    Written,
    /// Not written, or the outcome is unknown; the write must be retried.
    Failed,
    /// Another planner holds the claim.
    Superseded,
  };
  /// Stores the planner's writes. \p QueueName returns the queue of a job that
  /// ends.
  void write(const std::vector<jobs::JobWrite> &Writes,
             const std::function<std::string(const jobs::JobId &)> &QueueName,
             const std::function<void(WriteOutcome)> &Done);

  void stop() { this->IsStopped = true; }

private:
  void readAll(const std::string &Prefix, const std::string &After,
               const std::shared_ptr<std::vector<store::StoreItem>> &Found,
               const std::function<void()> &Done);

  Context Shared;
  ServiceName Service;
  uint64_t Token;
  bool IsStopped = false;
};

/// Maximum number of job writes per commit: the claim takes one entry of the
/// transaction, and a job that has ended takes two.
constexpr size_t MaxWritesPerCommit = 15;

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SHARDSTORE_H
