#ifndef WHINTACK_STORE_HTTPPLATFORM_H
#define WHINTACK_STORE_HTTPPLATFORM_H

#include "whintack/http/httpclient.h"
#include "whintack/store/vmdirectory.h"

#include <memory>
#include <mutex>
#include <vector>

namespace whintack::store {

/// Reaches the platform over HTTP. Each write travels on a connection of its
/// own, because the HTTP library would silently repeat one that shares a
/// connection; reads share, because repeating them is harmless.
class HttpPlatform {
public:
  /// \p CallTimeout bounds each call.
  HttpPlatform(Address Server, Duration CallTimeout, Clock Time,
               TimerQueue &Timers, http::ClientTls Tls = {});

  /// The key-value service; the result refers to this object.
  KeyValueStore store();
  VmDirectory directory();
  WorkerControl workers();

private:
  StoreResult<std::string> read(const std::string &Method,
                                const std::string &Path,
                                const std::string &Body);
  StoreResult<std::string> call(const std::string &Method,
                                const std::string &Path,
                                const std::string &Body);

  Address Server;
  Duration CallTimeout;
  Clock Time;
  TimerQueue &Timers;
  http::ClientTls Tls;
  std::mutex Mutex;
  /// Connections on which the next reads travel.
  std::vector<std::shared_ptr<http::HttpConnection>> Idle;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_HTTPPLATFORM_H
