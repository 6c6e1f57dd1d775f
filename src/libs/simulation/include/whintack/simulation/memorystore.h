#ifndef WHINTACK_SIMULATION_MEMORYSTORE_H
#define WHINTACK_SIMULATION_MEMORYSTORE_H

#include "whintack/simulation/sharedlink.h"

#include "whintack/base/identifier.h"
#include "whintack/base/timerqueue.h"
#include "whintack/store/asyncstore.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace whintack::simulation {

/// How the store handles the calls of a VM.
enum class StoreFaultMode {
  Served,
  /// Each call fails without effect.
  Refused,
  /// Calls have no effect and time out.
  Silent,
  /// Calls are carried out, but time out because their answers are lost.
  AnswersLost,
  /// Calls time out, and are carried out seconds later if their conditions
  /// still hold.
  CarriedOutLate,
  /// Watch calls time out, and all others are served.
  WatchesSilent,
};

/// Number of bytes that the answer takes on the wire.
size_t wireSize(const store::StorePage &Page);
size_t wireSize(const store::WatchAnswer &Answer);
size_t wireSize(const store::CommitAnswer &Answer);
size_t wireSize(store::LeaseId Lease);

/// In-memory implementation of the platform's store with fault injection.
/// Everything runs on the thread of the timer queue \p Loop.
class MemoryStore {
public:
  MemoryStore(Clock Time, TimerQueue &Loop);

  /// The store interface for the calls of \p Vm.
  store::AsyncStore interface(const EntryName &Vm);

  /// Sets how the calls of \p Vm are handled.
  void setFaultMode(const EntryName &Vm, StoreFaultMode Mode);
  /// Sets how the calls of all VMs are handled, and drops the settings made
  /// with setFaultMode().
  void setFaultModeForAll(StoreFaultMode Mode);
  /// Loses the answers to \p Calls watch calls of \p Vm for \p Prefix, as a
  /// connection that goes silent does: those that are waiting, then the next
  /// ones. Each fails after its time-out.
  void loseWatches(const EntryName &Vm, const std::string &Prefix,
                   unsigned Calls);
  /// Number of watch calls of \p Vm for \p Prefix that wait for changes.
  size_t countWatches(const EntryName &Vm, const std::string &Prefix) const;
  /// Sets how long each answer takes.
  void setDelay(Duration Delay) { this->Delay = Delay; }
  /// Limits the link over which \p Vm receives answers. The link of a VM is
  /// unlimited until this is called.
  void setLinkRate(const EntryName &Vm, double BytesPerSecond);
  /// The link of \p Vm; null if it is unlimited.
  SharedLink *linkOf(const EntryName &Vm);
  /// Drops the history of changes. A watch from an earlier revision then fails
  /// with HistoryLost, and the watcher has to read all items again.
  void dropHistory();
  /// Revokes the leases granted to \p Vm before they expire.
  void revokeLeases(const EntryName &Vm);

  /// Writes as the platform itself, without a lease or an expected revision.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  std::optional<std::string> value(const std::string &Key) const;

private:
  struct Lease {
    EntryName Vm;
    Duration Ttl;
    TimePoint ExpiresAt;
  };
  struct Watcher {
    EntryName Vm;
    std::string Prefix;
    uint64_t After = 0;
    TimePoint Deadline;
    store::StoreCallback<store::WatchAnswer> Done;
  };

  StoreFaultMode faultModeFor(const EntryName &Vm) const;
  /// Carries out \p Work and answers, as configured for \p Vm.
  template <typename T>
  void serve(const EntryName &Vm, store::StoreCallback<T> Done,
             std::function<store::StoreResult<T>()> Work);
  /// Passes an answer on once it has come over the link of \p Vm, or fails if
  /// that takes until \p Deadline.
  template <typename T>
  void deliver(const EntryName &Vm, TimePoint Deadline,
               store::StoreResult<T> Answer, store::StoreCallback<T> Done);
  store::StoreResult<store::StorePage> range(const std::string &Prefix,
                                             const std::string &After) const;
  store::StoreResult<store::CommitAnswer>
  commit(const store::StoreTransaction &Change);
  store::StoreResult<store::LeaseId> grant(const EntryName &Vm, Duration Ttl);
  store::StoreResult<void> keepAlive(store::LeaseId Id);
  void endLease(store::LeaseId Id);
  void scheduleExpiry(store::LeaseId Id);
  void watch(Watcher NewWatcher);
  void failAfterTimeout(const Watcher &Lost);
  std::optional<store::WatchAnswer> changesFor(const Watcher &Waiting) const;
  void write(const std::string &Key, const std::string &Value,
             store::LeaseId Lease);
  void erase(const std::string &Key);
  void notifyWatchers();

  Clock Time;
  TimerQueue &Loop;
  Duration Delay = std::chrono::milliseconds(2);
  StoreFaultMode DefaultFaultMode = StoreFaultMode::Served;
  std::map<EntryName, StoreFaultMode> FaultModes;
  std::map<EntryName, std::unique_ptr<SharedLink>> Links;
  /// Number of watch calls whose answers are still to be lost, by VM and
  /// prefix.
  std::map<std::pair<EntryName, std::string>, unsigned> WatchesToLose;
  std::map<std::string, store::StoreItem> Items;
  std::vector<store::StoreChange> History;
  /// Changes up to this revision have been dropped from the history.
  uint64_t CompactedRevision = 0;
  uint64_t Revision = 1000;
  store::LeaseId LastLease = 0;
  std::map<store::LeaseId, Lease> Leases;
  std::list<Watcher> Watchers;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_MEMORYSTORE_H
