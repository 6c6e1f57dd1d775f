#ifndef WHINTACK_JOBS_STEPPLACEMENT_H
#define WHINTACK_JOBS_STEPPLACEMENT_H

#include "whintack/jobs/executor.h"

#include <string>
#include <tuple>
#include <vector>

namespace whintack::jobs::Internal {

/// The rack of an executor; its labels are kind and rack, in this order.
std::string rackOf(const ExecutorInfo &Executor);

/// How well an executor suits a task; the lowest is best.
struct PlacementScore {
  bool HasFailedThere = false;
  bool IsFarFromData = false;
  /// Tasks that last disturb each other, so they are spread.
  size_t LastingTasks = 0;
  /// Thousandths of a core that stay free; the tightest fit is best, except
  /// for tasks that last.
  int64_t LeftOver = 0;

  bool operator<(const PlacementScore &Other) const {
    return std::tie(this->HasFailedThere, this->IsFarFromData,
                    this->LastingTasks, this->LeftOver) <
           std::tie(Other.HasFailedThere, Other.IsFarFromData,
                    Other.LastingTasks, Other.LeftOver);
  }
};

PlacementScore scorePlacement(const StepSpec &Spec, const Room &Free,
                              const std::string &Rack);

/// Free room of one executor of a rack.
struct RackRoom {
  std::string Rack;
  Room Free;
};

/// The rack on which most tasks of the step fit now; empty if none fits.
std::string roomiestRack(const StepSpec &Spec,
                         const std::vector<RackRoom> &Rooms);

/// Estimated effort of a job.
struct JobEffort {
  /// In core-seconds, all steps of one occurrence together.
  double Work = 0;
  /// The longest chain of steps that wait for each other.
  Duration Chain = Duration::zero();
};

JobEffort estimateEffort(const JobSpec &Spec);

} // namespace whintack::jobs::Internal

#endif // WHINTACK_JOBS_STEPPLACEMENT_H
