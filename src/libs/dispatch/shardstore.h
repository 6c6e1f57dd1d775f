#ifndef WHINTACK_DISPATCH_SHARDSTORE_H
#define WHINTACK_DISPATCH_SHARDSTORE_H

#include "context.h"
#include "jobrecords.h"

#include "whintack/jobs/planner.h"

namespace whintack::dispatch::Internal {

/// The store's records of one service, as its planner reads and writes them.
/// Every write names the planner's claim, so that the store refuses it once
/// another has taken over.
class ShardStore : public std::enable_shared_from_this<ShardStore> {
public:
  ShardStore(Context Shared, ServiceName Service, uint64_t Token);

  /// Everything that lies in the store for the service.
  struct Contents {
    std::vector<store::StoreItem> Jobs;
    std::vector<store::StoreItem> Progress;
  };
  /// Reads all records; tries again until it succeeds or stop() is called.
  void load(const std::function<void(Contents)> &Done);

  /// How a write ended.
  enum class WriteOutcome {
    Written,
    /// Not written, or not known; to be tried again.
    Failed,
    /// Another planner holds the claim.
    Superseded,
  };
  /// Writes what the planner hands out. \p QueueOf names the queue of a job
  /// that ends.
  void write(const std::vector<jobs::JobWrite> &Writes,
             const std::function<std::string(const jobs::JobId &)> &QueueOf,
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

/// Most records that one call writes: the claim takes an entry, and a job that
/// has ended takes two.
constexpr size_t MostWritesAtOnce = 15;

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SHARDSTORE_H
