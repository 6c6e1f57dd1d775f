#include "fleetcore.h"

#include "storekeys.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

void FleetCore::openFleetShard(const HeldClaim &Acquired) {
  MachineOrdersHooks Hooks;
  Hooks.WrittenBy = [Tracker = this->Tracker,
                     Now = this->Shared.Time.Now](uint64_t Revision) {
    return Tracker->revisions().writtenBy(Revision, Now());
  };
  Hooks.HasEnded =
      [Weak = this->weak_from_this()](const OrderingProcess &Process) {
        const auto Alive = Weak.lock();
        return Alive && Alive->hasEnded(Process);
      };
  Hooks.OnLost = [ReportLoss = this->shardLossHandler(),
                  Shard = Acquired.Shard](const std::string &Cause) {
    ReportLoss(Shard, Cause);
  };
  const auto Phase = [Lease = this->Lease, Time = this->Shared.Time.Now,
                      Grace = this->Self.MachineOrderGrace] {
    const TimePoint ValidUntil = Lease->validUntil();
    return claimPhase(Time(), ValidUntil,
                      std::min(Lease->graceUntil(),
                               NodeLease::endOfGrace(ValidUntil, Grace)));
  };
  Hooks.Phase = Phase;
  this->Orders = std::make_shared<MachineOrders>(
      this->Shared, OrderingProcess{this->Self.Name, this->Self.Incarnation},
      store::ExpectedRevision{keys::claim(Acquired.Shard), Acquired.Token},
      std::move(Hooks),
      HolderGrace{this->Self.MachineOrderGrace, NodeLease::Length,
                  Acquired.ClaimedAt});
  this->Orders->load();
  const FleetShardEnvironment Environment{this->Connections.Machines,
                                          this->Connections.Codec,
                                          this->Calls,
                                          this->queueSource(),
                                          Phase,
                                          this->Orders,
                                          std::make_shared<DemandTracker>(),
                                          this->shardLossHandler()};
  this->Maintenance = std::make_shared<WaveManager>(this->Shared, Environment,
                                                    this->Self.Name, Acquired);
  this->Maintenance->start();
  this->Maintenance->setWaves(this->Waves);
  this->Rebalancer = std::make_shared<PoolRebalancer>(
      this->Shared, Environment, this->Self.Name, Acquired,
      [Maintenance = this->Maintenance] {
        return Maintenance->machinesInProgress();
      });
  this->Rebalancer->start();
  this->openQuotas(Acquired);
}

void FleetCore::closeFleetShard() {
  if (!this->Maintenance)
    return;
  this->Maintenance->stop();
  this->Maintenance.reset();
  this->Rebalancer->stop();
  this->Rebalancer.reset();
  this->Quotas->stop();
  this->Quotas.reset();
  if (this->Self.MachineOrderGrace > Duration::zero())
    this->Orders->stop();
  else
    this->Orders.reset();
}

bool FleetCore::hasEnded(const OrderingProcess &Process) const {
  if (Process.Vm == this->Self.Name)
    return Process.Incarnation != this->Self.Incarnation;
  const std::vector<peers::PeerStatus> Known = this->Transport.Peers();
  return std::any_of(Known.begin(), Known.end(),
                     [&Process](const peers::PeerStatus &Peer) {
                       return Peer.Name == Process.Vm && Peer.IsUsable &&
                              Peer.Incarnation != Process.Incarnation;
                     });
}

} // namespace whintack::dispatch::Internal
