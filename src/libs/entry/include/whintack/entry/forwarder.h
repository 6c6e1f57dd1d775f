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

/// Header fields between entry VMs and backend servers.
namespace header {
/// Milliseconds left until the caller gives up.
inline constexpr const char *Deadline = "Deadline-Ms";
/// Names the request; a server that repeats it must repeat the same.
inline constexpr const char *RequestId = "Request-Id";
/// The service the request is for; a server of another one must refuse it.
inline constexpr const char *Service = "Service";
/// "leaving" once the server takes no new work.
inline constexpr const char *ServerState = "Server-State";
/// "not-run" in the answer of a server that did not run the request.
inline constexpr const char *Outcome = "Request-Outcome";
} // namespace header

/// A request to be forwarded.
struct ForwardRequest {
  RequestId Id;
  routing::RequestInfo Info;
  /// As it is to be sent, without the fields of one connection.
  http::HttpRequest Content;
};

/// How a forwarded request ended.
struct ForwardResult {
  routing::RequestOutcome Outcome = routing::RequestOutcome::NotRun;
  routing::OutcomeReason Reason = routing::OutcomeReason::None;
  Duration RetryAfter = Duration::zero();
  /// The whole answer, if the outcome is Done.
  http::HttpResponse Answer;
  VmName Executor;
};

using ForwardDone = std::function<void(ForwardResult)>;

/// Bounds of one forwarder.
struct ForwarderLimits {
  size_t MaxAnswerBytes = 8U << 20U;
  size_t MaxRequests = 4096;
};

/// What a forwarder needs from its owner.
struct ForwarderHooks {
  std::function<void(const EntryName &Peer, const peers::Message &Sent)>
      SendToPeer;
  std::function<void(const peers::Message &Sent)> Broadcast;
  /// Opens a connection; a test can give its own.
  std::function<std::shared_ptr<http::HttpConnection>(const Address &)> Connect;
};

/// Carries out what the router decides. Safe for several threads.
class Forwarder {
public:
  Forwarder(routing::RouterIdentity Identity, routing::ChoicePolicy Policy,
            ForwarderLimits Limits, ForwarderHooks Hooks, const Clock &Time,
            const Random &Source, TimerQueue &Timers, EventJournal &Journal);
  ~Forwarder();

  /// Forwards a request; \p Done is called once.
  void submit(ForwardRequest Request, ForwardDone Done);
  /// Refuses all new requests from now on.
  void stop();

  void setServices(const std::vector<routing::ServiceLimits> &Services);
  /// Takes in the platform's list; \p ServiceOfPool tells what VMs run.
  void setVms(const std::vector<store::VmInfo> &Vms,
              const std::map<PoolName, ServiceName> &ServiceOfPool);
  void setSharePlan(const routing::SharePlan &Plan);
  void setPeers(const std::vector<routing::PeerInfo> &Peers);
  /// Takes in a peer's message about slots or leaving servers. Returns false
  /// if the message is about something else.
  bool takeMessage(const EntryName &Peer, const peers::Message &Received);
  /// Notes that a server is leaving and tells the peers.
  void noteLeaving(const routing::LeavingNotice &Notice, bool TellPeers);

  bool isWithinShares() const;
  int64_t running(const VmName &Executor) const;
  Duration longestDuration() const;
  Duration longestAftermath() const;
  size_t pending() const;
  routing::RouterCounts counts() const;
  std::vector<routing::ExecutorReport> executors() const;
  int64_t openConnections(const VmName &Executor) const;

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::entry

#endif // WHINTACK_ENTRY_FORWARDER_H
