#include "whintack/standin/memorykeyvaluestore.h"

namespace whintack::standin {

using store::StoreError;
using store::StoreErrorCode;
using store::StoreResult;

MemoryKeyValueStore::MemoryKeyValueStore(Clock Time) : Time(std::move(Time)) {}

void MemoryKeyValueStore::setFaults(const StoreFaults &Set) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Faults = Set;
}

StoreCalls MemoryKeyValueStore::calls() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Calls;
}

StoreResult<void> MemoryKeyValueStore::checkReachable() {
  if (this->Faults.IsDown)
    return failure(StoreError{StoreErrorCode::Unreachable, "it is down"});
  this->removeExpired();
  return success();
}

void MemoryKeyValueStore::removeExpired() {
  const TimePoint Now = this->Time.Now();
  std::erase_if(this->Leases, [Now](const auto &Item) {
    return Item.second.Deadline <= Now;
  });
  std::erase_if(this->Values, [this](const auto &Item) {
    return Item.second.Lease != 0 && !this->Leases.contains(Item.second.Lease);
  });
}

bool MemoryKeyValueStore::takeAnswerFault() {
  if (this->Faults.LostWriteAnswers == 0)
    return false;
  --this->Faults.LostWriteAnswers;
  return true;
}

static StoreError lostAnswerError() {
  return {StoreErrorCode::Ambiguous, "the answer was lost"};
}

StoreResult<uint64_t>
MemoryKeyValueStore::put(const store::ConditionalPut &Put) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Calls.Writes;
  if (auto Reachable = this->checkReachable(); !Reachable)
    return failure(std::move(Reachable).error());
  if (this->Faults.LostWrites > 0) {
    --this->Faults.LostWrites;
    return failure(lostAnswerError());
  }
  const auto Found = this->Values.find(Put.Key);
  const uint64_t Version =
      Found == this->Values.end() ? 0 : Found->second.Value.Version;
  if (Version != Put.ExpectedVersion)
    return failure(StoreError{StoreErrorCode::Conflict, "it has changed"});
  if (Put.Lease != 0 && !this->Leases.contains(Put.Lease))
    return failure(StoreError{StoreErrorCode::LeaseExpired, "no such lease"});
  if (Put.Value.size() > store::MaxValueBytes)
    return failure(StoreError{StoreErrorCode::TooLarge, "too large"});
  ++this->Revision;
  this->Values[Put.Key] = {{Put.Value, this->Revision}, Put.Lease};
  if (this->takeAnswerFault())
    return failure(lostAnswerError());
  return this->Revision;
}

StoreResult<void> MemoryKeyValueStore::remove(const std::string &Key,
                                              uint64_t Version) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Calls.Writes;
  if (auto Reachable = this->checkReachable(); !Reachable)
    return Reachable;
  const auto Found = this->Values.find(Key);
  if (Found == this->Values.end() || Found->second.Value.Version != Version)
    return failure(StoreError{StoreErrorCode::Conflict, "it has changed"});
  ++this->Revision;
  this->Values.erase(Found);
  if (this->takeAnswerFault())
    return failure(lostAnswerError());
  return success();
}

store::KeyValueStore MemoryKeyValueStore::store() {
  store::KeyValueStore Store;
  Store.Get =
      [this](const std::string &Key) -> StoreResult<store::VersionedValue> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Calls.Reads;
    if (auto Reachable = this->checkReachable(); !Reachable)
      return failure(std::move(Reachable).error());
    const auto Found = this->Values.find(Key);
    if (Found == this->Values.end())
      return store::VersionedValue();
    return Found->second.Value;
  };
  Store.List = [this](const std::string &Prefix)
      -> StoreResult<std::vector<store::KeyedValue>> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Calls.Reads;
    if (auto Reachable = this->checkReachable(); !Reachable)
      return failure(std::move(Reachable).error());
    std::vector<store::KeyedValue> Found;
    for (auto It = this->Values.lower_bound(Prefix);
         It != this->Values.end() && It->first.starts_with(Prefix); ++It)
      Found.push_back({It->first, It->second.Value});
    return Found;
  };
  Store.Put = [this](const store::ConditionalPut &Put) {
    return this->put(Put);
  };
  Store.Remove = [this](const std::string &Key, uint64_t Version) {
    return this->remove(Key, Version);
  };
  Store.GrantLease = [this](Duration Ttl) -> StoreResult<store::LeaseId> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Calls.LeaseCalls;
    if (auto Reachable = this->checkReachable(); !Reachable)
      return failure(std::move(Reachable).error());
    const store::LeaseId Id = ++this->LastLease;
    this->Leases[Id] = {Ttl, this->Time.Now() + Ttl};
    return Id;
  };
  Store.KeepAlive = [this](store::LeaseId Id) -> StoreResult<void> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Calls.LeaseCalls;
    if (auto Reachable = this->checkReachable(); !Reachable)
      return Reachable;
    const auto Found = this->Leases.find(Id);
    if (Found == this->Leases.end())
      return failure(StoreError{StoreErrorCode::LeaseExpired, "it has lapsed"});
    Found->second.Deadline = this->Time.Now() + Found->second.Ttl;
    return success();
  };
  Store.Revoke = [this](store::LeaseId Id) -> StoreResult<void> {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Calls.LeaseCalls;
    if (auto Reachable = this->checkReachable(); !Reachable)
      return Reachable;
    this->Leases.erase(Id);
    this->removeExpired();
    return success();
  };
  return Store;
}

} // namespace whintack::standin
