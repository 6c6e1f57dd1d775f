#include "whintack/store/callbudget.h"

#include <algorithm>

namespace whintack::store {

static constexpr Duration BudgetWindow = std::chrono::seconds(1);
static constexpr unsigned FailuresToOpen = 3;
static constexpr Duration FirstProbeWait = std::chrono::milliseconds(200);
static constexpr Duration LongestProbeWait = std::chrono::seconds(5);

CallBudget::CallBudget(int64_t CallsPerSecond, TimePoint Now)
    : CallsPerSecond(CallsPerSecond), UnusedFrom(Now - BudgetWindow) {}

bool CallBudget::take(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const TimePoint Earliest = std::max(this->UnusedFrom, Now - BudgetWindow);
  const TimePoint After = Earliest + BudgetWindow / this->CallsPerSecond;
  if (After > Now)
    return false;
  this->UnusedFrom = After;
  return true;
}

Breaker::Breaker(Random Source)
    : Wait(FirstProbeWait, LongestProbeWait, std::move(Source)) {}

bool Breaker::allows(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Failures < FailuresToOpen)
    return true;
  if (Now < this->NextProbe)
    return false;
  this->NextProbe = Now + LongestProbeWait;
  return true;
}

void Breaker::noteSuccess() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Failures = 0;
  this->Wait.reset();
}

void Breaker::noteFailure(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Failures;
  if (this->Failures >= FailuresToOpen)
    this->NextProbe = Now + this->Wait.next();
}

bool Breaker::isOpen() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Failures >= FailuresToOpen;
}

} // namespace whintack::store
