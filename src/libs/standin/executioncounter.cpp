#include "whintack/standin/executioncounter.h"

#include "whintack/base/log.h"

namespace whintack::standin {

void ExecutionCounter::begin(const std::string &Server,
                             const std::string &Order) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Counts.Executions;
  const int64_t Now = ++this->Running[Server];
  if (Now > this->Counts.MaxRunning) {
    this->Counts.MaxRunning = Now;
    logEvent(LogLevel::Info, "most-running",
             {{"server", Server}, {"running", Now}, {"order", Order}});
  }
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
