#ifndef WHINTACK_TESTS_PLACEMENTLOAD_H
#define WHINTACK_TESTS_PLACEMENTLOAD_H

#include "plannerfixture.h"

#include "whintack/jobs/jobrank.h"

#include <array>
#include <cmath>
#include <map>
#include <random>

namespace whintack::tests {

/// A load of one service: several times what its executors can hold for some
/// seconds, then less.
struct PlacementLoad {
  uint64_t Seed = 1;
  bool ReservesRoom = false;
  int Executors = 24;
  /// Offered work relative to the capacity, until PeakEnd and from then on.
  double Peak = 3;
  double Quiet = 0.2;
  Duration PeakEnd = std::chrono::seconds(6);
  Duration ArrivalsEnd = std::chrono::seconds(12);
  /// Multiple of the estimate, and additional time, within which a job is on
  /// time.
  double Stretch = 1.6;
  Duration Objective = std::chrono::milliseconds(1500);
  /// Highest part by which a client's estimate is off; at least half of it is
  /// drawn.
  double MaxEstimateError = 0.9;
  /// Mean logarithm of estimate to run time is lowered by this much.
  double EstimateBias = 0;
  /// Executors may hold tasks of at most this size, in cores.
  int64_t LargestTask = 40;
};

/// Results of one run.
struct PlacementResult {
  struct Task {
    int64_t MilliCores = 0;
    Duration Wait = Duration::zero();
  };
  struct Job {
    jobs::ExpectedOutcome Outcome = jobs::ExpectedOutcome::Worthless;
    bool IsLarge = false;
    double Work = 0;
  };
  std::vector<Task> Tasks;
  std::vector<Job> Jobs;
  /// Share of the processor capacity that was unused while tasks waited in the
  /// peak.
  double Unused = 0;
  /// Real time of all planning passes, and their number.
  Duration PlanTime = Duration::zero();
  size_t Passes = 0;
  /// The longest pass.
  Duration LongestPass = Duration::zero();
  size_t LogLines = 0;

  /// Mean wait in milliseconds of the tasks of at least this size.
  double meanWaitMs(int64_t LeastMilliCores) const {
    double Sum = 0;
    size_t Count = 0;
    for (const Task &Each : this->Tasks)
      if (Each.MilliCores >= LeastMilliCores) {
        Sum += static_cast<double>(toMilliseconds(Each.Wait));
        ++Count;
      }
    return Sum / static_cast<double>(std::max<size_t>(Count, 1));
  }
  /// Size from which a task is among the largest tenth.
  int64_t largeMilliCores() const {
    std::vector<int64_t> Sizes;
    for (const Task &Each : this->Tasks)
      Sizes.push_back(Each.MilliCores);
    std::sort(Sizes.begin(), Sizes.end());
    return Sizes[Sizes.size() * 9 / 10];
  }
  double share(jobs::ExpectedOutcome Outcome, bool OnlyLarge) const {
    double Found = 0;
    double All = 0;
    for (const Job &Each : this->Jobs)
      if (!OnlyLarge || Each.IsLarge) {
        ++All;
        Found += Each.Outcome == Outcome ? 1 : 0;
      }
    return Found / std::max(All, 1.0);
  }
};

/// Plays a load in virtual time: executors carry out every order at once and
/// report each end within the same step of 5 ms, and the progress of their runs
/// every half second.
class PlacementRun {
public:
  explicit PlacementRun(PlacementLoad Load)
      : Load(Load), Engine(Load.Seed),
        Planner(
            {TestService, 1,
             [this](std::string_view Event, std::initializer_list<LogField>) {
               if (Event.starts_with("room-"))
                 ++this->Result.LogLines;
             },
             Load.ReservesRoom}) {
    std::vector<jobs::ExecutorInfo> Infos;
    for (int Number = 0; Number < Load.Executors; ++Number) {
      Infos.push_back(executor("e" + std::to_string(100 + Number), 64000));
      Infos.back().Capacity = {64000, 256000, 0};
    }
    this->Planner.setExecutors(Infos);
    for (const jobs::ExecutorInfo &Info : Infos) {
      this->Running[Info.Id];
      this->report(Info.Id, {});
    }
  }

  PlacementResult run() {
    this->drawArrival();
    const auto HasMore = [this] {
      return this->elapsed() < this->Load.ArrivalsEnd ||
             !this->OpenJobs.empty();
    };
    while (HasMore() && this->elapsed() < std::chrono::minutes(5))
      this->step();
    return std::move(this->Result);
  }

private:
  static constexpr Duration Step = std::chrono::milliseconds(5);

  struct Run {
    jobs::StartOrder Order;
    int64_t MilliCores = 0;
    TimePoint Begin;
    Duration Length = Duration::zero();
  };

  struct OpenJob {
    jobs::AcceptedJob Accepted;
    /// Actual time of a usual run.
    Duration RunTime = Duration::zero();
    size_t TasksLeft = 0;
  };

  Duration elapsed() const { return this->Time.now() - this->Begin; }
  double unit() {
    return std::uniform_real_distribution<double>(0, 1)(this->Engine);
  }
  static Duration scaled(Duration Length, double Factor) {
    return Duration(
        static_cast<int64_t>(static_cast<double>(Length.count()) * Factor));
  }

  void drawArrival() {
    // Mean work of a job: 2 to 40 cores, 2.5 tasks, and the mean run time.
    const double MeanCores =
        (2 + static_cast<double>(this->Load.LargestTask)) / 2;
    constexpr double MeanTasks = 2.5;
    constexpr double MeanSeconds = 0.634 * 1.2;
    const double Offered = this->elapsed() < this->Load.PeakEnd
                               ? this->Load.Peak
                               : this->Load.Quiet;
    const double JobsPerSecond = Offered * 64 * this->Load.Executors /
                                 (MeanCores * MeanTasks * MeanSeconds);
    std::exponential_distribution<double> Draw(JobsPerSecond);
    this->NextArrival +=
        Duration(static_cast<int64_t>(Draw(this->Engine) * 1e6));
  }

  void arrive() {
    // Run times of jobs differ by a factor of 20, one job in 30 takes seven
    // times as long as it otherwise would.
    OpenJob Job;
    const Duration Usual =
        scaled(std::chrono::milliseconds(100), std::pow(20, this->unit()));
    Job.RunTime = this->unit() < 1.0 / 30 ? 7 * Usual : Usual;
    const double Off = this->Load.MaxEstimateError * (5 + 4 * this->unit()) / 9;
    const double Factor = this->unit() < 0.5 ? 1 - Off : 1 + Off;
    const auto Cores =
        2 + static_cast<int64_t>(
                this->unit() * static_cast<double>(this->Load.LargestTask - 1));
    const auto Count = static_cast<size_t>(1 + this->unit() * 4);
    const std::string Id = std::to_string(++this->LastJob);
    Job.Accepted = job(Id, {tests::step(Count, Cores * 1000)});
    jobs::StepSpec &Spec = Job.Accepted.Spec.Steps[0];
    Spec.Need.MemoryMb =
        static_cast<int64_t>(this->unit() * 6000 * static_cast<double>(Cores));
    Spec.Estimate = scaled(Usual, Factor * std::exp(-this->Load.EstimateBias));
    Job.Accepted.Policy.Stretch = this->Load.Stretch;
    Job.Accepted.Policy.Objective = this->Load.Objective;
    Job.Accepted.Accepted = this->Time.now();
    Job.TasksLeft = Count;
    this->Planner.addJob(Job.Accepted);
    this->Waiting += Count;
    this->OpenJobs.emplace(jobs::JobId(Id), std::move(Job));
  }

  void report(const jobs::ExecutorId &From,
              std::vector<jobs::EndReport> Ended) {
    jobs::ExecutorReport Report;
    Report.At = ++this->ExecutorNow;
    Report.RequestedAt = this->Time.now();
    Report.Ended = std::move(Ended);
    for (const Run &Each : this->Running[From])
      Report.Running.push_back(
          {Each.Order.Task, Each.Order.Run, "",
           100 * (this->Time.now() - Each.Begin) / Each.Length, 0});
    this->Planner.noteReport(From, Report, this->Time.now());
  }

  void noteDone(const Run &Ended) {
    const auto Job = this->OpenJobs.find(Ended.Order.Task.Step.Job);
    if (--Job->second.TasksLeft > 0)
      return;
    const jobs::AcceptedJob &Accepted = Job->second.Accepted;
    jobs::JobRank Rank;
    Rank.Accepted = Accepted.Accepted;
    const jobs::StepSpec &Spec = Accepted.Spec.Steps[0];
    Rank.Objective = Rank.Accepted + Accepted.Policy.Objective +
                     scaled(Spec.Estimate, Accepted.Policy.Stretch);
    this->Result.Jobs.push_back(
        {jobs::expectedOutcome(Rank, this->Time.now()),
         Spec.Need.MilliCores * 10 > this->Load.LargestTask * 1000 * 9,
         static_cast<double>(Spec.Need.MilliCores)});
    this->OpenJobs.erase(Job);
  }

  void endRuns() {
    const bool IsReportDue =
        this->elapsed() % std::chrono::milliseconds(500) == Duration::zero();
    for (auto &[Id, Runs] : this->Running) {
      std::vector<jobs::EndReport> Ends;
      std::vector<Run> Ended;
      std::erase_if(Runs, [&](const Run &Each) {
        if (this->Time.now() < Each.Begin + Each.Length)
          return false;
        Ends.push_back({++this->LastEnd, Each.Order.Task, Each.Order.Run,
                        jobs::RunEnd::Done, ""});
        Ended.push_back(Each);
        this->UsedMilliCores -= Each.MilliCores;
        return true;
      });
      if (!Ends.empty() || IsReportDue)
        this->report(Id, Ends);
      for (const Run &Each : Ended)
        this->noteDone(Each);
    }
  }

  void start(const jobs::StartOrder &Order) {
    const OpenJob &Job = this->OpenJobs.at(Order.Task.Step.Job);
    const jobs::StepSpec &Spec = Job.Accepted.Spec.Steps[0];
    // The actual times do not depend on the order in which tasks start, so that
    // both ways of placement get the same load.
    std::mt19937_64 Own(std::hash<std::string>()(Order.Task.text()) ^
                        this->Load.Seed);
    const double Spread =
        std::uniform_real_distribution<double>(-0.5, 0.5)(Own);
    Run Started{Order, Spec.Need.MilliCores, this->Time.now(),
                scaled(Job.RunTime, std::pow(1.4, Spread))};
    this->UsedMilliCores += Started.MilliCores;
    this->Running[Order.Executor].push_back(std::move(Started));
    this->Planner.noteStart(Order, jobs::StartOutcome::Started,
                            ++this->ExecutorNow, this->Time.now());
    this->Result.Tasks.push_back(
        {Spec.Need.MilliCores, this->Time.now() - Job.Accepted.Accepted});
    --this->Waiting;
  }

  void step() {
    this->Time.advance(Step);
    while (this->Begin + this->NextArrival <= this->Time.now() &&
           this->NextArrival < this->Load.ArrivalsEnd) {
      this->arrive();
      this->drawArrival();
    }
    this->endRuns();
    const auto Before = std::chrono::steady_clock::now();
    this->Planner.plan(this->Time.now(), WallTime());
    const auto Took = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Before);
    this->Result.PlanTime += Took;
    this->Result.LongestPass = std::max(this->Result.LongestPass, Took);
    ++this->Result.Passes;
    for (const jobs::Order &Given : this->Planner.takeOrders())
      if (const auto *Start = std::get_if<jobs::StartOrder>(&Given))
        this->start(*Start);
    this->Planner.noteWritten(this->Planner.takeWrites(1000));
    if (this->elapsed() < this->Load.PeakEnd && this->Waiting > 0) {
      const double All = 64000.0 * this->Load.Executors;
      ++this->BusySteps;
      this->Result.Unused +=
          (1 - static_cast<double>(this->UsedMilliCores) / All -
           this->Result.Unused) /
          static_cast<double>(this->BusySteps);
    }
  }

  PlacementLoad Load;
  std::mt19937_64 Engine;
  ManualClock Time;
  TimePoint Begin = this->Time.now();
  PlacementResult Result;
  jobs::Planner Planner;
  Duration NextArrival = Duration::zero();
  jobs::ExecutorTime ExecutorNow = 1000;
  uint64_t LastEnd = 0;
  size_t LastJob = 0;
  size_t Waiting = 0;
  size_t BusySteps = 0;
  int64_t UsedMilliCores = 0;
  std::map<jobs::ExecutorId, std::vector<Run>> Running;
  std::map<jobs::JobId, OpenJob> OpenJobs;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_PLACEMENTLOAD_H
