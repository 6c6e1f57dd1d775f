#ifndef WHINTACK_SIMULATION_SIMULATEDEXECUTOR_H
#define WHINTACK_SIMULATION_SIMULATEDEXECUTOR_H

#include "whintack/simulation/runledger.h"

#include "whintack/base/timerqueue.h"
#include "whintack/jobs/gateways.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace whintack::simulation::Internal {

/// Decides whether a run fails by its own fault.
using FailureHook = std::function<bool(const jobs::TaskKey &, uint64_t Run)>;

/// One life of an executor: starts and stops runs under leases, and tells of
/// their ends until it may forget them. On the loop's thread.
class SimulatedExecutor
    : public std::enable_shared_from_this<SimulatedExecutor> {
public:
  /// \p Refuses tells whether it refuses what does not fit.
  SimulatedExecutor(jobs::ExecutorInfo Info, bool Refuses, int64_t FirstClock,
                    Clock Time, TimerQueue &Loop, RunLedger &Ledger,
                    FailureHook Fails);

  const jobs::ExecutorInfo &info() const { return this->Info; }
  void setDraining() { this->Info.IsDraining = true; }
  /// Ends this life with everything that runs.
  void die();

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
  struct Waiting {
    TimePoint Until;
    jobs::GatewayCallback<jobs::ExecutorReport> Done;
  };

  jobs::ExecutorTime clock() const;
  jobs::ExecutorReport makeReport() const;
  jobs::Room booked() const;
  bool isFenced(uint64_t Token);
  void extend(jobs::ExecutorTime Until);
  void checkLease();
  void end(const jobs::TaskKey &Task, uint64_t Number, jobs::RunEnd How);
  void endLater(const jobs::TaskKey &Task, uint64_t Number, Duration After,
                jobs::RunEnd How);
  void answerWaiting();

  jobs::ExecutorInfo Info;
  bool Refuses;
  int64_t FirstClock;
  Clock Time;
  TimerQueue &Loop;
  RunLedger &Ledger;
  FailureHook Fails;
  TimePoint Born;
  bool IsDead = false;
  uint64_t HighestToken = 0;
  jobs::ExecutorTime LeaseUntil = 0;
  std::map<jobs::TaskKey, Run> Running;
  /// Highest run of each task that was stopped or has ended here.
  std::map<jobs::TaskKey, uint64_t> Over;
  std::deque<jobs::EndReport> Ended;
  uint64_t LastEnd = 0;
  std::vector<Waiting> Waiters;
};

} // namespace whintack::simulation::Internal

#endif // WHINTACK_SIMULATION_SIMULATEDEXECUTOR_H
