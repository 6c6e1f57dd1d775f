#ifndef WHINTACK_DISPATCH_PLANNERABSENCEMONITOR_H
#define WHINTACK_DISPATCH_PLANNERABSENCEMONITOR_H

#include "whintack/base/identifier.h"
#include "whintack/jobs/planner.h"

#include <map>

namespace whintack::dispatch::Internal {

/// Logs while calls for a service reach no planner: the jobs of the service are
/// accepted, but do not start.
class PlannerAbsenceMonitor {
public:
  explicit PlannerAbsenceMonitor(jobs::DecisionLog Log) : Log(std::move(Log)) {}

  /// A planner of the service has answered.
  void notePresent(const ServiceName &Service);
  /// A call could not be answered. \p Asked is the VM that holds the claim;
  /// empty if there is none, or if it is this one.
  void noteAbsent(const ServiceName &Service, const EntryName &Asked,
                  TimePoint Now);

private:
  struct Absence {
    TimePoint Since;
    /// Number of calls since then.
    size_t Calls = 0;
    TimePoint NextLogAt;
  };

  jobs::DecisionLog Log;
  std::map<ServiceName, Absence> Absences;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_PLANNERABSENCEMONITOR_H
