#include "quotarecordreader.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

static constexpr Duration RetryDelay = std::chrono::milliseconds(200);

void QuotaRecordReader::start() {
  this->Prefix = keys::Quotas;
  this->readNext();
}

void QuotaRecordReader::readNext() {
  if (this->IsStopped)
    return;
  this->Shared.Store.Range(
      this->Prefix, this->LastRead, store::ReadKind::Current,
      onLoop<QuotaRecordReader, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](QuotaRecordReader &Self,
             store::StoreResult<store::StorePage> Answer) {
            Self.handlePage(std::move(Answer));
          }));
}

void QuotaRecordReader::handlePage(
    store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    logEvent(LogLevel::Warning, "quota-read-failed",
             {{"prefix", this->Prefix},
              {"code", nameOf(store::StoreErrorNames, Answer.error().Code)},
              {"cause", Answer.error().Message}});
    // The records may be too large together for one call on this link.
    if (Answer.error().Code == store::StoreErrorCode::Ambiguous &&
        !this->Number) {
      this->Number = 0;
      this->Prefix = quotaRecordKey(0);
      this->LastRead.clear();
      this->Found.clear();
    }
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(RetryDelay),
                [](QuotaRecordReader &Self) { Self.readNext(); });
    return;
  }
  store::StorePage &Page = Answer.value();
  const bool HasMore = Page.HasMore && !Page.Items.empty();
  this->LastRead = HasMore ? Page.Items.back().Key : "";
  for (store::StoreItem &Item : Page.Items)
    this->Found.push_back(std::move(Item));
  if (!HasMore && this->Number && *this->Number + 1 < QuotaRecordCount) {
    this->Prefix = quotaRecordKey(++*this->Number);
    this->readNext();
    return;
  }
  if (HasMore) {
    this->readNext();
    return;
  }
  this->IsStopped = true;
  const auto Done = std::exchange(this->OnDone, nullptr);
  Done(std::move(this->Found));
}

std::vector<QuotaRecord>
decodeQuotaRecords(const std::vector<store::StoreItem> &Items) {
  std::vector<QuotaRecord> Records(QuotaRecordCount);
  for (size_t Number = 0; Number < QuotaRecordCount; ++Number) {
    const store::StoreItem *Item =
        store::findItem(Items, quotaRecordKey(Number));
    if (!Item)
      continue;
    auto Read = decodeQuotaRecord(Item->Value);
    if (Read)
      Records[Number] = std::move(Read).value();
    else
      logEvent(LogLevel::Error, "quota-record-unreadable",
               {{"key", Item->Key}, {"cause", Read.error().Message}});
  }
  return Records;
}

} // namespace whintack::dispatch::Internal
