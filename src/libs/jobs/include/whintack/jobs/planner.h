#ifndef WHINTACK_JOBS_PLANNER_H
#define WHINTACK_JOBS_PLANNER_H

#include "whintack/base/log.h"
#include "whintack/jobs/configuration.h"
#include "whintack/jobs/executor.h"
#include "whintack/jobs/jobprogress.h"
#include "whintack/jobs/poolpolicy.h"
#include "whintack/jobs/tenantstatus.h"
#include "whintack/jobs/wavescheduler.h"
#include "whintack/tenants/quota.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace whintack::jobs {

/// How long an evacuation lasts unless it is requested again: long enough to
/// store and send an order to the machine.
constexpr Duration EvacuationTimeout = std::chrono::seconds(2);

/// An order that the planner issues. Orders to one executor are sent in
/// sequence.
using Order = std::variant<StartOrder, StopOrder, PaceOrder, AdviceOrder>;

/// Logs one decision and the values that it is based on.
using DecisionLog = std::function<void(std::string_view Event,
                                       std::initializer_list<LogField> Fields)>;

/// Identity of a planner.
struct PlannerSetup {
  ServiceName Service;
  /// Number of times that the service's planner has been claimed, including
  /// this one. Run numbers start above those of earlier generations.
  uint64_t Generation = 1;
  DecisionLog Log;
  /// Reserve room for large tasks that wait.
  bool ReservesRoom = false;
  /// Whether a pass is to be interrupted after the present task; null if never.
  std::function<bool()> IsTurnOver = nullptr;
};

/// How a planner learned of a job.
enum class JobSource {
  /// An entry VM told the planner, because it accepted the job or was asked for
  /// it.
  Announced,
  /// A notice in the store, left by an entry VM that could not tell a planner.
  Notice,
  /// Read when the planner took the service over.
  TakeOver,
  /// Read because a VM was lost that may have accepted jobs.
  LostProcess,
};

inline constexpr EnumNames<JobSource, 4> JobSourceNames = {{
    {JobSource::Announced, "announced"},
    {JobSource::Notice, "notice"},
    {JobSource::TakeOver, "take-over"},
    {JobSource::LostProcess, "lost-process"},
}};

/// A job as it was accepted.
struct AcceptedJob {
  JobSpec Spec;
  Queue Policy;
  /// The tenant that submitted the job; empty if it has none.
  TenantName Tenant;
  TimePoint Accepted;
  /// An earlier planner may have started tasks of the job.
  bool MayHaveRun = false;
  JobSource Source = JobSource::Announced;
};

/// A job record to be written to the store.
struct JobWrite {
  JobId Job;
  JobProgress Progress;
  /// The record includes all changes up to this number.
  uint64_t Through = 0;
};

/// How far a planning pass that was interrupted has got.
struct OpenPass {
  TimePoint BeganAt;
  /// Number of calls of plan() so far.
  size_t Turns = 0;
  /// Number of jobs that have not been planned to their ends.
  size_t JobsLeft = 0;
  /// The task that comes next, if the pass was interrupted within a job.
  std::optional<TaskKey> Next;
};

/// What the planner has recorded and the store does not have yet.
struct StoreBacklog {
  /// Number of jobs with changes that are not stored.
  size_t Jobs = 0;
  /// Time of the oldest change that is not stored; TimePoint::max() if all are.
  TimePoint OldestChangeAt = TimePoint::max();
  /// Number of executors with ends that were reported and may not be discarded.
  size_t Executors = 0;
  /// Number of these ends.
  size_t Ends = 0;
  /// When the oldest of these ends was reported; TimePoint::max() if there is
  /// none.
  TimePoint OldestEndAt = TimePoint::max();
};

/// Decides which task of a service's jobs runs where, and when.
///
/// Does no I/O and reads no clock: callers pass in events and the time, and
/// fetch the resulting orders. No second run of a task starts before the first
/// is known to be over. A run whose start or stop was not answered counts as
/// running until the executor's own report, an expired lease or a new
/// incarnation says otherwise, and until its start order is certainly refused
/// or lost. Ends that an executor may discard are handed out as writes first.
/// Not thread-safe.
class Planner {
public:
  explicit Planner(PlannerSetup Setup);
  ~Planner();

  /// Adds a job. Does nothing if the job is known already.
  void addJob(AcceptedJob Job);
  /// Adds a job that an earlier planner has worked on.
  void restoreJob(AcceptedJob Job, const JobProgress &Progress, TimePoint Now);
  /// Records the final state of a job that ended earlier.
  void restoreFinalJob(const JobId &Job, JobState State);
  /// Cancels a job and stops its tasks. Returns the number of the change that
  /// must be stored before the caller is answered, or std::nullopt if the job
  /// is not known.
  std::optional<uint64_t> cancel(const JobId &Job, TimePoint Now);

  /// The state of a job as clients may see it: a final state is shown only once
  /// it is stored. std::nullopt if the job is not known.
  std::optional<JobState> shownState(const JobId &Job) const;
  /// Number of accepted jobs that have not started a task and were submitted to
  /// a queue with the name of \p Asked, or with its host and prefix.
  size_t waitingJobs(const Queue &Asked) const;

  /// Adopts the current policies of the service's queues. Jobs of a queue that
  /// is gone, or that has gone to another service, keep theirs.
  void setQueues(const QueueTable &Queues);
  /// Adopts the list of the service's executors.
  void setExecutors(const std::vector<ExecutorInfo> &Listed);
  /// Between beginExecutorDiscovery() and endExecutorDiscovery(), while the
  /// executors of an earlier planner are being determined, tasks that this
  /// planner may have started are not started again.
  void beginExecutorDiscovery();
  /// Ends what beginExecutorDiscovery() began.
  void endExecutorDiscovery();
  /// Until endCatchUp(), ends of unknown jobs are kept and executors may not
  /// discard them, because jobs of an earlier planner may still be added.
  void beginCatchUp();
  /// All jobs that an earlier planner can know have been added.
  void endCatchUp();
  /// Tasks that may be running on one of \p Executors are not started elsewhere
  /// until each of these has reported or its leases have expired.
  void awaitReports(const std::vector<ExecutorId> &Executors);
  bool isRecovering() const;
  /// Whether the executor is listed, or something may still run on it.
  bool isKnownExecutor(const ExecutorId &Id) const;
  bool isListedExecutor(const ExecutorId &Id) const;

  /// Handles an executor's report of its runs.
  void noteReport(const ExecutorId &Id, const ExecutorReport &Report,
                  TimePoint Now);
  /// Records that a start order is being sent: if the answer is missing, the
  /// order may be carried out late.
  void noteStartSent(const StartOrder &Order, TimePoint Now);
  /// Handles the answer to a start order, or the lack of one.
  void noteStart(const StartOrder &Order, StartOutcome Outcome, ExecutorTime At,
                 TimePoint Now);
  /// Whether the run that the order is to start is still the task's run. It is
  /// not once the run has been given up, so that the task may run elsewhere.
  bool isCurrent(const StartOrder &Order) const;
  /// \p At is the executor's time of its answer; std::nullopt if it did not
  /// answer.
  void noteStop(const StopOrder &Order, std::optional<ExecutorTime> At,
                TimePoint Now);
  /// Takes over tickets that are valid until \p ValidUntil.
  void noteAdvice(const AdviceOrder &Request,
                  const std::vector<Ticket> &Tickets, TimePoint ValidUntil);
  /// The request for advice failed; it may be repeated after a delay.
  void noteAdviceFailed(const AdviceOrder &Request, TimePoint Now);
  /// Records whether the executor answers.
  void setReachable(const ExecutorId &Id, bool IsReachable);
  /// Records that nothing runs on the executor any more. If it has crashed, the
  /// runs that may be the cause are counted. A task that has been counted too
  /// often is given up, and its job fails. A run whose start order was sent and
  /// not answered remains the task's run while a later incarnation under the
  /// same id may carry the order out.
  void noteEmpty(const ExecutorId &Id, ExecutorLoss Cause, TimePoint Now);

  /// Places no new tasks on an executor for EvacuationTimeout, and moves its
  /// long-running tasks away as far as the MaxUnavailable of their steps
  /// allows. Tasks with checkpoints are stopped, to continue elsewhere.
  void evacuate(const ExecutorId &Id, TimePoint Now);
  /// Places no new tasks on \p Count executors for a while, so that their
  /// machines can move to a pool that needs them more. Chooses those with the
  /// least work on them and without long-running tasks. What runs there goes
  /// on.
  void release(size_t Count, TimePoint Now);
  /// What would be lost if the executor ended now: its runs, and ends that are
  /// not stored yet.
  Occupancy occupancy(const ExecutorId &Id) const;

  /// Repeats stop orders that were not answered.
  void repeatStops(TimePoint Now);
  /// Orders the start of all tasks that can start now, and repeats stop orders
  /// that were not answered. If the pass is interrupted, the next call goes on
  /// with it.
  void plan(TimePoint Now, WallTime WallNow);
  /// Drops the pass that was interrupted: the next call of plan() begins a new
  /// one.
  void abandonPass();
  /// The pass that was interrupted; std::nullopt if there is none.
  std::optional<OpenPass> openPass() const;
  /// Logs for each job with long-running tasks that have not been running for
  /// seconds what these wait for.
  void logWaits(TimePoint Now) const;
  /// Returns the orders issued since the last call.
  std::vector<Order> takeOrders();
  /// Number of jobs that a pass looks at.
  size_t startableJobs() const;
  /// Time at which plan() should be called again if no other event occurs.
  TimePoint nextPlan(TimePoint Now) const;

  /// Takes writes of at most \p MaxEntries entries of a transaction; a job that
  /// has ended takes two. Each write must be confirmed with noteWritten() or
  /// returned with noteWriteFailed().
  std::vector<JobWrite> takeWrites(size_t MaxEntries);
  /// The writes are stored.
  void noteWritten(const std::vector<JobWrite> &Writes);
  /// The writes may not be stored and are to be written again.
  void noteWriteFailed(const std::vector<JobWrite> &Writes);
  /// Number of jobs that takeWrites() can return.
  size_t writableJobs() const;
  /// Whether the changes of the job up to this number are stored.
  bool isStored(const JobId &Id, uint64_t Change) const;
  /// All changes up to this number are stored.
  uint64_t storedThrough() const;
  /// Number of the last change.
  uint64_t lastChange() const;
  /// How far the store is behind. Looks at all executors.
  StoreBacklog storeBacklog() const;
  /// Number of the last end that the executor may discard.
  uint64_t lastDiscardableEnd(const ExecutorId &Id) const;
  /// Whether the executor has reported ends that are not stored yet.
  bool hasUnstoredEnds(const ExecutorId &Id) const;
  /// Logs the ends of runs that had been given up, when the executor is told to
  /// discard its ends up to the number \p Through.
  void noteAcknowledged(const ExecutorId &Id, uint64_t Through, TimePoint Now);

  /// Adopts the service's shares of the tenants' quotas. Older plans than the
  /// last are ignored.
  void adoptQuota(const tenants::QuotaGrants &Granted);
  /// What is in use of each quota, what waits, and which shares apply.
  tenants::QuotaReport quotaReport(TimePoint Now) const;
  /// Whether tasks of tenants with a maximum may start, as while the
  /// configuration is known to be current. They may not before the first call.
  void setMayStartLimited(bool MayStart);
  /// Figures of all tenants, by name.
  std::vector<TenantStatus> tenantStatus(TimePoint Now) const;

  /// Demand of the pool, for the policy that moves machines. The cores of
  /// executors in \p Arrived that are not listed yet count as the pool's.
  PoolDemand demand(TimePoint Now,
                    const std::vector<ArrivedExecutor> &Arrived = {}) const;

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_PLANNER_H
