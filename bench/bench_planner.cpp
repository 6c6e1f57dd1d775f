#include "whintack/jobs/planner.h"

#include <benchmark/benchmark.h>

#include <ctime>
#include <iomanip>
#include <map>
#include <sstream>

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

namespace {

/// Mean processor time of one kind of call to the planner. Other processes on
/// the machine do not add to it.
class CallTimer {
public:
  template <typename Call> auto measure(Call Run) {
    const double Began = processorMicros();
    auto Returned = Run();
    this->TotalMicros += processorMicros() - Began;
    ++this->Calls;
    return Returned;
  }
  double meanMicros() const {
    return this->Calls == 0
               ? 0
               : this->TotalMicros / static_cast<double>(this->Calls);
  }

private:
  static double processorMicros() {
    timespec Used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
    return static_cast<double>(Used.tv_sec) * 1e6 +
           static_cast<double>(Used.tv_nsec) / 1e3;
  }

  double TotalMicros = 0;
  int64_t Calls = 0;
};

/// A service whose executors are full and whose backlog is kept at a constant
/// number of jobs: each job that ends is replaced.
class LoadedService {
public:
  LoadedService(int64_t Executors, int64_t Jobs, int64_t Tenants);

  /// One report of one executor and everything that follows from it.
  void handleNextReport();
  void handleList();
  void handleDemand();

  CallTimer Reports;
  CallTimer Passes;
  CallTimer Flushes;
  CallTimer Lists;
  CallTimer Demands;
  /// Depends on all orders so far, to compare the decisions of two builds.
  size_t OrdersDigest = 0;
  size_t Starts = 0;

private:
  struct ActiveRun {
    TaskKey Task;
    uint64_t Run;
    TimePoint EndsAt;
    bool IsLongRunning;
  };
  struct Simulated {
    std::vector<ActiveRun> Runs;
    uint64_t Ends = 0;
  };

  void addJob();
  void plan();
  void flush();
  void start(const StartOrder &Order);

  TimePoint Now{std::chrono::seconds(100)};
  Planner Planning{{Service, 1, nullptr}};
  std::vector<ExecutorInfo> Listed;
  std::map<ExecutorId, Simulated> Fleet;
  std::map<JobId, JobSpec> Specs;
  std::vector<TenantName> Tenants;
  uint64_t NextJob = 0;
};

} // namespace

/// Four of five jobs have one or two steps of 8 tasks on 6 cores, the others
/// two steps of 8 tasks on 13 cores; each hundredth has 24 tasks on different
/// executors that run until they are cancelled.
static JobSpec mixedJob(uint64_t Number) {
  constexpr uint64_t Spread = 0x9e3779b97f4a7c15;
  std::ostringstream Id;
  Id << std::hex << std::setw(16) << std::setfill('0') << Number * Spread;
  JobSpec Spec;
  Spec.Id = JobId(Id.str());
  StepSpec Step;
  if (Number % 100 == 0) {
    Step.Count = 24;
    Step.Need = {2000, 2048, 0};
    Step.IsLongRunning = true;
    Step.MaxTasksPerExecutor = 1;
    Spec.Steps = {Step};
    return Spec;
  }
  const bool IsLarge = Number % 5 == 4;
  Step.Count = 8;
  Step.Need = {IsLarge ? 13000 : 6000, IsLarge ? 8192 : 4096, 0};
  Step.Estimate = std::chrono::milliseconds(800);
  Spec.Steps = {Step};
  if (IsLarge || Number % 2 == 0) {
    Step.Dependencies = {0};
    Spec.Steps.push_back(Step);
  }
  return Spec;
}

LoadedService::LoadedService(int64_t Executors, int64_t Jobs, int64_t Tenants) {
  FleetConfiguration Declared;
  Declared.RequiresKeys = Tenants > 0;
  for (int64_t Number = 0; Number < Tenants; ++Number) {
    tenants::Tenant Each;
    Each.Name = TenantName("t" + std::to_string(Number));
    this->Tenants.push_back(Each.Name);
    Declared.Tenants.push_back(std::move(Each));
  }
  this->Planning.setQueues(QueueTable(Declared));
  for (int64_t Number = 0; Number < Executors; ++Number)
    this->Listed.push_back(executor(Number));
  this->Planning.setExecutors(this->Listed);
  ExecutorReport Report;
  Report.At = 1;
  for (const ExecutorInfo &Info : this->Listed) {
    this->Fleet[Info.Id];
    this->Planning.noteReport(Info.Id, Report, this->Now);
  }
  while (this->Specs.size() < static_cast<size_t>(Jobs)) {
    this->addJob();
    this->Now += std::chrono::milliseconds(1);
  }
  this->plan();
}

void LoadedService::addJob() {
  AcceptedJob Job;
  Job.Spec = mixedJob(++this->NextJob);
  Job.Policy.Name = "q" + std::to_string(this->NextJob % 3);
  Job.Policy.Service = Service;
  Job.Policy.Priority = static_cast<int64_t>(this->NextJob % 3);
  Job.Policy.Stretch = 2;
  Job.Policy.Objective = std::chrono::milliseconds(600);
  Job.Accepted = this->Now;
  if (!this->Tenants.empty())
    Job.Tenant = this->Tenants[this->NextJob % this->Tenants.size()];
  this->Specs[Job.Spec.Id] = Job.Spec;
  this->Planning.addJob(std::move(Job));
}

void LoadedService::start(const StartOrder &Order) {
  const StepSpec &Step =
      this->Specs.at(Order.Task.Step.Job).Steps[Order.Task.Step.Index];
  // Half to one and a half of the estimate.
  const Duration Length =
      Step.Estimate / 2 + Step.Estimate * (this->Starts % 17) / 16;
  this->Fleet[Order.Executor].Runs.push_back(
      {Order.Task, Order.Run, this->Now + Length, Step.IsLongRunning});
  ++this->Starts;
  this->OrdersDigest =
      this->OrdersDigest * 31 +
      std::hash<std::string>()(Order.Executor.text() + Order.Task.text());
  this->Planning.noteStart(Order, StartOutcome::Started,
                           toMilliseconds(this->Now.time_since_epoch()),
                           this->Now);
}

void LoadedService::plan() {
  const std::vector<Order> Orders = this->Passes.measure([this] {
    this->Planning.plan(this->Now, WallTime{std::chrono::seconds(100)});
    return this->Planning.takeOrders();
  });
  for (const Order &Given : Orders)
    if (const auto *Start = std::get_if<StartOrder>(&Given))
      this->start(*Start);
}

void LoadedService::flush() {
  constexpr size_t WritesPerCommit = 15;
  const std::vector<JobWrite> Writes = this->Flushes.measure([this] {
    const std::vector<JobWrite> Taken =
        this->Planning.takeWrites(WritesPerCommit);
    this->Planning.noteWritten(Taken);
    return Taken;
  });
  for (const JobWrite &Write : Writes)
    if (isFinal(Write.Progress.State)) {
      this->Specs.erase(Write.Job);
      this->addJob();
    }
}

void LoadedService::handleNextReport() {
  // The executor whose run ends next reports.
  Simulated *Next = nullptr;
  ExecutorId Id;
  TimePoint EndsAt = TimePoint::max();
  for (auto &[Each, Executor] : this->Fleet)
    for (const ActiveRun &Run : Executor.Runs)
      if (!Run.IsLongRunning && Run.EndsAt < EndsAt) {
        EndsAt = Run.EndsAt;
        Next = &Executor;
        Id = Each;
      }
  if (!Next)
    return;
  this->Now = std::max(this->Now, EndsAt);
  ExecutorReport Report;
  Report.At = toMilliseconds(this->Now.time_since_epoch()) + 1;
  std::erase_if(Next->Runs, [&](const ActiveRun &Run) {
    const bool HasEnded = !Run.IsLongRunning && Run.EndsAt <= this->Now;
    if (HasEnded)
      Report.Ended.push_back(
          {++Next->Ends, Run.Task, Run.Run, RunEnd::Done, ""});
    else
      Report.Running.push_back({Run.Task, Run.Run, "", 50, 0});
    return HasEnded;
  });
  this->Reports.measure([&] {
    this->Planning.noteReport(Id, Report, this->Now);
    return this->Planning.lastDiscardableEnd(Id);
  });
  this->plan();
  this->flush();
}

void LoadedService::handleList() {
  this->Lists.measure([this] {
    this->Planning.setExecutors(this->Listed);
    return 0;
  });
}

void LoadedService::handleDemand() {
  benchmark::DoNotOptimize(this->Demands.measure(
      [this] { return this->Planning.demand(this->Now); }));
}

/// Measures what the planner of one full service with a backlog does for each
/// report of an executor; each 400 reports, the list is read and the demand
/// asked for.
static void serveBacklog(benchmark::State &State) {
  constexpr size_t ReportsPerList = 400;
  LoadedService Loaded(State.range(0), State.range(1), State.range(2));
  size_t Reports = 0;
  for (auto Step : State) {
    if (++Reports % ReportsPerList == 0) {
      Loaded.handleList();
      Loaded.handleDemand();
    }
    Loaded.handleNextReport();
  }
  State.counters["report_us"] = Loaded.Reports.meanMicros();
  State.counters["pass_us"] = Loaded.Passes.meanMicros();
  State.counters["flush_us"] = Loaded.Flushes.meanMicros();
  State.counters["list_us"] = Loaded.Lists.meanMicros();
  State.counters["demand_us"] = Loaded.Demands.meanMicros();
  State.counters["starts"] = static_cast<double>(Loaded.Starts);
  State.SetLabel("orders " + std::to_string(Loaded.OrdersDigest));
}
BENCHMARK(serveBacklog)
    ->ArgNames({"executors", "jobs", "tenants"})
    ->Args({20, 300, 0})
    ->Args({85, 300, 0})
    ->Args({85, 300, 20})
    ->Args({85, 1000, 0})
    ->Args({85, 1000, 20})
    ->Args({340, 1500, 0})
    ->Iterations(20000);
