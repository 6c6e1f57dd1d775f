#ifndef WHINTACK_SIMULATION_RUNCHECKER_H
#define WHINTACK_SIMULATION_RUNCHECKER_H

#include "whintack/jobs/executor.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whintack::simulation {

/// Records what clients submitted and what executors did, and checks the
/// invariants: no task runs twice at the same time or after its completion,
/// steps run in order, failed runs stay within their limit, cancelled jobs
/// start no tasks, executors that do not enforce their capacity are never given
/// more than it, and a task that crashes its executors is not started for ever.
/// Does no I/O and reads no clock.
class RunChecker {
public:
  /// A client submits a job; its tasks may start from now on.
  void noteSubmitted(const jobs::JobSpec &Spec, int64_t MaxAttempts);
  void noteCancelled(const jobs::JobId &Job, TimePoint Now);
  /// The job was reported as not accepted on every attempt of the client.
  void noteRejected(const jobs::JobId &Job);

  void noteStart(const jobs::ExecutorId &Executor, const jobs::TaskKey &Task,
                 uint64_t Run, const std::string &Checkpoint, TimePoint Now);
  /// A run ended on \p Executor; \p End carries its position in the executor's
  /// list of ends.
  void noteEnd(const jobs::ExecutorId &Executor, const jobs::EndReport &End);
  /// The planner acknowledged the executor's ends up to \p Through, so the
  /// executor drops them.
  void noteEndsAcknowledged(const jobs::ExecutorId &Executor, uint64_t Through);
  /// The executor's leases expired: ends not acknowledged by then do not count.
  void noteLeaseExpired(const jobs::ExecutorId &Executor);
  /// The executor was lost with everything that ran on it.
  void noteExecutorLost(const jobs::ExecutorId &Executor);
  /// The executor is about to be lost, and not by an order.
  void noteExecutorCrashed(const jobs::ExecutorId &Executor);
  /// The task crashes the executor that runs it.
  void noteCrash(const jobs::TaskKey &Task);
  void noteOverCapacity(const jobs::ExecutorId &Executor);
  /// A run of the task produced \p Checkpoint.
  void noteCheckpoint(const jobs::TaskKey &Task, const std::string &Checkpoint);
  void noteViolation(std::string Text);

  /// The step of a task; null if its job was not submitted.
  const jobs::StepSpec *step(const jobs::TaskKey &Task) const;
  bool isDone(const jobs::TaskKey &Task) const;
  bool isRunning(const jobs::TaskKey &Task) const;
  size_t starts() const { return this->Starts; }
  /// Number of executors that tasks have crashed.
  size_t crashes() const { return this->Crashes; }
  /// Descriptions of the invariants that were violated.
  /// The largest number of runs of one task of the job that ended with their
  /// executors when these crashed.
  size_t mostLostRuns(const jobs::JobId &Job) const;

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

private:
  struct TaskHistory {
    std::map<jobs::ExecutorId, uint64_t> Running;
    bool HasCompleted = false;
    bool IsCompletionAcknowledged = false;
    int64_t AcknowledgedFailures = 0;
    std::set<std::string> Checkpoints;
    size_t Crashes = 0;
    /// Runs that ended with an executor that crashed.
    size_t LostRuns = 0;
    /// Starts after MaxCrashes executors had crashed under the task.
    size_t StartsAfterCrashes = 0;
  };
  struct JobHistory {
    jobs::JobSpec Spec;
    int64_t MaxAttempts = 1;
    std::optional<TimePoint> CancelledAt;
    bool IsRejected = false;
  };
  struct UnacknowledgedEnd {
    jobs::TaskKey Task;
    jobs::RunEnd Outcome = jobs::RunEnd::Lapsed;
    /// The executor's leases expired before the end was acknowledged.
    bool IsLeaseExpired = false;
    /// The task was started again before the end was acknowledged.
    bool IsTaskRestarted = false;
  };

  void checkStepOrder(const JobHistory &Job, const jobs::TaskKey &Task);

  std::map<jobs::JobId, JobHistory> Jobs;
  std::map<jobs::TaskKey, TaskHistory> Tasks;
  std::map<jobs::ExecutorId, std::map<uint64_t, UnacknowledgedEnd>> Ends;
  std::vector<std::string> Violations;
  size_t Starts = 0;
  size_t Crashes = 0;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_RUNCHECKER_H
