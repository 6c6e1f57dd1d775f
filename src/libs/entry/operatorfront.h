#ifndef WHINTACK_ENTRY_OPERATORFRONT_H
#define WHINTACK_ENTRY_OPERATORFRONT_H

#include "operatorcodec.h"
#include "operatorwork.h"

#include "whintack/base/supervisor.h"
#include "whintack/configuration/changeclient.h"
#include "whintack/entry/operatorauth.h"
#include "whintack/http/httpserver.h"

#include <condition_variable>
#include <deque>
#include <functional>

namespace whintack::entry::Internal {

using steward::FleetReader;
using steward::FleetSnapshot;
using steward::VmFacts;

/// What the operator interface shows and does.
struct OperatorHooks {
  std::function<EntryStatus()> Status;
  std::function<std::string()> Metrics;
  std::function<MergedTimeline(const EventFilter &, size_t Limit)> Timeline;
  /// Looks at the platform at once, after a change.
  std::function<void()> LookNow;
};

/// The operator interface: HTTP and JSON on a listener of its own. Requests
/// are worked off one after the other on one thread, because many of them wait
/// for the platform.
class OperatorFront {
public:
  OperatorFront(Address Local, http::ServerTls Tls, OperatorAuth Auth,
                OperatorHooks Hooks, FleetReader &Reader,
                configuration::ChangeClient &Changes,
                store::RecordClient &Records, Clock Time, Random Source,
                TimerQueue &Timers, EventJournal &Journal);

  Result<void, http::ListenError> open();
  void close(TimePoint Deadline);
  /// Works requests off until stopped.
  void run(const StopSignal &Stop);

private:
  struct Waiting {
    http::HttpRequest Request;
    http::Responder Respond;
  };

  void take(http::HttpRequest Request, const http::Responder &Respond);
  http::HttpResponse answer(const http::HttpRequest &Request);
  http::HttpResponse answerChange(const std::string &Path,
                                  const http::HttpRequest &Request,
                                  const OperatorName &Operator);
  http::HttpResponse answerRead(const std::string &Path,
                                const http::HttpRequest &Request);
  http::HttpResponse plan(const http::HttpRequest &Request);
  http::HttpResponse apply(const http::HttpRequest &Request,
                           const OperatorName &Operator);
  http::HttpResponse choosePreset(const http::HttpRequest &Request);
  http::HttpResponse confirmPreset(const http::HttpRequest &Request,
                                   const OperatorName &Operator);
  http::HttpResponse report(const configuration::ChangeReport &Report,
                            const OperatorName &Operator, EventKind Accepted);
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
  OperatorWork Work;
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::deque<Waiting> Queue;
  http::HttpServer Server;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_OPERATORFRONT_H
