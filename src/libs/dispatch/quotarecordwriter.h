#ifndef WHINTACK_DISPATCH_QUOTARECORDWRITER_H
#define WHINTACK_DISPATCH_QUOTARECORDWRITER_H

#include "quotarecordreader.h"

#include "whintack/tenants/quotaallocator.h"

#include <array>

namespace whintack::dispatch::Internal {

/// What QuotaRecordWriter reports.
struct QuotaWriterHooks {
  /// A part of a plan is stored.
  std::function<void(const tenants::QuotaPlan &)> OnStored;
  /// A part of a plan is not stored, and can no longer take effect.
  std::function<void(const tenants::QuotaPlan &)> OnRefused;
  /// The records were changed by another writer and must be read again.
  std::function<void()> OnChanged;
  std::function<void(const std::string &Cause)> OnLost;
};

/// Stores plans of the tenants' quotas under the claim of the fleet shard. The
/// outcome of a write that was not answered is determined before the writer
/// accepts another plan: the records are read again and, if they still have
/// their old revision, rewritten, so that the lost write cannot take effect
/// later.
class QuotaRecordWriter
    : public std::enable_shared_from_this<QuotaRecordWriter> {
public:
  QuotaRecordWriter(Context Shared, store::ExpectedRevision Claim,
                    QuotaWriterHooks Hooks)
      : Shared(std::move(Shared)), Claim(std::move(Claim)),
        Hooks(std::move(Hooks)) {}

  /// Adopts the records as read from the store.
  void adopt(const std::vector<store::StoreItem> &Items);
  /// Stores the plan, divided into as many transactions as it needs. Shares of
  /// tenants that are not in \p Known are dropped from the records it writes.
  void store(const tenants::QuotaPlan &Plan,
             const std::map<TenantName, ComputeResources> &Known);
  bool isBusy() const { return this->OpenWrites > 0; }
  void stop() { this->IsStopped = true; }

private:
  /// The records that one transaction writes.
  struct Write {
    tenants::QuotaPlan Plan;
    std::map<size_t, QuotaRecord> Records;
  };
  struct KnownRecord {
    uint64_t Revision = 0;
    QuotaRecord Content;
  };
  using Commit = store::StoreResult<store::CommitAnswer>;

  void send(const std::shared_ptr<Write> &Current);
  void handleAnswer(const std::shared_ptr<Write> &Current,
                    const Commit &Answer);
  void readAgain(const std::shared_ptr<Write> &Current, bool IsAnswered);
  void handleRecords(const std::shared_ptr<Write> &Current, bool IsAnswered,
                     const std::vector<store::StoreItem> &Items);
  void preventLateWrite(const std::shared_ptr<Write> &Current);
  void finish(const std::shared_ptr<Write> &Current, bool IsStored);
  bool isLost(const Commit &Answer) const;

  Context Shared;
  store::ExpectedRevision Claim;
  QuotaWriterHooks Hooks;
  std::array<KnownRecord, QuotaRecordCount> Records;
  size_t OpenWrites = 0;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_QUOTARECORDWRITER_H
