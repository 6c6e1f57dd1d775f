#ifndef WHINTACK_ENTRY_FORWARDER_H
#define WHINTACK_ENTRY_FORWARDER_H

#include "whintack/base/eventjournal.h"
#include "whintack/base/timerqueue.h"
#include "whintack/http/httpclient.h"
#include "whintack/peers/message.h"
#include "whintack/routing/router.h"
#include "whintack/store/vmdirectory.h"

#include <functional>
#include <memory>

namespace whintack::entry {

/// HTTP header fields between callers, entry VMs and backend servers.
namespace header {
/// Time until the caller gives up, in milliseconds.
inline constexpr const char *Deadline = "Deadline-Ms";
/// Identifies the request. A server may repeat the field in its answer; an
/// answer with another value is rejected.
inline constexpr const char *RequestId = "Request-Id";
/// The service the request is for. A server of another service must refuse the
/// request.
inline constexpr const char *Service = "Service";
/// "leaving" once the server accepts no new requests.
inline constexpr const char *ServerState = "Server-State";
/// "not-run" in the answer of a server that did not run the request.
inline constexpr const char *Outcome = "Request-Outcome";
} // namespace header

/// A request to forward.
struct ForwardRequest {
  RequestId Id;
  routing::RequestInfo Info;
  /// The request as it is sent, without hop-by-hop header fields.
  http::HttpRequest Content;
};

/// How a forwarded request ended.
struct ForwardResult {
  routing::RequestOutcome Outcome = routing::RequestOutcome::NotRun;
  routing::OutcomeReason Reason = routing::OutcomeReason::None;
  /// How long the caller should wait before it retries; zero if not known.
  Duration RetryAfter = Duration::zero();
  /// The complete answer if the outcome is Done.
  http::HttpResponse Answer;
  /// The executor that answered, if the outcome is Done.
  VmName Executor;
};

using ForwardDone = std::function<void(ForwardResult)>;

/// Limits of one forwarder.
struct ForwarderLimits {
  size_t MaxAnswerBytes = 8U << 20U;
  /// Requests pending at the same time.
  size_t MaxRequests = 4096;
};

/// Functions that a forwarder needs from its owner.
struct ForwarderHooks {
  std::function<void(const EntryName &Peer, const peers::Message &Sent)>
      SendToPeer;
  std::function<void(const peers::Message &Sent)> Broadcast;
  /// Creates a connection to a backend server.
  std::function<std::shared_ptr<http::HttpConnection>(const Address &)> Connect;
};

/// Forwards requests to executors: sends the requests, probes and peer messages
/// that the router decides on, and reports the results to it. Thread-safe.
class Forwarder {
public:
  Forwarder(routing::RouterIdentity Identity, routing::ChoicePolicy Policy,
            ForwarderLimits Limits, ForwarderHooks Hooks, const Clock &Time,
            const Random &Source, TimerQueue &Timers, EventJournal &Journal);
  ~Forwarder();

  /// Forwards a request. \p Done is called once, on any thread.
  void submit(ForwardRequest Request, ForwardDone Done);
  /// Refuses all new requests.
  void stop();
  /// Waits until no callback is running, then completes the requests still
  /// pending as unknown; later answers and timers are ignored. Must not be
  /// called by a callback.
  void close();

  /// Sets the limits of all services.
  void setServices(const std::vector<routing::ServiceLimits> &Services);
  /// Updates the executors from the platform's list of VMs. \p ServiceOfPool
  /// names the service that the VMs of a pool run.
  void setVms(const std::vector<store::VmInfo> &Vms,
              const std::map<PoolName, ServiceName> &ServiceOfPool);
  /// Sets the share plan, which limits the slots that this entry VM may use.
  void setSharePlan(const routing::SharePlan &Plan);
  /// Sets the usable peers, from which slots can be borrowed.
  void setPeers(const std::vector<routing::PeerInfo> &Peers);
  /// Handles a peer's message about slots or leaving servers. Returns false if
  /// the message concerns something else.
  bool handleMessage(const EntryName &Peer, const peers::Message &Received);
  /// Stops sending new requests to a server that is leaving, and notifies the
  /// peers if \p NotifyPeers is set.
  void handleLeavingNotice(const routing::LeavingNotice &Notice,
                           bool NotifyPeers);

  /// Whether this entry VM uses no more slots than its shares.
  bool isWithinShares() const;
  /// Requests running on \p Executor, or that may still run after a time-out.
  int64_t running(const VmName &Executor) const;
  /// The longest time that a request of any service may take; zero if no
  /// service is known.
  Duration maxRequestDuration() const;
  /// How long after the loss of an entry VM a request that it sent, or that was
  /// sent on slots it lent, may still be running.
  Duration maxRunTimeAfterLoss() const;
  /// Requests accepted and not yet completed.
  size_t pending() const;
  /// Request counters since the start.
  routing::RouterCounts counts() const;
  /// State of each executor, as this entry VM sees it.
  std::vector<routing::ExecutorReport> executors() const;
  /// Connections open to \p Executor, in use or idle.
  int64_t openConnections(const VmName &Executor) const;

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::entry

#endif // WHINTACK_ENTRY_FORWARDER_H
