#ifndef WHINTACK_DISPATCH_LOADMONITOR_H
#define WHINTACK_DISPATCH_LOADMONITOR_H

#include "whintack/jobs/planner.h"

#include <array>

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

/// What a planner does with the processor.
enum class PlannerWork { Pass, Orders, Reports, StartAnswers };

inline constexpr EnumNames<PlannerWork, 4> PlannerWorkNames = {{
    {PlannerWork::Pass, "passes"},
    {PlannerWork::Orders, "orders"},
    {PlannerWork::Reports, "reports"},
    {PlannerWork::StartAnswers, "start-answers"},
}};

/// Logs where the processor time of a busy planner goes: at most one line a
/// second.
class PlannerLoadMonitor {
public:
  /// \p UsedTime is as for ProcessorMonitor.
  PlannerLoadMonitor(ServiceName Service, std::function<Duration()> UsedTime,
                     jobs::DecisionLog Log);

  /// Calls \p Work and adds its processor time to that kind.
  template <typename Call> void measure(PlannerWork Kind, Call Work) {
    if (!this->UsedTime) {
      Work();
      return;
    }
    const Duration Before = this->UsedTime();
    Work();
    Use &Measured = this->Uses[static_cast<size_t>(Kind)];
    Measured.Time += this->UsedTime() - Before;
    ++Measured.Calls;
  }
  /// Logs the use since the last line if it was high. \p Waiting is the number
  /// of jobs with tasks to start.
  void update(size_t Waiting, TimePoint Now);

private:
  struct Use {
    Duration Time = Duration::zero();
    size_t Calls = 0;
  };

  ServiceName Service;
  std::function<Duration()> UsedTime;
  jobs::DecisionLog Log;
  std::array<Use, PlannerWorkNames.size()> Uses;
  TimePoint NextLogAt = TimePoint::min();
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
