#include "whintack/store/recordclient.h"

#include <algorithm>

namespace whintack::store {

/// Number of operation ids that a record keeps. A write whose answer was lost
/// is recognised as long as fewer other writes than this have followed it.
static constexpr size_t MaxRecordedOperations = 16;
static constexpr unsigned MaxAttempts = 8;

bool Record::wasWrittenBy(const OperationId &Operation) const {
  return std::find(this->Operations.begin(), this->Operations.end(),
                   Operation) != this->Operations.end();
}

static StoreResult<Record> decodeRecord(const VersionedValue &Stored) {
  Record Decoded;
  Decoded.Version = Stored.Version;
  if (!Stored.exists())
    return Decoded;
  try {
    const web::json::value Envelope = web::json::value::parse(Stored.Value);
    Decoded.Body = Envelope.at("body");
    for (const web::json::value &Id : Envelope.at("operations").as_array())
      Decoded.Operations.emplace_back(Id.as_string());
  } catch (const std::exception &Error) {
    return failure(StoreError{StoreErrorCode::BadAnswer, Error.what()});
  }
  return Decoded;
}

static std::string encodeRecord(const Record &Before,
                                const web::json::value &Body,
                                const OperationId &Operation) {
  std::vector<web::json::value> Ids;
  const size_t Kept =
      std::min(Before.Operations.size(), MaxRecordedOperations - 1);
  for (size_t Index = Before.Operations.size() - Kept;
       Index < Before.Operations.size(); ++Index)
    Ids.push_back(web::json::value(Before.Operations[Index].text()));
  Ids.push_back(web::json::value(Operation.text()));
  web::json::value Envelope;
  Envelope["operations"] = web::json::value::array(Ids);
  Envelope["body"] = Body;
  return Envelope.serialize();
}

RecordClient::RecordClient(KeyValueStore Store, int64_t CallsPerSecond,
                           Clock Time, Random Source)
    : Store(std::move(Store)), Time(std::move(Time)),
      RateLimiter(CallsPerSecond, this->Time.Now()),
      Breaker(std::move(Source)) {}

template <typename T>
StoreResult<T>
RecordClient::callPlatform(const std::function<StoreResult<T>()> &Call) {
  const TimePoint Now = this->Time.Now();
  if (!this->Breaker.allowsCall(Now))
    return failure(
        StoreError{StoreErrorCode::Unreachable, "the platform is cut off"});
  if (!this->RateLimiter.tryAcquire(Now))
    return failure(StoreError{StoreErrorCode::OverBudget,
                              "the calls of this second are used up"});
  ++this->Calls;
  StoreResult<T> Answer = Call();
  const bool IsDown =
      !Answer && (Answer.error().Code == StoreErrorCode::Unreachable ||
                  Answer.error().Code == StoreErrorCode::Ambiguous);
  if (IsDown)
    this->Breaker.recordFailure(this->Time.Now());
  else
    this->Breaker.recordSuccess();
  return Answer;
}

StoreResult<Record> RecordClient::read(const std::string &Key) {
  auto Stored = this->callPlatform<VersionedValue>(
      [this, &Key] { return this->Store.Get(Key); });
  if (!Stored)
    return failure(std::move(Stored).error());
  return decodeRecord(Stored.value());
}

StoreResult<std::vector<KeyedRecord>>
RecordClient::list(const std::string &Prefix) {
  auto Stored = this->callPlatform<std::vector<KeyedValue>>(
      [this, &Prefix] { return this->Store.List(Prefix); });
  if (!Stored)
    return failure(std::move(Stored).error());
  std::vector<KeyedRecord> Records;
  for (const KeyedValue &Item : Stored.value()) {
    auto Decoded = decodeRecord(Item.Stored);
    if (!Decoded)
      return failure(std::move(Decoded).error());
    Records.push_back({Item.Key, std::move(Decoded).value()});
  }
  return Records;
}

StoreResult<UpdateResult> RecordClient::readBack(const std::string &Key,
                                                 const OperationId &Operation,
                                                 const StoreError &Cause) {
  for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Found = this->read(Key);
    if (!Found)
      continue;
    UpdateResult Result;
    Result.After = std::move(Found).value();
    if (Result.After.wasWrittenBy(Operation))
      Result.Outcome = UpdateOutcome::Written;
    return Result;
  }
  return failure(StoreError{StoreErrorCode::Ambiguous,
                            "outcome unknown: " + Cause.Message});
}

/// A write whose answer was lost may still take effect later, so an error that
/// follows it must not be reported as "not written".
static StoreError markAmbiguousIf(bool MayTakeEffect, StoreError Error) {
  if (MayTakeEffect)
    Error.Code = StoreErrorCode::Ambiguous;
  return Error;
}

StoreResult<UpdateResult> RecordClient::update(const std::string &Key,
                                               const OperationId &Operation,
                                               const RecordChange &Change,
                                               LeaseId Lease) {
  StoreError Last{StoreErrorCode::Conflict, "others kept writing " + Key};
  bool MayTakeEffect = false;
  for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Found = this->read(Key);
    if (!Found)
      return failure(markAmbiguousIf(MayTakeEffect, std::move(Found).error()));
    Record Before = std::move(Found).value();
    if (Before.wasWrittenBy(Operation))
      return UpdateResult{UpdateOutcome::AlreadyWritten, std::move(Before)};
    const std::optional<web::json::value> Body = Change(Before);
    if (!Body)
      return UpdateResult{UpdateOutcome::Declined, std::move(Before)};
    ConditionalPut Put;
    Put.Key = Key;
    Put.ExpectedVersion = Before.Version;
    Put.Value = encodeRecord(Before, *Body, Operation);
    Put.Lease = Lease;
    if (Put.Value.size() > MaxValueBytes)
      return failure(StoreError{StoreErrorCode::TooLarge,
                                Key + " would exceed the largest value"});
    auto Written = this->callPlatform<uint64_t>(
        [this, &Put] { return this->Store.Put(Put); });
    if (Written) {
      Before.Operations.push_back(Operation);
      return UpdateResult{
          UpdateOutcome::Written,
          Record{*Body, Written.value(), std::move(Before.Operations)}};
    }
    Last = std::move(Written).error();
    if (Last.Code == StoreErrorCode::Ambiguous) {
      MayTakeEffect = true;
      auto Known = this->readBack(Key, Operation, Last);
      if (!Known || Known.value().Outcome == UpdateOutcome::Written)
        return Known;
    } else if (Last.Code != StoreErrorCode::Conflict) {
      return failure(markAmbiguousIf(MayTakeEffect, std::move(Last)));
    }
  }
  return failure(markAmbiguousIf(MayTakeEffect, std::move(Last)));
}

StoreResult<void> RecordClient::putImmutable(const std::string &Key,
                                             const std::string &Content) {
  if (Content.size() > MaxValueBytes)
    return failure(StoreError{StoreErrorCode::TooLarge,
                              Key + " would exceed the largest value"});
  for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Written = this->callPlatform<uint64_t>([this, &Key, &Content] {
      return this->Store.Put(ConditionalPut{Key, 0, Content, 0});
    });
    if (Written || Written.error().Code == StoreErrorCode::Conflict)
      return success();
    if (Written.error().Code != StoreErrorCode::Ambiguous)
      return failure(std::move(Written).error());
  }
  return failure(
      StoreError{StoreErrorCode::Unreachable, "no answer about " + Key});
}

StoreResult<VersionedValue>
RecordClient::readImmutable(const std::string &Key) {
  return this->callPlatform<VersionedValue>(
      [this, &Key] { return this->Store.Get(Key); });
}

StoreResult<void> RecordClient::remove(const std::string &Key,
                                       uint64_t Version) {
  return this->callPlatform<void>(
      [this, &Key, Version] { return this->Store.Remove(Key, Version); });
}

StoreResult<LeaseId> RecordClient::grantLease(Duration Length) {
  return this->callPlatform<LeaseId>(
      [this, Length] { return this->Store.GrantLease(Length); });
}

StoreResult<void> RecordClient::keepAlive(LeaseId Lease) {
  return this->callPlatform<void>(
      [this, Lease] { return this->Store.KeepAlive(Lease); });
}

StoreResult<void> RecordClient::revoke(LeaseId Lease) {
  return this->callPlatform<void>(
      [this, Lease] { return this->Store.Revoke(Lease); });
}

} // namespace whintack::store
