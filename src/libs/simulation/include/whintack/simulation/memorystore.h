#ifndef WHINTACK_SIMULATION_MEMORYSTORE_H
#define WHINTACK_SIMULATION_MEMORYSTORE_H

#include "whintack/base/identifier.h"
#include "whintack/base/timerqueue.h"
#include "whintack/store/asyncstore.h"

#include <list>
#include <map>
#include <set>
#include <vector>

namespace whintack::simulation {

/// How the store treats the calls of one VM.
enum class StorePath {
  Served,
  /// Refuses each call without doing anything.
  Refused,
  /// Answers nothing and does nothing.
  Silent,
  /// Does what is asked, and answers nothing.
  AnswersLost,
};

/// The platform's store, kept in memory, on a loop. Everything runs on the
/// loop's thread.
class MemoryStore {
public:
  MemoryStore(Clock Time, TimerQueue &Loop);

  /// The store as \p Vm reaches it.
  store::AsyncStore interface(const EntryName &Vm);

  void setPath(const EntryName &Vm, StorePath Path);
  /// How all VMs are treated that setPath() has not named.
  void setPathOfAll(StorePath Path);
  /// How long each answer takes.
  void setDelay(Duration Delay) { this->Delay = Delay; }
  /// Forgets all changes; watches have to read anew.
  void dropHistory();
  /// Ends the leases that \p Vm was granted, before their time.
  void revokeLeases(const EntryName &Vm);

  /// Writes as the platform does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  std::optional<std::string> value(const std::string &Key) const;

private:
  struct Lease {
    EntryName Vm;
    Duration Length;
    TimePoint Until;
  };
  struct Watcher {
    std::string Prefix;
    uint64_t After = 0;
    TimePoint Until;
    store::StoreCallback<store::WatchAnswer> Done;
  };

  StorePath pathOf(const EntryName &Vm) const;
  /// Carries \p Work out as the path of \p Vm allows, and answers.
  template <typename T>
  void serve(const EntryName &Vm, store::StoreCallback<T> Done,
             std::function<store::StoreResult<T>()> Work);
  store::StoreResult<store::StorePage> range(const std::string &Prefix,
                                             const std::string &After) const;
  store::StoreResult<store::CommitAnswer>
  commit(const store::StoreTransaction &Change);
  store::StoreResult<store::LeaseId> grant(const EntryName &Vm,
                                           Duration Length);
  store::StoreResult<void> keep(store::LeaseId Id);
  void endLease(store::LeaseId Id);
  void expireLater(store::LeaseId Id);
  void watch(const EntryName &Vm, Watcher Added);
  std::optional<store::WatchAnswer> changesFor(const Watcher &Waiting) const;
  void write(const std::string &Key, const std::string &Value,
             store::LeaseId Lease);
  void erase(const std::string &Key);
  void tellWatchers();

  Clock Time;
  TimerQueue &Loop;
  Duration Delay = std::chrono::milliseconds(2);
  StorePath DefaultPath = StorePath::Served;
  std::map<EntryName, StorePath> Paths;
  std::map<std::string, store::StoreItem> Items;
  std::vector<store::StoreChange> History;
  /// Changes up to this revision are forgotten.
  uint64_t Forgotten = 0;
  uint64_t Revision = 1000;
  store::LeaseId LastLease = 0;
  std::map<store::LeaseId, Lease> Leases;
  std::list<Watcher> Watchers;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_MEMORYSTORE_H
