#ifndef WHINTACK_DISPATCH_FLEETCORE_H
#define WHINTACK_DISPATCH_FLEETCORE_H

#include "claimseeker.h"
#include "executorboard.h"
#include "jobdoor.h"
#include "machineorders.h"
#include "membership.h"
#include "poolkeeper.h"
#include "serviceshard.h"
#include "storerelay.h"
#include "wavekeeper.h"

#include "whintack/dispatch/fleetnode.h"

#include <atomic>

namespace whintack::dispatch::Internal {

/// Who this process is.
struct CoreIdentity {
  EntryName Name;
  DataCentreName DataCentre;
  /// Where other entry VMs reach this one.
  Address PeerListener;
  /// Tells this process from earlier ones on this VM.
  uint64_t Incarnation = 0;
  /// Share of a processor core that this VM may use.
  double Strength = 1;
  /// Longest lease that executors grant.
  Duration LongestLease = Duration::zero();
};

/// How the other entry VMs are reached.
struct PeerTransport {
  /// False if there is no link.
  std::function<bool(const EntryName &, const peers::Message &)> Send;
  std::function<std::vector<peers::PeerStatus>()> Peers;
  std::function<void(const std::vector<peers::PeerEndpoint> &)> SetPeers;
};

/// The decisions of an entry VM on the users' platform, without its listeners:
/// which shards it claims, what runs under each claim, what clients are told.
/// All calls are made on the loop's thread.
class FleetCore : public std::enable_shared_from_this<FleetCore> {
public:
  FleetCore(CoreIdentity Self, NodeConnections Connections, Context Shared,
            PeerTransport Transport);

  void begin();
  /// Takes a client's request.
  void take(const http::HttpRequest &Request, const http::Responder &Back);
  void takeMessage(const EntryName &From, const peers::Message &Received);
  /// Stops to claim and gives all claims back, after what is not stored yet
  /// has been.
  void handOver(const std::function<void()> &Done);
  void endLease(const std::function<void()> &Done);

  /// Whether this VM can serve; may be called on any thread.
  bool isReady() const { return this->IsReadyNow; }
  /// From now on this VM is not ready; may be called on any thread.
  void announceStop();

private:
  void openStore();
  void openMembership();
  void openClaims();
  void openWatches();
  void review();
  bool canServe() const;
  void takeOperatorItems(const ItemMap &Items);
  void adopt(jobs::FleetConfiguration Newest);
  void takeWon(const WonClaim &Won);
  void openKeepers(const WonClaim &Won);
  void openShard(const WonClaim &Won);
  void loseShard(const std::string &Shard, const std::string &Cause);
  void stopKeepers();
  void checkClaims();
  void dropStrayClaim(const std::string &Shard, const Claim &Stray);
  bool answerLocally(const peers::ServiceCall &Asked, const AnswerBack &Back);
  std::vector<EntryName> usablePeers() const;
  /// Whether another process has taken the place of \p Process on its VM.
  bool hasEnded(const OrderingProcess &Process) const;
  void releaseClaim(const std::string &Shard, uint64_t Token,
                    const std::function<void()> &Done);
  /// Returns the newest queues each time it is called.
  std::function<std::shared_ptr<const jobs::QueueTable>()> queueSource();
  /// Returns a call that gives a shard up.
  std::function<void(const std::string &Shard, const std::string &Cause)>
  loser();
  std::function<TimePoint()> claimValidity() const;

  CoreIdentity Self;
  NodeConnections Connections;
  Context Shared;
  PeerTransport Transport;
  std::shared_ptr<StoreRelay> Relay;
  std::shared_ptr<NodeLease> Lease;
  std::shared_ptr<ClaimBoard> Board;
  std::shared_ptr<ClaimSeeker> Seeker;
  std::shared_ptr<Membership> Members;
  std::shared_ptr<ExecutorBoard> Executors;
  std::shared_ptr<ServiceCalls> Calls;
  std::shared_ptr<JobDoor> Door;
  std::shared_ptr<PrefixWatch> OperatorItems;
  std::shared_ptr<const jobs::QueueTable> Queues;
  std::vector<jobs::WaveRequest> Waves;
  std::map<std::string, WonClaim> Won;
  std::map<std::string, std::shared_ptr<ServiceShard>> Shards;
  std::shared_ptr<WaveKeeper> Keeper;
  std::shared_ptr<PoolKeeper> Mover;
  TimePoint SettledAt = TimePoint::max();
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> IsReadyNow{false};
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_FLEETCORE_H
