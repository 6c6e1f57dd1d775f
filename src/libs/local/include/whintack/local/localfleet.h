#ifndef WHINTACK_LOCAL_LOCALFLEET_H
#define WHINTACK_LOCAL_LOCALFLEET_H

#include "whintack/declaration/declaration.h"
#include "whintack/entry/entrynode.h"
#include "whintack/local/localsettings.h"
#include "whintack/standin/backendserver.h"
#include "whintack/standin/memoryplatform.h"
#include "whintack/standin/platformserver.h"
#include "whintack/standin/vmmachines.h"

#include <map>
#include <memory>
#include <mutex>

namespace whintack::local {

/// Error of a local fleet that cannot start.
struct LocalError {
  std::string Message;
};

/// The platform's stand-in with all backend server VMs, on this machine.
class LocalPlatform {
public:
  /// \p ServiceOfPool tells which service's server a VM of a pool runs.
  LocalPlatform(LocalSettings Local,
                std::map<PoolName, ServiceName> ServiceOfPool, Clock Time,
                TimerQueue &Timers);
  ~LocalPlatform();

  Result<void, LocalError> start();

  standin::MemoryPlatform &store() { return this->Store; }
  standin::VmMachines &machines() { return this->Machines; }
  standin::ExecutionLedger &ledger() { return this->Ledger; }
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
  standin::ExecutionLedger Ledger;
  std::map<VmName, std::unique_ptr<standin::BackendServer>> Servers;
  standin::MemoryPlatform Store;
  standin::VmMachines Machines;
  standin::PlatformServer Server;
};

/// A whole fleet in one process: the platform's stand-in, backend servers and
/// entry VMs, all talking over loopback.
class LocalFleet {
public:
  LocalFleet(const LocalSettings &Local,
             std::map<PoolName, ServiceName> ServiceOfPool, const Clock &Time,
             const Random &Source, TimerQueue &Timers);
  ~LocalFleet();

  Result<void, LocalError> start();
  /// Stops all entry VMs gracefully. Returns the requests cut off.
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

/// The service carried by each pool of \p Declared.
std::map<PoolName, ServiceName>
servicesByPool(const declaration::Declaration &Declared);

} // namespace whintack::local

#endif // WHINTACK_LOCAL_LOCALFLEET_H
