#ifndef WHINTACK_JOBS_PLANNER_H
#define WHINTACK_JOBS_PLANNER_H

#include "whintack/base/log.h"
#include "whintack/jobs/configuration.h"
#include "whintack/jobs/executor.h"
#include "whintack/jobs/jobprogress.h"
#include "whintack/jobs/poolpolicy.h"
#include "whintack/jobs/wavecourse.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace whintack::jobs {

/// How long an evacuation holds unless it is asked for again: long enough for
/// an order to a machine to be written down and sent.
constexpr Duration EvacuationTime = std::chrono::seconds(2);

/// What the planner wants done. Orders to one executor are sent in order.
using Order = std::variant<StartOrder, StopOrder, PaceOrder, AdviceOrder>;

/// Tells one decision with what decided it.
using DecisionLog = std::function<void(std::string_view Event,
                                       std::initializer_list<LogField> Fields)>;

/// Who plans, and from where run numbers go on.
struct PlannerSetup {
  ServiceName Service;
  /// How often the service's planner was claimed, this time included.
  uint64_t Generation = 1;
  DecisionLog Log;
};

/// A job as it was accepted.
struct AcceptedJob {
  JobSpec Spec;
  Queue Policy;
  TimePoint Accepted;
  /// An earlier planner may have started tasks of it.
  bool MayHaveRun = false;
};

/// A record to be written to the store.
struct JobWrite {
  JobId Job;
  JobProgress Progress;
  /// Changes up to this number are in it.
  uint64_t Through = 0;
};

/// Decides which task of a service's jobs runs where, and when.
///
/// Pure: told of events and the time, it gives orders. For one task there is
/// never a second run before the first is known to be over; a run whose start
/// or stop was not answered counts as running until the executor's own report,
/// a lapsed lease or a new incarnation says otherwise. Changes that executors
/// may forget are handed out as writes first. Not safe for several threads.
class Planner {
public:
  explicit Planner(PlannerSetup Setup);
  ~Planner();

  /// Takes a job in; one that is known already changes nothing.
  void addJob(AcceptedJob Job);
  /// Takes in a job that an earlier planner has worked on.
  void restoreJob(AcceptedJob Job, const JobProgress &Progress);
  /// Notes the outcome of a job that ended earlier.
  void restoreFinalJob(const JobId &Job, JobState State);
  /// Cancels a job and stops its tasks. Returns the number of the change that
  /// has to be stored before the caller is told, or nothing if the job is not
  /// known.
  std::optional<uint64_t> cancel(const JobId &Job);

  /// The state of a job as clients may see it: an end shows once it is
  /// stored. Nothing if the job is not known.
  std::optional<JobState> shownState(const JobId &Job) const;
  /// Accepted jobs of the queue for which no task has started.
  size_t waitingJobs(std::string_view QueueName) const;

  /// Adopts the queues' newest policies.
  void setQueues(const QueueTable &Queues);
  /// Adopts the list of the service's executors.
  void setExecutors(const std::vector<ExecutorInfo> &Listed);
  /// From now on until endCensus() tasks that an earlier planner may have
  /// started are not started anew.
  void beginCensus();
  void endCensus();
  /// From now on the ends of unknown jobs are neither dropped nor forgotten:
  /// an earlier planner may know jobs that turn up here later.
  void beginCatchUp();
  /// All jobs that an earlier planner can know have been added.
  void endCatchUp();
  /// Tasks that may run on one of \p Executors are not started elsewhere
  /// until each has reported or its leases have lapsed.
  void awaitReports(const std::vector<ExecutorId> &Executors);
  bool isRecovering() const;
  /// Whether the executor is listed, or something may still run on it.
  bool isKnownExecutor(const ExecutorId &Of) const;

  void noteReport(const ExecutorId &From, const ExecutorReport &Report,
                  TimePoint Now);
  void noteStart(const StartOrder &Order, StartOutcome Outcome, ExecutorTime At,
                 TimePoint Now);
  /// \p At is the executor's time of its answer; nothing if none came.
  void noteStop(const StopOrder &Order, std::optional<ExecutorTime> At,
                TimePoint Now);
  /// Takes tickets that are valid until \p ValidUntil.
  void noteAdvice(const AdviceOrder &Asked, const std::vector<Ticket> &Good,
                  TimePoint ValidUntil);
  void noteAdviceFailed(const AdviceOrder &Asked, TimePoint Now);
  /// The executor does or does not answer.
  void setReachable(const ExecutorId &Of, bool IsReachable);
  /// Nothing runs on the executor any more: its leases have lapsed, or it has
  /// been replaced.
  void noteEmpty(const ExecutorId &Of, std::string_view Cause);

  /// Gives an executor no new work for some seconds and, within what their
  /// steps may miss, moves away the tasks that last.
  void evacuate(const ExecutorId &Of, TimePoint Now);
  /// What is left on an executor.
  Occupancy occupancy(const ExecutorId &Of) const;

  /// Starts what can be started.
  void plan(TimePoint Now, WallTime WallNow);
  std::vector<Order> takeOrders();
  /// Instant at which plan() should be called again without other events.
  TimePoint nextPlan(TimePoint Now) const;

  /// Takes at most \p Most writes; each is to be confirmed or given back.
  std::vector<JobWrite> takeWrites(size_t Most);
  void noteWritten(const std::vector<JobWrite> &Writes);
  void noteWriteFailed(const std::vector<JobWrite> &Writes);
  /// All changes up to this number are stored.
  uint64_t storedThrough() const;
  /// Number of the last change.
  uint64_t changes() const;
  /// The last end of the executor that it may forget.
  uint64_t forgettableEnd(const ExecutorId &Of) const;

  /// What the pool could use, for the policy that moves machines.
  PoolDemand demand(TimePoint Now) const;

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_PLANNER_H
