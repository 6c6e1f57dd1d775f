#ifndef WHINTACK_STORE_RECORDCLIENT_H
#define WHINTACK_STORE_RECORDCLIENT_H

#include "whintack/base/identifier.h"
#include "whintack/store/callbudget.h"
#include "whintack/store/keyvaluestore.h"

#include <atomic>
#include <cpprest/json.h>
#include <functional>
#include <optional>
#include <vector>

namespace whintack::store {

/// A JSON record with its version and the operations that last wrote it.
struct Record {
  web::json::value Body;
  uint64_t Version = 0;
  std::vector<OperationId> Operations;

  bool exists() const { return this->Version != 0; }
  /// Tells whether \p Operation is among the last to write the record.
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
  /// The operation had written the record before.
  AlreadyWritten,
  /// The change declined what it read.
  Declined,
};

/// An update together with the record as it stands after it.
struct UpdateResult {
  UpdateOutcome Outcome = UpdateOutcome::Declined;
  Record After;
};

/// Changes a record's body, or returns nothing to leave it as it is.
using RecordChange =
    std::function<std::optional<web::json::value>(const Record &Before)>;

/// Reads and writes records in the platform's store.
///
/// Every write carries an operation id that the record keeps. When an answer
/// is lost the record is read back, and the id tells whether the write took
/// effect. Calls stay within the budget and stop while the platform does not
/// answer. Safe for several threads.
class RecordClient {
public:
  RecordClient(KeyValueStore Store, int64_t CallsPerSecond, Clock Time,
               Random Source);

  StoreResult<Record> read(const std::string &Key);
  StoreResult<std::vector<KeyedRecord>> list(const std::string &Prefix);

  /// Applies \p Change to the record, again if others write in between.
  /// Returns Ambiguous only if the record cannot be read back.
  StoreResult<UpdateResult> update(const std::string &Key,
                                   const OperationId &Operation,
                                   const RecordChange &Change,
                                   LeaseId Lease = 0);

  /// Writes content that never changes under the key of its digest.
  StoreResult<void> putImmutable(const std::string &Key,
                                 const std::string &Content);
  StoreResult<VersionedValue> readImmutable(const std::string &Key);

  StoreResult<void> remove(const std::string &Key, uint64_t Version);
  StoreResult<LeaseId> grantLease(Duration Length);
  StoreResult<void> keepAlive(LeaseId Lease);
  StoreResult<void> revoke(LeaseId Lease);

  /// Tells whether the platform has stopped answering.
  bool isCutOff() const { return this->Guard.isOpen(); }

  /// Calls made since the start.
  uint64_t calls() const { return this->Calls; }

private:
  template <typename T>
  StoreResult<T> guarded(const std::function<StoreResult<T>()> &Call);
  StoreResult<UpdateResult> readBack(const std::string &Key,
                                     const OperationId &Operation,
                                     const StoreError &Cause);

  KeyValueStore Store;
  Clock Time;
  CallBudget Budget;
  Breaker Guard;
  std::atomic<uint64_t> Calls{0};
};

} // namespace whintack::store

#endif // WHINTACK_STORE_RECORDCLIENT_H
