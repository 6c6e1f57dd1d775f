#ifndef WHINTACK_ROUTING_ROUTER_H
#define WHINTACK_ROUTING_ROUTER_H

#include "whintack/base/event.h"
#include "whintack/routing/executortable.h"
#include "whintack/routing/messages.h"
#include "whintack/routing/outcome.h"
#include "whintack/routing/requestqueue.h"
#include "whintack/routing/retrybudget.h"
#include "whintack/routing/shareplan.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace whintack::routing {

/// Limits of a service, from its declaration.
struct ServiceLimits {
  ServiceName Name;
  int64_t Slots = 8;
  int64_t Connections = 64;
  Duration MaxDuration = std::chrono::seconds(30);
  Duration DefaultDuration = std::chrono::seconds(5);
  size_t QueueLength = 200;
  int64_t RetryPercent = 20;
};

/// Properties of a request that the router needs.
struct RequestInfo {
  ServiceName Service;
  CallerName Caller;
  bool IsIdempotent = false;
  /// Duration that the caller allows; zero for the default of the service.
  Duration RequestedDuration = Duration::zero();
};

/// Instruction to send a request to an executor.
struct SendAction {
  RequestHandle Request = 0;
  VmName Executor;
  TimePoint Deadline;
  /// Whether the request needs a connection that has carried no request before.
  bool NeedsFreshConnection = false;
  unsigned Attempt = 1;
};

/// Instruction to tell the caller that its request ended without an answer of a
/// backend server.
struct OutcomeAction {
  RequestHandle Request = 0;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  OutcomeReason Reason = OutcomeReason::None;
  /// Time after which the caller may try again; zero if a retry is pointless.
  Duration RetryAfter = Duration::zero();
};

/// Instruction to probe an executor on a fresh connection.
struct ProbeAction {
  VmName Executor;
  TimePoint Deadline;
};

/// Instruction to send a message to another entry VM.
template <typename MessageType> struct PeerAction {
  EntryName Peer;
  MessageType Message;
};

/// The actions that result from a call of the router. The caller carries them
/// out after the call returns.
struct RouterActions {
  std::vector<SendAction> Sends;
  std::vector<OutcomeAction> Answers;
  std::vector<ProbeAction> Probes;
  /// Executors whose idle connections must be closed.
  std::vector<VmName> DroppedConnections;
  std::vector<PeerAction<LoanRequest>> LoanRequests;
  std::vector<PeerAction<LoanGrant>> LoanGrants;
  std::vector<PeerAction<LoanReturn>> LoanReturns;
  /// Notices to send to all peers.
  std::vector<LeavingNotice> Notices;
  std::vector<Event> Events;
};

/// Result of one attempt.
struct AttemptReport {
  RequestHandle Request = 0;
  AttemptResult Result = AttemptResult::Answered;
  /// Whether the server announced that it is leaving.
  bool IsServerLeaving = false;
};

/// Identity of the router's entry VM and its data centre.
struct RouterIdentity {
  ShareMember Self;
  DataCentreName DataCentre;
};

/// A peer from which slots can be borrowed.
struct PeerInfo {
  EntryName Name;
  DataCentreName DataCentre;
};

/// Counters for metrics and reports.
struct RouterCounts {
  uint64_t Submitted = 0;
  uint64_t Sent = 0;
  uint64_t Retried = 0;
  uint64_t Answered = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t SlotsLent = 0;
  uint64_t SlotsBorrowed = 0;
};

/// State of one executor, for reports.
struct ExecutorReport {
  VmName Name;
  ServiceName Service;
  DataCentreName DataCentre;
  ExecutorState State = ExecutorState::Live;
  int64_t Owned = 0;
  int64_t Running = 0;
  int64_t Lent = 0;
};

/// Routes requests to executors: decides which executor gets a request, how
/// long it is queued, whether it is retried, and what the caller is told.
///
/// Does no I/O and reads no clock: input is passed in, and output is returned
/// as actions. Not thread-safe.
class Router {
public:
  Router(RouterIdentity Identity, ChoicePolicy Policy, Random Source);
  ~Router();

  /// Sets the services of the declaration in force. Queued requests of removed
  /// services end as not run.
  RouterActions setServices(const std::vector<ServiceLimits> &Services,
                            TimePoint Now);
  /// Applies the platform's list of executors.
  RouterActions setExecutors(const std::vector<ExecutorInfo> &Listed,
                             TimePoint Now);
  /// Sets the plan by which the entry VMs share the slots of the own data
  /// centre.
  RouterActions setSharePlan(const SharePlan &Plan, TimePoint Now);
  /// Sets the peers that are reachable at present.
  void setPeers(const std::vector<PeerInfo> &Peers);

  /// Submits a request. \p Request must not be in use.
  RouterActions submit(RequestHandle Request, const RequestInfo &Info,
                       TimePoint Now);
  /// Handles the end of an attempt.
  RouterActions finish(const AttemptReport &Report, TimePoint Now);
  /// Handles the end of a probe.
  RouterActions finishProbe(const VmName &Executor, bool IsAnswered,
                            TimePoint Now);
  /// Refuses all new requests and lends no more slots from now on.
  RouterActions stop(TimePoint Now);

  /// Handle messages of peers.
  RouterActions handleLoanRequest(const EntryName &Peer,
                                  const LoanRequest &Message, TimePoint Now);
  RouterActions handleLoanGrant(const EntryName &Peer, const LoanGrant &Message,
                                TimePoint Now);
  RouterActions handleLoanReturn(const EntryName &Peer,
                                 const LoanReturn &Message, TimePoint Now);
  RouterActions handleLeavingNotice(const LeavingNotice &Message,
                                    TimePoint Now);

  /// Handles the timers that are due at \p Now.
  RouterActions tick(TimePoint Now);
  /// When tick() must be called next; TimePoint::max() if no timer is set.
  TimePoint nextDeadline() const;

  /// Whether this entry VM uses no more than its share of any executor, so that
  /// the last step of the share plan can be acknowledged.
  bool isWithinShares() const;
  /// Longest time after the loss of an entry VM for which requests that it
  /// sent, or that were sent on slots it lent, may still be running.
  Duration maxRunTimeAfterLoss() const;
  /// Number of requests that run on \p Executor or may still run there after a
  /// time-out.
  int64_t running(const VmName &Executor) const;
  /// Number of connections to \p Executor that this entry VM may hold open.
  int64_t connectionAllowance(const VmName &Executor) const;
  /// Longest MaxDuration of all services.
  Duration maxRequestDuration() const;
  /// Number of submitted requests that have not ended.
  size_t pending() const;
  const RouterCounts &counts() const;
  /// Reports on all executors in the table.
  std::vector<ExecutorReport> executors() const;

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_ROUTER_H
