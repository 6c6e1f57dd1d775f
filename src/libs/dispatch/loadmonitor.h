#ifndef WHINTACK_DISPATCH_LOADMONITOR_H
#define WHINTACK_DISPATCH_LOADMONITOR_H

#include "whintack/jobs/planner.h"

#include <array>
#include <memory>
#include <utility>

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
enum class PlannerWork { Pass, Orders, Reports, StartAnswers, Load, Flush };

inline constexpr EnumNames<PlannerWork, 6> PlannerWorkNames = {{
    {PlannerWork::Pass, "passes"},
    {PlannerWork::Orders, "orders"},
    {PlannerWork::Reports, "reports"},
    {PlannerWork::StartAnswers, "start-answers"},
    {PlannerWork::Load, "load"},
    {PlannerWork::Flush, "flush"},
}};

/// The longest work that the event loop has done in one call. Other events wait
/// as long as it takes.
class LongestWork {
public:
  /// One call.
  struct Item {
    PlannerWork Kind = PlannerWork::Pass;
    ServiceName Service;
    /// Number of things that were worked on: jobs, orders or runs.
    size_t Size = 0;
    Duration Time = Duration::zero();
  };

  explicit LongestWork(Clock Time) : Time(std::move(Time)) {}

  /// Calls \p Work and notes how long it takes.
  template <typename Call>
  void measure(PlannerWork Kind, const ServiceName &Service, size_t Size,
               Call Work) {
    const TimePoint Begin = this->Time.Now();
    Work();
    const Duration Took = this->Time.Now() - Begin;
    if (Took > this->Longest.Time)
      this->Longest = {Kind, Service, Size, Took};
  }

  /// Returns the longest work since the last call.
  Item take() { return std::exchange(this->Longest, {}); }

private:
  Clock Time;
  Item Longest;
};

/// Logs where the processor time of a busy planner goes: at most one line a
/// second.
class PlannerLoadMonitor {
public:
  /// \p UsedTime is as for ProcessorMonitor.
  PlannerLoadMonitor(ServiceName Service, std::function<Duration()> UsedTime,
                     std::shared_ptr<LongestWork> Longest,
                     jobs::DecisionLog Log);

  /// Calls \p Work, which is on \p Size things, and adds its processor time to
  /// that kind.
  template <typename Call>
  void measure(PlannerWork Kind, size_t Size, Call Work) {
    if (!this->UsedTime) {
      this->Longest->measure(Kind, this->Service, Size, Work);
      return;
    }
    const Duration Before = this->UsedTime();
    this->Longest->measure(Kind, this->Service, Size, Work);
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
  std::shared_ptr<LongestWork> Longest;
  jobs::DecisionLog Log;
  std::array<Use, PlannerWorkNames.size()> Uses;
  TimePoint NextLogAt = TimePoint::min();
};

/// Logs while a planning pass does not end: at most one line a second.
class PassMonitor {
public:
  PassMonitor(ServiceName Service, jobs::DecisionLog Log);

  /// \p Open is the pass that was interrupted, if one was.
  void update(const std::optional<jobs::OpenPass> &Open, TimePoint Now);

private:
  ServiceName Service;
  jobs::DecisionLog Log;
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
