#ifndef WHINTACK_SIMULATION_SIMULATEDEXECUTOR_H
#define WHINTACK_SIMULATION_SIMULATEDEXECUTOR_H

#include "whintack/simulation/runchecker.h"

#include "whintack/base/timerqueue.h"
#include "whintack/jobs/gateways.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace whintack::simulation::Internal {

/// What the platform decides about the runs of an executor.
struct ExecutorHooks {
  /// Whether a run fails through its own fault.
  std::function<bool(const jobs::TaskKey &, uint64_t Run)> Fails;
  /// Whether the task crashes each executor that starts it.
  std::function<bool(const jobs::TaskKey &)> CrashesExecutor;
  /// A task crashes the executor.
  std::function<void()> OnCrash;
};

/// Properties of an executor that it does not tell.
struct ExecutorSetup {
  /// Whether it refuses runs that do not fit.
  bool EnforcesCapacity = true;
  /// What its own clock shows at its start, in milliseconds.
  int64_t ClockOffset = 0;
  /// A longer lease is shortened to this, counted from its arrival.
  Duration MaxLease = Duration::zero();
};

/// One incarnation of an executor. It starts and stops runs under leases, and
/// reports ended runs until the planner acknowledges them. Runs on the thread
/// of the timer queue \p Loop.
class SimulatedExecutor
    : public std::enable_shared_from_this<SimulatedExecutor> {
public:
  SimulatedExecutor(jobs::ExecutorInfo Info, ExecutorSetup Setup, Clock Time,
                    TimerQueue &Loop, RunChecker &Checker, ExecutorHooks Hooks);

  const jobs::ExecutorInfo &info() const { return this->Info; }
  void setDraining() { this->Info.IsDraining = true; }
  /// Changes the capacity. Runs that no longer fit go on.
  void setCapacity(const jobs::ComputeResources &Capacity);
  /// Takes over what planners need not know yet of the capacity of \p Earlier,
  /// which had the same id.
  void adoptEarlierCapacities(const SimulatedExecutor &Earlier) {
    this->EarlierCapacities = Earlier.EarlierCapacities;
  }
  /// Ends this incarnation and all of its runs, without reporting them.
  void terminate();
  /// Fails the calls that wait for an answer, as the end of a process resets
  /// its connections. A machine that loses power does not.
  void resetConnections();

  void report(const jobs::ReportRequest &Request,
              const jobs::GatewayCallback<jobs::ExecutorReport> &Done);
  jobs::StartAnswer start(const jobs::StartOrder &Order, uint64_t Token,
                          jobs::ExecutorTime LeaseUntil);
  jobs::GatewayResult<jobs::ExecutorTime> stop(const jobs::StopOrder &Order,
                                               uint64_t Token);
  jobs::GatewayResult<jobs::ExecutorTime> pace(const jobs::PaceOrder &Order,
                                               uint64_t Token);

private:
  struct Run {
    uint64_t Number = 0;
    TimePoint Started;
    bool IsStopping = false;
    int64_t Pace = 100;
  };
  struct PendingReport {
    TimePoint Until;
    jobs::GatewayCallback<jobs::ExecutorReport> Done;
  };

  jobs::ExecutorTime clock() const;
  jobs::ExecutorReport makeReport() const;
  jobs::ComputeResources bookedCapacity() const;
  /// Whether a start with this need violates the capacity, also if it has
  /// shrunk so recently that planners need not know it.
  bool exceedsKnownCapacity(const jobs::ComputeResources &Need) const;
  /// Tells whether \p Token is lower than one seen before; records it if not.
  bool isFenced(uint64_t Token);
  void extendLease(jobs::ExecutorTime Requested);
  void checkLease();
  void end(const jobs::TaskKey &Task, uint64_t Number, jobs::RunEnd How);
  void scheduleEnd(const jobs::TaskKey &Task, uint64_t Number, Duration After,
                   jobs::RunEnd How);
  void answerPendingReports();
  void scheduleCrash(const jobs::TaskKey &Task, uint64_t Number);

  jobs::ExecutorInfo Info;
  ExecutorSetup Setup;
  Clock Time;
  TimerQueue &Loop;
  RunChecker &Checker;
  ExecutorHooks Hooks;
  TimePoint StartedAt;
  /// Earlier capacities, each with the time until which it may be planned with.
  std::deque<std::pair<TimePoint, jobs::ComputeResources>> EarlierCapacities;
  bool IsTerminated = false;
  uint64_t HighestToken = 0;
  jobs::ExecutorTime LeaseUntil = 0;
  std::map<jobs::TaskKey, Run> Running;
  /// Highest run number of each task that was stopped or has ended here.
  std::map<jobs::TaskKey, uint64_t> HighestEndedRun;
  std::deque<jobs::EndReport> UnacknowledgedEnds;
  uint64_t LastEndNumber = 0;
  std::vector<PendingReport> PendingReports;
};

} // namespace whintack::simulation::Internal

#endif // WHINTACK_SIMULATION_SIMULATEDEXECUTOR_H
