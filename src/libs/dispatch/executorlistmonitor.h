#ifndef WHINTACK_DISPATCH_EXECUTORLISTMONITOR_H
#define WHINTACK_DISPATCH_EXECUTORLISTMONITOR_H

#include "context.h"

#include "whintack/jobs/gateways.h"

#include <set>

namespace whintack::dispatch::Internal {

/// Reads the list of executors periodically while this process plans any
/// service. The list is polled because a watch would report every heartbeat of
/// every executor.
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

private:
  void readPage(const std::string &After);
  void handlePage(store::StoreResult<store::StorePage> Answer);
  void scheduleNext();

  Context Shared;
  std::string Prefix;
  decltype(jobs::PlatformCodec::DecodeExecutor) Decode;
  std::function<bool()> IsNeeded;
  ListHook OnList;
  std::vector<jobs::ExecutorInfo> NewList;
  /// Keys of unreadable entries that have been logged already.
  std::set<std::string> Unreadable;
  bool IsReading = false;
  bool IsRefreshRequested = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_EXECUTORLISTMONITOR_H
