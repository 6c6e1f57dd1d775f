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

/// Decides whether a run fails through its own fault.
using FailureHook = std::function<bool(const jobs::TaskKey &, uint64_t Run)>;

/// One incarnation of an executor. It starts and stops runs under leases, and
/// reports ended runs until the planner acknowledges them. Runs on the thread
/// of the timer queue \p Loop.
class SimulatedExecutor
    : public std::enable_shared_from_this<SimulatedExecutor> {
public:
  /// \p EnforcesCapacity: refuse runs that do not fit. \p ClockOffset: what the
  /// executor's own clock shows at its start, in milliseconds.
  SimulatedExecutor(jobs::ExecutorInfo Info, bool EnforcesCapacity,
                    int64_t ClockOffset, Clock Time, TimerQueue &Loop,
                    RunChecker &Checker, FailureHook Fails);

  const jobs::ExecutorInfo &info() const { return this->Info; }
  void setDraining() { this->Info.IsDraining = true; }
  /// Ends this incarnation and all of its runs, without reporting them.
  void terminate();

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
  /// Tells whether \p Token is lower than one seen before; records it if not.
  bool isFenced(uint64_t Token);
  void extendLease(jobs::ExecutorTime Until);
  void checkLease();
  void end(const jobs::TaskKey &Task, uint64_t Number, jobs::RunEnd How);
  void scheduleEnd(const jobs::TaskKey &Task, uint64_t Number, Duration After,
                   jobs::RunEnd How);
  void answerPendingReports();

  jobs::ExecutorInfo Info;
  bool EnforcesCapacity;
  int64_t ClockOffset;
  Clock Time;
  TimerQueue &Loop;
  RunChecker &Checker;
  FailureHook Fails;
  TimePoint StartedAt;
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
