#include "quotarecordwriter.h"

#include "storekeys.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

static constexpr Duration RetryDelay = std::chrono::milliseconds(150);

void QuotaRecordWriter::adopt(const std::vector<store::StoreItem> &Items) {
  std::vector<QuotaRecord> Read = decodeQuotaRecords(Items);
  for (size_t Number = 0; Number < QuotaRecordCount; ++Number)
    this->Records[Number] = {store::revisionOf(Items, quotaRecordKey(Number)),
                             std::move(Read[Number])};
}

/// Returns the part of the plan that one record holds.
static tenants::QuotaPlan partOf(const tenants::QuotaPlan &Plan,
                                 const std::set<size_t> &Numbers) {
  tenants::QuotaPlan Part = Plan;
  for (auto &[Service, Grants] : Part.Services)
    std::erase_if(Grants.Tenants, [&Numbers](const auto &Entry) {
      return !Numbers.contains(quotaRecordOf(Entry.first));
    });
  return Part;
}

void QuotaRecordWriter::store(
    const tenants::QuotaPlan &Plan,
    const std::map<TenantName, ComputeResources> &Known) {
  std::set<size_t> Changed;
  for (const auto &[Service, Grants] : Plan.Services)
    for (const auto &[Name, Grant] : Grants.Tenants)
      Changed.insert(quotaRecordOf(Name));
  // Each record takes a condition and a write.
  const size_t Conditions = 1 + Plan.Confirmations.size();
  const size_t PerWrite =
      std::max<size_t>(1, (store::MaxTransactionEntries -
                           std::min(Conditions, store::MaxTransactionEntries)) /
                              2);
  while (!Changed.empty()) {
    std::set<size_t> Numbers;
    while (!Changed.empty() && Numbers.size() < PerWrite)
      Numbers.insert(Changed.extract(Changed.begin()).value());
    auto Current = std::make_shared<Write>();
    Current->Plan = partOf(Plan, Numbers);
    for (const size_t Number : Numbers) {
      QuotaRecord &Record = Current->Records[Number];
      Record = this->Records[Number].Content;
      Record.Plan = Plan.Number;
      std::erase_if(Record.Tenants, [&Known](const auto &Entry) {
        return !Known.contains(Entry.first);
      });
    }
    std::set<TenantName> Cleared;
    for (const auto &[Service, Grants] : Current->Plan.Services)
      for (const auto &[Name, Grant] : Grants.Tenants) {
        StoredQuota &Stored =
            Current->Records.at(quotaRecordOf(Name)).Tenants[Name];
        if (Cleared.insert(Name).second)
          Stored.Shares.clear();
        Stored.Maximum = Grant.Maximum;
        if (Grant.Share != ComputeResources())
          Stored.Shares[Service] = Grant.Share;
      }
    ++this->OpenWrites;
    this->send(Current);
  }
}

void QuotaRecordWriter::send(const std::shared_ptr<Write> &Current) {
  store::StoreTransaction Change;
  Change.Expect = {this->Claim};
  for (const auto &[Service, Token] : Current->Plan.Confirmations)
    Change.Expect.push_back({keys::claim(ShardId::of(Service)), Token});
  for (const auto &[Number, Record] : Current->Records) {
    Change.Expect.push_back(
        {quotaRecordKey(Number), this->Records[Number].Revision});
    Change.Puts.push_back(
        {quotaRecordKey(Number), encodeQuotaRecord(Record), 0});
  }
  this->Shared.Store.Commit(
      Change, onLoop<QuotaRecordWriter, Commit>(
                  this->Shared.Loop, this->shared_from_this(),
                  [Current](QuotaRecordWriter &Self, const Commit &Answer) {
                    Self.handleAnswer(Current, Answer);
                  }));
}

bool QuotaRecordWriter::isLost(const Commit &Answer) const {
  return Answer && !Answer.value().IsCommitted &&
         store::revisionOf(Answer.value().Current, this->Claim.Key) !=
             this->Claim.Revision;
}

void QuotaRecordWriter::handleAnswer(const std::shared_ptr<Write> &Current,
                                     const Commit &Answer) {
  if (this->IsStopped)
    return;
  if (Answer && Answer.value().IsCommitted) {
    for (const auto &[Number, Record] : Current->Records)
      this->Records[Number] = {Answer.value().Revision, Record};
    this->finish(Current, true);
    return;
  }
  logEvent(LogLevel::Warning, "quota-plan-not-stored",
           {{"plan", Current->Plan.Number},
            {"records", Current->Records.size()},
            {"cause", Answer ? std::string("a condition failed")
                             : Answer.error().Message}});
  if (this->isLost(Answer)) {
    this->Hooks.OnLost("another process holds the claim");
    return;
  }
  this->readAgain(Current, static_cast<bool>(Answer));
}

/// Reads the records to find out whether the write has taken effect.
void QuotaRecordWriter::readAgain(const std::shared_ptr<Write> &Current,
                                  bool IsAnswered) {
  // The reader is kept alive by its own calls to the store.
  auto Reading = std::make_shared<std::shared_ptr<QuotaRecordReader>>();
  *Reading = std::make_shared<QuotaRecordReader>(
      this->Shared, [Weak = this->weak_from_this(), Current, IsAnswered,
                     Reading](const std::vector<store::StoreItem> &Items) {
        const auto Self = Weak.lock();
        if (Self && !Self->IsStopped)
          Self->handleRecords(Current, IsAnswered, Items);
        Reading->reset();
      });
  (*Reading)->start();
}

void QuotaRecordWriter::handleRecords(
    const std::shared_ptr<Write> &Current, bool IsAnswered,
    const std::vector<store::StoreItem> &Items) {
  const bool IsUnchanged = std::all_of(
      Current->Records.begin(), Current->Records.end(), [&](const auto &Entry) {
        return store::revisionOf(Items, quotaRecordKey(Entry.first)) ==
               this->Records[Entry.first].Revision;
      });
  if (IsUnchanged && IsAnswered) {
    this->finish(Current, false);
    return;
  }
  if (IsUnchanged) {
    this->preventLateWrite(Current);
    return;
  }
  const std::vector<QuotaRecord> Read = decodeQuotaRecords(Items);
  const bool IsStored = std::all_of(
      Current->Records.begin(), Current->Records.end(), [&](const auto &Entry) {
        return Read[Entry.first].Plan == Current->Plan.Number;
      });
  if (IsStored) {
    for (const auto &[Number, Record] : Current->Records)
      this->Records[Number] = {store::revisionOf(Items, quotaRecordKey(Number)),
                               Record};
    this->finish(Current, true);
    return;
  }
  logEvent(LogLevel::Error, "quota-records-changed",
           {{"plan", Current->Plan.Number}});
  this->finish(Current, false);
  this->Hooks.OnChanged();
}

/// Rewrites the records as they are, so that the write, which expects their old
/// revisions, can no longer take effect.
void QuotaRecordWriter::preventLateWrite(
    const std::shared_ptr<Write> &Current) {
  store::StoreTransaction Change;
  Change.Expect = {this->Claim};
  for (const auto &[Number, Record] : Current->Records) {
    const KnownRecord &Known = this->Records[Number];
    Change.Expect.push_back({quotaRecordKey(Number), Known.Revision});
    Change.Puts.push_back(
        {quotaRecordKey(Number), encodeQuotaRecord(Known.Content), 0});
  }
  this->Shared.Store.Commit(
      Change,
      onLoop<QuotaRecordWriter, Commit>(
          this->Shared.Loop, this->shared_from_this(),
          [Current](QuotaRecordWriter &Self, const Commit &Answer) {
            if (Self.IsStopped)
              return;
            if (Self.isLost(Answer)) {
              Self.Hooks.OnLost("another process holds the claim");
            } else if (Answer && Answer.value().IsCommitted) {
              for (const auto &[Number, Record] : Current->Records)
                Self.Records[Number].Revision = Answer.value().Revision;
              Self.finish(Current, false);
            } else {
              scheduleFor(Self.Shared.Loop, Self.shared_from_this(),
                          Self.Shared.now() + Self.Shared.jittered(RetryDelay),
                          [Current](QuotaRecordWriter &Owner) {
                            if (!Owner.IsStopped)
                              Owner.readAgain(Current, false);
                          });
            }
          }));
}

void QuotaRecordWriter::finish(const std::shared_ptr<Write> &Current,
                               bool IsStored) {
  --this->OpenWrites;
  if (IsStored)
    this->Hooks.OnStored(Current->Plan);
  else
    this->Hooks.OnRefused(Current->Plan);
}

} // namespace whintack::dispatch::Internal
