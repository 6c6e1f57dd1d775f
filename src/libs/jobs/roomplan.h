#ifndef WHINTACK_JOBS_ROOMPLAN_H
#define WHINTACK_JOBS_ROOMPLAN_H

#include "whintack/estimates/runtimeestimator.h"
#include "whintack/jobs/planner.h"
#include "whintack/placement/reservationplanner.h"

#include <map>
#include <string>

namespace whintack::jobs::Internal {

/// When the runs on an executor are expected to end. Kept between passes,
/// because finding it takes longer than all else about a reservation.
struct ExpectedEnds {
  std::vector<placement::EndingRun> Runs;
  /// TimePoint::min() if the runs have changed.
  TimePoint ValidUntil = TimePoint::min();
};

/// A reservation for the log.
struct LoggedReservation {
  TaskKey Task;
  ExecutorId Executor;
  TimePoint Start;
  /// Whether the task would fit if there were no other reservations.
  bool IsHeldBack = false;
};

/// Logs which reservations begin and end. Reservations are made anew in each
/// pass, up to 200 times a second, so only changes are logged, and at a bounded
/// rate.
class ReservationLog {
public:
  explicit ReservationLog(DecisionLog Log) : Log(std::move(Log)) {}

  void note(LoggedReservation Made);
  /// Logs how the reservations noted since the last call differ from those
  /// before.
  void endPass(TimePoint Now);

private:
  bool mayWrite(TimePoint Now);

  DecisionLog Log;
  std::map<StepKey, LoggedReservation> Made;
  std::map<StepKey, LoggedReservation> Shown;
  TimePoint CountedSince = TimePoint::min();
  size_t Lines = 0;
  size_t LinesLeftOut = 0;
};

/// What the planner needs to reserve room for large tasks.
struct RoomPlan {
  explicit RoomPlan(DecisionLog Log) : Changes(std::move(Log)) {}

  estimates::RunTimeEstimator Estimator;
  /// Reservations of the present pass.
  placement::ReservationPlanner Reservations;
  ReservationLog Changes;
  /// The least need for which room is reserved, separately for each resource.
  ComputeResources LargeNeed;
};

} // namespace whintack::jobs::Internal

#endif // WHINTACK_JOBS_ROOMPLAN_H
