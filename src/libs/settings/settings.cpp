#include "whintack/settings/settings.h"

#include <algorithm>
#include <charconv>

namespace whintack::settings {

static constexpr int64_t MaxThreads = 256;
static constexpr int64_t MaxBodyBytesValue = 1 << 30;
static constexpr int64_t MaxRequestsValue = 1000000;
static constexpr int64_t MaxCallsPerSecond = 10000;
static constexpr int64_t MaxEvents = 10000000;
static constexpr size_t TokenHashDigits = 64;

static constexpr EnumNames<LogLevel, 3> LogLevelNames = {{
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

static Address readAddress(document::FieldReader &Reader,
                           const std::string &Key) {
  const std::string Text = Reader.requiredText(Key);
  if (Text.empty())
    return {};
  if (const std::optional<Address> Parsed = parseAddress(Text))
    return *Parsed;
  Reader.error(Key, "'" + Text +
                        "' is not an address; expected an IP number and a "
                        "port, as in 10.1.2.3:8080");
  return {};
}

static TlsFiles readTls(document::FieldReader &Reader, const std::string &Key) {
  TlsFiles Read;
  Reader.mapping(Key, [&Read](document::FieldReader &Inner) {
    Read.Certificate = Inner.text("certificate", "");
    Read.Key = Inner.text("key", "");
    Read.Authority = Inner.text("authority", "");
    if (Read.Certificate.empty() != Read.Key.empty())
      Inner.error("", "'certificate' and 'key' must be set together");
  });
  return Read;
}

static PeerAddress readPeer(document::FieldReader &Reader) {
  PeerAddress Read;
  Read.Name = EntryName(Reader.requiredName("name"));
  Read.DataCentre = DataCentreName(Reader.requiredName("data-centre"));
  Read.PeerListener = readAddress(Reader, "address");
  return Read;
}

static OperatorAccount readOperator(document::FieldReader &Reader) {
  OperatorAccount Read;
  Read.Name = OperatorName(Reader.requiredName("name"));
  Read.Salt = Reader.requiredText("salt");
  Read.TokenHash = Reader.requiredText("token-hash");
  const bool IsHash =
      Read.TokenHash.size() == TokenHashDigits &&
      Read.TokenHash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!Read.TokenHash.empty() && !IsHash)
    Reader.error("token-hash", "expected 64 lower-case hexadecimal digits, as "
                               "printed by 'whintack token'");
  return Read;
}

static void readListeners(document::FieldReader &Root, EntrySettings &Read) {
  Root.mapping("listen", [&Read](document::FieldReader &Reader) {
    Read.CallerListener = readAddress(Reader, "callers");
    Read.OperatorListener = readAddress(Reader, "operators");
    Read.PeerListener = readAddress(Reader, "peers");
  });
  if (Read.CallerListener.Port == 0)
    Root.error("listen", "'listen' must set callers, operators and peers");
}

/// What a setting that is not a whole number may be.
struct RealRange {
  double Min = 0;
  double Max = 0;
  double Default = 0;
  const char *Expected = "";
};

/// Share of a processor core that this VM may use. Values above 1 mean more
/// than one core.
static constexpr RealRange ProcessorShareRange = {
    0.01, 1024, 1, "a share of a core, 0.01 to 1024"};
static constexpr RealRange BandwidthRange = {
    0, 1e6, 0, "a number of Mbit/s, 0 to 1000000"};

static double readReal(document::FieldReader &Reader, const std::string &Key,
                       const RealRange &Range) {
  const std::string Text = Reader.text(Key, "");
  if (Text.empty())
    return Range.Default;
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  const bool IsInRange = Read.ec == std::errc() && Read.ptr == End &&
                         Number >= Range.Min && Number <= Range.Max;
  if (IsInRange)
    return Number;
  Reader.error(Key, "'" + Text + "' is not " + Range.Expected);
  return Range.Default;
}

static void readFleet(document::FieldReader &Root, EntrySettings &Read) {
  Root.mapping("fleet", [&Read](document::FieldReader &Reader) {
    FleetSettings &Fleet = Read.Fleet;
    Fleet.IsEnabled = true;
    Fleet.ReadyListener = readAddress(Reader, "ready");
    Fleet.Machines = readAddress(Reader, "machines");
    if (const std::string Advice = Reader.text("advice", ""); !Advice.empty()) {
      if (const std::optional<Address> Parsed = parseAddress(Advice))
        Fleet.Advice = *Parsed;
      else
        Reader.error("advice", "'" + Advice + "' is not an address");
    }
    Fleet.MaxLease =
        Reader.duration("longest-lease", Fleet.MaxLease,
                        std::chrono::milliseconds(100), std::chrono::hours(1));
    Fleet.ProcessorShare =
        readReal(Reader, "processor-share", ProcessorShareRange);
    Fleet.Bandwidth = readReal(Reader, "bandwidth", BandwidthRange);
    Fleet.ConfigurationTime =
        Reader.duration("configuration-time", Fleet.ConfigurationTime,
                        std::chrono::milliseconds(1000), std::chrono::hours(1));
    Fleet.KeyRevocationTime =
        Reader.duration("key-revocation-time", Fleet.KeyRevocationTime,
                        std::chrono::milliseconds(1000), std::chrono::hours(1));
    Fleet.RefusesStaleKeys =
        Reader.boolean("refuse-stale-keys", Fleet.RefusesStaleKeys);
    Fleet.StoreOutageGrace =
        Reader.duration("store-outage-grace", Fleet.StoreOutageGrace,
                        Duration::zero(), std::chrono::minutes(1));
    Fleet.MachineOrderGrace =
        Reader.duration("machine-order-grace", Fleet.MachineOrderGrace,
                        Duration::zero(), std::chrono::minutes(1));
    Fleet.ReservesRoom = Reader.boolean("reserve-room", Fleet.ReservesRoom);
  });
}

static void readTlsFiles(document::FieldReader &Root, EntrySettings &Read) {
  Root.mapping("tls", [&Read](document::FieldReader &Reader) {
    Read.CallerTls = readTls(Reader, "callers");
    Read.OperatorTls = readTls(Reader, "operators");
    Read.PlatformTls = readTls(Reader, "platform");
    Read.PeerTls = readTls(Reader, "peers");
  });
}

static void readLimits(document::FieldReader &Root, EntrySettings &Read) {
  Root.mapping("limits", [&Read](document::FieldReader &Reader) {
    Read.HttpThreads =
        Reader.number("http-threads", Read.HttpThreads, 1, MaxThreads);
    Read.MaxBodyBytes = Reader.number("max-body-bytes", Read.MaxBodyBytes, 1,
                                      MaxBodyBytesValue);
    Read.MaxRequests =
        Reader.number("max-requests", Read.MaxRequests, 1, MaxRequestsValue);
    Read.PlatformCallsPerSecond =
        Reader.number("platform-calls-per-second", Read.PlatformCallsPerSecond,
                      1, MaxCallsPerSecond);
    Read.TimelineCapacity =
        Reader.number("timeline-events", Read.TimelineCapacity, 1, MaxEvents);
  });
}

static void checkPeers(document::FieldReader &Root, const EntrySettings &Read) {
  std::vector<EntryName> SeenNames = {Read.Name};
  for (const PeerAddress &Peer : Read.Peers) {
    if (std::find(SeenNames.begin(), SeenNames.end(), Peer.Name) !=
        SeenNames.end())
      Root.error("peers", "'" + Peer.Name.text() + "' stands twice");
    SeenNames.push_back(Peer.Name);
  }
}

static void readEntry(document::FieldReader &Root, EntrySettings &Read) {
  Read.Name = EntryName(Root.requiredName("name"));
  Read.DataCentre = DataCentreName(Root.requiredName("data-centre"));
  readListeners(Root, Read);
  Read.Platform = readAddress(Root, "platform");
  Root.sequence("peers", [&Read](document::FieldReader &Reader) {
    Read.Peers.push_back(readPeer(Reader));
  });
  checkPeers(Root, Read);
  Root.sequence("operators", [&Read](document::FieldReader &Reader) {
    Read.Operators.push_back(readOperator(Reader));
  });
  readTlsFiles(Root, Read);
  readFleet(Root, Read);
  readLimits(Root, Read);
  Read.PollInterval =
      Root.duration("poll-interval", Read.PollInterval,
                    std::chrono::milliseconds(20), std::chrono::seconds(10));
  Read.StopTimeout =
      Root.duration("stop-timeout", Read.StopTimeout, std::chrono::seconds(1),
                    std::chrono::hours(24));
  Read.MinLogLevel = Root.choice("log-level", LogLevelNames, Read.MinLogLevel);
}

Result<EntrySettings, document::DocumentError>
parseEntrySettings(const std::string &File, const std::string &Content) {
  EntrySettings Read;
  auto Parsed = document::readDocument(
      File, Content, [&Read](auto &Root) { readEntry(Root, Read); });
  if (!Parsed)
    return failure(std::move(Parsed).error());
  return Read;
}

std::vector<SettingDescription> settingDescriptions() {
  return {
      {"name", "name of this entry VM", "text, required"},
      {"data-centre", "data centre it stands in", "text, required"},
      {"listen.callers", "where callers connect", "ip:port, required"},
      {"listen.operators", "where operators connect", "ip:port, required"},
      {"listen.peers", "where other entry VMs connect", "ip:port, required"},
      {"platform", "the platform's service", "ip:port, required"},
      {"peers[].name", "name of another entry VM", "text"},
      {"peers[].data-centre", "its data centre", "text"},
      {"peers[].address", "its peer listener", "ip:port"},
      {"operators[].name", "name of an operator", "text"},
      {"operators[].salt", "salt of the token's hash", "text"},
      {"operators[].token-hash", "hash, from 'whintack token'", "64 digits"},
      {"tls.callers", "certificate, key", "PEM files"},
      {"tls.operators", "certificate, key", "PEM files"},
      {"tls.platform", "authority, to reach the platform by TLS", "PEM file"},
      {"tls.peers", "certificate, key, authority", "PEM files"},
      {"limits.http-threads", "threads that carry HTTP", "1 to 256, 4"},
      {"limits.max-body-bytes", "largest body", "bytes, 8388608"},
      {"limits.max-requests", "requests held at once", "1 to 1000000, 4096"},
      {"limits.platform-calls-per-second", "calls to the platform",
       "1 to 10000, 50"},
      {"limits.timeline-events", "events kept", "1 to 10000000, 10000"},
      {"poll-interval", "time between looks at the platform",
       "20ms to 10s, 500ms"},
      {"stop-timeout", "longest wait of a graceful stop", "1s to 1d, 60s"},
      {"fleet.ready", "where the users' platform asks for readiness",
       "ip:port; a section 'fleet' turns jobs on"},
      {"fleet.machines", "the platform's list of machines", "ip:port"},
      {"fleet.advice", "the platform's advice on executors", "ip:port"},
      {"fleet.longest-lease", "longest lease of tasks", "100ms to 1h, 6s"},
      {"fleet.processor-share", "share of a core that this VM may use",
       "0.01 to 1024, 1"},
      {"fleet.bandwidth",
       "bandwidth of this VM's link in Mbit/s; the VMs of a data centre with "
       "most of it read the configuration for the others",
       "0 to 1000000, 0"},
      {"fleet.configuration-time",
       "time within which a change of the configuration must be in force",
       "1s to 1h, 2s"},
      {"fleet.key-revocation-time",
       "time after which a removed key must not work on any VM",
       "1s to 1h, 5s"},
      {"fleet.refuse-stale-keys",
       "refuse calls with keys while the configuration may be older than that",
       "true or false, false"},
      {"fleet.store-outage-grace",
       "how long planners go on while the store does not answer; the same on "
       "all "
       "VMs",
       "0s to 1min, 0s"},
      {"fleet.machine-order-grace",
       "how long machines are still moved then; a successor of a lost holder "
       "moves none for this time and 5 s more",
       "0s to 1min, 0s"},
      {"fleet.reserve-room", "reserve room for large tasks that wait",
       "true or false, false"},
      {"log-level", "lowest level logged", "info, warning, error; info"},
  };
}

} // namespace whintack::settings
