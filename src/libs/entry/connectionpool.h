#ifndef WHINTACK_ENTRY_CONNECTIONPOOL_H
#define WHINTACK_ENTRY_CONNECTIONPOOL_H

#include "whintack/base/identifier.h"
#include "whintack/http/httpclient.h"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace whintack::entry::Internal {

/// Creates a connection to a backend server.
using ConnectionFactory =
    std::function<std::shared_ptr<http::HttpConnection>(const Address &)>;

/// A connection taken from the pool for one request.
struct PooledConnection {
  VmName Executor;
  /// Generation of the executor when the connection was acquired. A connection
  /// of an earlier generation is closed after use.
  uint64_t Generation = 0;
  std::shared_ptr<http::HttpConnection> Connection;
};

/// Pool of the connections to all executors. Each connection carries one
/// request at a time. Thread-safe.
class ConnectionPool {
public:
  ConnectionPool(ConnectionFactory OpenConnection, Clock Time);

  /// Sets the address of an executor. If it differs from the previous one, the
  /// idle connections are closed; those in use are closed after use.
  void setAddress(const VmName &Executor, const Address &Server);

  /// Returns an idle connection, or a new one if there is none or
  /// \p NeedsFresh is set. Closes idle connections so that at most
  /// \p Allowance are open. Returns nothing if the executor has no address.
  std::optional<PooledConnection> acquire(const VmName &Executor,
                                          bool NeedsFresh, int64_t Allowance);

  /// Returns a connection to the pool, or closes it if it is not reusable.
  void release(PooledConnection Used, bool IsReusable);

  /// Closes all idle connections to \p Executor; those in use are closed after
  /// use.
  void closeIdle(const VmName &Executor);

  /// Number of connections open to \p Executor, in use or idle.
  int64_t openCount(const VmName &Executor) const;

private:
  struct Idle {
    std::shared_ptr<http::HttpConnection> Connection;
    TimePoint UsableUntil;
  };
  struct Executor {
    Address Server;
    uint64_t Generation = 0;
    int64_t InUse = 0;
    std::vector<Idle> IdleConnections;
  };

  ConnectionFactory OpenConnection;
  Clock Time;
  mutable std::mutex Mutex;
  std::unordered_map<VmName, Executor> Executors;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_CONNECTIONPOOL_H
