#ifndef WHINTACK_LOCAL_LOCALFLEET_H
#define WHINTACK_LOCAL_LOCALFLEET_H

#include "whintack/declaration/declaration.h"
#include "whintack/entry/entrynode.h"
#include "whintack/local/localsettings.h"
#include "whintack/standin/backendserver.h"
#include "whintack/standin/memorykeyvaluestore.h"
#include "whintack/standin/platformserver.h"
#include "whintack/standin/vmsimulator.h"

#include <map>
#include <memory>
#include <mutex>

namespace whintack::local {

/// Why a local fleet failed to start.
struct LocalError {
  std::string Message;
};

/// The stand-in for the platform with all backend server VMs, on this machine.
class LocalPlatform {
public:
  /// \p ServiceOfPool maps a pool to the service whose backend server its VMs
  /// run.
  LocalPlatform(LocalSettings Local,
                std::map<PoolName, ServiceName> ServiceOfPool, Clock Time,
                TimerQueue &Timers);
  ~LocalPlatform();

  Result<void, LocalError> start();

  standin::MemoryKeyValueStore &store() { return this->Store; }
  standin::VmSimulator &machines() { return this->Machines; }
  standin::ExecutionCounter &executionCounter() { return this->Counter; }
  const LocalSettings &local() const { return this->Local; }

private:
  void startServer(const store::VmInfo &Vm);
  void stopServer(const store::VmInfo &Vm);
  void setLeaving(const store::VmInfo &Vm);

  LocalSettings Local;
  std::map<PoolName, ServiceName> ServiceOfPool;
  Clock Time;
  TimerQueue &Timers;
  std::mutex Mutex;
  standin::ExecutionCounter Counter;
  std::map<VmName, std::unique_ptr<standin::BackendServer>> Servers;
  standin::MemoryKeyValueStore Store;
  standin::VmSimulator Machines;
  standin::PlatformServer Server;
};

/// A whole fleet in one process: the stand-in for the platform, backend servers
/// and entry VMs, connected over loopback.
class LocalFleet {
public:
  LocalFleet(const LocalSettings &Local,
             std::map<PoolName, ServiceName> ServiceOfPool, const Clock &Time,
             const Random &Source, TimerQueue &Timers);
  ~LocalFleet();

  Result<void, LocalError> start();
  /// Stops all entry VMs gracefully, at the same time. Returns the number of
  /// requests that were cut off.
  size_t stop();

  LocalPlatform &platform() { return this->Platform; }
  const std::vector<settings::EntrySettings> &entries() const {
    return this->Entries;
  }
  entry::EntryNode &node(size_t Index) { return *this->Nodes[Index]; }
  size_t size() const { return this->Entries.size(); }

private:
  LocalPlatform Platform;
  std::vector<settings::EntrySettings> Entries;
  std::vector<std::unique_ptr<entry::EntryNode>> Nodes;
};

/// Maps each pool of \p Declared to the service that it carries.
std::map<PoolName, ServiceName>
servicesByPool(const declaration::Declaration &Declared);

} // namespace whintack::local

#endif // WHINTACK_LOCAL_LOCALFLEET_H
