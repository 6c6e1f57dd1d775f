#ifndef WHINTACK_ENTRY_DIRECTORYWATCHER_H
#define WHINTACK_ENTRY_DIRECTORYWATCHER_H

#include "whintack/base/supervisor.h"
#include "whintack/store/vmdirectory.h"

#include <functional>
#include <mutex>
#include <optional>

namespace whintack::entry::Internal {

/// Polls the platform's list of VMs and stores the last one received, which
/// stays valid while the platform does not answer. Thread-safe.
class DirectoryWatcher {
public:
  using ListHook = std::function<void(const std::vector<store::VmInfo> &)>;

  DirectoryWatcher(store::VmDirectory Directory, Duration Interval,
                   ListHook OnList);

  /// Polls the list every interval and calls the hook with it, until stopped.
  void run(const StopSignal &Stop);

  /// The last list received; empty before the first.
  std::vector<store::VmInfo> vms() const;
  /// Whether a list has been received.
  bool hasList() const;

private:
  store::VmDirectory Directory;
  Duration Interval;
  ListHook OnList;
  mutable std::mutex Mutex;
  std::optional<std::vector<store::VmInfo>> LastList;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_DIRECTORYWATCHER_H
