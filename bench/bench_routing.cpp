#include "whintack/routing/router.h"

#include <benchmark/benchmark.h>

using namespace whintack;
using namespace whintack::routing;

static const ServiceName BenchService("shop");
static constexpr int64_t Slots = 8;

/// Returns a router that owns every slot of \p Executors executors.
static std::unique_ptr<Router> makeRouter(int64_t Executors,
                                          ChoicePolicy Policy) {
  const ShareMember Self{EntryName("e"), 1};
  auto Created = std::make_unique<Router>(
      RouterIdentity{Self, DataCentreName("d")}, Policy, seededRandom(1));
  ServiceLimits Limits;
  Limits.Name = BenchService;
  Limits.Slots = Slots;
  Created->setServices({Limits}, {});
  Created->setSharePlan(withAcknowledgement(withMember({}, Self), Self), {});
  std::vector<ExecutorInfo> Listed;
  for (int64_t Number = 0; Number < Executors; ++Number)
    Listed.push_back({VmName("vm" + std::to_string(Number)), BenchService,
                      DataCentreName("d"), 1, false});
  Created->setExecutors(Listed, {});
  return Created;
}

/// Measures one request from submission to completion while 90 percent of the
/// slots are in use.
static void requestDecision(benchmark::State &State, ChoicePolicy Policy) {
  const auto Routing = makeRouter(State.range(0), Policy);
  const TimePoint Now{};
  const RequestInfo Info{BenchService, CallerName("c"), true, {}};
  RequestHandle Next = 0;
  RequestHandle Oldest = 0;
  const auto UsedSlots =
      static_cast<RequestHandle>(State.range(0) * Slots * 9 / 10);
  while (Next < UsedSlots)
    Routing->submit(++Next, Info, Now);
  for (auto Step : State) {
    benchmark::DoNotOptimize(
        Routing->finish({++Oldest, AttemptResult::Answered, false}, Now));
    benchmark::DoNotOptimize(Routing->submit(++Next, Info, Now));
  }
}

static void twoChoices(benchmark::State &State) {
  requestDecision(State, ChoicePolicy::TwoChoices);
}
static void roundRobin(benchmark::State &State) {
  requestDecision(State, ChoicePolicy::RoundRobin);
}
static void leastLoaded(benchmark::State &State) {
  requestDecision(State, ChoicePolicy::LeastLoaded);
}
BENCHMARK(twoChoices)->Arg(50)->Arg(800)->Arg(16000);
BENCHMARK(roundRobin)->Arg(50)->Arg(800)->Arg(16000);
BENCHMARK(leastLoaded)->Arg(50)->Arg(800);

/// Measures applying the platform's list of executors.
static void takeList(benchmark::State &State) {
  const auto Routing = makeRouter(0, ChoicePolicy::TwoChoices);
  std::vector<ExecutorInfo> Listed;
  for (int64_t Number = 0; Number < State.range(0); ++Number)
    Listed.push_back({VmName("vm" + std::to_string(Number)), BenchService,
                      DataCentreName(Number % 25 == 0 ? "d" : "other"), 1,
                      false});
  for (auto Step : State)
    benchmark::DoNotOptimize(Routing->setExecutors(Listed, {}));
}
BENCHMARK(takeList)->Arg(50)->Arg(800)->Arg(16000)->Unit(
    benchmark::kMillisecond);
