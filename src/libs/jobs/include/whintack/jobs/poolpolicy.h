#ifndef WHINTACK_JOBS_POOLPOLICY_H
#define WHINTACK_JOBS_POOLPOLICY_H

#include "whintack/jobs/gateways.h"

#include <map>
#include <set>

namespace whintack::jobs {

/// Demand and idle executors of a pool, as reported by its planner.
struct PoolDemand {
  ServiceName Pool;
  /// Estimated work that could start now and still be on time, in core-seconds.
  double WaitingWork = 0;
  /// Estimated work that could start now and be late but of some value.
  double LateWork = 0;
  /// Estimated work of the recently accepted jobs, in core-seconds per second.
  double ArrivingWork = 0;
  /// Number of long-running tasks that have no executor.
  size_t Displaced = 0;
  /// Labels that some of the displaced tasks require, one per task.
  std::vector<std::string> DisplacedLabels;
  /// Processor capacity of the executors in use that long-running tasks leave,
  /// in cores.
  double Cores = 0;
  /// Executors on which nothing runs.
  std::set<ExecutorId> Vacant;
};

/// An executor on a machine that has arrived in its pool according to the list
/// of machines. The pool's planner may not know of it yet.
struct ArrivedExecutor {
  ExecutorId Id;
  double Cores = 0;
};

/// What the node that decides about moves tells a planner when it asks for the
/// demand.
struct DemandRequest {
  std::vector<ArrivedExecutor> Arrived;
  /// Number of machines that other pools need more.
  size_t Release = 0;
};

/// Encodes the request for the planner of a pool.
std::string encodeDemandRequest(const DemandRequest &Request);
/// Decodes what encodeDemandRequest() wrote; an empty text requests nothing.
DecodeResult<DemandRequest> decodeDemandRequest(const std::string &Text);

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

/// What to do with the machines now.
struct PoolDecision {
  std::vector<MoveProposal> Moves;
  /// Number of further machines that pools should empty for others.
  std::map<ServiceName, size_t> Releases;
};

/// Decides which machines change their pool. Demand moves from queue to queue:
/// each queue in turn submits several times what its pool holds, and little in
/// between. Pools that have more work waiting than they can complete in time,
/// or more work arriving than they have cores for, get machines: spare ones
/// first, then vacant ones of other pools. Long-running tasks without an
/// executor take precedence over waiting work. Work that can only be late takes
/// no machines from pools whose work can be on time: a pool that has more than
/// such work needs empties machines for them. Machines that stay vacant go to
/// the spare pool, where they cost nothing.
class PoolPolicy {
public:
  /// Returns what to do now. \p Spare is the pool whose machines are
  /// switched off. Machines in \p Reserved are not moved.
  PoolDecision decide(const std::vector<MachineInfo> &Machines,
                      const std::vector<PoolDemand> &Demands,
                      const ServiceName &Spare,
                      const std::set<MachineName> &Reserved, TimePoint Now);

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
