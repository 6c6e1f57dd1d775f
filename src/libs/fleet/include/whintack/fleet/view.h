#ifndef WHINTACK_FLEET_VIEW_H
#define WHINTACK_FLEET_VIEW_H

#include "whintack/declaration/declaration.h"
#include "whintack/fleet/records.h"

#include <map>
#include <optional>
#include <vector>

namespace whintack::fleet {

/// State of one VM at a moment: its record and what is known about it.
struct VmView {
  VmRecord Record;
  RackName Rack;
  DataCentreName DataCentre;
  /// Whether the platform lists it as live; false if its state is unknown.
  bool IsLive = false;
  /// Whether the platform lists it at all.
  bool IsListed = false;
  uint64_t Incarnation = 0;
  /// The pool whose backend server it runs, according to the platform.
  PoolName ReportedPool;
  /// Whether its backend server answered the last probe.
  bool IsAnswering = false;
  /// Number of requests running on it; empty if an entry VM could not be asked.
  std::optional<int64_t> Requests;
  /// Number of tasks running on it.
  int64_t Tasks = 0;
};

/// Whether the VM serves. A VM in an unknown state counts as not serving.
inline bool isServing(const VmView &Vm) {
  return Vm.Record.Phase == VmPhase::InService && Vm.IsLive;
}

/// The VMs of one pool with the budgets of the services on them.
struct PoolView {
  declaration::Pool Pool;
  /// Number of VMs that the pool should have under the preset in force.
  int64_t Target = 0;
  std::vector<VmView> Vms;
  std::vector<declaration::Service> Services;
  std::map<ServiceName, BudgetRecord> Budgets;
  std::optional<WaveRecord> Wave;
  /// Whether the preset in force allows waves to start.
  bool AllowsWaves = false;
};

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_VIEW_H
