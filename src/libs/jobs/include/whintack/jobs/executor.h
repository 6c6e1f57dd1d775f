#ifndef WHINTACK_JOBS_EXECUTOR_H
#define WHINTACK_JOBS_EXECUTOR_H

#include "whintack/base/address.h"
#include "whintack/base/enumnames.h"
#include "whintack/base/time.h"
#include "whintack/jobs/jobspec.h"

#include <string>
#include <vector>

namespace whintack::jobs {

/// Why nothing runs on an executor any more.
enum class ExecutorLoss {
  /// All leases have expired. The executor may still be up.
  LeasesExpired,
  /// Another incarnation answers at its address.
  Replaced,
  /// Its machine is down or runs another executor.
  MachineLost,
};

inline constexpr EnumNames<ExecutorLoss, 3> ExecutorLossNames = {{
    {ExecutorLoss::LeasesExpired, "leases-expired"},
    {ExecutorLoss::Replaced, "replaced"},
    {ExecutorLoss::MachineLost, "machine-lost"},
}};

/// Tells apart the incarnations of an executor, which may share one id: the
/// Unix time of the start in milliseconds. 0 if the executor does not report
/// it. A later incarnation may have a lower value if the clock was set.
using ExecutorIncarnation = int64_t;

/// An executor as it registered itself. The list of executors lags behind.
struct ExecutorInfo {
  ExecutorId Id;
  ExecutorIncarnation Incarnation = 0;
  ServiceName Service;
  Address Server;
  DataCentreName DataCentre;
  bool IsDraining = false;
  ComputeResources Capacity;
  /// Kind and rack of its machine.
  std::vector<std::string> Labels;

  bool operator==(const ExecutorInfo &) const = default;
};

/// Time on one executor's clock, in milliseconds.
using ExecutorTime = int64_t;

/// A run that an executor reports as running.
struct RunReport {
  TaskKey Task;
  uint64_t Run = 0;
  /// Latest checkpoint; empty for none.
  std::string Checkpoint;
  /// Progress in percent or, for a long-running task, the share of its work
  /// that it serves; 0 to 100.
  int64_t Percent = 0;
  /// For a serving task its tail latency in milliseconds; for any other task
  /// its processor use in thousandths of a core. A rough figure for the last
  /// half second.
  int64_t Load = 0;
};

/// How a run ended.
enum class RunEnd {
  Done,
  /// The task or the executor failed.
  Failed,
  Stopped,
  /// The executor's lease ran out.
  Lapsed,
  /// Another member of the gang ended.
  Broken,
  /// Other members of the gang did not start in time.
  Alone,
};

inline constexpr EnumNames<RunEnd, 6> RunEndNames = {{
    {RunEnd::Done, "done"},
    {RunEnd::Failed, "failed"},
    {RunEnd::Stopped, "stopped"},
    {RunEnd::Lapsed, "lapsed"},
    {RunEnd::Broken, "broken"},
    {RunEnd::Alone, "alone"},
}};

/// A run that has ended on an executor.
struct EndReport {
  /// Position in the executor's list of ends, counted from 1.
  uint64_t Number = 0;
  TaskKey Task;
  uint64_t Run = 0;
  RunEnd Outcome = RunEnd::Lapsed;
  std::string Checkpoint;
};

/// All runs that an executor reports at one point in time.
struct ExecutorReport {
  ExecutorIncarnation Incarnation = 0;
  /// When the report was requested. It shows the effect of each order that was
  /// answered before.
  TimePoint RequestedAt = TimePoint::min();
  ExecutorTime At = 0;
  std::vector<RunReport> Running;
  std::vector<EndReport> Ended;
  /// The report is truncated: ends may follow in another report.
  bool IsTruncated = false;
};

/// Outcome of an order to start.
enum class StartOutcome {
  Started,
  /// Refused: the executor has seen a higher fencing token.
  Fenced,
  /// Refused: this run or a later one of the task was stopped or has ended
  /// there.
  Outdated,
  /// Refused: it arrived after its deadline.
  Late,
  /// Refused: the task does not fit.
  NoRoom,
  /// Refused: the ticket is missing or no longer valid.
  NoTicket,
  /// Refused without doing anything, because the executor is unhealthy.
  Unhealthy,
  /// Refused as malformed.
  Malformed,
  /// Another incarnation answers at the executor's address.
  OtherIncarnation,
  /// No answer was received; the order may still be carried out.
  Unknown,
};

inline constexpr EnumNames<StartOutcome, 10> StartOutcomeNames = {{
    {StartOutcome::Started, "started"},
    {StartOutcome::Fenced, "fenced"},
    {StartOutcome::Outdated, "outdated"},
    {StartOutcome::Late, "late"},
    {StartOutcome::NoRoom, "no-room"},
    {StartOutcome::NoTicket, "no-ticket"},
    {StartOutcome::Unhealthy, "unhealthy"},
    {StartOutcome::Malformed, "malformed"},
    {StartOutcome::OtherIncarnation, "other-incarnation"},
    {StartOutcome::Unknown, "unknown"},
}};

/// Order to start one run of a task.
struct StartOrder {
  ExecutorId Executor;
  TaskKey Task;
  uint64_t Run = 0;
  std::string TaskPayload;
  std::string Checkpoint;
  std::string Ticket;
};

/// Order to stop a run, or to prevent it from starting if it has not started
/// yet.
struct StopOrder {
  ExecutorId Executor;
  TaskKey Task;
  uint64_t Run = 0;
};

/// Order to limit a run to a percentage of its full pace.
struct PaceOrder {
  ExecutorId Executor;
  TaskKey Task;
  uint64_t Run = 0;
  /// 0 to 100.
  int64_t Percent = 100;
};

/// Order to request advice on which executors may run a step.
struct AdviceOrder {
  StepKey Step;
  std::vector<ExecutorId> Candidates;
  /// Declared time of the advice service for an answer on these candidates,
  /// from when it begins to handle the request.
  Duration ResponseTime = Duration::zero();
};

/// Permission for an executor to run a step.
struct Ticket {
  ExecutorId Executor;
  std::string Text;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_EXECUTOR_H
