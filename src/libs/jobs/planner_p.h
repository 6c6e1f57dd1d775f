#ifndef WHINTACK_JOBS_PLANNER_P_H
#define WHINTACK_JOBS_PLANNER_P_H

#include "stepplacement.h"
#include "whintack/jobs/executorjudge.h"
#include "whintack/jobs/fillpace.h"
#include "whintack/jobs/jobqueue.h"
#include "whintack/jobs/planner.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace whintack::jobs {

namespace Internal {

/// How far a run has come.
enum class RunPhase {
  /// The order to start is on its way.
  Starting,
  Running,
  /// To be stopped, or to be barred if its start was not answered.
  Stopping,
};

/// The run of a task that is not known to be over.
struct RunRecord {
  uint64_t Number = 0;
  ExecutorId On;
  RunPhase Phase = RunPhase::Starting;
  /// When the executor confirmed the start, by its clock.
  std::optional<ExecutorTime> ConfirmedAt;
  /// When the executor confirmed a stop, by its clock.
  std::optional<ExecutorTime> StopConfirmedAt;
  /// From when on a start that was not answered is given up, unless a report
  /// lists it; never while it is answered or on its way.
  TimePoint DoubtedFrom = TimePoint::max();
  /// When a stop that was not confirmed is sent again.
  TimePoint NextStop = TimePoint::max();
  int64_t Percent = 0;
};

/// A task and what is known of it.
struct TaskRecord {
  TaskProgress Stored;
  uint64_t LastRun = 0;
  std::optional<RunRecord> Current;
  /// No start before this instant.
  TimePoint NotBefore = TimePoint::min();
  /// Where it failed last.
  ExecutorId FailedOn;
};

/// One occurrence of a step.
struct StepRecord {
  std::vector<TaskRecord> Tasks;
  size_t Done = 0;
  /// Rack that was chosen for a step that stays on one.
  std::string Rack;

  bool isDone() const { return this->Done == this->Tasks.size(); }
};

/// One occurrence of a job's steps.
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
  /// State that clients may see; behind State until that is stored.
  JobState Shown = JobState::Queued;
  std::vector<OccurrenceRecord> Occurrences;
  /// Number of the first change that is not stored; 0 for none.
  uint64_t FirstUnstored = 0;
  uint64_t LastChange = 0;
  bool IsBeingWritten = false;
  /// Runs not known to be over.
  size_t OpenRuns = 0;
  /// Estimated once; the steps do not change.
  JobEffort Effort;

  StepRecord &step(const StepKey &Key);
  const StepRecord &step(const StepKey &Key) const;
};

/// Tickets of one step.
struct AdviceRecord {
  std::map<ExecutorId, std::string> Good;
  std::set<ExecutorId> Asked;
  TimePoint ValidUntil = TimePoint::min();
  bool IsAsking = false;
  TimePoint NextAsk = TimePoint::min();
};

/// An end of a job that is not known here yet.
struct UnknownEnd {
  ExecutorId On;
  EndReport End;
  TimePoint ReportedAt;
};

/// An executor and what is booked on it.
struct WorkerRecord {
  ExecutorInfo Info;
  bool IsListed = false;
  bool IsReachable = true;
  bool HasReported = false;
  TimePoint EvacuatingUntil = TimePoint::min();
  /// Runs that no known job accounts for are on it.
  bool HasStrangers = false;
  Room Booked;
  std::map<TaskKey, uint64_t> Runs;
  uint64_t LastEnd = 0;
  /// Ends that were taken in, with the change that came of each.
  std::deque<std::pair<uint64_t, uint64_t>> UnforgottenEnds;
  /// Ends from this one on wait for their jobs to turn up; 0 for none.
  uint64_t FirstUnknownEnd = 0;
  uint64_t ForgettableEnd = 0;
  FillPace Pace;
  TimePoint NoRoomUntil = TimePoint::min();

  Room free() const;
};

/// Room that is left on the executors during one pass of planning.
struct Candidate {
  WorkerRecord *Worker = nullptr;
  Room Free;
  std::string Rack;
};

} // namespace Internal

class Planner::Private {
public:
  explicit Private(PlannerSetup Setup) : Setup(std::move(Setup)) {}

  // Jobs.
  Internal::JobRecord &insertJob(AcceptedJob Job);
  Internal::JobRecord *job(const JobId &Id);
  Internal::TaskRecord *task(const TaskKey &Key);
  const StepSpec &spec(const Internal::JobRecord &Job, const StepKey &Step);
  Internal::TaskRecord &gangLeader(const StepKey &Step);
  uint64_t noteChange(Internal::JobRecord &Job);
  void setFirstUnstored(Internal::JobRecord &Job, uint64_t Change);
  void setState(Internal::JobRecord &Job, JobState State);
  void finishIfDone(Internal::JobRecord &Job);
  void dropIfOver(const JobId &Id);
  void stopAll(Internal::JobRecord &Job);

  // Runs.
  void book(const TaskKey &Key, Internal::TaskRecord &Task,
            Internal::RunRecord Run);
  void release(const TaskKey &Key, Internal::TaskRecord &Task);
  void orderStop(const TaskKey &Key, Internal::TaskRecord &Task);
  void takeEnd(Internal::WorkerRecord &Worker, const EndReport &End,
               TimePoint Now);
  /// Whether the job may be one that has not turned up yet.
  bool mayTurnUp(const JobId &Job) const;
  /// Takes in what ended before the job turned up.
  void takeUnknownEnds(const JobId &Job);
  void takeDone(Internal::JobRecord &Job, const TaskKey &Key);
  void takeFailure(Internal::JobRecord &Job, const EndReport &End,
                   Internal::WorkerRecord &Worker, TimePoint Now);
  void takeRunning(Internal::WorkerRecord &Worker, const RunReport &Row,
                   ExecutorTime At);
  void adopt(Internal::WorkerRecord &Worker, const RunReport &Row,
             ExecutorTime At);
  void dropMissing(Internal::WorkerRecord &Worker, const ExecutorReport &Report,
                   TimePoint Now);
  void setPace(Internal::WorkerRecord &Worker, const ExecutorReport &Report,
               TimePoint Now);
  void leave(Internal::WorkerRecord &Worker);
  void stopGang(const StepKey &Step);
  void resendStops(TimePoint Now);

  // Placement.
  std::vector<Internal::Candidate> candidates(TimePoint Now);
  void planJob(Internal::JobRecord &Job,
               std::vector<Internal::Candidate> &Candidates, TimePoint Now,
               WallTime WallNow);
  void planStep(Internal::JobRecord &Job, const StepKey &Step,
                std::vector<Internal::Candidate> &Candidates, TimePoint Now);
  void planGang(Internal::JobRecord &Job, const StepKey &Step,
                std::vector<Internal::Candidate> &Candidates, TimePoint Now);
  bool canStart(const Internal::JobRecord &Job, const StepKey &Step) const;
  Internal::Candidate *choose(const Internal::JobRecord &Job,
                              const TaskKey &Key,
                              std::vector<Internal::Candidate> &Candidates,
                              TimePoint Now);
  void chooseRack(const StepSpec &Spec, Internal::StepRecord &Step,
                  const std::vector<Internal::Candidate> &Candidates);
  bool mayRunOn(const Internal::JobRecord &Job, const TaskKey &Key,
                const Internal::Candidate &On, TimePoint Now);
  void start(Internal::JobRecord &Job, const TaskKey &Key, uint64_t Run,
             Internal::Candidate &On, TimePoint Now);
  uint64_t nextRun(const StepKey &Step, size_t Index);
  bool hasTickets(const Internal::JobRecord &Job, const StepKey &Step,
                  const std::vector<Internal::Candidate> &Candidates,
                  TimePoint Now);
  size_t tasksOn(const StepKey &Step, const ExecutorId &On);
  size_t awayTasks(const Internal::JobRecord &Job, const StepKey &Step);
  /// Keeps room on one executor free for a task that lasts and fits nowhere.
  void reserveFor(const Internal::JobRecord &Job, const TaskKey &Key,
                  std::vector<Internal::Candidate> &Candidates, TimePoint Now);
  /// Whether the task fits on another executor; takes its room of \p Places.
  bool takeOtherPlace(const Internal::JobRecord &Job, const TaskKey &Key,
                      std::vector<Internal::Candidate> &Places, TimePoint Now);
  /// Tasks that last and have no place: not running, or on an executor that is
  /// to be vacated.
  /// Returns the label that each of them requires, empty for none.
  std::vector<std::string> displacedTasks(TimePoint Now);
  double startableWork(const Internal::JobRecord &Job) const;
  JobStanding standing(const Internal::JobRecord &Job) const;

  void log(std::string_view Event, std::initializer_list<LogField> Fields) {
    if (this->Setup.Log)
      this->Setup.Log(Event, Fields);
  }

  PlannerSetup Setup;
  std::map<JobId, Internal::JobRecord> Jobs;
  /// Jobs that have ended and been stored.
  std::unordered_map<JobId, JobState> FinalJobs;
  std::map<ExecutorId, Internal::WorkerRecord> Workers;
  std::map<ServiceName, ServicePolicy> Services;
  std::map<StepKey, Internal::AdviceRecord> Advice;
  std::set<ExecutorId> Awaited;
  bool IsInCensus = false;
  bool IsCatchingUp = false;
  /// Ends of jobs that may turn up, by job.
  std::map<JobId, std::vector<Internal::UnknownEnd>> UnknownEnds;
  ExecutorJudge Judge;
  /// Mean work of the jobs taken in, by queue, in core-seconds.
  std::map<std::string, std::pair<double, size_t>> WorkOfQueues;
  std::vector<Order> Orders;
  uint64_t Changes = 0;
  /// FirstUnstored of all jobs that have one.
  std::multiset<uint64_t> Unstored;
  /// What did not fit anywhere in this pass; larger needs are not tried.
  std::optional<Room> DidNotFit;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_PLANNER_P_H
