#ifndef WHINTACK_JOBS_PLANNER_P_H
#define WHINTACK_JOBS_PLANNER_P_H

#include "roomplan.h"
#include "stepplacement.h"
#include "tenantaccounts.h"
#include "whintack/jobs/arrivalmeter.h"
#include "whintack/jobs/besteffortthrottle.h"
#include "whintack/jobs/executorhealthtracker.h"
#include "whintack/jobs/jobrank.h"
#include "whintack/jobs/planner.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

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
  /// Rack chosen for a step whose tasks stay on one rack.
  std::string Rack;
  estimates::StepRunTimes RunTimes;

  bool isDone() const { return this->DoneTasks == this->Tasks.size(); }
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
  std::map<TaskKey, uint64_t> Runs;
  uint64_t LastEnd = 0;
  /// The ends that the executor still keeps, by number.
  std::deque<UnacknowledgedEnd> UnacknowledgedEnds;
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

/// An executor that may get tasks, and the resources left on it during one
/// planning pass.
struct Candidate {
  ExecutorRecord *Executor = nullptr;
  ComputeResources Free;
  std::string Rack;
  /// Position in the pass's list of candidates.
  size_t Position = 0;
  /// Number of long-running tasks on the executor; not set until it is needed.
  std::optional<size_t> LongRunningTasks = std::nullopt;
};

} // namespace Internal

class Planner::Private {
public:
  explicit Private(PlannerSetup Setup)
      : Setup(std::move(Setup)), Room(this->Setup.Log) {}

  // Jobs.
  Internal::JobRecord &insertJob(AcceptedJob Job);
  Internal::JobRecord *findJob(const JobId &Id);
  Internal::TaskRecord *findTask(const TaskKey &Key);
  const StepSpec &stepSpec(const Internal::JobRecord &Job, const StepKey &Step);
  Internal::TaskRecord &gangLeader(const StepKey &Step);
  uint64_t recordChange(Internal::JobRecord &Job, TimePoint Now);
  /// \p At is the time of the change; \p Change is 0 if all are stored.
  void setFirstUnstored(Internal::JobRecord &Job, uint64_t Change,
                        TimePoint At);
  void beginWrite(Internal::JobRecord &Job);
  void endWrite(Internal::JobRecord &Job);
  /// Number of the job's last change; 0 if the job is not known.
  uint64_t lastChangeOf(const JobId &Id);
  void endJob(Internal::JobRecord &Job, JobState State, TimePoint Now);
  void completeIfDone(Internal::JobRecord &Job, TimePoint Now);
  void removeIfFinished(const JobId &Id);
  void stopAllRuns(Internal::JobRecord &Job);

  // Runs.
  void bookRun(const TaskKey &Key, Internal::TaskRecord &Task,
               Internal::RunRecord Run);
  void releaseRun(const TaskKey &Key, Internal::TaskRecord &Task);
  void orderStop(const TaskKey &Key, Internal::TaskRecord &Task);
  /// Keeps a run whose start was carried out late, if nothing but the missing
  /// answer speaks against it and no stop has been confirmed.
  void keepLateStart(const TaskKey &Key, const Internal::ExecutorRecord &On);
  void handleEnd(Internal::ExecutorRecord &Executor, const EndReport &End,
                 TimePoint Now);
  void logIfStillBooked(const Internal::ExecutorRecord &Executor,
                        const EndReport &End);
  /// Whether the job is unknown but may still be added during catch-up.
  bool mayBeAddedLater(const JobId &Job) const;
  /// Handles the ends that were reported before the job was added.
  void handleDeferredEnds(const JobId &Job);
  void handleSuccess(Internal::JobRecord &Job, const TaskKey &Key,
                     TimePoint Now);
  void handleFailure(Internal::JobRecord &Job, const EndReport &End,
                     Internal::ExecutorRecord &Executor, TimePoint Now);
  void handleRunning(Internal::ExecutorRecord &Executor, const RunReport &Row,
                     ExecutorTime At, TimePoint Now);
  void adoptRun(Internal::ExecutorRecord &Executor, const RunReport &Row,
                ExecutorTime At, TimePoint Now);
  void releaseMissingRuns(Internal::ExecutorRecord &Executor,
                          const ExecutorReport &Report, TimePoint Now);
  void updateThrottle(Internal::ExecutorRecord &Executor,
                      const ExecutorReport &Report, TimePoint Now);
  void drain(Internal::ExecutorRecord &Executor);
  void stopGang(const StepKey &Step);
  // Incarnations of executors.
  /// Handles that the executor has started again under its id: nothing that was
  /// known of the earlier incarnation holds for the one that reports.
  void beginIncarnation(Internal::ExecutorRecord &Executor,
                        const ExecutorReport &Report, TimePoint Now);
  /// Remembers a run that is given up while the answer to its start order is
  /// missing.
  void barRun(Internal::ExecutorRecord &Executor, const TaskKey &Key,
              const Internal::RunRecord &Run, TimePoint Now);
  /// Records that the executor refuses the run from now on.
  void noteBarred(const StopOrder &Order);
  void forgetTickets(const ExecutorId &Id);
  // Crashes of executors.
  /// The task whose record counts the failures and crashes: the first one of a
  /// gang, or the task itself.
  Internal::TaskRecord &countingTask(const TaskKey &Key);
  /// The runs on an executor that is lost which may have crashed it.
  std::vector<Internal::SuspectRun>
  suspectRuns(const Internal::ExecutorRecord &Executor, TimePoint Now);
  bool haveOneCause(const std::vector<Internal::SuspectRun> &Suspects);
  void countCrash(const std::vector<Internal::SuspectRun> &Suspects,
                  const ExecutorId &Executor, TimePoint Now);
  /// The run did not crash its executor after all.
  void clearCrash(const TaskKey &Key, uint64_t Run);
  /// Records that the run has been placed.
  void noteStartOrdered(Internal::ExecutorRecord &Executor, const TaskKey &Key,
                        TimePoint Now);
  /// Records that the run is known to have started.
  void noteStarted(Internal::ExecutorRecord &Executor, const TaskKey &Key,
                   TimePoint Now);
  /// Forgets earlier crashes of a long-running task whose run has settled: over
  /// its life, each task is lost with some executors.
  void noteSettled(const TaskKey &Key, TimePoint Now);
  Internal::StartCaution startCaution(const TaskKey &Key);
  bool isCrashStored(const Internal::JobRecord &Job, const TaskKey &Key);
  static bool isOpenFor(const Internal::ExecutorRecord &Executor,
                        const TaskKey &Key, Internal::StartCaution Caution,
                        TimePoint Now);
  /// Keeps other tasks from starting on an executor until the task can start
  /// alone there.
  void reserveForSuspect(const Internal::JobRecord &Job, const TaskKey &Key,
                         std::vector<Internal::Candidate> &Candidates,
                         TimePoint Now);

  void setNextStop(Internal::RunRecord &Run, TimePoint At);
  void resendStops(TimePoint Now);
  void resendBarringStops(Internal::ExecutorRecord &Executor, TimePoint Now);

  // Placement.
  std::vector<Internal::Candidate> candidates(TimePoint Now);
  void planJob(Internal::JobRecord &Job,
               std::vector<Internal::Candidate> &Candidates, TimePoint Now,
               WallTime WallNow);
  void planStep(Internal::JobRecord &Job, const StepKey &Step,
                std::vector<Internal::Candidate> &Candidates, TimePoint Now);
  /// Holds a place for a long-running task that leaves its executor, and stops
  /// it there once it has one.
  void planLeavingTask(Internal::JobRecord &Job, const TaskKey &Key,
                       std::vector<Internal::Candidate> &Candidates,
                       TimePoint Now);
  /// Whether the system may make one more task of the step unavailable.
  bool mayMakeUnavailable(const Internal::JobRecord &Job, const StepKey &Step);
  void planGang(Internal::JobRecord &Job, const StepKey &Step,
                std::vector<Internal::Candidate> &Candidates, TimePoint Now);
  bool canStart(const Internal::JobRecord &Job, const StepKey &Step) const;
  Internal::Candidate *
  chooseCandidate(const Internal::JobRecord &Job, const TaskKey &Key,
                  std::vector<Internal::Candidate> &Candidates, TimePoint Now,
                  bool *IsHeldBack = nullptr);
  void chooseRack(const StepSpec &Spec, Internal::StepRecord &Step,
                  const std::vector<Internal::Candidate> &Candidates);
  /// Whether the executor has room for the task and meets its constraints.
  bool canHost(const Internal::JobRecord &Job, const TaskKey &Key,
               const Internal::Candidate &Target);
  /// Whether the executor has a ticket as well, if the queue takes advice.
  bool canRunOn(const Internal::JobRecord &Job, const TaskKey &Key,
                const Internal::Candidate &Target, TimePoint Now);
  void start(Internal::JobRecord &Job, const TaskKey &Key, uint64_t Run,
             Internal::Candidate &Target, TimePoint Now);
  uint64_t nextRunNumber(const StepKey &Step, size_t Index);
  /// Whether the executors with a ticket have room for all tasks of the step.
  bool hasTicketedPlaces(const Internal::JobRecord &Job, const StepKey &Step,
                         const std::vector<Internal::Candidate> &Candidates,
                         TimePoint Now);
  /// Requests advice if the tickets of the step do not suffice. Returns whether
  /// there is any.
  bool ensureTickets(const Internal::JobRecord &Job, const StepKey &Step,
                     const std::vector<Internal::Candidate> &Candidates,
                     TimePoint Now);
  /// Handles that an executor has rejected the ticket of a start order.
  void noteTicketRejected(const StartOrder &Order, TimePoint Now);
  size_t countLongRunning(Internal::Candidate &Target);
  size_t countUnavailableTasks(const Internal::JobRecord &Job,
                               const StepKey &Step);
  /// Reserves one executor for a long-running task that does not fit anywhere
  /// now, so that no other task takes what becomes free there.
  void reserveCandidate(const Internal::JobRecord &Job, const TaskKey &Key,
                        std::vector<Internal::Candidate> &Candidates,
                        TimePoint Now);
  /// Whether the task fits on another executor. If so, subtracts its resources
  /// from that executor's entry in \p Places.
  bool takeOtherCandidate(const Internal::JobRecord &Job, const TaskKey &Key,
                          std::vector<Internal::Candidate> &Places,
                          TimePoint Now);
  /// Returns the required label, empty for none, of each long-running task that
  /// is displaced: it is not running, or it is on an executor that is being
  /// evacuated and fits on no other.
  std::vector<std::string> displacedTaskLabels(TimePoint Now);
  double startableWork(const Internal::JobRecord &Job) const;
  JobRank rankOf(const Internal::JobRecord &Job, TimePoint Now) const;
  /// Whether the jobs that would soon have no value may take more resources
  /// before those that can be on time.
  bool mayStartLastChance() const;
  /// Must be called after each change that may make tasks of the job startable.
  void markForReview(Internal::JobRecord &Job);
  void removeStartable(Internal::JobRecord &Job);
  /// Determines what the job can start. Returns std::nullopt if it is nothing
  /// until the job is marked for review again.
  std::optional<Internal::StartableJob> review(Internal::JobRecord &Job);
  /// Determines the effort of the steps that are not done, for the job's rank.
  static void updateRemainingEffort(Internal::JobRecord &Job);
  std::vector<Internal::RankedJob> rankStartable(TimePoint Now,
                                                 bool IsRecovering);
  void planInOrder(std::vector<Internal::RankedJob> Waiting,
                   std::vector<Internal::Candidate> &Candidates, TimePoint Now,
                   WallTime WallNow);
  /// Whether planning the job has no effect, because its tasks do not fit.
  bool isUnplaceable(const Internal::StartableJob &Job) const;
  /// Whether planning the job has no effect, not even a reservation.
  bool isDroppable(const Internal::RankedJob &Job, TimePoint Now) const;

  // Reservations for large tasks, see RoomPlan.
  void beginReservations(const std::vector<Internal::Candidate> &Candidates);
  /// Learns from the end of a run that is still the task's current one.
  void learnRunTime(Internal::JobRecord &Job, const EndReport &End,
                    const Internal::RunRecord &Run, TimePoint Now);
  estimates::RunTimeEstimate expectedRunTime(const Internal::JobRecord &Job,
                                             const StepKey &Step) const;
  const std::vector<placement::EndingRun> &
  endingRuns(Internal::ExecutorRecord &Executor, TimePoint Now);
  bool mayReserveRoom(const JobRank &Rank, const ComputeResources &Need,
                      TimePoint Now) const;
  /// Reserves an executor for a task that cannot be placed now, if it is large
  /// and its job still has value.
  void reserveRoom(Internal::JobRecord &Job, const TaskKey &Key,
                   std::vector<Internal::Candidate> &Candidates,
                   bool IsHeldBack, TimePoint Now);
  void reserveRoomForStep(Internal::JobRecord &Job, const StepKey &Step,
                          std::vector<Internal::Candidate> &Candidates,
                          TimePoint Now);
  /// Whether placing the task delays no reservation.
  bool isAdmitted(const Internal::JobRecord &Job, const TaskKey &Key,
                  const Internal::Candidate &Target, TimePoint Now) const;
  /// When a run of the step that starts now has ended, almost certainly.
  TimePoint latestEnd(const Internal::JobRecord &Job, const StepKey &Step,
                      TimePoint Now) const;
  /// Counts a task that fits only where it is not admitted.
  void noteRefusal(std::vector<Internal::Candidate> &Candidates);

  // Quotas and shares of tenants.
  /// Determines what may be running without being booked.
  void updateUnknownUse();
  /// Whether planning the job has no effect, because its quota is used up.
  bool isHeldBackByQuota(const Internal::StartableJob &Job) const;
  Internal::WaitingTasks waitingTasks(const Internal::JobRecord &Job) const;
  /// Determines the standing of the tenants for this pass.
  void divideAmongTenants(const std::vector<Internal::StartableJob> &Waiting,
                          TimePoint Now);
  /// What waits now, by tenant. Tenants without waiting tasks are left out.
  std::map<TenantName, Internal::TenantBacklog> backlogs(TimePoint Now);

  void log(std::string_view Event, std::initializer_list<LogField> Fields) {
    if (this->Setup.Log)
      this->Setup.Log(Event, Fields);
  }

  PlannerSetup Setup;
  Internal::RoomPlan Room;
  std::map<JobId, Internal::JobRecord> Jobs;
  /// Entries of Jobs, which do not move, for the many searches of each report.
  std::unordered_map<JobId, Internal::JobRecord *> JobIndex;
  /// All jobs that may have tasks to start, in no particular order.
  std::vector<Internal::StartableJob> Startable;
  /// Final states of jobs whose end has been stored.
  std::unordered_map<JobId, JobState> FinalJobs;
  std::map<ExecutorId, Internal::ExecutorRecord> Executors;
  std::map<ServiceName, ServicePolicy> Services;
  std::map<StepKey, Internal::AdviceRecord> Advice;
  std::set<ExecutorId> AwaitedExecutors;
  bool IsDiscoveringExecutors = false;
  bool HasExecutorList = false;
  bool IsCatchingUp = false;
  /// Ends of jobs that are not known yet, by job.
  std::map<JobId, std::vector<Internal::DeferredEnd>> DeferredEnds;
  ExecutorHealthTracker HealthTracker;
  /// Mean work of the added jobs in core-seconds, and their number, by queue.
  std::map<std::string, std::pair<double, size_t>> MeanWorkByQueue;
  /// Work of the accepted jobs that are not periodic.
  ArrivalMeter Arrivals;
  Internal::TenantAccounts Tenants;
  std::vector<Order> Orders;
  /// The earliest NextStopAt of all runs, or earlier.
  TimePoint NextStopAt = TimePoint::max();
  uint64_t Changes = 0;
  /// All jobs that have unstored changes, by their FirstUnstored. Entries of
  /// Jobs do not move.
  std::map<std::pair<uint64_t, JobId>, Internal::JobRecord *> UnstoredJobs;
  /// Number of jobs that are being written.
  size_t OpenWrites = 0;
  /// Processor capacity of the executors that may get tasks, and the part of it
  /// that the runs with IsLastChance have booked.
  int64_t TotalMilliCores = 0;
  int64_t LastChanceMilliCores = 0;
  /// Whether runs that are placed now count as LastChanceMilliCores.
  bool IsPlanningLastChance = false;
  /// Resources that did not fit anywhere in this planning pass. Steps that need
  /// at least as much are skipped.
  std::optional<ComputeResources> UnplaceableNeed;
  /// The most that was free on any executor when the pass began, separately for
  /// each resource.
  ComputeResources MostFree;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_PLANNER_P_H
