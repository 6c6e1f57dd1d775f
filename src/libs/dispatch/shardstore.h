#ifndef WHINTACK_DISPATCH_SHARDSTORE_H
#define WHINTACK_DISPATCH_SHARDSTORE_H

#include "context.h"
#include "loadqueue.h"
#include "portionedread.h"
#include "quotarecordreader.h"

#include "whintack/jobs/taskkey.h"

#include <map>

namespace whintack::dispatch::Internal {

/// Reads the store's records of one service for its planner.
class ShardStore : public std::enable_shared_from_this<ShardStore> {
public:
  ShardStore(Context Shared, std::shared_ptr<LoadQueue> Loads,
             ServiceName Service);

  /// All records of the service.
  struct Contents {
    std::vector<store::StoreItem> Jobs;
    std::vector<store::StoreItem> Progress;
    /// Records of the tenants' quotas, if these were requested.
    std::vector<store::StoreItem> Quotas;
    /// Time and revision of the store when the read began.
    TimePoint Began;
    uint64_t AsOf = 0;
  };
  /// Reads all records, and those of the tenants' quotas if \p HasQuotas is
  /// set; retries until that succeeds or stop() is called.
  void load(bool HasQuotas, std::function<void(Contents)> Done);
  /// Called with jobs and the revision through which they are complete.
  using JobsHook =
      std::function<void(std::vector<store::StoreItem> Jobs, uint64_t Through)>;
  /// Reads the jobs that were stored or changed after the revision \p After;
  /// returns all jobs if the store no longer knows which these are.
  void readChangedJobs(uint64_t After, JobsHook Done);

  void stop();

private:
  /// A read of changed jobs that has not ended.
  struct ChangeRead {
    uint64_t After = 0;
    /// Revision that the read must reach.
    uint64_t Target = 0;
    unsigned Failures = 0;
    /// The newest state of the jobs found so far.
    std::map<std::string, store::StoreItem> Jobs;
    JobsHook Done;
  };

  void read(const std::string &Prefix,
            std::function<void(PortionedRead::Contents)> Done);
  void readJobs(LoadQueue::Turn Turn, bool HasQuotas,
                std::function<void(Contents)> Done);
  void readQuotas(std::function<void(std::vector<store::StoreItem>)> Done);
  void findTarget(const std::shared_ptr<ChangeRead> &Current);
  void readChanges(const std::shared_ptr<ChangeRead> &Current);
  void handleChanges(const std::shared_ptr<ChangeRead> &Current,
                     store::StoreResult<store::WatchAnswer> Answer);
  void
  retryChanges(const std::shared_ptr<ChangeRead> &Current,
               const store::StoreError &Cause,
               void (ShardStore::*Step)(const std::shared_ptr<ChangeRead> &));
  void readAllJobs(JobsHook Done);

  Context Shared;
  std::shared_ptr<LoadQueue> Loads;
  std::shared_ptr<PortionedRead> Reading;
  std::shared_ptr<QuotaRecordReader> QuotaReading;
  ServiceName Service;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_SHARDSTORE_H
