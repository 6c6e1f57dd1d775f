#include "whintack/replay/trace.h"

#include <algorithm>

namespace whintack::replay {

static constexpr Duration OneDay = std::chrono::hours(24);
static constexpr int64_t MaxRacks = 1000;
static constexpr int64_t MaxVmsPerRack = 100;

static void readVms(document::FieldReader &Reader, Trace &Read) {
  const std::string DataCentre = Reader.requiredName("data-centre");
  const int64_t Racks = Reader.number("racks", 1, 1, MaxRacks);
  const int64_t PerRack = Reader.number("per-rack", 4, 1, MaxVmsPerRack);
  Resources Capacity;
  Capacity.MilliCores = Reader.number("cores", 64, 1, 1024) * MilliCoresPerCore;
  Capacity.MemoryMb =
      Reader.number("memory-gb", 256, 1, 65536) * MegabytesPerGigabyte;
  for (int64_t Rack = 1; Rack <= Racks; ++Rack)
    for (int64_t Place = 1; Place <= PerRack; ++Place) {
      store::VmInfo Vm;
      Vm.DataCentre = DataCentreName(DataCentre);
      Vm.Rack = RackName(DataCentre + "-rack-" + std::to_string(Rack));
      Vm.Name = VmName(Vm.Rack.text() + "-vm-" + std::to_string(Place));
      Vm.Capacity = Capacity;
      Read.Vms.push_back(std::move(Vm));
    }
}

static void readTimes(document::FieldReader &Reader, RecordedTimes &Times) {
  const auto Field = [&Reader](const char *Key, Duration &Into) {
    Into = Reader.duration(Key, Into, Duration::zero(), OneDay * 60);
  };
  Field("reboot", Times.Reboot);
  Field("list-lag", Times.ListLag);
  Field("drain", Times.Drain);
  Field("task", Times.Task);
  Field("maintained-ago", Times.MaintainedAgo);
}

static TraceEvent readEvent(document::FieldReader &Reader) {
  TraceEvent Read;
  Read.At =
      Reader.duration("at", Duration::zero(), Duration::zero(), OneDay * 60);
  Read.Kind = Reader.choice("what", TraceEventNames, Read.Kind);
  Read.Subject = Reader.text("of", "");
  Read.Length =
      Reader.duration("for", Duration::zero(), Duration::zero(), OneDay);
  return Read;
}

static void readOutcomes(document::FieldReader &Reader,
                         ExpectedOutcomes &Outcomes) {
  Outcomes.BudgetsHold = Reader.boolean("budgets-hold", true);
  Outcomes.PoolsFollowPreset = Reader.boolean("pools-follow-preset", true);
  Outcomes.PresetInForce = Reader.text("preset-in-force", "");
  Outcomes.WavesFinished = Reader.texts("waves-finished");
  Outcomes.WavesStopped = Reader.texts("waves-stopped");
  Reader.entries(
      "tasks-done",
      [&Outcomes](const std::string &Job, int64_t Count) {
        Outcomes.TasksDone[Job] = Count;
      },
      0, 1000000);
  Outcomes.MaxReboots = Reader.number("most-reboots", -1, 0, 1000000);
  Outcomes.MaxMoves = Reader.number("most-moves", -1, 0, 1000000);
}

/// Reads the declaration that the trace names relative to its own folder.
static void readDeclaration(document::FieldReader &Root,
                            const std::string &TraceFile, Trace &Read) {
  const std::string Name = Root.requiredText("declaration");
  const size_t Slash = TraceFile.rfind('/');
  const std::string Folder =
      Slash == std::string::npos ? "" : TraceFile.substr(0, Slash + 1);
  const auto Content = document::readFile(Folder + Name);
  if (!Content)
    return Root.error("declaration",
                      "'" + Folder + Name + "' cannot be opened");
  auto Parsed = declaration::parseDeclaration(Folder + Name, Content.value());
  if (!Parsed)
    return Root.error("declaration", Parsed.error().text());
  Read.Declared = std::move(Parsed).value();
}

Result<Trace, document::DocumentError> readTrace(const std::string &File) {
  auto Content = document::readFile(File);
  if (!Content)
    return failure(std::move(Content).error());
  Trace Read;
  auto Parsed = document::readDocument(
      File, Content.value(), [&Read, &File](document::FieldReader &Root) {
        Read.Name = Root.requiredText("trace");
        readDeclaration(Root, File, Read);
        Read.FirstPreset = Root.requiredText("preset");
        Read.Length = Root.duration("length", Read.Length,
                                    std::chrono::seconds(1), OneDay * 60);
        Root.sequence("vms", [&Read](document::FieldReader &Reader) {
          readVms(Reader, Read);
        });
        Root.mapping("recorded", [&Read](document::FieldReader &Reader) {
          readTimes(Reader, Read.Times);
        });
        Root.sequence("events", [&Read](document::FieldReader &Reader) {
          Read.Events.push_back(readEvent(Reader));
        });
        Root.mapping("outcomes", [&Read](document::FieldReader &Reader) {
          readOutcomes(Reader, Read.Outcomes);
        });
      });
  if (!Parsed)
    return failure(std::move(Parsed).error());
  std::stable_sort(Read.Events.begin(), Read.Events.end(),
                   [](const TraceEvent &Left, const TraceEvent &Right) {
                     return Left.At < Right.At;
                   });
  return Read;
}

} // namespace whintack::replay
