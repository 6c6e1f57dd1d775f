#ifndef WHINTACK_SIMULATION_RUNLEDGER_H
#define WHINTACK_SIMULATION_RUNLEDGER_H

#include "whintack/jobs/executor.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whintack::simulation {

/// What clients handed in and executors did, checked against what must hold:
/// no task runs twice at once or after it is done, steps keep their order,
/// failed runs their bound, cancelled jobs start no more, executors that admit
/// everything are not overfilled. Pure.
class RunLedger {
public:
  /// A client hands a job in; its tasks may start from now on.
  void noteSubmitted(const jobs::JobSpec &Spec, int64_t MostAttempts);
  void noteCancelled(const jobs::JobId &Job, TimePoint Now);
  /// Every attempt of the client was told that the job was not accepted.
  void noteRejected(const jobs::JobId &Job);

  void noteStart(const jobs::ExecutorId &On, const jobs::TaskKey &Task,
                 uint64_t Run, const std::string &Checkpoint, TimePoint Now);
  /// \p Number is the end's place in the executor's list.
  void noteEnd(const jobs::ExecutorId &On, const jobs::EndReport &End);
  /// The planner let the executor forget its ends up to \p Through.
  void noteForgotten(const jobs::ExecutorId &On, uint64_t Through);
  /// The executor's leases ran out: ends not forgotten by then do not count.
  void noteLapse(const jobs::ExecutorId &On);
  /// The executor is gone with everything on it.
  void noteGone(const jobs::ExecutorId &On);
  void noteOverfull(const jobs::ExecutorId &On);
  /// A checkpoint that a run of the task produced.
  void noteCheckpoint(const jobs::TaskKey &Task, const std::string &Made);
  void noteViolation(std::string Text);

  /// The step of a task; null if nobody handed it in.
  const jobs::StepSpec *step(const jobs::TaskKey &Task) const;
  bool isDone(const jobs::TaskKey &Task) const;
  size_t starts() const { return this->Starts; }
  /// What did not hold, in words.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

private:
  struct TaskHistory {
    std::map<jobs::ExecutorId, uint64_t> Running;
    bool HasEndedDone = false;
    bool IsDoneForgotten = false;
    int64_t ForgottenFailures = 0;
    std::set<std::string> Checkpoints;
  };
  struct JobHistory {
    jobs::JobSpec Spec;
    int64_t MostAttempts = 1;
    std::optional<TimePoint> CancelledAt;
    bool IsRejected = false;
  };
  struct PendingEnd {
    jobs::TaskKey Task;
    jobs::RunEnd How = jobs::RunEnd::Lapsed;
    /// The executor's leases ran out before it was forgotten.
    bool IsVoid = false;
    /// Its task was started again meanwhile.
    bool IsOvertaken = false;
  };

  void checkOrder(const JobHistory &Job, const jobs::TaskKey &Task);

  std::map<jobs::JobId, JobHistory> Jobs;
  std::map<jobs::TaskKey, TaskHistory> Tasks;
  std::map<jobs::ExecutorId, std::map<uint64_t, PendingEnd>> Ends;
  std::vector<std::string> Violations;
  size_t Starts = 0;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_RUNLEDGER_H
