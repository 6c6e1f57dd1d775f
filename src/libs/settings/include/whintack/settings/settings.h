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

/// Certificate, key and trusted authorities of one listener; PEM files.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Authority;

  bool isEnabled() const { return !this->Certificate.empty(); }
};

/// An operator who may use the operator interface. Only a salted hash of the
/// token is kept.
struct OperatorAccount {
  OperatorName Name;
  std::string Salt;
  /// SHA-256 of salt and token, hexadecimal.
  std::string TokenHash;
};

/// Another entry VM.
struct PeerAddress {
  EntryName Name;
  DataCentreName DataCentre;
  Address Link;
};

/// What an entry VM needs on the users' own platform.
struct FleetSettings {
  /// Whether the VM takes jobs in and plans them there.
  bool IsEnabled = false;
  /// Where the platform asks whether the VM takes connections.
  Address ReadyListener;
  /// Lists, maintains and moves machines.
  Address Machines;
  /// Advises which executors may run a step; port 0 for none.
  Address Advice;
  /// Longest time for which executors let tasks run without word from us.
  Duration LongestLease = std::chrono::seconds(6);
  /// Share of a processor core that this VM may use.
  double ProcessorShare = 1;
};

/// Settings of one entry VM.
struct EntrySettings {
  EntryName Name;
  DataCentreName DataCentre;
  /// Where callers, operators and peers connect to.
  Address CallerListener;
  Address OperatorListener;
  Address PeerListener;
  /// The platform's service.
  Address Platform;
  std::vector<PeerAddress> Peers;
  std::vector<OperatorAccount> Operators;
  TlsFiles CallerTls;
  TlsFiles OperatorTls;
  TlsFiles PlatformTls;
  TlsFiles PeerTls;
  /// Threads that carry HTTP.
  int64_t HttpThreads = 4;
  /// Largest body of a request and of an answer, in bytes.
  int64_t MaxBodyBytes = 8 << 20;
  /// Requests held at once, all services together.
  int64_t MaxRequests = 4096;
  /// Calls a second to the platform.
  int64_t PlatformCallsPerSecond = 50;
  /// Events kept on the time line.
  int64_t TimelineCapacity = 10000;
  /// How long to wait between two looks at the head and the VM list.
  Duration PollInterval = std::chrono::milliseconds(500);
  /// How long a graceful stop waits for requests in flight.
  Duration StopTimeout = std::chrono::seconds(60);
  LogLevel LowestLogged = LogLevel::Info;
  FleetSettings Fleet;
};

/// Parses and checks the settings of an entry VM. \p File is named in errors.
Result<EntrySettings, document::DocumentError>
parseEntrySettings(const std::string &File, const std::string &Content);

/// One row of the reference of settings.
struct SettingDescription {
  std::string Key;
  std::string Meaning;
  std::string Expected;
};

/// All settings, in the order of the reference in docs/OPERATIONS.md.
std::vector<SettingDescription> settingDescriptions();

} // namespace whintack::settings

#endif // WHINTACK_SETTINGS_SETTINGS_H
