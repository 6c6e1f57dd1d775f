#ifndef WHINTACK_DISPATCH_POOLREBALANCER_H
#define WHINTACK_DISPATCH_POOLREBALANCER_H

#include "wavemanager.h"

#include "whintack/jobs/poolpolicy.h"

namespace whintack::dispatch::Internal {

/// Moves machines between pools according to the demand that the planners
/// report, under the same claim as WaveManager.
class PoolRebalancer : public std::enable_shared_from_this<PoolRebalancer> {
public:
  /// \p Reserved returns the machines that a wave is working on.
  PoolRebalancer(Context Shared, FleetShardEnvironment Environment,
                 EntryName Self, HeldClaim OwnClaim,
                 std::function<std::set<jobs::MachineName>()> Reserved);

  void start();
  void stop() { this->IsStopped = true; }

private:
  /// One round of asking all planners for their demand.
  struct Round {
    size_t OpenCalls = 0;
    std::vector<jobs::PoolDemand> Demands;
  };
  /// The last order for a machine, which the list may not show yet.
  struct MoveOrder {
    ServiceName Pool;
    TimePoint Until;
  };

  void tick();
  void requestDemands();
  void decide(const std::vector<jobs::PoolDemand> &Demands);
  void evacuateAndMove(const jobs::MoveProposal &Move);
  /// Sends the order unless it cannot be sent by \p SendBy.
  void order(const jobs::MoveProposal &Move, TimePoint SendBy);
  /// Whether the machine has yet to arrive in the pool to which it was ordered.
  bool isInTransit(const jobs::MachineInfo &Machine, TimePoint Now);
  void send(const jobs::MoveProposal &Move);
  bool canOrder() const;

  Context Shared;
  FleetShardEnvironment Environment;
  EntryName Self;
  HeldClaim OwnClaim;
  std::function<std::set<jobs::MachineName>()> Reserved;
  jobs::PoolPolicy Policy;
  std::vector<jobs::MachineInfo> Machines;
  /// The last order for each machine, until it has been carried out.
  std::map<jobs::MachineName, MoveOrder> LastOrders;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_POOLREBALANCER_H
