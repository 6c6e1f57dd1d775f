#ifndef WHINTACK_ENTRY_CALLERSERVER_H
#define WHINTACK_ENTRY_CALLERSERVER_H

#include "whintack/entry/forwarder.h"
#include "whintack/http/httpserver.h"

#include <memory>

namespace whintack::entry {

namespace Internal {
class ClaimManager;
struct CallerRequest;
} // namespace Internal

/// State of the entry VM that the caller server reports to callers.
struct CallerServerHooks {
  std::function<bool()> IsReady;
  std::function<uint64_t()> Revision;
};

/// HTTP server for callers. Forwards each request to an executor and responds
/// with the complete answer or, if there is none, with the outcome: not run, or
/// unknown. A non-idempotent request with an Idempotency-Key is claimed at the
/// owners of the key first, so that it runs at most once.
class CallerServer {
public:
  CallerServer(EntryName Self, Address Local, http::ServerLimits Limits,
               http::ServerTls Tls, CallerServerHooks Hooks,
               Forwarder &Forwarding,
               std::shared_ptr<Internal::ClaimManager> Claims, Clock Time,
               Random Source, TimerQueue &Timers);

  /// Starts to listen.
  Result<void, http::ListenError> open();
  /// Waits for the requests in flight until \p Deadline, then closes. Returns
  /// the number of requests that were cut off.
  size_t close(TimePoint Deadline);
  /// Requests received and not yet answered.
  size_t inFlight() const { return this->Server.inFlight(); }

private:
  void handleRequest(const http::HttpRequest &Received,
                     const http::Responder &Respond);
  void forward(ForwardRequest Request, const http::Responder &Respond);
  void forwardKeyed(const Internal::CallerRequest &Request,
                    const http::Responder &Respond);
  http::HttpResponse toResponse(const RequestId &Id,
                                const ForwardResult &Result) const;
  http::HttpResponse refusalResponse(const RequestId &Id, int Status,
                                     routing::OutcomeReason Reason,
                                     const std::string &Message) const;
  http::HttpResponse outcomeResponse(const RequestId &Id, int Status,
                                     routing::RequestOutcome Outcome,
                                     routing::OutcomeReason Reason,
                                     const std::string &Message,
                                     Duration RetryAfter) const;

  EntryName Self;
  CallerServerHooks Hooks;
  Forwarder &Forwarding;
  std::shared_ptr<Internal::ClaimManager> Claims;
  Random Source;
  http::HttpServer Server;
};

} // namespace whintack::entry

#endif // WHINTACK_ENTRY_CALLERSERVER_H
