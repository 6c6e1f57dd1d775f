#include "itemreader.h"

#include <algorithm>

namespace whintack::declaration::Internal {

static constexpr int64_t MaxWeight = 1000;
static constexpr int64_t MaxCores = 1000000;
static constexpr int64_t MaxMemoryGb = 10000000;
static constexpr int64_t MaxAccelerators = 100000;
static constexpr int64_t MaxPercent = 100;
static constexpr int64_t MaxVms = 100000;
static constexpr int64_t MaxTasks = 1000000;
static constexpr int64_t MaxSlots = 4096;
static constexpr int64_t MaxConnections = 65536;
static constexpr int64_t MaxQueueLength = 100000;
static constexpr Duration OneDay = std::chrono::hours(24);

Fleet readFleet(document::FieldReader &Reader) {
  Fleet Read;
  Read.Name = Reader.requiredName("fleet");
  Reader.mapping("weights", [&Read](document::FieldReader &Inner) {
    Read.Cost.BufferCost = Inner.number("buffer-cost", 1, 0, MaxWeight);
    Read.Cost.Moves = Inner.number("moves", 1, 0, MaxWeight);
  });
  for (const std::string &Name : Reader.texts("data-centres")) {
    const DataCentreName Listed(Name);
    const auto &Known = Read.DataCentres;
    if (std::find(Known.begin(), Known.end(), Listed) != Known.end())
      Reader.error("data-centres", "'" + Name + "' stands twice");
    Read.DataCentres.push_back(Listed);
  }
  if (Read.DataCentres.empty())
    Reader.error("data-centres", "expected at least one data centre");
  return Read;
}

static Resources readResources(document::FieldReader &Reader,
                               const std::string &Key) {
  Resources Read;
  Reader.mapping(Key, [&Read](document::FieldReader &Inner) {
    Read.MilliCores = Inner.number("cores", 0, 0, MaxCores) * MilliCoresPerCore;
    Read.MilliCores += Inner.number("milli-cores", 0, 0, MilliCoresPerCore - 1);
    Read.MemoryMb =
        Inner.number("memory-gb", 0, 0, MaxMemoryGb) * MegabytesPerGigabyte;
    Read.MemoryMb += Inner.number("memory-mb", 0, 0, MegabytesPerGigabyte - 1);
    Read.Accelerators = Inner.number("accelerators", 0, 0, MaxAccelerators);
  });
  return Read;
}

Team readTeam(document::FieldReader &Reader) {
  Team Read;
  Read.Name = TeamName(Reader.requiredName("name"));
  Read.Quota = readResources(Reader, "quota");
  return Read;
}

Pool readPool(document::FieldReader &Reader) {
  Pool Read;
  Read.Name = PoolName(Reader.requiredName("name"));
  Read.MaintenanceInterval =
      Reader.duration("maintenance-every", Read.MaintenanceInterval,
                      std::chrono::seconds(1), OneDay * 365);
  Read.DrainTimeout = Reader.duration("drain-timeout", Read.DrainTimeout,
                                      std::chrono::seconds(1), OneDay);
  Read.RebootTimeout = Reader.duration("reboot-timeout", Read.RebootTimeout,
                                       std::chrono::seconds(1), OneDay);
  Read.WavePercent =
      Reader.number("wave-percent", Read.WavePercent, 1, MaxPercent);
  return Read;
}

Service readService(document::FieldReader &Reader) {
  Service Read;
  Read.Name = ServiceName(Reader.requiredName("name"));
  if (Read.Name.text() == "healthz" || Read.Name.text() == "readyz")
    Reader.error("name", "'" + Read.Name.text() + "' is a reserved path");
  Read.HostPool = PoolName(Reader.requiredText("pool"));
  Read.BudgetPercent =
      Reader.number("budget-percent", Read.BudgetPercent, 0, MaxPercent);
  Read.Slots = Reader.number("slots", Read.Slots, 1, MaxSlots);
  Read.Connections =
      Reader.number("connections", Read.Connections, 1, MaxConnections);
  Read.MaxDuration = Reader.duration("max-duration", Read.MaxDuration,
                                     std::chrono::milliseconds(10), OneDay);
  Read.DefaultDuration = Reader.duration(
      "default-duration", std::min(Read.DefaultDuration, Read.MaxDuration),
      std::chrono::milliseconds(10), OneDay);
  Read.QueueLength =
      Reader.number("queue", Read.QueueLength, 0, MaxQueueLength);
  Read.RetryPercent =
      Reader.number("retry-percent", Read.RetryPercent, 0, MaxPercent);
  if (Read.DefaultDuration > Read.MaxDuration)
    Reader.error("default-duration", "is longer than max-duration");
  if (Read.Connections < Read.Slots)
    Reader.error("connections", "is below slots; each running request holds "
                                "one connection");
  return Read;
}

Job readJob(document::FieldReader &Reader) {
  Job Read;
  Read.Name = JobName(Reader.requiredName("name"));
  Read.Owner = TeamName(Reader.requiredText("team"));
  Read.HostPool = PoolName(Reader.requiredText("pool"));
  Read.Tasks = Reader.number("tasks", 1, 1, MaxTasks);
  Read.Size = readResources(Reader, "size");
  Read.RunTime = Reader.duration("run-time", Read.RunTime,
                                 std::chrono::milliseconds(1), OneDay * 30);
  Read.PriorityLevel =
      Reader.choice("priority", PriorityNames, Priority::Normal);
  Read.IsIdempotent = Reader.boolean("idempotent", true);
  Read.IsCheckpointable = Reader.boolean("checkpoint", false);
  return Read;
}

Preset readPreset(document::FieldReader &Reader) {
  Preset Read;
  Read.Name = PresetName(Reader.requiredName("name"));
  Reader.entries(
      "vms",
      [&Read](const std::string &Name, int64_t Count) {
        Read.Vms[PoolName(Name)] = Count;
      },
      0, MaxVms);
  Read.AllowsWaves = Reader.boolean("waves", false);
  return Read;
}

} // namespace whintack::declaration::Internal
