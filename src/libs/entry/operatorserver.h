#ifndef WHINTACK_ENTRY_OPERATORSERVER_H
#define WHINTACK_ENTRY_OPERATORSERVER_H

#include "operatorcodec.h"
#include "operatorcommandhandler.h"

#include "whintack/base/supervisor.h"
#include "whintack/configuration/changeclient.h"
#include "whintack/entry/operatorauth.h"
#include "whintack/http/httpserver.h"

#include <condition_variable>
#include <deque>
#include <functional>

namespace whintack::entry::Internal {

using controller::FleetReader;
using controller::FleetSnapshot;
using controller::VmFacts;

/// Functions that the operator server needs from its owner.
struct OperatorHooks {
  std::function<EntryStatus()> Status;
  std::function<std::string()> Metrics;
  std::function<MergedTimeline(const EventFilter &, size_t Limit)> Timeline;
  /// Polls the platform's configuration at once, after a change.
  std::function<void()> PollNow;
};

/// HTTP server of the operator interface, with JSON bodies and a listener of
/// its own. Requests are queued and handled one after the other on one thread,
/// because many of them wait for the platform.
class OperatorServer {
public:
  OperatorServer(Address Local, http::ServerTls Tls, OperatorAuth Auth,
                 OperatorHooks Hooks, FleetReader &Reader,
                 configuration::ChangeClient &Changes,
                 store::RecordClient &Records, Clock Time, Random Source,
                 TimerQueue &Timers, EventJournal &Journal);

  /// Starts to listen.
  Result<void, http::ListenError> open();
  /// Waits for the requests in flight until \p Deadline, then closes.
  void close(TimePoint Deadline);
  /// Handles queued requests until stopped.
  void run(const StopSignal &Stop);

private:
  struct QueuedRequest {
    http::HttpRequest Request;
    http::Responder Respond;
  };

  void enqueue(http::HttpRequest Request, const http::Responder &Respond);
  http::HttpResponse handleRequest(const http::HttpRequest &Request);
  http::HttpResponse handleChange(const std::string &Path,
                                  const http::HttpRequest &Request,
                                  const OperatorName &Operator);
  http::HttpResponse handleRead(const std::string &Path,
                                const http::HttpRequest &Request);
  http::HttpResponse plan(const http::HttpRequest &Request);
  http::HttpResponse apply(const http::HttpRequest &Request,
                           const OperatorName &Operator);
  http::HttpResponse choosePreset(const http::HttpRequest &Request);
  http::HttpResponse confirmPreset(const http::HttpRequest &Request,
                                   const OperatorName &Operator);
  http::HttpResponse changeResponse(const configuration::ChangeReport &Report,
                                    const OperatorName &Operator,
                                    EventKind Accepted);
  configuration::ChangeRequest changeRequest(const http::HttpRequest &Request,
                                             const OperatorName &Operator,
                                             uint64_t SeenRevision) const;
  std::optional<fleet::MoveEstimate> estimate(const declaration::Preset &Preset,
                                              const EntryStatus &Status) const;

  OperatorAuth Auth;
  OperatorHooks Hooks;
  FleetReader &Reader;
  configuration::ChangeClient &Changes;
  Clock Time;
  Random Source;
  EventJournal &Journal;
  OperatorCommandHandler CommandHandler;
  std::mutex Mutex;
  std::condition_variable RequestQueued;
  std::deque<QueuedRequest> Queue;
  http::HttpServer Server;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_OPERATORSERVER_H
