#ifndef WHINTACK_JOBS_EARLIERRUN_P_H
#define WHINTACK_JOBS_EARLIERRUN_P_H

#include "whintack/jobs/executor.h"

namespace whintack::jobs::Internal {

/// Why a run is over, or was given up, without its task being done.
enum class RunLoss {
  /// The leases of its executor have expired.
  LeasesExpired,
  /// Another incarnation answers at its executor's address.
  Replaced,
  /// The machine of its executor is down or runs another executor.
  MachineLost,
  /// Its executor has started again and does not list it.
  Restarted,
  /// Its executor no longer lists it, and has reported no end.
  Gone,
  /// It was stopped.
  Stopped,
  /// The start order was refused or not sent.
  Refused,
  /// The start order was not answered, and can no longer be carried out.
  OrderLost,
  /// It has ended as done. Its task runs on, because it is long-running.
  Done,
  Failed,
  /// The executor's lease ran out by its own clock.
  Lapsed,
  /// Another member of the gang ended.
  Broken,
  /// Other members of the gang did not start in time.
  Alone,
};

inline constexpr EnumNames<RunLoss, 13> RunLossNames = {{
    {RunLoss::LeasesExpired, "leases-expired"},
    {RunLoss::Replaced, "replaced"},
    {RunLoss::MachineLost, "machine-lost"},
    {RunLoss::Restarted, "restarted"},
    {RunLoss::Gone, "gone"},
    {RunLoss::Stopped, "stopped"},
    {RunLoss::Refused, "refused"},
    {RunLoss::OrderLost, "order-lost"},
    {RunLoss::Done, "done"},
    {RunLoss::Failed, "failed"},
    {RunLoss::Lapsed, "lapsed"},
    {RunLoss::Broken, "broken"},
    {RunLoss::Alone, "alone"},
}};

RunLoss lossOf(ExecutorLoss Cause);
RunLoss lossOf(RunEnd Outcome);

/// A run of a task before the present one.
struct EarlierRun {
  uint64_t Number = 0;
  ExecutorId Executor;
  ExecutorIncarnation Incarnation = 0;
  RunLoss Cause = RunLoss::Gone;
  TimePoint At;
  /// Number of its end; 0 if none has been reported.
  uint64_t End = 0;
};

/// An end of a run that had been given up before, until it is acknowledged.
struct GivenUpEnd {
  ExecutorIncarnation Incarnation = 0;
  EndReport Reported;
  TimePoint ReportedAt;
  RunLoss Cause = RunLoss::Gone;
  TimePoint GivenUpAt;
};

} // namespace whintack::jobs::Internal

#endif // WHINTACK_JOBS_EARLIERRUN_P_H
