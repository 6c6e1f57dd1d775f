#include "connectionpool.h"

namespace whintack::entry::Internal {

/// An idle connection is not reused after this time, which is shorter than the
/// usual idle time-out of servers.
static constexpr Duration IdleTimeout = std::chrono::seconds(10);

ConnectionPool::ConnectionPool(ConnectionFactory OpenConnection, Clock Time)
    : OpenConnection(std::move(OpenConnection)), Time(std::move(Time)) {}

void ConnectionPool::setAddress(const VmName &Name, const Address &Server) {
  std::vector<Idle> Closed;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Executor &Known = this->Executors[Name];
  if (Known.Server == Server)
    return;
  Known.Server = Server;
  ++Known.Generation;
  Closed.swap(Known.IdleConnections);
}

std::optional<PooledConnection> ConnectionPool::acquire(const VmName &Name,
                                                        bool NeedsFresh,
                                                        int64_t Allowance) {
  const TimePoint Now = this->Time.Now();
  // Destroyed, and so closed, after the lock is released.
  std::vector<Idle> Closed;
  PooledConnection Acquired;
  Address Server;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Executors.find(Name);
    if (Found == this->Executors.end())
      return std::nullopt;
    Executor &Known = Found->second;
    Server = Known.Server;
    Acquired.Executor = Name;
    Acquired.Generation = Known.Generation;
    while (!Known.IdleConnections.empty() && !NeedsFresh &&
           !Acquired.Connection) {
      Idle Next = std::move(Known.IdleConnections.back());
      Known.IdleConnections.pop_back();
      if (Now < Next.UsableUntil)
        Acquired.Connection = std::move(Next.Connection);
      else
        Closed.push_back(std::move(Next));
    }
    ++Known.InUse;
    while (!Known.IdleConnections.empty() &&
           Known.InUse + static_cast<int64_t>(Known.IdleConnections.size()) >
               Allowance) {
      Closed.push_back(std::move(Known.IdleConnections.back()));
      Known.IdleConnections.pop_back();
    }
  }
  if (!Acquired.Connection)
    Acquired.Connection = this->OpenConnection(Server);
  return Acquired;
}

void ConnectionPool::release(PooledConnection Used, bool IsReusable) {
  const TimePoint Now = this->Time.Now();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Executor &Known = this->Executors[Used.Executor];
  --Known.InUse;
  if (IsReusable && Used.Generation == Known.Generation)
    Known.IdleConnections.push_back(
        {std::move(Used.Connection), Now + IdleTimeout});
}

void ConnectionPool::closeIdle(const VmName &Name) {
  std::vector<Idle> Closed;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Executors.find(Name);
  if (Found == this->Executors.end())
    return;
  ++Found->second.Generation;
  Closed.swap(Found->second.IdleConnections);
}

int64_t ConnectionPool::openCount(const VmName &Name) const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Executors.find(Name);
  if (Found == this->Executors.end())
    return 0;
  return Found->second.InUse +
         static_cast<int64_t>(Found->second.IdleConnections.size());
}

} // namespace whintack::entry::Internal
