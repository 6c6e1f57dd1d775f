#include "poolfixture.h"
#include "whintack/fleet/waveplanner.h"

#include <catch2/catch.hpp>
#include <set>

using namespace whintack;
using namespace whintack::fleet;

static const WallTime Now = tests::testNow();

static PoolPlan plan(const PoolView &View) {
  return planPool(View, WaveLimits(), Now, OperationId("new"));
}

static size_t count(const PoolPlan &Plan, VmStepKind Kind) {
  size_t Count = 0;
  for (const VmStep &Step : Plan.Steps)
    Count += Step.Kind == Kind ? 1 : 0;
  return Count;
}

TEST_CASE("a wave disrupts no more VMs than the budget allows") {
  PoolView View = tests::makePool(10, 1, 80);
  View.Wave = tests::runningWave();
  REQUIRE(count(plan(View), VmStepKind::BeginMaintenance) == 2);
}

TEST_CASE("a wave is no wider than the pool allows") {
  PoolView View = tests::makePool(10, 1, 0);
  View.Pool.WavePercent = 30;
  View.Wave = tests::runningWave();
  REQUIRE(count(plan(View), VmStepKind::BeginMaintenance) == 3);
}

TEST_CASE("a wave disrupts at most one VM of a rack at a time") {
  PoolView View = tests::makePool(8, 4, 0);
  View.Pool.WavePercent = 100;
  View.Wave = tests::runningWave();
  REQUIRE(count(plan(View), VmStepKind::BeginMaintenance) == 2);
  View.Vms[0].IsLive = false;
  const PoolPlan WithLoss = plan(View);
  REQUIRE(count(WithLoss, VmStepKind::BeginMaintenance) == 1);
  REQUIRE(WithLoss.Steps[0].Vm == VmName("vm4"));
}

TEST_CASE("no VM starts to drain while lost VMs use up the budget") {
  PoolView View = tests::makePool(10, 1, 80);
  View.Wave = tests::runningWave();
  View.Vms[3].IsLive = false;
  View.Vms[4].IsLive = false;
  REQUIRE(count(plan(View), VmStepKind::BeginMaintenance) == 0);
}

TEST_CASE("a draining VM is rebooted only when nothing can run on it") {
  PoolView View = tests::makePool(4, 1, 0);
  VmView &Vm = View.Vms[0];
  Vm.Record.Phase = VmPhase::Draining;
  Vm.Record.PhaseSince = Now - std::chrono::seconds(1);
  Vm.IsLive = false;
  Vm.Requests = 1;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::RepeatDrain);
  Vm.Requests = 0;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::Reboot);
  Vm.Tasks = 1;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::RepeatDrain);
  Vm.Tasks = 0;
  // An entry VM that cannot be asked may have sent a request to the VM.
  Vm.Requests.reset();
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::RepeatDrain);
  Vm.Record.PhaseSince = Now - WaveLimits().MaxRequestDuration;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::Reboot);
}

TEST_CASE("a rebooted VM returns only when it was restarted and answers") {
  PoolView View = tests::makePool(4, 1, 0);
  VmView &Vm = View.Vms[0];
  Vm.Record.Phase = VmPhase::Rebooting;
  Vm.Record.PhaseSince = Now;
  Vm.Record.IncarnationBefore = 1;
  REQUIRE(plan(View).Steps.empty());
  Vm.Record.PhaseSince = Now - std::chrono::seconds(10);
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::RepeatReboot);
  Vm.Incarnation = 2;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::Verify);
  Vm.Record.Phase = VmPhase::Verifying;
  REQUIRE(plan(View).Steps.empty());
  Vm.IsAnswering = true;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::Return);
  Vm.ReportedPool = PoolName("other");
  REQUIRE(plan(View).Steps.empty());
}

TEST_CASE("a VM that does not return is quarantined until it does") {
  PoolView View = tests::makePool(4, 1, 0);
  VmView &Vm = View.Vms[0];
  Vm.Record.Phase = VmPhase::Rebooting;
  Vm.Record.IncarnationBefore = 1;
  Vm.Record.PhaseSince = Now - View.Pool.RebootTimeout;
  Vm.IsLive = false;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::Quarantine);
  Vm.Record.Phase = VmPhase::Quarantined;
  REQUIRE(plan(View).Steps.empty());
  Vm.IsLive = true;
  Vm.Incarnation = 2;
  Vm.IsAnswering = true;
  REQUIRE(plan(View).Steps[0].Kind == VmStepKind::Return);
}

TEST_CASE("a wave stops when too many VMs do not return") {
  PoolView View = tests::makePool(10, 1, 0);
  View.Wave = tests::runningWave();
  View.Vms[0].Record.Phase = VmPhase::Quarantined;
  REQUIRE_FALSE(plan(View).Wave);
  View.Vms[1].Record.Phase = VmPhase::Quarantined;
  const PoolPlan Stopped = plan(View);
  REQUIRE(Stopped.Wave->State == WaveState::Stopped);
  REQUIRE(count(Stopped, VmStepKind::BeginMaintenance) == 0);
}

TEST_CASE("a paused or cancelled wave only completes current disruptions") {
  for (const auto State : {WaveState::Paused, WaveState::Cancelled}) {
    PoolView View = tests::makePool(10, 1, 0);
    View.Wave = tests::runningWave();
    View.Wave->State = State;
    View.Vms[0].Record.Phase = VmPhase::Verifying;
    View.Vms[0].IsAnswering = true;
    const PoolPlan Plan = plan(View);
    REQUIRE(Plan.Steps.size() == 1);
    REQUIRE(Plan.Steps[0].Kind == VmStepKind::Return);
  }
}

TEST_CASE("a wave finishes when every VM was maintained since its start") {
  PoolView View = tests::makePool(3, 1, 0);
  View.Wave = tests::runningWave();
  for (VmView &Vm : View.Vms)
    Vm.Record.MaintainedAt = Now;
  REQUIRE(plan(View).Wave->State == WaveState::Finished);
}

TEST_CASE("a wave starts automatically before the first VM falls due") {
  PoolView View = tests::makePool(3, 1, 0);
  View.AllowsWaves = true;
  REQUIRE_FALSE(plan(View).Wave);
  View.Vms[1].Record.MaintainedAt = Now - std::chrono::hours(24 * 16);
  REQUIRE(plan(View).Wave->State == WaveState::Running);
  View.AllowsWaves = false;
  REQUIRE_FALSE(plan(View).Wave);
  View.AllowsWaves = true;
  View.Wave = tests::runningWave();
  View.Wave->State = WaveState::Stopped;
  REQUIRE_FALSE(plan(View).Wave);
}

TEST_CASE("moves and maintenance share the budget") {
  PoolView View = tests::makePool(10, 1, 80);
  View.Wave = tests::runningWave();
  View.Vms[0].Record.NextPool = PoolName("other");
  const PoolPlan Plan = plan(View);
  REQUIRE(count(Plan, VmStepKind::BeginMove) == 1);
  REQUIRE(count(Plan, VmStepKind::BeginMaintenance) == 1);
}

TEST_CASE("VMs with tasks are maintained after idle ones") {
  PoolView View = tests::makePool(3, 1, 60);
  View.Wave = tests::runningWave();
  View.Vms[0].Tasks = 2;
  View.Vms[1].Tasks = 1;
  const PoolPlan Plan = plan(View);
  REQUIRE(Plan.Steps.size() == 1);
  REQUIRE(Plan.Steps[0].Vm == VmName("vm2"));
}
