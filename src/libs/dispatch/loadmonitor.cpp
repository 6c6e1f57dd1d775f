#include "loadmonitor.h"

#include <sstream>
#include <utility>

namespace whintack::dispatch::Internal {

/// Part of its processor share above which a VM counts as saturated.
static constexpr double SaturatedUse = 0.8;
static constexpr Duration LogInterval = std::chrono::seconds(1);
/// Processor time in a second above which a planner's use is logged.
static constexpr Duration MinLoggedTime = std::chrono::milliseconds(50);
/// Time from the decision to the answer above which orders count as slow.
/// Executors take milliseconds to answer.
static constexpr Duration MaxOrderTime = std::chrono::milliseconds(100);
/// Time above which a planning pass counts as slow.
static constexpr Duration MaxPassTime = std::chrono::seconds(1);

ProcessorMonitor::ProcessorMonitor(double ProcessorShare,
                                   std::function<Duration()> UsedTime,
                                   jobs::DecisionLog Log)
    : ProcessorShare(ProcessorShare), UsedTime(std::move(UsedTime)),
      Log(std::move(Log)) {}

void ProcessorMonitor::update(TimePoint Now) {
  if (!this->UsedTime ||
      (this->CheckedAt && Now < *this->CheckedAt + LogInterval))
    return;
  const Duration Used = this->UsedTime();
  const Duration Recent = Used - std::exchange(this->UsedBefore, Used);
  const std::optional<TimePoint> Earlier = std::exchange(this->CheckedAt, Now);
  if (!Earlier)
    return;
  const Duration Elapsed = Now - *Earlier;
  const auto Limit =
      this->ProcessorShare * static_cast<double>(Elapsed.count());
  if (static_cast<double>(Recent.count()) > SaturatedUse * Limit)
    this->Log("processor-saturated", {{"used-ms", toMilliseconds(Recent)},
                                      {"of-ms", toMilliseconds(Elapsed)},
                                      {"share", this->ProcessorShare}});
}

PlannerLoadMonitor::PlannerLoadMonitor(ServiceName Service,
                                       std::function<Duration()> UsedTime,
                                       std::shared_ptr<LongestWork> Longest,
                                       jobs::DecisionLog Log)
    : Service(std::move(Service)), UsedTime(std::move(UsedTime)),
      Longest(std::move(Longest)), Log(std::move(Log)) {}

void PlannerLoadMonitor::update(size_t Waiting, TimePoint Now) {
  if (Now < this->NextLogAt)
    return;
  this->NextLogAt = Now + LogInterval;
  const auto Recent = std::exchange(this->Uses, {});
  Duration Total = Duration::zero();
  for (const Use &Each : Recent)
    Total += Each.Time;
  if (Total < MinLoggedTime)
    return;
  std::ostringstream Parts;
  for (size_t Kind = 0; Kind < Recent.size(); ++Kind)
    Parts << (Kind > 0 ? "," : "") << PlannerWorkNames[Kind].Name << ":"
          << Recent[Kind].Calls << ":" << toMilliseconds(Recent[Kind].Time);
  this->Log("planner-load", {{"shard", this->Service},
                             {"used-ms", toMilliseconds(Total)},
                             {"parts", Parts.str()},
                             {"waiting-jobs", Waiting}});
}

PassMonitor::PassMonitor(ServiceName Service, jobs::DecisionLog Log)
    : Service(std::move(Service)), Log(std::move(Log)) {}

void PassMonitor::update(const std::optional<jobs::OpenPass> &Open,
                         TimePoint Now) {
  if (!Open || Now < Open->BeganAt + MaxPassTime || Now < this->NextLogAt)
    return;
  this->NextLogAt = Now + LogInterval;
  this->Log("pass-slow", {{"shard", this->Service},
                          {"since-ms", toMilliseconds(Now - Open->BeganAt)},
                          {"turns", Open->Turns},
                          {"jobs-left", Open->JobsLeft},
                          {"next", Open->Next ? Open->Next->text() : ""}});
}

OrderMonitor::OrderMonitor(ServiceName Service, jobs::DecisionLog Log)
    : Service(std::move(Service)), Log(std::move(Log)) {}

void OrderMonitor::noteAnswered(TimePoint DecidedAt, TimePoint SentAt,
                                TimePoint Now) {
  ++this->Orders;
  this->LongestUnsent = std::max(this->LongestUnsent, SentAt - DecidedAt);
  this->LongestUnanswered = std::max(this->LongestUnanswered, Now - SentAt);
  if (Now < this->NextLogAt)
    return;
  this->NextLogAt = Now + LogInterval;
  const size_t Counted = std::exchange(this->Orders, 0);
  const Duration Unsent = std::exchange(this->LongestUnsent, Duration::zero());
  const Duration Unanswered =
      std::exchange(this->LongestUnanswered, Duration::zero());
  if (Unsent + Unanswered > MaxOrderTime)
    this->Log("orders-slow", {{"shard", this->Service},
                              {"orders", Counted},
                              {"unsent-ms", toMilliseconds(Unsent)},
                              {"unanswered-ms", toMilliseconds(Unanswered)}});
}

} // namespace whintack::dispatch::Internal
