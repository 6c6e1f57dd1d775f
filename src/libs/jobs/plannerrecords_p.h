#ifndef WHINTACK_JOBS_PLANNERRECORDS_P_H
#define WHINTACK_JOBS_PLANNERRECORDS_P_H

#include "earlierrun_p.h"
#include "roomplan.h"
#include "stepplacement.h"
#include "tenantaccounts.h"
#include "whintack/jobs/besteffortthrottle.h"
#include "whintack/jobs/jobrank.h"
#include "whintack/jobs/planner.h"

#include <deque>
#include <forward_list>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace whintack::jobs {

namespace Internal {

/// Time after which a stop order that was not answered is repeated.
inline constexpr Duration StopRetryDelay = std::chrono::milliseconds(500);
/// How long an unanswered start may take to appear in a report before the run
/// is stopped. A start takes effect within milliseconds, or seconds late.
inline constexpr Duration StartReportTimeout = std::chrono::milliseconds(300);

/// Phase of a run.
enum class RunPhase {
  /// The start order was issued and the run is not yet known to exist.
  Starting,
  Running,
  /// The run is to be stopped, or prevented from starting if its start was not
  /// answered.
  Stopping,
};

/// A run of a task that is not known to be over.
struct RunRecord {
  uint64_t Number = 0;
  ExecutorId Executor;
  /// The incarnation that the run was ordered from, or that reported it last.
  ExecutorIncarnation Incarnation = 0;
  RunPhase Phase = RunPhase::Starting;
  /// When the run was placed; not known if an earlier planner placed it.
  TimePoint PlacedAt = TimePoint::min();
  /// When the executor's answer to the start order arrived; TimePoint::max() if
  /// none did.
  TimePoint AnsweredAt = TimePoint::max();
  /// When the executor confirmed the start, by the executor's clock.
  std::optional<ExecutorTime> ConfirmedAt;
  /// When the executor confirmed a stop, by the executor's clock.
  std::optional<ExecutorTime> StopConfirmedAt;
  /// When to stop a run whose start was not answered, unless a report lists the
  /// run by then; TimePoint::max() for any other run.
  TimePoint StartTimeoutAt = TimePoint::max();
  /// From this time on, the start order is certainly lost unless it has been
  /// carried out; TimePoint::min() if the order has not been sent.
  TimePoint OrderLostAt = TimePoint::min();
  /// When it became known that the run has started, from an answer or a report;
  /// TimePoint::max() while that is not known.
  TimePoint KnownSince = TimePoint::max();
  /// From this time on, the run is not the likely cause if its executor
  /// crashes; TimePoint::max() while it is not known to have started.
  TimePoint SettledAt = TimePoint::max();
  /// The run is to be stopped only because its start was not answered.
  bool IsStartDoubtful = false;
  /// When to repeat a stop order that was not confirmed.
  TimePoint NextStopAt = TimePoint::max();
  int64_t Percent = 0;
  /// The long-running task is to leave an executor that is being evacuated, and
  /// has found no other place yet.
  bool IsAwaitingPlace = false;
  /// What the run has booked counts as LastChanceMilliCores.
  bool IsLastChance = false;
};

/// State of a task.
struct TaskRecord {
  TaskProgress Stored;
  uint64_t LastRun = 0;
  std::optional<RunRecord> Current;
  /// The last runs that were given up or have ended, the latest first; for the
  /// log only.
  std::forward_list<EarlierRun> EarlierRuns;
  /// The task is not started before this time.
  TimePoint EarliestStart = TimePoint::min();
  /// Executor on which the task failed last.
  ExecutorId LastFailedOn;
  /// The change that recorded the last of Stored.CrashedRuns; 0 if an earlier
  /// planner did.
  uint64_t CrashChange = 0;
};

/// A run that may have crashed its executor.
struct SuspectRun {
  TaskKey Task;
  uint64_t Number = 0;
  /// The executor answered the start order, or was up when it was sent.
  bool HasStarted = false;
  /// The executor was lost as soon as if the run had crashed it.
  bool IsPrompt = false;
};

/// How a task may be started again after its executors have crashed.
enum class StartCaution {
  None,
  /// Not while another task that may have crashed an executor starts there.
  ApartFromSuspects,
  /// Not while any other task starts there.
  Alone,
};

/// State of one occurrence of a step.
struct StepRecord {
  std::vector<TaskRecord> Tasks;
  size_t DoneTasks = 0;
  /// Number of tasks with a run on each executor. Kept only if the step has a
  /// maximum, which is checked for each executor whenever a task is placed.
  std::unordered_map<ExecutorId, size_t> TasksByExecutor;
  /// Rack chosen for a step whose tasks stay on one rack.
  std::string Rack;
  estimates::StepRunTimes RunTimes;

  bool isDone() const { return this->DoneTasks == this->Tasks.size(); }
  size_t tasksOn(const ExecutorId &Id) const {
    const auto Found = this->TasksByExecutor.find(Id);
    return Found == this->TasksByExecutor.end() ? 0 : Found->second;
  }
};

/// State of one occurrence of a job's steps.
struct OccurrenceRecord {
  std::vector<StepRecord> Steps;

  bool isDone() const;
};

struct JobRecord {
  JobSpec Spec;
  Queue Policy;
  TimePoint Accepted;
  bool MayHaveRun = false;
  bool HasStarted = false;
  JobState State = JobState::Queued;
  /// State that clients may see. It differs from State until that is stored.
  JobState ShownState = JobState::Queued;
  std::vector<OccurrenceRecord> Occurrences;
  /// Number of the first change that is not stored; 0 if all are.
  uint64_t FirstUnstored = 0;
  uint64_t LastChange = 0;
  /// Time of the first change that is not stored; TimePoint::max() if all are.
  TimePoint FirstUnstoredAt = TimePoint::max();
  /// Time of the first change since the last write was taken;
  /// TimePoint::max() if there has been none.
  TimePoint ChangedSinceWriteAt = TimePoint::max();
  bool IsBeingWritten = false;
  /// Number of runs not known to be over.
  size_t OpenRuns = 0;
  /// Estimated when the job is added; the steps do not change.
  JobEffort Effort;
  /// The remaining effort is that of the last review. rankOf() bounds it by the
  /// queue's mean.
  JobRank Rank;
  /// Entry of MeanWorkByQueue, if the job ranks as if it were no larger than
  /// its queue's mean.
  const std::pair<double, size_t> *QueueWork = nullptr;
  /// Position in the list of startable jobs, if the job is in it.
  std::optional<size_t> StartablePosition;
  /// Whether tasks can start must be determined anew.
  bool NeedsReview = false;
  TenantJob Tenant;

  StepRecord &step(const StepKey &Key);
  const StepRecord &step(const StepKey &Key) const;
};

/// A ticket as it was granted.
struct GrantedTicket {
  std::string Text;
  TimePoint ValidUntil = TimePoint::min();
};

/// Advice for one step.
struct AdviceRecord {
  std::map<ExecutorId, GrantedTicket> Tickets;
  std::set<ExecutorId> AskedExecutors;
  bool IsRequestPending = false;
  TimePoint NextRequestAt = TimePoint::min();

  bool hasTicket(const ExecutorId &Id, TimePoint Now) const;
};

/// An end reported for a job that is not known yet.
struct DeferredEnd {
  ExecutorId Executor;
  ExecutorIncarnation Incarnation = 0;
  EndReport End;
  TimePoint ReportedAt;
};

/// An end that its executor keeps until its effect is stored.
struct UnacknowledgedEnd {
  uint64_t Number = 0;
  JobId Job;
  /// The change of the job that must be stored first.
  uint64_t Change = 0;
  TimePoint ReportedAt;
};

/// A run that was given up although its start order may still be carried out.
/// The executor has been told to refuse it, or everything it had accepted has
/// expired; an incarnation that starts later knows of neither.
struct BarredRun {
  TaskKey Task;
  uint64_t Number = 0;
  /// From this time on, the start order is certainly lost.
  TimePoint Until;
  /// When to send the stop order to the present incarnation;
  /// TimePoint::max() if it need not be sent or was confirmed.
  TimePoint NextStopAt = TimePoint::max();
};

/// State of an executor, and the resources booked on it.
struct ExecutorRecord {
  ExecutorInfo Info;
  /// The incarnation that reported last. Numbers of ends and times on the
  /// executor's clock are those of this incarnation.
  ExecutorIncarnation Incarnation = 0;
  bool IsListed = false;
  bool IsReachable = true;
  bool HasReported = false;
  /// An earlier planner may have started runs there that are not known yet.
  bool MayHoldEarlierRuns = false;
  TimePoint EvacuatingUntil = TimePoint::min();
  /// The executor has runs that do not belong to any known job, or that
  /// duplicate a known run.
  bool HasUnknownRuns = false;
  ComputeResources Booked;
  /// The part of Booked that belongs to long-running tasks.
  int64_t LongRunningMilliCores = 0;
  /// Number of runs of long-running tasks.
  size_t LongRunningRuns = 0;
  std::map<TaskKey, uint64_t> Runs;
  uint64_t LastEnd = 0;
  /// The ends that the executor still keeps, by number.
  std::deque<UnacknowledgedEnd> UnacknowledgedEnds;
  /// Those of them whose runs had been given up before; for the log only.
  std::vector<GivenUpEnd> GivenUpEnds;
  /// Number of the first end whose job is not known yet; 0 if there is none.
  /// This end and later ones must be kept by the executor.
  uint64_t FirstDeferredEnd = 0;
  uint64_t LastDiscardableEnd = 0;
  BestEffortThrottle Throttle;
  TimePoint NoRoomUntil = TimePoint::min();
  /// Until when an order to the machine may end the executor.
  TimePoint MachineOrderedUntil = TimePoint::min();
  /// When the executor answered last. It crashes after that, and a crash that
  /// breaks no connection is noticed seconds later.
  TimePoint LastAnswerAt = TimePoint::min();
  /// When all runs placed so far will have settled.
  TimePoint SettledAt = TimePoint::min();
  /// Until when no further task that may have crashed an executor starts.
  TimePoint SuspectUntil = TimePoint::min();
  /// Until when only ReservedFor may start.
  TimePoint ReservedUntil = TimePoint::min();
  std::optional<TaskKey> ReservedFor;
  /// Runs that are to be counted if it turns out that the executor has crashed.
  std::vector<SuspectRun> UnexplainedRuns;
  std::vector<BarredRun> BarredRuns;
  ExpectedEnds Ends;

  ComputeResources free() const;
  /// Whether the list shows the incarnation that reports. If not, its capacity
  /// and labels are not known.
  bool isInfoCurrent() const;
};

/// A job that may have tasks to start.
struct StartableJob {
  JobRecord *Job = nullptr;
  /// The least that any of the tasks needs, separately for each resource.
  ComputeResources LeastNeed;
  /// Planning the job may have an effect even if no task fits anywhere.
  bool IsAlwaysPlanned = false;
  /// Determined only for a job with a tenant.
  WaitingTasks Waiting;
};

/// A startable job in one planning pass.
struct RankedJob {
  JobRank Rank;
  StartableJob Startable;
};

/// Does not cover any need, not even one of 0.
inline constexpr ComputeResources NoResources = {-1, -1, -1};

/// An executor that may get tasks, and the resources left on it during one
/// planning pass.
struct Candidate {
  ExecutorRecord *Executor = nullptr;
  ComputeResources Free;
  std::string Rack;
  /// Position in the pass's list of candidates.
  size_t Position = 0;
  /// What the executor had free when the pass was interrupted last.
  ComputeResources FreeAtInterruption = {};
};

/// What a pass did with a task.
enum class TaskPlan {
  /// It has nothing to start.
  Skipped,
  /// Executors were searched for it.
  Planned,
  /// No further task of its step can start in this pass.
  StepBlocked,
};

/// The next task of a job that a pass plans.
struct PassPosition {
  size_t Occurrence = 0;
  size_t Step = 0;
  size_t Task = 0;
};

/// A planning pass. It may be interrupted after any task, so that the event
/// loop can handle other events before it goes on. All jobs keep the ranks that
/// they had at its beginning, and what becomes free meanwhile is left to the
/// next pass, which offers it to the first jobs first.
struct PlanningPass {
  TimePoint BeganAt;
  /// Number of calls of Planner::plan() that have worked on the pass.
  size_t Turns = 0;
  std::vector<Candidate> Candidates;
  std::vector<RankedJob> Waiting;
  /// The entries of Waiting that have not been planned, as a heap with the
  /// first one by rank on top.
  std::vector<RankedJob *> Heap;
  /// The job that is being planned, and where; null between two jobs.
  RankedJob *Current = nullptr;
  PassPosition Next;
  /// Number of long-running jobs among Heap and Current.
  size_t LongRunning = 0;
  /// What UnplaceableNeed and mayReserve() were before Current.
  std::optional<ComputeResources> EarlierNeed;
  bool MightReserve = false;
  /// Jobs that were removed since the pass was interrupted.
  std::unordered_set<const JobRecord *> RemovedJobs;

  /// Makes a job that was taken from the heap the current one.
  void beginJob(RankedJob &Job) {
    this->Current = &Job;
    this->Next = {};
  }
};

} // namespace Internal

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_PLANNERRECORDS_P_H
