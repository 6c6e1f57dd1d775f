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

/// Settings of a whole fleet on loopback addresses of this machine.
struct LocalSettings {
  /// Second octet of the loopback addresses, as in 127.BLOCK.0.1.
  int64_t AddressBlock = 77;
  std::vector<LocalDataCentre> DataCentres;
  Resources VmCapacity;
  Duration RebootTime = std::chrono::milliseconds(300);
  Duration ListLag = std::chrono::milliseconds(100);
  Duration PollInterval = std::chrono::milliseconds(100);
  /// How long a backend server runs a request.
  Duration Work = std::chrono::milliseconds(2);
  int64_t HttpThreads = 8;
  /// Operator accounts. Their tokens are derived from their names, as a local
  /// fleet needs no secrets.
  std::vector<settings::OperatorAccount> Operators;
};

/// The token of an operator of a local fleet is its name with this suffix.
inline constexpr const char *LocalTokenSuffix = "-local-token";

/// Parses the settings of a local fleet; \p File names them in errors.
Result<LocalSettings, document::DocumentError>
parseLocalSettings(const std::string &File, const std::string &Content);

/// Address of the stand-in for the platform.
Address platformAddress(const LocalSettings &Local);
/// Settings of all entry VMs, with all others as their peers.
std::vector<settings::EntrySettings> entrySettings(const LocalSettings &Local);
/// The settings of an entry VM as the YAML file that 'whintack entry' reads.
std::string settingsText(const settings::EntrySettings &Entry);
/// All backend server VMs, not yet assigned to a pool.
std::vector<store::VmInfo> workerVms(const LocalSettings &Local);
/// The entry VMs as the platform lists them.
std::vector<store::VmInfo> entryVms(const LocalSettings &Local);

} // namespace whintack::local

#endif // WHINTACK_LOCAL_LOCALSETTINGS_H
