#ifndef WHINTACK_STEWARD_POOLSTEWARD_H
#define WHINTACK_STEWARD_POOLSTEWARD_H

#include "whintack/steward/fleetreader.h"

#include "whintack/base/eventjournal.h"
#include "whintack/fleet/budget.h"
#include "whintack/fleet/waveplanner.h"

#include <functional>

namespace whintack::steward {

/// How a steward finds out what still runs on a VM that is leaving.
struct DrainHooks {
  /// Tells all entry VMs that the VM is leaving and asks what they run on it.
  std::function<void(const VmName &Vm, uint64_t Incarnation)> Ask;
  /// Requests on the VM; nothing unless every entry VM has answered lately.
  std::function<std::optional<int64_t>(const VmName &Vm)> Requests;
  /// The VM is no longer draining.
  std::function<void(const VmName &Vm)> Forget;
};

/// Carries out what is planned for one pool: takes tickets, drains, reboots,
/// verifies and returns VMs. Every write names the epoch of the pool's shard
/// and is refused once a later holder has written.
class PoolSteward {
public:
  /// \p Epoch returns the epoch under which the shard is held now; 0 if it is
  /// not held any more.
  using EpochSource = std::function<uint64_t()>;

  PoolSteward(store::RecordClient &Records, store::WorkerControl Workers,
              DrainHooks Drains, EpochSource Epoch, Clock Time, Random Source,
              EventJournal &Journal);

  /// Does what is due in the pool. Returns whether anything is under way.
  bool pass(const fleet::PoolView &View, const fleet::WaveLimits &Limits,
            uint64_t SnapshotVersion);

private:
  using VmChange = std::function<bool(fleet::VmRecord &)>;

  void carryOut(const fleet::PoolView &View, const fleet::VmStep &Step,
                uint64_t SnapshotVersion);
  void begin(const fleet::PoolView &View, const fleet::VmView &Vm, bool IsMove);
  bool takeTickets(const fleet::PoolView &View, const fleet::Ticket &Wanted);
  void releaseTickets(const fleet::PoolView &View, const VmName &Vm,
                      const OperationId &Disruption);
  void releaseEnded(const fleet::PoolView &View);
  void drain(const fleet::VmView &Vm, uint64_t OrderEpoch);
  void reboot(const fleet::VmView &Vm);
  void repeatReboot(const fleet::VmView &Vm, uint64_t OrderEpoch);
  void giveBack(const fleet::PoolView &View, const fleet::VmView &Vm);
  void quarantine(const fleet::VmView &Vm);
  void writeWave(const fleet::PoolView &View, const fleet::WaveRecord &Wave);
  /// Changes one VM's record. Returns the record's new version, or 0.
  uint64_t change(const fleet::VmView &Vm, const VmChange &Apply);
  void note(EventKind Kind, const fleet::VmView &Vm, const std::string &Text);

  store::RecordClient &Records;
  store::WorkerControl Workers;
  DrainHooks Drains;
  EpochSource Epoch;
  Clock Time;
  Random Source;
  EventJournal &Journal;
};

} // namespace whintack::steward

#endif // WHINTACK_STEWARD_POOLSTEWARD_H
