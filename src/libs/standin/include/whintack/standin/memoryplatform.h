#ifndef WHINTACK_STANDIN_MEMORYPLATFORM_H
#define WHINTACK_STANDIN_MEMORYPLATFORM_H

#include "whintack/base/time.h"
#include "whintack/store/keyvaluestore.h"

#include <map>
#include <mutex>

namespace whintack::standin {

/// What is wrong with the stand-in's store at present.
struct StoreFaults {
  /// All calls fail without effect.
  bool IsDown = false;
  /// So many of the next writes take effect, but their answers are lost.
  unsigned LostWriteAnswers = 0;
  /// So many of the next writes are lost before they take effect, and their
  /// answers too.
  unsigned LostWrites = 0;
};

/// Calls counted since the start.
struct StoreCalls {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t LeaseCalls = 0;
};

/// Stand-in for the platform's key-value service, in memory. Safe for several
/// threads.
class MemoryPlatform {
public:
  explicit MemoryPlatform(Clock Time);

  /// The service; the result refers to this object.
  store::KeyValueStore store();

  void setFaults(const StoreFaults &Faults);
  StoreCalls calls() const;

private:
  struct Stored {
    store::VersionedValue Value;
    store::LeaseId Lease = 0;
  };
  struct Lease {
    Duration Length;
    TimePoint Deadline;
  };

  store::StoreResult<void> checkUp();
  bool loseAnswer();
  void dropLapsed();
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

#endif // WHINTACK_STANDIN_MEMORYPLATFORM_H
