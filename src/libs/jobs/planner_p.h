#ifndef WHINTACK_JOBS_PLANNER_P_H
#define WHINTACK_JOBS_PLANNER_P_H

#include "plannerrecords_p.h"
#include "whintack/jobs/arrivalmeter.h"
#include "whintack/jobs/executorhealthtracker.h"

#include <map>
#include <set>
#include <unordered_map>

namespace whintack::jobs {

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
  /// Remembers why the task's current run is released. \p End is the number of
  /// its end, 0 if none was reported.
  void noteRunLost(const TaskKey &Key, Internal::TaskRecord &Task,
                   Internal::RunLoss Cause, TimePoint Now, uint64_t End = 0);
  /// Returns the record of the run if it was given up before the end was
  /// reported; else null.
  static const Internal::EarlierRun *
  noteLateEnd(Internal::ExecutorRecord &Executor, Internal::TaskRecord &Task,
              const EndReport &End, TimePoint Now);
  /// Why the run was given up earlier; empty if it was not.
  static std::string_view givenUpCause(Internal::TaskRecord &Task,
                                       uint64_t Number,
                                       const ExecutorId &Executor);
  /// Logs an end that is reported after its job has ended and was removed.
  void logLateEnd(const Internal::ExecutorRecord &Executor,
                  const EndReport &End);
  /// Logs why the task is started again, if it is.
  void logRestart(const TaskKey &Key, const Internal::TaskRecord &Task,
                  const Internal::RunRecord &Next);
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
  /// What runs on the executor.
  Occupancy runsOn(const Internal::ExecutorRecord &Executor);
  void drain(Internal::ExecutorRecord &Executor);
  void stopIfDraining(const Internal::ExecutorRecord &Executor,
                      const TaskKey &Key);
  void stopGang(const StepKey &Step);
  // Incarnations of executors.
  /// Handles that the executor has started again under its id: nothing that was
  /// known of the earlier incarnation holds for the one that reports.
  void beginIncarnation(Internal::ExecutorRecord &Executor,
                        const ExecutorReport &Report, TimePoint Now);
  /// Until when the task waits because a later incarnation of the executor may
  /// carry out the start order of the run; TimePoint::min() if it does not
  /// wait.
  TimePoint lateStartDeadline(const TaskKey &Key,
                              const Internal::RunRecord &Run);
  /// Keeps a run on an executor that is lost, so that the task does not start
  /// elsewhere before the order of the run is certainly lost.
  void awaitLateStart(const Internal::ExecutorRecord &Executor,
                      const TaskKey &Key, TimePoint Now);
  /// Whether the run's executor is lost. Runs there are kept only for their
  /// start orders, and no stop is sent before the executor is back.
  bool isLost(const Internal::RunRecord &Run) const {
    return !this->Executors.at(Run.Executor).HasReported;
  }
  /// Gives up the runs on an executor that is lost whose orders are certainly
  /// lost as well.
  void releaseLostStarts(Internal::ExecutorRecord &Executor, TimePoint Now);
  /// Gives up a run that is over without a report of its end.
  void giveUpRun(Internal::ExecutorRecord &Executor, const TaskKey &Key,
                 Internal::RunLoss Cause, TimePoint Now);
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
  /// Whether the executor may get new tasks.
  bool isUsable(const Internal::ExecutorRecord &Executor, TimePoint Now) const;
  /// Plans the job from \p Next on. Returns false if it was interrupted, with
  /// \p Next at the task to go on with.
  bool planJob(Internal::JobRecord &Job,
               std::vector<Internal::Candidate> &Candidates,
               Internal::PassPosition &Next, TimePoint Now, WallTime WallNow);
  /// The same for the tasks of a step from \p Next on.
  bool planStep(Internal::JobRecord &Job, const StepKey &Step,
                std::vector<Internal::Candidate> &Candidates, size_t &Next,
                TimePoint Now);
  Internal::TaskPlan planTask(Internal::JobRecord &Job, const TaskKey &Key,
                              std::vector<Internal::Candidate> &Candidates,
                              TimePoint Now);
  bool isTurnOver() const {
    return this->Setup.IsTurnOver && this->Setup.IsTurnOver();
  }
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
  std::vector<Internal::RankedJob> rankStartable(TimePoint Now);
  /// Begins a pass; returns false if no executor can get tasks.
  bool beginPass(TimePoint Now);
  /// Notes what is free, so that resumePass() can tell what is lost by then.
  void interruptPass();
  /// Adapts the pass to what has happened since it was interrupted.
  void resumePass(TimePoint Now);
  /// Plans the jobs of the pass in the order of their ranks. Returns false if
  /// it was interrupted.
  bool planInOrder(TimePoint Now, WallTime WallNow);
  /// Makes the job that ranks first the current one of the pass. Returns false
  /// if there is none.
  bool beginNextJob();
  /// Ends the current job, and drops those that have become unplaceable.
  void endCurrentJob(TimePoint Now);
  bool isRecovering() const {
    return this->IsDiscoveringExecutors || !this->AwaitedExecutors.empty();
  }
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
  /// The pass that was interrupted, or is being made.
  std::optional<Internal::PlanningPass> Pass;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_PLANNER_P_H
