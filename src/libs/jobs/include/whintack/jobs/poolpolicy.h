#ifndef WHINTACK_JOBS_POOLPOLICY_H
#define WHINTACK_JOBS_POOLPOLICY_H

#include "whintack/jobs/gateways.h"

#include <map>
#include <set>

namespace whintack::jobs {

/// Demand and idle executors of a pool, as reported by its planner.
struct PoolDemand {
  ServiceName Pool;
  /// Estimated work that could start now and still has value, in core-seconds.
  double WaitingWork = 0;
  /// Estimated work of the recently accepted jobs, in core-seconds per second.
  double ArrivingWork = 0;
  /// Number of long-running tasks that have no executor.
  size_t Displaced = 0;
  /// Labels that some of the displaced tasks require, one per task.
  std::vector<std::string> DisplacedLabels;
  /// Processor capacity of the executors in use, in cores.
  double Cores = 0;
  /// Executors on which nothing runs.
  std::set<ExecutorId> Vacant;
};

/// Encodes the demand for the node that decides about moves.
std::string encodeDemand(const PoolDemand &Demand);
/// Decodes what encodeDemand() wrote for the pool \p Pool.
DecodeResult<PoolDemand> decodeDemand(const ServiceName &Pool,
                                      const std::string &Text);

/// A machine that should change its pool.
struct MoveProposal {
  MachineInfo Machine;
  ServiceName TargetPool;
};

/// Decides which machines change their pool. Demand moves from queue to queue:
/// each queue in turn submits several times what its pool holds, and little in
/// between. Pools that have more work waiting than they can complete in time,
/// or more work arriving than they have cores for, get machines: spare ones
/// first, then vacant ones of other pools. Long-running tasks without an
/// executor take precedence over waiting work. Machines that stay vacant go to
/// the spare pool, where they cost nothing.
class PoolPolicy {
public:
  /// Returns the moves to make now. \p Spare is the pool whose machines are
  /// switched off. Machines in \p Reserved are not moved.
  std::vector<MoveProposal> decide(const std::vector<MachineInfo> &Machines,
                                   const std::vector<PoolDemand> &Demands,
                                   const ServiceName &Spare,
                                   const std::set<MachineName> &Reserved,
                                   TimePoint Now);

private:
  struct VacancyRecord {
    ExecutorId Executor;
    TimePoint Since;
  };

  void updateVacancies(const std::vector<MachineInfo> &Machines,
                       const std::vector<PoolDemand> &Demands, TimePoint Now);

  /// Since when each currently vacant machine has been vacant without
  /// interruption, as seen by decide().
  std::map<MachineName, VacancyRecord> Vacancies;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_POOLPOLICY_H
