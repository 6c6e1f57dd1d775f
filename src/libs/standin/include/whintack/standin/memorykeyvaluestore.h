#ifndef WHINTACK_STANDIN_MEMORYKEYVALUESTORE_H
#define WHINTACK_STANDIN_MEMORYKEYVALUESTORE_H

#include "whintack/base/time.h"
#include "whintack/store/keyvaluestore.h"

#include <map>
#include <mutex>

namespace whintack::standin {

/// Faults that the in-memory store injects.
struct StoreFaults {
  /// All calls fail without effect.
  bool IsDown = false;
  /// Number of writes, from the next one on, that take effect but whose answers
  /// are lost.
  unsigned LostWriteAnswers = 0;
  /// Number of puts, from the next one on, that fail without effect and are
  /// reported as ambiguous.
  unsigned LostWrites = 0;
};

/// Numbers of calls since the start.
struct StoreCalls {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t LeaseCalls = 0;
};

/// In-memory implementation of the platform's key-value service. Thread-safe.
class MemoryKeyValueStore {
public:
  explicit MemoryKeyValueStore(Clock Time);

  /// The interface of the service; it must not outlive this object.
  store::KeyValueStore store();

  void setFaults(const StoreFaults &Faults);
  StoreCalls calls() const;

private:
  struct Stored {
    store::VersionedValue Value;
    store::LeaseId Lease = 0;
  };
  struct Lease {
    Duration Ttl;
    TimePoint Deadline;
  };

  store::StoreResult<void> checkReachable();
  bool takeAnswerFault();
  void removeExpired();
  store::StoreResult<uint64_t> put(const store::ConditionalPut &Put);
  store::StoreResult<void> remove(const std::string &Key, uint64_t Version);

  Clock Time;
  mutable std::mutex Mutex;
  StoreFaults Faults;
  StoreCalls Calls;
  uint64_t Revision = 0;
  store::LeaseId LastLease = 0;
  std::map<std::string, Stored> Values;
  std::map<store::LeaseId, Lease> Leases;
};

} // namespace whintack::standin

#endif // WHINTACK_STANDIN_MEMORYKEYVALUESTORE_H
