#include "whintack/jobs/planner.h"

#include <benchmark/benchmark.h>

using namespace whintack;
using namespace whintack::jobs;

static const ServiceName Service("s");

static ExecutorInfo executor(int64_t Number) {
  ExecutorInfo Info;
  Info.Id = ExecutorId("x" + std::to_string(Number));
  Info.Service = Service;
  Info.Capacity = {64000, 256000, 0};
  Info.Labels = {"standard", "r" + std::to_string(Number / 20)};
  return Info;
}

static AcceptedJob oneTaskJob(uint64_t Number) {
  AcceptedJob Job;
  Job.Spec.Id = JobId("j" + std::to_string(Number));
  StepSpec Step;
  Step.Need = {6000, 1024, 0};
  Step.Estimate = std::chrono::milliseconds(800);
  Job.Spec.Steps = {Step};
  Job.Policy.Name = "q";
  Job.Policy.Service = Service;
  Job.Policy.Stretch = 2;
  Job.Policy.Objective = std::chrono::milliseconds(600);
  return Job;
}

/// Measures from adding a job of one task to the order that starts it, on a
/// fleet with free resources.
static void decideOneJob(benchmark::State &State) {
  Planner Planning({Service, 1, nullptr});
  std::vector<ExecutorInfo> Listed;
  for (int64_t Number = 0; Number < State.range(0); ++Number)
    Listed.push_back(executor(Number));
  Planning.setExecutors(Listed);
  const TimePoint Now{std::chrono::seconds(100)};
  const WallTime WallNow{std::chrono::seconds(100)};
  ExecutorReport Report;
  Report.At = 1;
  for (const ExecutorInfo &Info : Listed)
    Planning.noteReport(Info.Id, Report, Now);
  uint64_t Number = 0;
  for (auto Step : State) {
    Planning.addJob(oneTaskJob(++Number));
    Planning.plan(Now, WallNow);
    const std::vector<Order> Orders = Planning.takeOrders();
    State.PauseTiming();
    // End the run, so that the load of the fleet stays the same.
    for (const Order &Given : Orders)
      if (const auto *Start = std::get_if<StartOrder>(&Given)) {
        Planning.noteStart(*Start, StartOutcome::Started, 1, Now);
        ExecutorReport Ended;
        Ended.At = static_cast<ExecutorTime>(Number + 1);
        Ended.Ended = {{Number, Start->Task, Start->Run, RunEnd::Done, ""}};
        Planning.noteReport(Start->Executor, Ended, Now);
      }
    Planning.noteWritten(Planning.takeWrites(10));
    State.ResumeTiming();
  }
}
BENCHMARK(decideOneJob)->Arg(50)->Arg(350)->Arg(16000);
