#include "whintack/local/localsettings.h"

#include "whintack/entry/operatorauth.h"

namespace whintack::local {

static constexpr uint16_t PlatformPort = 2379;
static constexpr uint16_t CallerPort = 8080;
static constexpr uint16_t OperatorPort = 8081;
static constexpr uint16_t PeerPort = 8082;
static constexpr uint16_t ServerPort = 9000;
static constexpr int64_t MaxEntries = 20;
static constexpr int64_t MaxRacks = 50;
static constexpr int64_t MaxVmsPerRack = 50;
static constexpr int64_t MaxAddressBlock = 254;
static constexpr int64_t EntryNetwork = 1;
static constexpr int64_t FirstServerNetwork = 2;
static constexpr int64_t HostsPerNetwork = 250;

static std::string loopbackAddress(const LocalSettings &Local, int64_t Network,
                                   int64_t Host) {
  return "127." + std::to_string(Local.AddressBlock) + "." +
         std::to_string(Network) + "." + std::to_string(Host);
}

static LocalDataCentre readDataCentre(document::FieldReader &Reader) {
  LocalDataCentre Read;
  Read.Name = DataCentreName(Reader.requiredName("name"));
  Read.Entries = Reader.number("entries", Read.Entries, 1, MaxEntries);
  Read.Racks = Reader.number("racks", Read.Racks, 1, MaxRacks);
  Read.VmsPerRack =
      Reader.number("vms-per-rack", Read.VmsPerRack, 1, MaxVmsPerRack);
  return Read;
}

static settings::OperatorAccount makeOperator(const std::string &Name) {
  settings::OperatorAccount Account;
  Account.Name = OperatorName(Name);
  Account.Salt = "local-" + Name;
  Account.TokenHash = entry::hashToken(Account.Salt, Name + LocalTokenSuffix);
  return Account;
}

static void readLocal(document::FieldReader &Root, LocalSettings &Read) {
  Read.AddressBlock =
      Root.number("address-block", Read.AddressBlock, 1, MaxAddressBlock);
  Root.sequence("data-centres", [&Read](document::FieldReader &Reader) {
    Read.DataCentres.push_back(readDataCentre(Reader));
  });
  if (Read.DataCentres.empty())
    Root.error("data-centres", "expected at least one data centre");
  constexpr int64_t MaxCores = 1024;
  constexpr int64_t MaxGigabytes = 65536;
  Read.VmCapacity.MilliCores =
      Root.number("vm-cores", 64, 1, MaxCores) * MilliCoresPerCore;
  Read.VmCapacity.MemoryMb =
      Root.number("vm-memory-gb", 256, 1, MaxGigabytes) * MegabytesPerGigabyte;
  Read.RebootTime =
      Root.duration("reboot-time", Read.RebootTime,
                    std::chrono::milliseconds(1), std::chrono::minutes(10));
  Read.ListLag = Root.duration("list-lag", Read.ListLag, Duration::zero(),
                               std::chrono::minutes(1));
  Read.PollInterval =
      Root.duration("poll-interval", Read.PollInterval,
                    std::chrono::milliseconds(20), std::chrono::seconds(10));
  Read.Work = Root.duration("work", Read.Work, Duration::zero(),
                            std::chrono::minutes(1));
  Read.HttpThreads = Root.number("http-threads", Read.HttpThreads, 1, 64);
  std::vector<std::string> Operators = Root.texts("operators");
  if (Operators.empty())
    Operators = {"ada", "ben"};
  for (const std::string &Name : Operators)
    Read.Operators.push_back(makeOperator(Name));
}

Result<LocalSettings, document::DocumentError>
parseLocalSettings(const std::string &File, const std::string &Content) {
  LocalSettings Read;
  auto Parsed = document::readDocument(
      File, Content, [&Read](auto &Root) { readLocal(Root, Read); });
  if (!Parsed)
    return failure(std::move(Parsed).error());
  return Read;
}

Address platformAddress(const LocalSettings &Local) {
  return {loopbackAddress(Local, 0, 1), PlatformPort};
}

static settings::EntrySettings
makeEntrySettings(const LocalSettings &Local, const LocalDataCentre &DataCentre,
                  int64_t Number, int64_t Host) {
  settings::EntrySettings Entry;
  Entry.Name =
      EntryName(DataCentre.Name.text() + "-entry-" + std::to_string(Number));
  Entry.DataCentre = DataCentre.Name;
  const std::string Ip = loopbackAddress(Local, EntryNetwork, Host);
  Entry.CallerListener = {Ip, CallerPort};
  Entry.OperatorListener = {Ip, OperatorPort};
  Entry.PeerListener = {Ip, PeerPort};
  Entry.Platform = platformAddress(Local);
  Entry.Operators = Local.Operators;
  Entry.PollInterval = Local.PollInterval;
  Entry.HttpThreads = Local.HttpThreads;
  constexpr int64_t LocalCallsPerSecond = 200;
  Entry.PlatformCallsPerSecond = LocalCallsPerSecond;
  return Entry;
}

std::vector<settings::EntrySettings> entrySettings(const LocalSettings &Local) {
  std::vector<settings::EntrySettings> Entries;
  for (const LocalDataCentre &DataCentre : Local.DataCentres)
    for (int64_t Number = 1; Number <= DataCentre.Entries; ++Number)
      Entries.push_back(makeEntrySettings(
          Local, DataCentre, Number, static_cast<int64_t>(Entries.size()) + 1));
  for (settings::EntrySettings &Entry : Entries)
    for (const settings::EntrySettings &Other : Entries)
      if (Other.Name != Entry.Name)
        Entry.Peers.push_back(
            {Other.Name, Other.DataCentre, Other.PeerListener});
  return Entries;
}

std::string settingsText(const settings::EntrySettings &Entry) {
  YAML::Emitter Out;
  const auto Write = [&Out](const char *Key, const std::string &Text) {
    Out << YAML::Key << Key << YAML::Value << Text;
  };
  Out << YAML::BeginMap;
  Write("name", Entry.Name.text());
  Write("data-centre", Entry.DataCentre.text());
  Out << YAML::Key << "listen" << YAML::Value << YAML::BeginMap;
  Write("callers", Entry.CallerListener.text());
  Write("operators", Entry.OperatorListener.text());
  Write("peers", Entry.PeerListener.text());
  Out << YAML::EndMap;
  Write("platform", Entry.Platform.text());
  Out << YAML::Key << "peers" << YAML::Value << YAML::BeginSeq;
  for (const settings::PeerAddress &Peer : Entry.Peers) {
    Out << YAML::BeginMap;
    Write("name", Peer.Name.text());
    Write("data-centre", Peer.DataCentre.text());
    Write("address", Peer.PeerListener.text());
    Out << YAML::EndMap;
  }
  Out << YAML::EndSeq << YAML::Key << "operators" << YAML::Value
      << YAML::BeginSeq;
  for (const settings::OperatorAccount &Account : Entry.Operators) {
    Out << YAML::BeginMap;
    Write("name", Account.Name.text());
    Write("salt", Account.Salt);
    Write("token-hash", Account.TokenHash);
    Out << YAML::EndMap;
  }
  Out << YAML::EndSeq;
  Write("poll-interval", document::formatDuration(Entry.PollInterval));
  Out << YAML::EndMap;
  return std::string(Out.c_str()) + "\n";
}

std::vector<store::VmInfo> workerVms(const LocalSettings &Local) {
  std::vector<store::VmInfo> Vms;
  for (const LocalDataCentre &DataCentre : Local.DataCentres)
    for (int64_t Rack = 1; Rack <= DataCentre.Racks; ++Rack)
      for (int64_t Place = 1; Place <= DataCentre.VmsPerRack; ++Place) {
        const auto Number = static_cast<int64_t>(Vms.size());
        store::VmInfo Vm;
        Vm.DataCentre = DataCentre.Name;
        Vm.Rack =
            RackName(DataCentre.Name.text() + "-rack-" + std::to_string(Rack));
        Vm.Name = VmName(Vm.Rack.text() + "-vm-" + std::to_string(Place));
        Vm.Server = {loopbackAddress(
                         Local, FirstServerNetwork + Number / HostsPerNetwork,
                         Number % HostsPerNetwork + 1),
                     ServerPort};
        Vm.Capacity = Local.VmCapacity;
        Vms.push_back(std::move(Vm));
      }
  return Vms;
}

std::vector<store::VmInfo> entryVms(const LocalSettings &Local) {
  std::vector<store::VmInfo> Vms;
  for (const settings::EntrySettings &Entry : entrySettings(Local)) {
    store::VmInfo Vm;
    Vm.Name = VmName(Entry.Name.text());
    Vm.Role = store::VmRole::Entry;
    Vm.DataCentre = Entry.DataCentre;
    Vm.Rack = RackName(Entry.DataCentre.text() + "-entries");
    Vm.Server = Entry.CallerListener;
    Vms.push_back(std::move(Vm));
  }
  return Vms;
}

} // namespace whintack::local
