#ifndef WHINTACK_TESTS_POOLFIXTURE_H
#define WHINTACK_TESTS_POOLFIXTURE_H

#include "whintack/fleet/view.h"

namespace whintack::tests {

/// Current time in the tests.
inline WallTime testNow() {
  return WallTime(std::chrono::hours(24 * 365 * 50));
}

/// A pool of live VMs with \p PerRack VMs in each rack and one service. The VMs
/// were last maintained ten days before testNow().
inline fleet::PoolView makePool(int64_t Vms, int64_t PerRack,
                                int64_t BudgetPercent) {
  fleet::PoolView View;
  View.Pool.Name = PoolName("shop");
  View.Pool.WavePercent = 50;
  View.Target = Vms;
  declaration::Service Service;
  Service.Name = ServiceName("shop");
  Service.HostPool = View.Pool.Name;
  Service.BudgetPercent = BudgetPercent;
  View.Services = {Service};
  for (int64_t Number = 0; Number < Vms; ++Number) {
    fleet::VmView Vm;
    Vm.Record.Name = VmName("vm" + std::to_string(Number));
    Vm.Record.Pool = View.Pool.Name;
    Vm.Record.MaintainedAt = testNow() - std::chrono::hours(24 * 10);
    Vm.Rack = RackName("rack" + std::to_string(Number / PerRack));
    Vm.IsLive = true;
    Vm.IsListed = true;
    Vm.Incarnation = 1;
    Vm.ReportedPool = View.Pool.Name;
    View.Vms.push_back(Vm);
  }
  return View;
}

/// A wave that started one minute before testNow().
inline fleet::WaveRecord runningWave() {
  fleet::WaveRecord Wave;
  Wave.Pool = PoolName("shop");
  Wave.Id = OperationId("w");
  Wave.State = fleet::WaveState::Running;
  Wave.StartedAt = testNow() - std::chrono::minutes(1);
  return Wave;
}

} // namespace whintack::tests

#endif // WHINTACK_TESTS_POOLFIXTURE_H
