#include "whintack/standin/executioncounter.h"

#include "whintack/base/log.h"

#include <algorithm>

namespace whintack::standin {

void ExecutionCounter::begin(const std::string &Server,
                             const std::string &Order) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Counts.Executions;
  const int64_t Now = ++this->Running[Server];
  this->Counts.MaxRunning = std::max(this->Counts.MaxRunning, Now);
  if (Order.empty())
    return;
  if (++this->Orders[Order] != 2)
    return;
  ++this->Counts.DuplicateExecutions;
  logEvent(LogLevel::Error, "order-doubled",
           {{"order", Order}, {"server", Server}});
}

void ExecutionCounter::end(const std::string &Server) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Running[Server];
}

ExecutionCounts ExecutionCounter::counts() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Counts;
}

uint64_t ExecutionCounter::executions(const std::string &Order) const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Orders.find(Order);
  return Found == this->Orders.end() ? 0 : Found->second;
}

int64_t ExecutionCounter::running(const std::string &Server) const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Running.find(Server);
  return Found == this->Running.end() ? 0 : Found->second;
}

} // namespace whintack::standin
