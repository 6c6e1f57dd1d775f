#ifndef WHINTACK_FLEET_WAVEPLANNER_H
#define WHINTACK_FLEET_WAVEPLANNER_H

#include "whintack/fleet/view.h"

#include <string>
#include <vector>

namespace whintack::fleet {

/// Next step for a VM.
enum class VmStepKind {
  /// Take tickets and start to drain, for maintenance.
  BeginMaintenance,
  /// Take tickets and start to drain, for a move to another pool.
  BeginMove,
  /// Announce again that the VM is draining; the earlier message may be lost.
  RepeatDrain,
  /// Reboot the VM; nothing runs on it any more.
  Reboot,
  /// Order the reboot again; the earlier order may be lost.
  RepeatReboot,
  /// Probe the backend server of the VM, which is live again.
  Verify,
  /// Put the VM back into service and release its tickets.
  Return,
  /// Quarantine the VM, which did not return in time.
  Quarantine,
};

inline constexpr EnumNames<VmStepKind, 8> VmStepKindNames = {{
    {VmStepKind::BeginMaintenance, "begin-maintenance"},
    {VmStepKind::BeginMove, "begin-move"},
    {VmStepKind::RepeatDrain, "repeat-drain"},
    {VmStepKind::Reboot, "reboot"},
    {VmStepKind::RepeatReboot, "repeat-reboot"},
    {VmStepKind::Verify, "verify"},
    {VmStepKind::Return, "return"},
    {VmStepKind::Quarantine, "quarantine"},
}};

/// One step for one VM.
struct VmStep {
  VmStepKind Kind = VmStepKind::RepeatDrain;
  VmName Vm;
};

/// The next steps in one pool and the resulting state of its wave.
struct PoolPlan {
  std::vector<VmStep> Steps;
  /// The new record of the wave, if it changes.
  std::optional<WaveRecord> Wave;
};

/// Limits that apply to all pools.
struct WaveLimits {
  /// Number of quarantined VMs that a wave tolerates; with more it stops.
  int64_t MaxFailures = 1;
  /// Longest time that a request may run on a draining VM. After this time no
  /// request can be running, even if an entry VM cannot be asked.
  Duration MaxRequestDuration = std::chrono::seconds(30);
};

/// Plans the next steps in one pool. \p NewWave is the ID for a wave that
/// starts automatically because maintenance falls due.
PoolPlan planPool(const PoolView &View, const WaveLimits &Limits, WallTime Now,
                  const OperationId &NewWave);

/// Time at which the maintenance of \p Vm falls due.
WallTime maintenanceDueAt(const PoolView &View, const VmView &Vm);

/// Number of VMs in each state of a wave, for progress reports.
struct WaveProgress {
  int64_t Done = 0;
  int64_t UnderWay = 0;
  int64_t Waiting = 0;
  int64_t Failed = 0;
};

/// Progress of the wave of \p View; all zero if there is none.
WaveProgress waveProgress(const PoolView &View);

} // namespace whintack::fleet

#endif // WHINTACK_FLEET_WAVEPLANNER_H
