#ifndef WHINTACK_STORE_RECORDCLIENT_H
#define WHINTACK_STORE_RECORDCLIENT_H

#include "whintack/base/identifier.h"
#include "whintack/store/callratelimiter.h"
#include "whintack/store/keyvaluestore.h"

#include <atomic>
#include <cpprest/json.h>
#include <functional>
#include <optional>
#include <vector>

namespace whintack::store {

/// A JSON record with its version and the ids of the operations that last wrote
/// it.
struct Record {
  web::json::value Body;
  uint64_t Version = 0;
  std::vector<OperationId> Operations;

  bool exists() const { return this->Version != 0; }
  /// Returns whether \p Operation is among the last to write the record.
  bool wasWrittenBy(const OperationId &Operation) const;
};

/// A record with its key.
struct KeyedRecord {
  std::string Key;
  Record Stored;
};

/// How an update ended.
enum class UpdateOutcome {
  /// This call wrote the record.
  Written,
  /// The record already contains the operation, from an earlier attempt.
  AlreadyWritten,
  /// The change function returned nothing for the record that it was given.
  Declined,
};

/// The outcome of an update with the record as it is after it.
struct UpdateResult {
  UpdateOutcome Outcome = UpdateOutcome::Declined;
  Record After;
};

/// Returns the new body for a record, or nothing to leave the record as it is.
/// Called again if another client has written the record in between.
using RecordChange =
    std::function<std::optional<web::json::value>(const Record &Before)>;

/// Reads and writes records in the platform's store.
///
/// Every write stores its operation id in the record. If the answer to a write
/// is lost, the record is read back and the id shows whether the write took
/// effect. Calls are limited per second, and stop while the platform does not
/// answer. Safe for several threads.
class RecordClient {
public:
  RecordClient(KeyValueStore Store, int64_t CallsPerSecond, Clock Time,
               Random Source);

  StoreResult<Record> read(const std::string &Key);
  StoreResult<std::vector<KeyedRecord>> list(const std::string &Prefix);

  /// Applies \p Change to the record and writes the result, bound to \p Lease
  /// unless that is 0. Reads the record and applies the change again if another
  /// client has written in between. Returns Ambiguous only if an answer to a
  /// write was lost and the record cannot be read back.
  StoreResult<UpdateResult> update(const std::string &Key,
                                   const OperationId &Operation,
                                   const RecordChange &Change,
                                   LeaseId Lease = 0);

  /// Writes content that never changes, under a key made of its digest. Content
  /// that already exists under the key counts as success.
  StoreResult<void> putImmutable(const std::string &Key,
                                 const std::string &Content);
  /// Reads content that putImmutable() has written.
  StoreResult<VersionedValue> readImmutable(const std::string &Key);

  StoreResult<void> remove(const std::string &Key, uint64_t Version);
  StoreResult<LeaseId> grantLease(Duration Length);
  StoreResult<void> keepAlive(LeaseId Lease);
  StoreResult<void> revoke(LeaseId Lease);

  /// Returns whether calls are held back because the platform has stopped
  /// answering.
  bool isCircuitOpen() const { return this->Breaker.isOpen(); }

  /// Number of calls made since the start.
  uint64_t calls() const { return this->Calls; }

private:
  /// Makes one call to the store, subject to the rate limit and the circuit
  /// breaker.
  template <typename T>
  StoreResult<T> callPlatform(const std::function<StoreResult<T>()> &Call);
  /// Reads the record after a write whose answer was lost. The outcome is
  /// Written if the record contains \p Operation, else Declined. \p Cause is
  /// the error of the write.
  StoreResult<UpdateResult> readBack(const std::string &Key,
                                     const OperationId &Operation,
                                     const StoreError &Cause);

  KeyValueStore Store;
  Clock Time;
  CallRateLimiter RateLimiter;
  CircuitBreaker Breaker;
  std::atomic<uint64_t> Calls{0};
};

} // namespace whintack::store

#endif // WHINTACK_STORE_RECORDCLIENT_H
