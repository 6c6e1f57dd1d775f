#ifndef WHINTACK_JOBS_EXECUTOR_H
#define WHINTACK_JOBS_EXECUTOR_H

#include "whintack/base/address.h"
#include "whintack/base/enumnames.h"
#include "whintack/jobs/jobspec.h"

#include <string>
#include <vector>

namespace whintack::jobs {

/// An executor as it registered itself. The list of these lags.
struct ExecutorInfo {
  ExecutorId Id;
  ServiceName Service;
  Address Server;
  DataCentreName DataCentre;
  bool IsDraining = false;
  Room Capacity;
  /// Kind and rack of its machine.
  std::vector<std::string> Labels;

  bool operator==(const ExecutorInfo &) const = default;
};

/// Instant of one executor's clock, in milliseconds.
using ExecutorTime = int64_t;

/// A task that runs on an executor.
struct RunReport {
  TaskKey Task;
  uint64_t Run = 0;
  /// Latest checkpoint; empty for none.
  std::string Checkpoint;
  /// Progress or, for a task that lasts, share of its work; 0 to 100.
  int64_t Percent = 0;
  /// For a serving task the tail of its response times in milliseconds, for
  /// any other the processor use in thousandths of a core; of the last half
  /// second, rough.
  int64_t Load = 0;
};

/// How a run ended.
enum class RunEnd {
  Done,
  /// Through its own fault or the executor's.
  Failed,
  Stopped,
  /// The executor's lease ran out.
  Lapsed,
  /// Another member of its gang ended.
  Broken,
  /// Other members of its gang did not start in time.
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
  RunEnd How = RunEnd::Lapsed;
  std::string Checkpoint;
};

/// Everything that an executor says about its runs at one instant.
struct ExecutorReport {
  ExecutorTime At = 0;
  std::vector<RunReport> Running;
  std::vector<EndReport> Ended;
  /// The executor may have left ends out for another report.
  bool IsCut = false;
};

/// What became of an order to start.
enum class StartOutcome {
  Started,
  /// Refused: a higher fencing token has been seen.
  Fenced,
  /// Refused: an equal or later run was stopped or has ended there.
  Outdated,
  /// Refused: it arrived after its deadline.
  Late,
  /// Refused: it does not fit.
  NoRoom,
  /// Refused: the ticket is missing or no longer valid.
  NoTicket,
  /// Refused without doing anything, by an executor that is not well.
  Unhealthy,
  /// Refused as malformed.
  Malformed,
  /// Another executor answers at the address.
  OtherIncarnation,
  /// No answer came; it may still be carried out.
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
  ExecutorId On;
  TaskKey Task;
  uint64_t Run = 0;
  std::string TaskText;
  std::string Checkpoint;
  std::string Ticket;
};

/// Order to stop a run, or to bar it if it has not started.
struct StopOrder {
  ExecutorId On;
  TaskKey Task;
  uint64_t Run = 0;
};

/// Order to let a run work at a share of its pace.
struct PaceOrder {
  ExecutorId On;
  TaskKey Task;
  uint64_t Run = 0;
  /// 0 to 100.
  int64_t Percent = 100;
};

/// Order to ask which executors may run a step.
struct AdviceOrder {
  StepKey Step;
  std::vector<ExecutorId> Candidates;
};

/// Permission for an executor to run a step.
struct Ticket {
  ExecutorId On;
  std::string Text;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_EXECUTOR_H
