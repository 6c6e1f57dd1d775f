#ifndef WHINTACK_ESTIMATES_RUNTIMEESTIMATOR_H
#define WHINTACK_ESTIMATES_RUNTIMEESTIMATOR_H

#include "whintack/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace whintack::estimates {

/// Run times of one step, kept while the step is open.
class StepRunTimes {
public:
  /// A run of the step completed its task in this time.
  void noteFinished(Duration RunTime);
  /// A run of the step is still in progress after this time.
  void noteInProgress(Duration Elapsed);

  /// Number of finished runs that were noted, at most a fixed maximum.
  size_t finishedRuns() const { return this->Finished.size(); }
  /// Median of the last finished runs; zero if there is none.
  Duration median() const { return this->Median; }
  /// The longest time that any run is known to have taken so far.
  Duration longestKnown() const { return this->LongestKnown; }

private:
  /// The last finished runs; a ring once it is full.
  std::vector<Duration> Finished;
  size_t NextReplaced = 0;
  Duration Median = Duration::zero();
  Duration LongestKnown = Duration::zero();
};

/// What the expected time of a run is based on, most certain first.
enum class EstimateSource { ReportedProgress, SameStep, Queue, Client };

/// Expected time of a whole run.
struct RunTimeEstimate {
  Duration Length = Duration::zero();
  EstimateSource Source = EstimateSource::Client;

  /// A time that most runs with this estimate do not exceed.
  Duration withMargin() const;
};

/// A run that has not ended.
struct RunInProgress {
  /// Time since the run started, or since it was found if it was adopted.
  Duration Elapsed = Duration::zero();
  /// The run was started by an earlier planner, at an unknown time.
  bool IsAdopted = false;
  /// Last reported progress, 0 to 100.
  int64_t Percent = 0;
  /// Elapsed when the progress was reported.
  Duration ElapsedAtReport = Duration::zero();
};

/// Estimates how long runs take. Learns for each queue how far the clients'
/// estimates are off, counting each step once, because the runs of one step
/// take about the same time. Does no I/O and reads no clock.
class RunTimeEstimator {
public:
  /// Records the first finished run of a step.
  void noteStep(const std::string &Queue, Duration ClientEstimate,
                Duration RunTime);

  /// Mean ratio of run times to the clients' estimates; 1 until steps of the
  /// queue have been noted.
  double factor(const std::string &Queue) const;
  /// Whether enough steps of the queue have been noted to rank jobs by what was
  /// learned.
  bool isTrusted(const std::string &Queue) const;
  /// Expected time of a run that has not started. Without any finished run this
  /// is the client's estimate.
  RunTimeEstimate expectedTime(const std::string &Queue,
                               Duration ClientEstimate,
                               const StepRunTimes &Step) const;
  /// Expected time until a run ends.
  Duration expectedRemainder(const std::string &Queue, Duration ClientEstimate,
                             const StepRunTimes &Step,
                             const RunInProgress &Run) const;

private:
  struct QueueStatistics {
    /// Mean logarithm of the ratio of run times to estimates. Recent steps
    /// weigh more once MaxSteps have been noted.
    double MeanLogRatio = 0;
    size_t Steps = 0;
  };

  std::map<std::string, QueueStatistics> Queues;
};

} // namespace whintack::estimates

#endif // WHINTACK_ESTIMATES_RUNTIMEESTIMATOR_H
