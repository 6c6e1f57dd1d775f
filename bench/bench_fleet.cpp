#include "whintack/base/random.h"
#include "whintack/fleet/moveplanner.h"
#include "whintack/fleet/placement.h"
#include "whintack/fleet/waveplanner.h"

#include <algorithm>
#include <benchmark/benchmark.h>

using namespace whintack;
using namespace whintack::fleet;

static constexpr int64_t VmsPerRack = 20;
static constexpr int64_t WorkerCores = 64;

static Resources cores(int64_t Count) {
  return {Count * MilliCoresPerCore, Count * 4 * MegabytesPerGigabyte, 0};
}

/// Returns workers that are half full on average, and four waiting tasks per
/// ten workers.
static PlacementInput makePlacementInput(int64_t Workers) {
  const Random Source = seededRandom(3);
  PlacementInput Input;
  Input.Quotas[TeamName("t")] = cores(Workers * WorkerCores);
  for (int64_t Number = 0; Number < Workers; ++Number) {
    WorkerView Worker;
    Worker.Name = VmName("w" + std::to_string(Number));
    Worker.Rack = RackName("r" + std::to_string(Number / VmsPerRack));
    Worker.Capacity = cores(WorkerCores);
    Worker.Free = cores(static_cast<int64_t>(Source() % WorkerCores));
    Input.Workers.push_back(std::move(Worker));
  }
  for (int64_t Number = 0; Number < Workers * 4 / 10; ++Number)
    Input.Waiting.push_back({TaskId("t" + std::to_string(Number)),
                             JobName("j" + std::to_string(Number % 50)),
                             TeamName("t"),
                             declaration::Priority::Normal,
                             cores(static_cast<int64_t>(1 + Source() % 16)),
                             {}});
  return Input;
}

static void placementPass(benchmark::State &State) {
  const PlacementInput Input = makePlacementInput(State.range(0));
  for (auto Step : State)
    benchmark::DoNotOptimize(planPlacement(Input));
  const PlacementPlan Plan = planPlacement(Input);
  State.counters["placed"] = static_cast<double>(Plan.Starts.size());
  State.counters["waiting"] = static_cast<double>(Plan.Waits.size());
}
BENCHMARK(placementPass)
    ->Arg(50)
    ->Arg(1000)
    ->Arg(4000)
    ->Arg(16000)
    ->Unit(benchmark::kMillisecond);

/// Baseline: places each task on the first worker in the list that has room.
static void firstFitPass(benchmark::State &State) {
  const PlacementInput Input = makePlacementInput(State.range(0));
  size_t Placed = 0;
  for (auto Step : State) {
    std::vector<WorkerView> Workers = Input.Workers;
    Placed = 0;
    for (const WaitingTask &Task : Input.Waiting) {
      const auto Found = std::find_if(Workers.begin(), Workers.end(),
                                      [&Task](const WorkerView &Worker) {
                                        return Worker.Free.covers(Task.Size);
                                      });
      if (Found == Workers.end())
        continue;
      Found->Free -= Task.Size;
      ++Placed;
    }
    benchmark::DoNotOptimize(Placed);
  }
  State.counters["placed"] = static_cast<double>(Placed);
}
BENCHMARK(firstFitPass)
    ->Arg(50)
    ->Arg(1000)
    ->Arg(4000)
    ->Arg(16000)
    ->Unit(benchmark::kMillisecond);

/// Measures the placement of one urgent task when no worker is free, so that a
/// running task must be preempted.
static void urgentPlacement(benchmark::State &State) {
  PlacementInput Input = makePlacementInput(State.range(0));
  Input.Waiting.clear();
  for (WorkerView &Worker : Input.Workers) {
    Worker.Free = cores(0);
    Input.Running.push_back({TaskId("r" + Worker.Name.text()), JobName("b"),
                             TeamName("t"), Worker.Name,
                             declaration::Priority::Batch, cores(8), true});
  }
  Input.Quotas[TeamName("t")] = cores(State.range(0) * WorkerCores * 2);
  Input.Waiting.push_back({TaskId("now"),
                           JobName("u"),
                           TeamName("t"),
                           declaration::Priority::Urgent,
                           cores(8),
                           {}});
  for (auto Step : State)
    benchmark::DoNotOptimize(planPlacement(Input));
}
BENCHMARK(urgentPlacement)
    ->Arg(50)
    ->Arg(1000)
    ->Arg(16000)
    ->Unit(benchmark::kMillisecond);

static std::vector<VmView> makeVms(int64_t Count, int64_t Pools) {
  std::vector<VmView> Vms;
  for (int64_t Number = 0; Number < Count; ++Number) {
    VmView Vm;
    Vm.Record.Name = VmName("vm" + std::to_string(Number));
    Vm.Record.Pool = PoolName("p" + std::to_string(Number % Pools));
    Vm.Rack = RackName("r" + std::to_string(Number / VmsPerRack));
    Vm.IsLive = true;
    Vm.IsListed = true;
    Vms.push_back(std::move(Vm));
  }
  return Vms;
}

/// Measures planning for a preset that moves a tenth of all VMs between 80
/// pools.
static void movePass(benchmark::State &State) {
  constexpr int64_t Pools = 80;
  FleetView View;
  View.Vms = makeVms(State.range(0), Pools);
  const int64_t VmsPerPool = State.range(0) / Pools;
  for (int64_t Pool = 0; Pool < Pools; ++Pool) {
    const PoolName Name("p" + std::to_string(Pool));
    View.Targets[Name] =
        Pool % 2 == 0 ? VmsPerPool * 4 / 5 : VmsPerPool * 6 / 5;
    View.MoveRoom[Name] = State.range(0);
  }
  size_t Moves = 0;
  for (auto Step : State)
    Moves = planMoves(View).size();
  State.counters["moves"] = static_cast<double>(Moves);
}
BENCHMARK(movePass)->Arg(800)->Arg(4000)->Arg(16000)->Unit(
    benchmark::kMillisecond);

static void wavePass(benchmark::State &State) {
  PoolView View;
  View.Pool.Name = PoolName("p0");
  View.Vms = makeVms(State.range(0), 1);
  View.Target = State.range(0);
  declaration::Service Service;
  Service.Name = ServiceName("s");
  View.Services = {Service};
  WaveRecord Wave;
  Wave.State = WaveState::Running;
  Wave.StartedAt = WallTime(std::chrono::hours(1));
  View.Wave = Wave;
  for (auto Step : State)
    benchmark::DoNotOptimize(planPool(
        View, WaveLimits(), WallTime(std::chrono::hours(2)), OperationId("w")));
}
BENCHMARK(wavePass)->Arg(50)->Arg(200)->Arg(1000)->Unit(
    benchmark::kMillisecond);
