#ifndef WHINTACK_DISPATCH_POOLKEEPER_H
#define WHINTACK_DISPATCH_POOLKEEPER_H

#include "wavekeeper.h"

#include "whintack/jobs/poolpolicy.h"

namespace whintack::dispatch::Internal {

/// Moves machines between pools after the demand that the planners tell, under
/// the same claim as the keeper of waves.
class PoolKeeper : public std::enable_shared_from_this<PoolKeeper> {
public:
  /// \p Reserved names machines that a wave works on.
  PoolKeeper(Context Shared, WaveEnvironment Environment, EntryName Self,
             WonClaim Won,
             std::function<std::set<jobs::MachineName>()> Reserved);

  void start();
  void stop() { this->IsStopped = true; }

private:
  /// One round of asking the planners.
  struct Round {
    size_t Open = 0;
    std::vector<jobs::PoolDemand> Demands;
  };
  /// A machine that was just ordered; the list may not show it yet.
  struct Ordered {
    ServiceName To;
    TimePoint Until;
  };

  void tick();
  void ask();
  void decide(const std::vector<jobs::PoolDemand> &Demands);
  void propose(const jobs::MoveProposal &Move);
  /// Sends the order unless it cannot go out by \p SendBy.
  void order(const jobs::MoveProposal &Move, TimePoint SendBy);
  /// Tells whether the machine still has to arrive in the pool that it was
  /// ordered to.
  bool isOnItsWay(const jobs::MachineInfo &Machine, TimePoint Now);
  void send(const jobs::MoveProposal &Move);
  bool mayOrder() const;

  Context Shared;
  WaveEnvironment Environment;
  EntryName Self;
  WonClaim Won;
  std::function<std::set<jobs::MachineName>()> Reserved;
  jobs::PoolPolicy Policy;
  std::vector<jobs::MachineInfo> Machines;
  /// The last order to each machine, until it has been carried out.
  std::map<jobs::MachineName, Ordered> LastOrders;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_POOLKEEPER_H
