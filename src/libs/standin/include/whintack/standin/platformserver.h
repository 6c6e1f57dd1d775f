#ifndef WHINTACK_STANDIN_PLATFORMSERVER_H
#define WHINTACK_STANDIN_PLATFORMSERVER_H

#include "whintack/http/httpserver.h"
#include "whintack/store/vmdirectory.h"

#include <memory>

namespace whintack::standin {

/// Serves a key-value store, the VM list and the orders to workers over HTTP,
/// with the API of the platform.
class PlatformServer {
public:
  PlatformServer(Address Local, store::KeyValueStore Store,
                 store::VmDirectory Directory, store::WorkerControl Workers,
                 Clock Time, TimerQueue &Timers);

  Result<void, http::ListenError> open();
  void close();

private:
  http::HttpResponse handleRequest(const http::HttpRequest &Request);
  http::HttpResponse handleStoreRequest(const http::HttpRequest &Request);
  http::HttpResponse handleOrder(const std::string &Body);

  store::KeyValueStore Store;
  store::VmDirectory Directory;
  store::WorkerControl Workers;
  http::HttpServer Server;
};

} // namespace whintack::standin

#endif // WHINTACK_STANDIN_PLATFORMSERVER_H
