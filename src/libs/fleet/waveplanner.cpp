#include "whintack/fleet/waveplanner.h"

#include "whintack/fleet/budget.h"

#include <algorithm>
#include <set>

namespace whintack::fleet {

static constexpr int64_t WholePercent = 100;
/// A wave starts automatically when the maintenance interval divided by this is
/// left before the first VM falls due.
static constexpr int64_t WaveLeadDivisor = 4;
/// Wait before a reboot order is repeated, in case it was lost.
static constexpr Duration RebootRetryDelay = std::chrono::seconds(2);

WallTime maintenanceDueAt(const PoolView &View, const VmView &Vm) {
  return Vm.Record.MaintainedAt + View.Pool.MaintenanceInterval;
}

static bool isPartOfWave(const WaveRecord &Wave, const VmView &Vm) {
  return Vm.Record.MaintainedAt < Wave.StartedAt;
}

static bool isDisrupted(const VmView &Vm) {
  return Vm.Record.Phase != VmPhase::InService;
}

WaveProgress waveProgress(const PoolView &View) {
  WaveProgress Progress;
  if (!View.Wave)
    return Progress;
  for (const VmView &Vm : View.Vms) {
    if (Vm.Record.Phase == VmPhase::Quarantined)
      ++Progress.Failed;
    else if (isDisrupted(Vm))
      ++Progress.UnderWay;
    else if (isPartOfWave(*View.Wave, Vm))
      ++Progress.Waiting;
    else
      ++Progress.Done;
  }
  return Progress;
}

static bool hasBeenInPhaseFor(const VmView &Vm, Duration Length, WallTime Now) {
  return Vm.Record.PhaseSince + Length <= Now;
}

/// Whether no request or task can be running on a draining VM any more.
static bool isDrained(const VmView &Vm, const WaveLimits &Limits,
                      WallTime Now) {
  if (Vm.Tasks > 0)
    return false;
  if (!Vm.IsListed)
    return true;
  if (Vm.Requests)
    return *Vm.Requests == 0;
  return hasBeenInPhaseFor(Vm, Limits.MaxRequestDuration, Now);
}

/// The next step for a VM in a disruption, or nothing if it must wait.
static std::optional<VmStepKind> nextStep(const PoolView &View,
                                          const VmView &Vm,
                                          const WaveLimits &Limits,
                                          WallTime Now) {
  const bool IsOverdue = hasBeenInPhaseFor(Vm, View.Pool.RebootTimeout, Now);
  switch (Vm.Record.Phase) {
  case VmPhase::InService:
    return std::nullopt;
  case VmPhase::Draining:
    if (isDrained(Vm, Limits, Now))
      return VmStepKind::Reboot;
    return VmStepKind::RepeatDrain;
  case VmPhase::Rebooting:
    if (Vm.IsLive && Vm.Incarnation > Vm.Record.IncarnationBefore)
      return VmStepKind::Verify;
    if (IsOverdue)
      return VmStepKind::Quarantine;
    if (hasBeenInPhaseFor(Vm, RebootRetryDelay, Now))
      return VmStepKind::RepeatReboot;
    return std::nullopt;
  case VmPhase::Verifying:
    if (Vm.IsLive && Vm.IsAnswering && Vm.ReportedPool == Vm.Record.Pool)
      return VmStepKind::Return;
    if (IsOverdue)
      return VmStepKind::Quarantine;
    return std::nullopt;
  case VmPhase::Quarantined:
    // A VM that an operator has repaired is verified like any other.
    if (Vm.IsLive && Vm.IsAnswering && Vm.ReportedPool == Vm.Record.Pool &&
        Vm.Incarnation > Vm.Record.IncarnationBefore)
      return VmStepKind::Return;
    return std::nullopt;
  }
  return std::nullopt;
}

/// Number of further VMs whose disruption the availability budgets allow.
static int64_t budgetRoom(const PoolView &View) {
  auto Room = static_cast<int64_t>(View.Vms.size());
  for (const declaration::Service &Service : View.Services) {
    const auto Record = View.Budgets.find(Service.Name);
    const BudgetStatus Status = budgetStatus(
        View, Service,
        Record == View.Budgets.end() ? BudgetRecord() : Record->second);
    Room = std::min(Room, Status.room());
  }
  return Room;
}

/// Number of further VMs whose disruption the width of the wave allows.
static int64_t waveRoom(const PoolView &View, int64_t Disrupted) {
  const auto Count = static_cast<int64_t>(View.Vms.size());
  const int64_t Width =
      std::max<int64_t>(1, Count * View.Pool.WavePercent / WholePercent);
  return Width - Disrupted;
}

/// Adds the steps for VMs that begin to move. Returns the remaining room in the
/// budgets.
static int64_t beginMoves(const PoolView &View, PoolPlan &Plan) {
  int64_t Room = budgetRoom(View);
  for (const VmView &Vm : View.Vms) {
    if (isDisrupted(Vm) || Vm.Record.NextPool.isEmpty())
      continue;
    // A VM that does not serve needs no room in the budgets.
    if (Room <= 0 && Vm.IsLive)
      continue;
    Plan.Steps.push_back({VmStepKind::BeginMove, Vm.Record.Name});
    if (Vm.IsLive)
      --Room;
  }
  return Room;
}

/// VMs that the wave can maintain next, the longest unmaintained first. VMs
/// with tasks come last, so that long-running tasks can finish in the meantime.
static std::vector<const VmView *> maintenanceCandidates(const PoolView &View) {
  std::vector<const VmView *> Found;
  for (const VmView &Vm : View.Vms)
    if (!isDisrupted(Vm) && Vm.IsLive && Vm.Record.NextPool.isEmpty() &&
        isPartOfWave(*View.Wave, Vm))
      Found.push_back(&Vm);
  std::stable_sort(
      Found.begin(), Found.end(), [](const VmView *Left, const VmView *Right) {
        if ((Left->Tasks == 0) != (Right->Tasks == 0))
          return Left->Tasks == 0;
        return Left->Record.MaintainedAt < Right->Record.MaintainedAt;
      });
  return Found;
}

/// Adds the steps for VMs whose maintenance begins, as far as there is room.
/// Skips racks that have a disrupted or lost VM already, so that the loss of a
/// rack does not count against the pool twice.
static void beginMaintenance(const PoolView &View, int64_t BudgetRoom,
                             PoolPlan &Plan) {
  int64_t Disrupted = 0;
  std::set<RackName> Racks;
  for (const VmView &Vm : View.Vms) {
    const bool IsLost = !isDisrupted(Vm) && !Vm.IsLive;
    if (!isDisrupted(Vm) && !IsLost)
      continue;
    Racks.insert(Vm.Rack);
    if (isDisrupted(Vm))
      ++Disrupted;
  }
  int64_t Room = std::min(BudgetRoom, waveRoom(View, Disrupted));
  for (const VmView *Vm : maintenanceCandidates(View)) {
    if (Room <= 0)
      return;
    if (!Racks.insert(Vm->Rack).second)
      continue;
    Plan.Steps.push_back({VmStepKind::BeginMaintenance, Vm->Record.Name});
    --Room;
  }
}

/// The wave to start automatically if maintenance falls due soon.
static std::optional<WaveRecord>
scheduledWave(const PoolView &View, WallTime Now, const OperationId &NewWave) {
  const Duration LeadTime = View.Pool.MaintenanceInterval / WaveLeadDivisor;
  const bool IsDue =
      std::any_of(View.Vms.begin(), View.Vms.end(),
                  [&View, Now, LeadTime](const VmView &Vm) {
                    return maintenanceDueAt(View, Vm) - LeadTime <= Now;
                  });
  if (!IsDue)
    return std::nullopt;
  WaveRecord Started;
  Started.Pool = View.Pool.Name;
  Started.Id = NewWave;
  Started.State = WaveState::Running;
  Started.StartedAt = Now;
  Started.Reason = "maintenance falls due";
  return Started;
}

/// The new record of the wave if it has finished or must stop.
static std::optional<WaveRecord>
endedWave(const PoolView &View, const WaveLimits &Limits, WallTime Now) {
  const WaveProgress Progress = waveProgress(View);
  WaveRecord Ended = *View.Wave;
  Ended.EndedAt = Now;
  if (Progress.Failed > Limits.MaxFailures) {
    Ended.State = WaveState::Stopped;
    Ended.Reason = std::to_string(Progress.Failed) + " VMs did not come back";
    return Ended;
  }
  if (Progress.Waiting == 0 && Progress.UnderWay == 0) {
    Ended.State = WaveState::Finished;
    Ended.Reason = "";
    return Ended;
  }
  return std::nullopt;
}

PoolPlan planPool(const PoolView &View, const WaveLimits &Limits, WallTime Now,
                  const OperationId &NewWave) {
  PoolPlan Plan;
  for (const VmView &Vm : View.Vms)
    if (const auto Kind = nextStep(View, Vm, Limits, Now))
      Plan.Steps.push_back({*Kind, Vm.Record.Name});
  const int64_t Room = beginMoves(View, Plan);
  const bool HasWave = View.Wave && View.Wave->State == WaveState::Running;
  const bool IsHeldBack = View.Wave && (View.Wave->State == WaveState::Paused ||
                                        View.Wave->State == WaveState::Stopped);
  if (!HasWave) {
    if (View.AllowsWaves && !IsHeldBack)
      Plan.Wave = scheduledWave(View, Now, NewWave);
    return Plan;
  }
  Plan.Wave = endedWave(View, Limits, Now);
  if (!Plan.Wave)
    beginMaintenance(View, Room, Plan);
  return Plan;
}

} // namespace whintack::fleet
