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
  /// One round of asking the planners for their demand.
  struct Round {
    size_t OpenCalls = 0;
    bool IsDecided = false;
  };
  /// The last order for a machine, which the list may not show yet.
  struct MoveOrder {
    ServiceName Pool;
    TimePoint Until;
    /// The machine was not vacant after all and stays where it is.
    bool IsAbandoned = false;
  };

  /// An executor that its pool's planner is told of.
  struct Arrival {
    ServiceName Pool;
    jobs::ArrivedExecutor Executor;
    TimePoint AnnouncedUntil;
  };

  void listMachines();
  void handleMachines(std::vector<jobs::MachineInfo> Listed);
  void checkDemand();
  void requestDemands();
  void requestDemand(const ServiceName &Pool,
                     const std::shared_ptr<Round> &Current);
  void handleDemand(const ServiceName &Pool, const CallResult &Answer);
  void finishRound(Round &Current);
  void decide();
  void evacuateAndMove(const jobs::MoveProposal &Move);
  /// Sends the order unless it cannot be sent by \p SendBy.
  void order(const jobs::MoveProposal &Move, TimePoint SendBy);
  /// Ends the order for the machine if the list shows that it was carried out.
  void noteIfArrived(const jobs::MachineInfo &Machine, TimePoint Now);
  /// The listed machines, with each order under way as if it were carried out:
  /// the list may not show it yet.
  std::vector<jobs::MachineInfo> expectedMachines() const;
  void send(const jobs::MoveProposal &Move);
  bool canOrder() const;

  Context Shared;
  FleetShardEnvironment Environment;
  EntryName Self;
  HeldClaim OwnClaim;
  std::function<std::set<jobs::MachineName>()> Reserved;
  jobs::PoolPolicy Policy;
  std::vector<jobs::MachineInfo> Machines;
  /// The last order for each machine, until it has been carried out or is too
  /// old.
  std::map<jobs::MachineName, MoveOrder> LastOrders;
  /// Number of machines that pools were last asked to empty.
  std::map<ServiceName, size_t> Releases;
  /// Machines that arrived recently.
  std::map<jobs::MachineName, Arrival> Arrivals;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_POOLREBALANCER_H
