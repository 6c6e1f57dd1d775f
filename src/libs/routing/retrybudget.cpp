#include "whintack/routing/retrybudget.h"

#include <algorithm>

namespace whintack::routing {

static constexpr int64_t CreditOfOneRetry = 100;
static constexpr int64_t ReserveRetries = 10;

RetryBudget::RetryBudget(int64_t Percent)
    : Percent(Percent),
      Credit(Percent == 0 ? 0 : CreditOfOneRetry * ReserveRetries) {}

void RetryBudget::recordRequest() {
  this->Credit =
      std::min(this->Credit + this->Percent, CreditOfOneRetry * ReserveRetries);
}

bool RetryBudget::takeRetry() {
  if (this->Credit < CreditOfOneRetry)
    return false;
  this->Credit -= CreditOfOneRetry;
  return true;
}

} // namespace whintack::routing
