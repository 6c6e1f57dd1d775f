#ifndef WHINTACK_SETTINGS_SETTINGS_H
#define WHINTACK_SETTINGS_SETTINGS_H

#include "whintack/base/address.h"
#include "whintack/base/identifier.h"
#include "whintack/base/log.h"
#include "whintack/base/result.h"
#include "whintack/base/time.h"
#include "whintack/document/document.h"

#include <string>
#include <vector>

namespace whintack::settings {

/// Paths of the PEM files with the certificate, the key and the trusted
/// authorities of one listener.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Authority;

  bool isEnabled() const { return !this->Certificate.empty(); }
};

/// An operator who may use the operator interface. Only a salted hash of the
/// token is stored.
struct OperatorAccount {
  OperatorName Name;
  std::string Salt;
  /// SHA-256 hash of salt and token, in hexadecimal digits.
  std::string TokenHash;
};

/// Name, data centre and peer listener of another entry VM.
struct PeerAddress {
  EntryName Name;
  DataCentreName DataCentre;
  Address PeerListener;
};

/// Additional settings of an entry VM on the users' own platform.
struct FleetSettings {
  /// Whether the entry VM accepts and schedules jobs on that platform.
  bool IsEnabled = false;
  /// Listener that the platform polls for the readiness of this VM.
  Address ReadyListener;
  /// Address of the service that lists, maintains and moves machines.
  Address Machines;
  /// Address of the service that advises which executors may run a step. Port 0
  /// means that there is none.
  Address Advice;
  /// Maximum time for which an executor lets tasks run without a message from
  /// an entry VM.
  Duration MaxLease = std::chrono::seconds(6);
  /// Share of a processor core that this VM may use; 2 means two cores.
  double ProcessorShare = 1;
  /// Bandwidth of the VM's link in Mbit/s; 0 if it is not known. VMs with more
  /// of it read the operator's items for the others of their data centre.
  double Bandwidth = 0;
  /// Time within which a change of the configuration must be in force.
  Duration ConfigurationTime = std::chrono::seconds(2);
  /// Time after which a removed key must not work on any VM. Applies only if
  /// RefusesStaleKeys is set.
  Duration KeyRevocationTime = std::chrono::seconds(5);
  /// Refuse calls with keys while the configuration is not known to be newer
  /// than KeyRevocationTime.
  bool RefusesStaleKeys = false;
  /// How long the planner of a service goes on while the store does not answer.
  Duration StoreOutageGrace = Duration::zero();
  /// How long the holder of the fleet shard goes on ordering machines then. A
  /// successor of a holder that was lost orders none for that time.
  Duration MachineOrderGrace = Duration::zero();
  /// Reserve room for large tasks that wait.
  bool ReservesRoom = false;
};

/// Settings of one entry VM, read from its settings file.
struct EntrySettings {
  EntryName Name;
  DataCentreName DataCentre;
  /// Listeners for callers, operators and peers.
  Address CallerListener;
  Address OperatorListener;
  Address PeerListener;
  /// Address of the platform's service.
  Address Platform;
  std::vector<PeerAddress> Peers;
  std::vector<OperatorAccount> Operators;
  TlsFiles CallerTls;
  TlsFiles OperatorTls;
  TlsFiles PlatformTls;
  TlsFiles PeerTls;
  /// Number of threads for HTTP.
  int64_t HttpThreads = 4;
  /// Maximum size of the body of a request or response, in bytes.
  int64_t MaxBodyBytes = 8 << 20;
  /// Maximum number of concurrent requests over all services.
  int64_t MaxRequests = 4096;
  /// Maximum rate of calls to the platform, per second.
  int64_t PlatformCallsPerSecond = 50;
  /// Number of events kept on the time line.
  int64_t TimelineCapacity = 10000;
  /// Interval at which the configuration head and the VM list are polled.
  Duration PollInterval = std::chrono::milliseconds(500);
  /// Maximum time for which a graceful stop waits for requests in flight.
  Duration StopTimeout = std::chrono::seconds(60);
  LogLevel MinLogLevel = LogLevel::Info;
  FleetSettings Fleet;
};

/// Parses and validates the settings of an entry VM. Errors refer to them as
/// \p File.
Result<EntrySettings, document::DocumentError>
parseEntrySettings(const std::string &File, const std::string &Content);

/// One row of the settings reference in docs/OPERATIONS.md.
struct SettingDescription {
  std::string Key;
  std::string Meaning;
  std::string Expected;
};

/// Returns all settings in the order of the reference in docs/OPERATIONS.md.
std::vector<SettingDescription> settingDescriptions();

} // namespace whintack::settings

#endif // WHINTACK_SETTINGS_SETTINGS_H
