#ifndef WHINTACK_DISPATCH_EXECUTORLISTMONITOR_H
#define WHINTACK_DISPATCH_EXECUTORLISTMONITOR_H

#include "context.h"

#include "whintack/jobs/gateways.h"

#include <map>
#include <set>

namespace whintack::dispatch::Internal {

/// Follows the list of executors while this process plans any service: reads it
/// once, then asks periodically what has changed. A waiting watch would report
/// every heartbeat of every executor on its own.
class ExecutorListMonitor
    : public std::enable_shared_from_this<ExecutorListMonitor> {
public:
  /// Called with the complete list after each read.
  using ListHook = std::function<void(const std::vector<jobs::ExecutorInfo> &)>;

  ExecutorListMonitor(Context Shared, std::string Prefix,
                      decltype(jobs::PlatformCodec::DecodeExecutor) Decode,
                      std::function<bool()> IsNeeded, ListHook OnList);

  void start();
  void stop() { this->IsStopped = true; }
  /// Reads the list without waiting for the interval; if a read is running, the
  /// list is read again after it.
  void refresh();
  /// All changes of the list up to this time are known; TimePoint::min() before
  /// the first read.
  TimePoint knownThrough() const { return this->KnownThrough; }

private:
  /// An entry of the list; it has no content if it cannot be read.
  struct Entry {
    uint64_t Revision = 0;
    std::optional<jobs::ExecutorInfo> Info;
  };
  using EntryMap = std::map<std::string, Entry>;

  void readPage(const std::string &After);
  void handlePage(store::StoreResult<store::StorePage> Answer);
  void readChanges();
  void handleChanges(store::StoreResult<store::WatchAnswer> Answer);
  void adopt(EntryMap &Target, const store::StoreItem &Item);
  void finishRead();
  void scheduleNext();

  Context Shared;
  std::string Prefix;
  decltype(jobs::PlatformCodec::DecodeExecutor) Decode;
  std::function<bool()> IsNeeded;
  ListHook OnList;
  EntryMap Entries;
  /// Revision of the store up to which the entries are known; 0 if they must be
  /// read.
  uint64_t AsOf = 0;
  EntryMap NewEntries;
  uint64_t NewEntriesAsOf = 0;
  unsigned ChangeFailures = 0;
  TimePoint KnownThrough = TimePoint::min();
  /// When the read in progress began.
  TimePoint ReadBegan = TimePoint::min();
  /// Keys of unreadable entries that have been logged already.
  std::set<std::string> Unreadable;
  bool IsReading = false;
  bool IsRefreshRequested = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_EXECUTORLISTMONITOR_H
