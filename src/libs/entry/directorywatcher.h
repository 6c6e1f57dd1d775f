#ifndef WHINTACK_ENTRY_DIRECTORYWATCHER_H
#define WHINTACK_ENTRY_DIRECTORYWATCHER_H

#include "whintack/base/supervisor.h"
#include "whintack/store/vmdirectory.h"

#include <functional>
#include <mutex>
#include <optional>

namespace whintack::entry::Internal {

/// Reads the platform's list of VMs again and again and keeps the last one.
/// While the platform does not answer the last list stands.
class DirectoryWatcher {
public:
  using ListHook = std::function<void(const std::vector<store::VmInfo> &)>;

  DirectoryWatcher(store::VmDirectory Directory, Duration Interval,
                   ListHook OnList);

  void run(const StopSignal &Stop);

  /// The last list; empty before the first.
  std::vector<store::VmInfo> vms() const;
  bool hasList() const;

private:
  store::VmDirectory Directory;
  Duration Interval;
  ListHook OnList;
  mutable std::mutex Mutex;
  std::optional<std::vector<store::VmInfo>> Last;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_DIRECTORYWATCHER_H
