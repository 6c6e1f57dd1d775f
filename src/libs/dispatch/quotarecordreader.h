#ifndef WHINTACK_DISPATCH_QUOTARECORDREADER_H
#define WHINTACK_DISPATCH_QUOTARECORDREADER_H

#include "context.h"
#include "quotarecords.h"

namespace whintack::dispatch::Internal {

/// Reads the records of the tenants' quotas, in one call if the link carries
/// them in the time of one call, else one by one.
class QuotaRecordReader
    : public std::enable_shared_from_this<QuotaRecordReader> {
public:
  using Hook = std::function<void(std::vector<store::StoreItem>)>;
  QuotaRecordReader(Context Shared, Hook OnDone)
      : Shared(std::move(Shared)), OnDone(std::move(OnDone)) {}

  /// Reads all records; retries until that succeeds or stop() is called.
  void start();
  void stop() { this->IsStopped = true; }

private:
  void readNext();
  void handlePage(store::StoreResult<store::StorePage> Answer);

  Context Shared;
  Hook OnDone;
  std::vector<store::StoreItem> Found;
  std::string Prefix;
  std::string LastRead;
  /// The record that is being read, if they are read one by one.
  std::optional<size_t> Number;
  bool IsStopped = false;
};

/// Decodes the records, in the order of their numbers. Logs those that cannot
/// be read, and treats them as empty.
std::vector<QuotaRecord>
decodeQuotaRecords(const std::vector<store::StoreItem> &Items);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_QUOTARECORDREADER_H
