#ifndef WHINTACK_LOCAL_LOCALSETTINGS_H
#define WHINTACK_LOCAL_LOCALSETTINGS_H

#include "whintack/declaration/resources.h"
#include "whintack/document/document.h"
#include "whintack/settings/settings.h"
#include "whintack/store/vmdirectory.h"

#include <vector>

namespace whintack::local {

/// One data centre of a fleet on this machine.
struct LocalDataCentre {
  DataCentreName Name;
  int64_t Entries = 2;
  int64_t Racks = 3;
  int64_t VmsPerRack = 4;
};

/// A whole fleet on loopback addresses of this machine.
struct LocalSettings {
  /// Second number of the loopback addresses, as in 127.BLOCK.0.1.
  int64_t AddressBlock = 77;
  std::vector<LocalDataCentre> DataCentres;
  Resources VmCapacity;
  Duration RebootTime = std::chrono::milliseconds(300);
  Duration ListLag = std::chrono::milliseconds(100);
  Duration PollInterval = std::chrono::milliseconds(100);
  Duration Work = std::chrono::milliseconds(2);
  int64_t HttpThreads = 8;
  /// Operators with the token to use; local fleets hide nothing.
  std::vector<settings::OperatorAccount> Operators;
};

/// Token of the operators of a local fleet: their name with this after it.
inline constexpr const char *LocalTokenSuffix = "-local-token";

Result<LocalSettings, document::DocumentError>
parseLocalSettings(const std::string &File, const std::string &Content);

/// Address of the platform's stand-in.
Address platformAddress(const LocalSettings &Local);
/// Settings of all entry VMs.
std::vector<settings::EntrySettings> entrySettings(const LocalSettings &Local);
/// The settings file of one entry VM, as 'whintack entry' reads it.
std::string settingsText(const settings::EntrySettings &Entry);
/// All backend server VMs, without a pool.
std::vector<store::VmInfo> workerVms(const LocalSettings &Local);
/// How the platform lists the entry VMs.
std::vector<store::VmInfo> entryVms(const LocalSettings &Local);

} // namespace whintack::local

#endif // WHINTACK_LOCAL_LOCALSETTINGS_H
