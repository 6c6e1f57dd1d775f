#include "whintack/estimates/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace whintack::estimates {

/// Number of finished runs kept for each step. A median needs no more, and a
/// step may have thousands of tasks.
static constexpr size_t MaxFinishedRuns = 31;
/// Number of queues whose estimates are learned. A service has few; the bound
/// keeps renamed queues from adding up.
static constexpr size_t MaxQueues = 256;
/// Number of steps after which older ones count less, so that a change of the
/// clients' estimates is learned.
static constexpr size_t MaxSteps = 200;
/// Weight of the assumption that the clients are right, in steps.
static constexpr double PriorSteps = 8;
/// Number of steps after which a queue's factor is trusted. Run times of jobs
/// differ by a factor of 20, so the mean of a few says little.
static constexpr size_t TrustedSteps = 20;
/// Bounds of a single ratio, so that one step with a useless estimate does not
/// outweigh all others.
static constexpr double MaxRatio = 20;
/// Progress is extrapolated from this percentage on; before, one percent of
/// rounding changes the result by more than a tenth.
static constexpr int64_t MinPercent = 10;
/// Progress is extrapolated after this time; a shorter one is mostly the time
/// that the start took.
static constexpr Duration MinElapsed = std::chrono::milliseconds(100);
/// A run whose progress points to this multiple of its step's median differs
/// from the other runs: 3 in 1,000 runs take over 3 times the median.
static constexpr double StragglerRatio = 2;
/// Least part of the expected time that is left to a run.
static constexpr int64_t LeastRemainderDivisor = 20;
/// Part of the time beyond the expected end that is expected once more.
static constexpr int64_t OverrunDivisor = 2;

static Duration scaled(Duration Length, double Factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(Length.count()) * Factor));
}

void StepRunTimes::noteFinished(Duration RunTime) {
  if (this->Finished.size() < MaxFinishedRuns) {
    this->Finished.push_back(RunTime);
  } else {
    this->Finished[this->NextReplaced] = RunTime;
    this->NextReplaced = (this->NextReplaced + 1) % MaxFinishedRuns;
  }
  this->LongestKnown = std::max(this->LongestKnown, RunTime);
  std::vector<Duration> Sorted = this->Finished;
  const auto Middle =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  this->Median = *Middle;
}

void StepRunTimes::noteInProgress(Duration Elapsed) {
  this->LongestKnown = std::max(this->LongestKnown, Elapsed);
}

Duration RunTimeEstimate::withMargin() const {
  // Nine of ten steps have a slowest run of at most 1.94 times their median. A
  // quarter of the short jobs run over 3 times their client's estimate.
  constexpr double KnownStepMargin = 2;
  constexpr double UnknownStepMargin = 3;
  switch (this->Source) {
  case EstimateSource::ReportedProgress:
  case EstimateSource::SameStep:
    return scaled(this->Length, KnownStepMargin);
  case EstimateSource::Queue:
  case EstimateSource::Client:
    break;
  }
  return scaled(this->Length, UnknownStepMargin);
}

void RunTimeEstimator::noteStep(const std::string &Queue,
                                Duration ClientEstimate, Duration RunTime) {
  if (ClientEstimate <= Duration::zero() || RunTime <= Duration::zero())
    return;
  if (!this->Queues.contains(Queue) && this->Queues.size() >= MaxQueues)
    return;
  const double Ratio = static_cast<double>(RunTime.count()) /
                       static_cast<double>(ClientEstimate.count());
  const double LogRatio = std::log(std::clamp(Ratio, 1 / MaxRatio, MaxRatio));
  QueueStatistics &Known = this->Queues[Queue];
  Known.Steps = std::min(Known.Steps + 1, MaxSteps);
  Known.MeanLogRatio +=
      (LogRatio - Known.MeanLogRatio) / static_cast<double>(Known.Steps);
}

double RunTimeEstimator::factor(const std::string &Queue) const {
  const auto Found = this->Queues.find(Queue);
  if (Found == this->Queues.end())
    return 1;
  const auto Steps = static_cast<double>(Found->second.Steps);
  return std::exp(Found->second.MeanLogRatio * Steps / (Steps + PriorSteps));
}

bool RunTimeEstimator::isTrusted(const std::string &Queue) const {
  const auto Found = this->Queues.find(Queue);
  return Found != this->Queues.end() && Found->second.Steps >= TrustedSteps;
}

RunTimeEstimate RunTimeEstimator::expectedTime(const std::string &Queue,
                                               Duration ClientEstimate,
                                               const StepRunTimes &Step) const {
  if (Step.finishedRuns() > 0)
    return {Step.median(), EstimateSource::SameStep};
  const double Factor = this->factor(Queue);
  RunTimeEstimate Expected;
  if (Factor != 1)
    Expected = {scaled(ClientEstimate, Factor), EstimateSource::Queue};
  else
    Expected = {ClientEstimate, EstimateSource::Client};
  // No run has finished yet, so all of them take at least as long as the one
  // that is longest in progress, unless that one is slower than the others.
  if (Step.longestKnown() > Expected.Length)
    Expected = {Step.longestKnown(), EstimateSource::Queue};
  return Expected;
}

Duration RunTimeEstimator::expectedRemainder(const std::string &Queue,
                                             Duration ClientEstimate,
                                             const StepRunTimes &Step,
                                             const RunInProgress &Run) const {
  constexpr double AllPercent = 100;
  const RunTimeEstimate Known = this->expectedTime(Queue, ClientEstimate, Step);
  Duration Total = Known.Length;
  if (Run.IsAdopted) {
    // Only the time since the take-over is known, so the progress that was made
    // before is taken from the report.
    Total = scaled(Total, 1 - static_cast<double>(Run.Percent) / AllPercent) +
            Run.ElapsedAtReport;
  } else if (Run.Percent >= MinPercent && Run.ElapsedAtReport >= MinElapsed) {
    const Duration Extrapolated = scaled(
        Run.ElapsedAtReport, AllPercent / static_cast<double>(Run.Percent));
    const bool IsStraggler = Extrapolated > scaled(Total, StragglerRatio);
    Total = Known.Source == EstimateSource::SameStep && !IsStraggler
                ? (Total + Extrapolated) / 2
                : Extrapolated;
  }
  const Duration Least = Total / LeastRemainderDivisor;
  if (Run.Elapsed <= Total)
    return std::max(Total - Run.Elapsed, Least);
  return Least + (Run.Elapsed - Total) / OverrunDivisor;
}

} // namespace whintack::estimates
