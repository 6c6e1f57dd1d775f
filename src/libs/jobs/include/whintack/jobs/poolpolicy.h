#ifndef WHINTACK_JOBS_POOLPOLICY_H
#define WHINTACK_JOBS_POOLPOLICY_H

#include "whintack/jobs/gateways.h"

#include <map>
#include <set>

namespace whintack::jobs {

/// How a pool stands, as its planner sees it.
struct PoolDemand {
  ServiceName Pool;
  /// Estimated work that could start now and can still earn, in core-seconds.
  double WaitingWork = 0;
  /// Estimated work of the jobs that came in lately, in core-seconds a second.
  double ArrivingWork = 0;
  /// Tasks that last and have no place.
  size_t Displaced = 0;
  /// Labels that some of them require of an executor, one for each task.
  std::vector<std::string> DisplacedLabels;
  /// Processor room of the executors in use, in cores.
  double Cores = 0;
  /// Executors on which nothing runs.
  std::set<ExecutorId> Vacant;
};

std::string encodeDemand(const PoolDemand &Demand);
DecodeResult<PoolDemand> decodeDemand(const ServiceName &Pool,
                                      const std::string &Text);

/// A machine that should change its pool.
struct MoveProposal {
  MachineInfo Machine;
  ServiceName To;
};

/// Decides which machines change their pool, for the load "demand turns from
/// queue to queue, each in its turn asks several times what its pool holds and
/// little in between". Pools with more waiting than they can work off in time,
/// or with more coming in than they have cores for, get machines: spare ones
/// first, then vacant ones of other pools. Tasks that last and have no place go
/// before anything that waits. Machines that stay vacant go to the spare pool,
/// where they cost nothing.
class PoolPolicy {
public:
  /// \p Spare is the pool whose machines are off. Machines in \p Reserved are
  /// left alone.
  std::vector<MoveProposal> decide(const std::vector<MachineInfo> &Machines,
                                   const std::vector<PoolDemand> &Demands,
                                   const ServiceName &Spare,
                                   const std::set<MachineName> &Reserved,
                                   TimePoint Now);

private:
  struct Idleness {
    ExecutorId Executor;
    TimePoint Since;
  };

  void noteVacant(const std::vector<MachineInfo> &Machines,
                  const std::vector<PoolDemand> &Demands, TimePoint Now);

  /// Machines that were vacant in every look since.
  std::map<MachineName, Idleness> Idle;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_POOLPOLICY_H
