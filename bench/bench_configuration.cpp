#include "whintack/configuration/changeclient.h"
#include "whintack/standin/memorykeyvaluestore.h"

#include <benchmark/benchmark.h>

using namespace whintack;
using namespace whintack::configuration;

/// Returns a declaration of the target size: 80 pools and services, 990 teams
/// and \p Jobs jobs.
static declaration::Declaration makeDeclaration(int64_t Jobs) {
  declaration::Declaration Declared;
  Declared.FleetItem.Name = "bench";
  Declared.FleetItem.DataCentres = {DataCentreName("d")};
  declaration::Preset Preset;
  Preset.Name = PresetName("ordinary");
  for (int Number = 0; Number < 80; ++Number) {
    declaration::Pool Pool;
    Pool.Name = PoolName("pool-" + std::to_string(Number));
    Declared.Pools[Pool.Name] = Pool;
    Preset.Vms[Pool.Name] = 200;
    declaration::Service Service;
    Service.Name = ServiceName("service-" + std::to_string(Number));
    Service.HostPool = Pool.Name;
    Declared.Services[Service.Name] = Service;
  }
  Declared.Presets[Preset.Name] = Preset;
  for (int Number = 0; Number < 990; ++Number) {
    declaration::Team Team;
    Team.Name = TeamName("team-" + std::to_string(Number));
    Declared.Teams[Team.Name] = Team;
  }
  for (int64_t Number = 0; Number < Jobs; ++Number) {
    declaration::Job Job;
    Job.Name = JobName("job-" + std::to_string(Number));
    Job.Owner = TeamName("team-" + std::to_string(Number % 990));
    Job.HostPool = PoolName("pool-" + std::to_string(Number % 80));
    Declared.Jobs[Job.Name] = Job;
  }
  return Declared;
}

/// Measures how long another process takes to adopt a change of one team after
/// the operator has applied it. Counts the bytes that the process reads, and
/// the writes of the change.
static void oneChange(benchmark::State &State) {
  const Clock Time = systemClock();
  standin::MemoryKeyValueStore Platform(Time);
  store::KeyValueStore Store = Platform.store();
  uint64_t Bytes = 0;
  const auto Get = Store.Get;
  bool IsCounting = false;
  Store.Get = [&](const std::string &Key) {
    auto Read = Get(Key);
    if (IsCounting && Read)
      Bytes += Read.value().Value.size();
    return Read;
  };
  store::RecordClient Records(Store, 100000000, Time, seededRandom(1));
  ChangeClient Changes(Records, Time);
  declaration::Declaration Declared = makeDeclaration(State.range(0));
  uint64_t Operation = 0;
  const auto Apply = [&] {
    const uint64_t BaseRevision = Changes.readHead().value().Revision;
    return Changes.apply(declaration::toItems(Declared), PresetName("ordinary"),
                         {OperatorName("o"), BaseRevision,
                          OperationId(std::to_string(++Operation))});
  };
  Apply();
  ConfigurationManager Keeper;
  Keeper.adopt(Changes.readHead().value(), {Changes.contentSource()});
  const uint64_t WritesBefore = Platform.calls().Writes;
  for (auto Step : State) {
    State.PauseTiming();
    auto &Team = Declared.Teams.begin()->second;
    ++Team.Quota.MilliCores;
    Apply();
    IsCounting = true;
    State.ResumeTiming();
    Keeper.adopt(Changes.readHead().value(), {Changes.contentSource()});
    IsCounting = false;
  }
  const auto Count = static_cast<double>(State.iterations());
  State.counters["bytes_read"] = static_cast<double>(Bytes) / Count;
  State.counters["writes"] =
      static_cast<double>(Platform.calls().Writes - WritesBefore) / Count;
}
BENCHMARK(oneChange)->Arg(0)->Arg(4000)->Unit(benchmark::kMillisecond);
