#include "whintack/store/callratelimiter.h"

#include <algorithm>

namespace whintack::store {

static constexpr Duration RateWindow = std::chrono::seconds(1);
static constexpr unsigned MaxFailures = 3;
static constexpr Duration InitialProbeRetryDelay =
    std::chrono::milliseconds(200);
static constexpr Duration MaxProbeRetryDelay = std::chrono::seconds(5);

CallRateLimiter::CallRateLimiter(int64_t CallsPerSecond, TimePoint Now)
    : CallsPerSecond(CallsPerSecond), AllowanceStart(Now - RateWindow) {}

bool CallRateLimiter::tryAcquire(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const TimePoint Earliest = std::max(this->AllowanceStart, Now - RateWindow);
  const TimePoint After = Earliest + RateWindow / this->CallsPerSecond;
  if (After > Now)
    return false;
  this->AllowanceStart = After;
  return true;
}

CircuitBreaker::CircuitBreaker(Random Source)
    : ProbeBackoff(InitialProbeRetryDelay, MaxProbeRetryDelay,
                   std::move(Source)) {}

bool CircuitBreaker::allowsCall(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Failures < MaxFailures)
    return true;
  if (Now < this->NextProbe)
    return false;
  this->NextProbe = Now + MaxProbeRetryDelay;
  return true;
}

void CircuitBreaker::recordSuccess() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Failures = 0;
  this->ProbeBackoff.reset();
}

void CircuitBreaker::recordFailure(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Failures;
  if (this->Failures >= MaxFailures)
    this->NextProbe = Now + this->ProbeBackoff.next();
}

bool CircuitBreaker::isOpen() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Failures >= MaxFailures;
}

} // namespace whintack::store
