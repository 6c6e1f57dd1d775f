#ifndef WHINTACK_ROUTING_RETRYBUDGET_H
#define WHINTACK_ROUTING_RETRYBUDGET_H

#include <cstdint>

namespace whintack::routing {

/// Limits retries to a percentage of the requests. Unused retries accumulate up
/// to a small reserve, which is full at the start, so that the first failures
/// of a service with few requests can be retried.
class RetryBudget {
public:
  /// \p Percent is the percentage of requests that may be retried; 0 disables
  /// retries.
  explicit RetryBudget(int64_t Percent);

  void setPercent(int64_t Percent) { this->Percent = Percent; }
  /// Counts a new request, which adds to the budget.
  void recordRequest();
  /// Takes one retry from the budget. Returns false if none is left.
  bool takeRetry();

private:
  int64_t Percent;
  /// Retries available, in hundredths of a retry.
  int64_t Credit;
};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_RETRYBUDGET_H
