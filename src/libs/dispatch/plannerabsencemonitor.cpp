#include "plannerabsencemonitor.h"

namespace whintack::dispatch::Internal {

/// Time after which an absence is logged, and from then on the interval of its
/// log lines. A take-over takes less.
static constexpr Duration LogInterval = std::chrono::seconds(5);

void PlannerAbsenceMonitor::notePresent(const ServiceName &Service) {
  this->Absences.erase(Service);
}

void PlannerAbsenceMonitor::noteAbsent(const ServiceName &Service,
                                       const EntryName &Asked, TimePoint Now) {
  Absence &Known =
      this->Absences.try_emplace(Service, Absence{Now, 0, Now + LogInterval})
          .first->second;
  ++Known.Calls;
  if (Now < Known.NextLogAt)
    return;
  Known.NextLogAt = Now + LogInterval;
  this->Log("planner-absent",
            {{"service", Service},
             {"asked", Asked},
             {"calls", Known.Calls},
             {"since-ms", toMilliseconds(Now - Known.Since)}});
}

} // namespace whintack::dispatch::Internal
