#ifndef WHINTACK_DISPATCH_LOADMONITOR_H
#define WHINTACK_DISPATCH_LOADMONITOR_H

#include "whintack/jobs/planner.h"

namespace whintack::dispatch::Internal {

/// Logs while this process uses most of the processor that its VM may use: at
/// most one line a second.
class ProcessorMonitor {
public:
  /// \p UsedTime returns the processor time that this process has used; null if
  /// that is not known.
  ProcessorMonitor(double ProcessorShare, std::function<Duration()> UsedTime,
                   jobs::DecisionLog Log);

  /// Looks at the present use.
  void update(TimePoint Now);

private:
  double ProcessorShare;
  std::function<Duration()> UsedTime;
  jobs::DecisionLog Log;
  Duration UsedBefore = Duration::zero();
  std::optional<TimePoint> CheckedAt;
};

/// Logs while start orders of a planner take long: at most one line a second.
class OrderMonitor {
public:
  OrderMonitor(ServiceName Service, jobs::DecisionLog Log);

  /// An order was decided, sent and answered at these times.
  void noteAnswered(TimePoint DecidedAt, TimePoint SentAt, TimePoint Now);

private:
  ServiceName Service;
  jobs::DecisionLog Log;
  size_t Orders = 0;
  Duration LongestUnsent = Duration::zero();
  Duration LongestUnanswered = Duration::zero();
  TimePoint NextLogAt = TimePoint::min();
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_LOADMONITOR_H
