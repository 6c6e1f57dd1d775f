#ifndef WHINTACK_STORE_HTTPPLATFORM_H
#define WHINTACK_STORE_HTTPPLATFORM_H

#include "whintack/http/httpclient.h"
#include "whintack/store/vmdirectory.h"

#include <memory>
#include <mutex>
#include <vector>

namespace whintack::store {

/// Client of the platform's HTTP interfaces: key-value service, VM list and
/// worker control. Each write uses a connection of its own, because its outcome
/// is unknown if the server closes a reused one. Reads reuse connections,
/// because repeating them is harmless. Safe for several threads.
class HttpPlatform {
public:
  /// \p CallTimeout limits the duration of each call.
  HttpPlatform(Address Server, Duration CallTimeout, Clock Time,
               TimerQueue &Timers, http::ClientTls Tls = {});

  /// Returns the key-value service. The results of this and the following
  /// functions refer to this object, which must outlive them.
  KeyValueStore store();
  VmDirectory directory();
  WorkerControl workers();

private:
  /// Sends a request on a reused connection, and once more on a new one if the
  /// server closes the reused one.
  StoreResult<std::string> sendRead(const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body);
  /// Sends a request on a connection of its own.
  StoreResult<std::string> sendWrite(const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body);

  Address Server;
  Duration CallTimeout;
  Clock Time;
  TimerQueue &Timers;
  http::ClientTls Tls;
  std::mutex Mutex;
  /// Open connections that no read uses at present.
  std::vector<std::shared_ptr<http::HttpConnection>> IdleConnections;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_HTTPPLATFORM_H
