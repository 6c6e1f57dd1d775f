#ifndef WHINTACK_JOBS_STEPPLACEMENT_H
#define WHINTACK_JOBS_STEPPLACEMENT_H

#include "whintack/jobs/executor.h"

#include <string>
#include <tuple>
#include <vector>

namespace whintack::jobs::Internal {

/// The rack of an executor. Its labels are the kind and the rack, in this
/// order.
std::string rackOf(const ExecutorInfo &Executor);

/// Placement preference of an executor for a task; the lowest score is best.
struct PlacementScore {
  bool HasFailedThere = false;
  bool IsFarFromData = false;
  /// Long-running tasks disturb each other, so they are spread.
  size_t LongRunningTasks = 0;
  /// Thousandths of a core that stay free after placement. The tightest fit is
  /// best, except for long-running tasks, for which the value is negated.
  int64_t LeftoverMilliCores = 0;

  bool operator<(const PlacementScore &Other) const {
    return std::tie(this->HasFailedThere, this->IsFarFromData,
                    this->LongRunningTasks, this->LeftoverMilliCores) <
           std::tie(Other.HasFailedThere, Other.IsFarFromData,
                    Other.LongRunningTasks, Other.LeftoverMilliCores);
  }
};

PlacementScore scorePlacement(const StepSpec &Spec,
                              const ComputeResources &Free,
                              const std::string &Rack);

/// Number of the step's tasks that fit into \p Free on one executor.
size_t countFittingTasks(const StepSpec &Spec, const ComputeResources &Free);

/// Free resources of one executor on a rack.
struct RackCandidate {
  std::string Rack;
  ComputeResources Free;
};

/// The rack on which the most tasks of the step fit now; empty if none fits.
std::string rackFittingMostTasks(const StepSpec &Spec,
                                 const std::vector<RackCandidate> &Candidates);

/// Estimated effort of a job.
struct JobEffort {
  /// Work in core-seconds, all steps of one occurrence together.
  double Work = 0;
  /// Duration of the longest chain of dependent steps.
  Duration CriticalPath = Duration::zero();
};

JobEffort estimateEffort(const JobSpec &Spec);

/// What is left of a step.
struct RemainingStep {
  /// Number of tasks that are neither done nor running.
  size_t WaitingTasks = 0;
  bool IsDone = false;
};

/// Estimates the effort of what is left of a job, with one entry of \p Left for
/// each step. The work is that of the waiting tasks only; the critical path
/// also contains steps whose tasks all run.
JobEffort estimateRemainingEffort(const JobSpec &Spec,
                                  const std::vector<RemainingStep> &Left);

} // namespace whintack::jobs::Internal

#endif // WHINTACK_JOBS_STEPPLACEMENT_H
