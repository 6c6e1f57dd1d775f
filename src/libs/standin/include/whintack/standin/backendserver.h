#ifndef WHINTACK_STANDIN_BACKENDSERVER_H
#define WHINTACK_STANDIN_BACKENDSERVER_H

#include "whintack/http/httpserver.h"
#include "whintack/standin/executioncounter.h"

#include <atomic>
#include <memory>

namespace whintack::standin {

/// Request headers of the stand-in backend server: the identifier of an order,
/// and how long the request is to run, in milliseconds.
inline constexpr const char *OrderHeader = "Order-Id";
inline constexpr const char *WorkHeader = "Work-Ms";

/// Identity and timing of a stand-in backend server.
struct BackendBehaviour {
  std::string Name;
  std::string Service;
  /// How long a request without a Work-Ms header runs.
  Duration Work = std::chrono::milliseconds(2);
};

/// Stand-in for a backend server. It holds each request for its run time and
/// then answers with a description of the request.
class BackendServer {
public:
  BackendServer(Address Local, BackendBehaviour Behaviour,
                ExecutionCounter &Counter, Clock Time, TimerQueue &Timers);
  ~BackendServer();

  Result<void, http::ListenError> open();
  void close();
  /// Reports in the Server-State header of each answer that the server is
  /// leaving.
  void setLeaving(bool IsLeaving) { this->IsLeaving = IsLeaving; }
  /// Fails each request, and the health check, without running it.
  void setFailing(bool IsFailing) { this->IsFailing = IsFailing; }

private:
  void run(const http::HttpRequest &Request, const http::Responder &Respond);
  http::HttpResponse makeResponse(const http::HttpRequest &Request) const;

  BackendBehaviour Behaviour;
  ExecutionCounter &Counter;
  Clock Time;
  TimerQueue &Timers;
  std::atomic<bool> IsLeaving{false};
  std::atomic<bool> IsFailing{false};
  http::HttpServer Server;
};

} // namespace whintack::standin

#endif // WHINTACK_STANDIN_BACKENDSERVER_H
