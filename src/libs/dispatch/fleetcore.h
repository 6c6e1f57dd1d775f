#ifndef WHINTACK_DISPATCH_FLEETCORE_H
#define WHINTACK_DISPATCH_FLEETCORE_H

#include "adviceclient.h"
#include "executorlistmonitor.h"
#include "executorrelay.h"
#include "gracemonitor.h"
#include "itemfeed.h"
#include "jobrequesthandler.h"
#include "loadmonitor.h"
#include "machineorders.h"
#include "membership.h"
#include "poolrebalancer.h"
#include "quotacoordinator.h"
#include "relayedcallhandler.h"
#include "serviceshard.h"
#include "shardbalancer.h"
#include "storerelay.h"
#include "wavemanager.h"

#include "whintack/dispatch/fleetnode.h"

#include <atomic>

namespace whintack::dispatch::Internal {

/// Identity and capacity of this process.
struct CoreIdentity {
  EntryName Name;
  DataCentreName DataCentre;
  /// Address at which other entry VMs reach this one.
  Address PeerListener;
  /// Distinguishes this process from earlier ones on the same VM.
  uint64_t Incarnation = 0;
  /// Share of a processor core that this VM may use.
  double ProcessorShare = 1;
  /// Maximum lease that executors grant.
  Duration MaxLease = Duration::zero();
  /// See settings::FleetSettings for these.
  Duration ConfigurationTime = std::chrono::seconds(2);
  Duration KeyRevocationTime = std::chrono::seconds(5);
  bool RefusesStaleKeys = false;
  Duration StoreOutageGrace = Duration::zero();
  Duration MachineOrderGrace = Duration::zero();
  bool ReservesRoom = false;
  double Bandwidth = 0;
};

/// Access to the other entry VMs.
struct PeerTransport {
  /// Sends a message; returns false if there is no link to the peer.
  std::function<bool(const EntryName &, const peers::Message &)> Send;
  std::function<std::vector<peers::PeerStatus>()> Peers;
  /// Replaces the list of peers to link to.
  std::function<void(const std::vector<peers::PeerEndpoint> &)> SetPeers;
};

/// The logic of an entry VM on the users' platform, without its listeners:
/// decides which shards it claims, runs the shards that it holds, and answers
/// clients. All functions must be called on the loop's thread unless stated
/// otherwise.
class FleetCore : public std::enable_shared_from_this<FleetCore> {
public:
  FleetCore(CoreIdentity Self, NodeConnections Connections, Context Shared,
            PeerTransport Transport);

  /// Starts all parts.
  void begin();
  /// Handles a client's request.
  void handleRequest(const http::HttpRequest &Request,
                     const http::Responder &Respond);
  /// Handles a message from another entry VM.
  void handleMessage(const EntryName &From, const peers::Message &Received);
  /// Stops claiming shards, stores what is not stored yet, then releases all
  /// claims and calls \p Done.
  void handOver(const std::function<void()> &Done);
  /// Ends the store lease, and with it the membership.
  void endLease(const std::function<void()> &Done);

  /// Whether this VM can serve. Thread-safe.
  bool isReady() const { return this->IsReadyNow; }
  /// Marks this VM as stopping and not ready. Thread-safe.
  void announceStop();

private:
  void openStore();
  void openMembership();
  void openClaims();
  void openWatches();
  void checkPeriodically();
  void reportLoopDelay() const;
  bool canServe() const;
  void openOperatorItems();
  void handleItemMessage(const EntryName &From, const peers::Message &Received);
  bool isBulkCall(const store::StoreCall &Call) const;
  void updateItemSources();
  void handleOperatorItems(const ItemMap &Items);
  void adoptConfiguration(jobs::FleetConfiguration Newest, uint64_t Revision);
  void handleClaimAcquired(const HeldClaim &Acquired);
  void openFleetShard(const HeldClaim &Acquired);
  void openQuotas(const HeldClaim &Acquired);
  void openServiceShard(const HeldClaim &Acquired);
  void dropShard(const ShardId &Shard, const std::string &Cause);
  /// Releases the claim of a shard that was not loaded in time.
  void giveUpShard(const ShardId &Shard);
  void closeFleetShard();
  void reconcileClaims();
  void releaseStrayClaim(const ShardId &Shard, const Claim &Stray);
  bool answerLocally(const peers::ServiceCall &Call,
                     const AnswerCallback &Respond);
  std::vector<EntryName> usablePeers() const;
  /// Whether \p Process has been replaced by another process on its VM.
  bool hasEnded(const OrderingProcess &Process) const;
  void openBalancer();
  void openGraceMonitor();
  void openExecutorCalls();
  /// The VMs that can make calls to executors for this one.
  std::vector<ShardCandidate> executorRelays() const;
  std::vector<HeldClaim> movableShards() const;
  void handOverShard(const ShardId &Shard);
  /// Stops planning the shard and releases the claim.
  void releaseShard(const HeldClaim &Claimed,
                    const std::function<void()> &Done);
  void releaseClaim(const ShardId &Shard, uint64_t Token,
                    const std::function<void()> &Done);
  ConfigurationHooks configurationHooks();
  /// Returns a function that returns the current queues.
  std::function<std::shared_ptr<const jobs::QueueTable>()> queueSource();
  /// Returns a function that drops a shard whose claim was lost.
  std::function<void(const ShardId &Shard, const std::string &Cause)>
  shardLossHandler();
  std::function<TimePoint()> claimValidity() const;
  /// How old the configuration may be when a task of a tenant with a maximum is
  /// started.
  Duration maxConfigurationAge() const;

  CoreIdentity Self;
  NodeConnections Connections;
  Context Shared;
  PeerTransport Transport;
  std::shared_ptr<StoreRelay> Relay;
  std::shared_ptr<NodeLease> Lease;
  std::shared_ptr<GraceMonitor> Grace;
  std::shared_ptr<ClaimTracker> Tracker;
  std::shared_ptr<ShardClaimer> Claimer;
  std::shared_ptr<Membership> Members;
  std::shared_ptr<ShardBalancer> Balancer;
  std::shared_ptr<ExecutorListMonitor> Executors;
  std::shared_ptr<LoadQueue> Loads;
  std::shared_ptr<AdviceClient> Advice;
  ProcessorMonitor Processor;
  /// The longest work of the planners since the last reconciliation.
  std::shared_ptr<LongestWork> Longest;
  std::shared_ptr<ServiceCalls> Calls;
  std::shared_ptr<SubmissionTracker> Submissions;
  std::shared_ptr<ExecutorRelay> ExecutorCalls;
  std::shared_ptr<RelayedCallHandler> RelayedCalls;
  std::shared_ptr<JobRequestHandler> RequestHandler;
  std::shared_ptr<PrefixWatch> OperatorItems;
  std::shared_ptr<ItemFeed> Feed;
  /// Peers to ask for the operator's items, the preferred ones first.
  std::vector<EntryName> ItemSources;
  /// Whether this VM reads the operator's items from the store for others.
  bool IsItemReader = true;
  std::shared_ptr<const jobs::QueueTable> Queues;
  /// Revision of the configuration that was decoded last.
  uint64_t ConfigurationRevision = 0;
  std::vector<jobs::WaveRequest> Waves;
  std::map<ShardId, HeldClaim> OwnClaims;
  std::map<ShardId, std::shared_ptr<ServiceShard>> Shards;
  /// How often this process gave up each shard.
  std::map<ShardId, unsigned> GiveUps;
  /// Kept after the fleet shard is closed until it has told its successor.
  std::shared_ptr<MachineOrders> Orders;
  std::shared_ptr<WaveManager> Maintenance;
  std::shared_ptr<PoolRebalancer> Rebalancer;
  std::shared_ptr<QuotaCoordinator> Quotas;
  /// Token of the claim that is being handed over; 0 for none.
  uint64_t HandingOver = 0;
  TimePoint NextCheck = TimePoint::max();
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> IsReadyNow{false};
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_FLEETCORE_H
