#include "directorywatcher.h"

namespace whintack::entry::Internal {

DirectoryWatcher::DirectoryWatcher(store::VmDirectory Directory,
                                   Duration Interval, ListHook OnList)
    : Directory(std::move(Directory)), Interval(Interval),
      OnList(std::move(OnList)) {}

void DirectoryWatcher::run(const StopSignal &Stop) {
  while (!Stop.isRequested()) {
    auto Listed = this->Directory.List();
    if (Listed) {
      {
        const std::lock_guard<std::mutex> Lock(this->Mutex);
        this->LastList = Listed.value();
      }
      this->OnList(Listed.value());
    }
    Stop.waitFor(this->Interval);
  }
}

std::vector<store::VmInfo> DirectoryWatcher::vms() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->LastList.value_or(std::vector<store::VmInfo>());
}

bool DirectoryWatcher::hasList() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->LastList.has_value();
}

} // namespace whintack::entry::Internal
