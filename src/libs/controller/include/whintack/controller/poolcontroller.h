#ifndef WHINTACK_CONTROLLER_POOLCONTROLLER_H
#define WHINTACK_CONTROLLER_POOLCONTROLLER_H

#include "whintack/controller/fleetreader.h"

#include "whintack/base/eventjournal.h"
#include "whintack/fleet/budget.h"
#include "whintack/fleet/waveplanner.h"

#include <functional>

namespace whintack::controller {

/// Access to the state of the requests on a VM that is being drained.
struct DrainHooks {
  /// Tells all entry VMs that the VM is being drained and asks them which
  /// requests they run on it.
  std::function<void(const VmName &Vm, uint64_t Incarnation)> RequestReport;
  /// Number of requests on the VM; empty unless every entry VM has answered
  /// recently.
  std::function<std::optional<int64_t>(const VmName &Vm)> Requests;
  /// Ends the tracking of a VM that is no longer draining.
  std::function<void(const VmName &Vm)> StopTracking;
};

/// Carries out the planned steps for one pool: acquires tickets from the
/// disruption budgets, and drains, reboots, verifies and returns VMs. Every
/// write to a VM's record carries the epoch of the pool's shard and is refused
/// once a later holder has written.
class PoolController {
public:
  /// Returns the epoch under which this process holds the shard; 0 if it no
  /// longer holds it.
  using EpochSource = std::function<uint64_t()>;

  PoolController(store::RecordClient &Records, store::WorkerControl Workers,
                 DrainHooks Drains, EpochSource Epoch, Clock Time,
                 Random Source, EventJournal &Journal);

  /// Performs all actions that are due in the pool. Returns whether steps were
  /// planned or a wave is running.
  bool pass(const fleet::PoolView &View, const fleet::WaveLimits &Limits,
            uint64_t SnapshotVersion);

private:
  using VmChange = std::function<bool(fleet::VmRecord &)>;

  void executeStep(const fleet::PoolView &View, const fleet::VmStep &Step,
                   uint64_t SnapshotVersion);
  void beginDisruption(const fleet::PoolView &View, const fleet::VmView &Vm,
                       bool IsMove);
  bool acquireTickets(const fleet::PoolView &View, const fleet::Ticket &Wanted);
  void releaseTickets(const fleet::PoolView &View, const VmName &Vm,
                      const OperationId &Disruption);
  void releaseEndedTickets(const fleet::PoolView &View);
  void drain(const fleet::VmView &Vm, uint64_t OrderEpoch);
  void reboot(const fleet::VmView &Vm);
  void repeatReboot(const fleet::VmView &Vm, uint64_t OrderEpoch);
  void returnToService(const fleet::PoolView &View, const fleet::VmView &Vm);
  void quarantine(const fleet::VmView &Vm);
  void writeWave(const fleet::PoolView &View, const fleet::WaveRecord &Wave);
  /// Applies a change to one VM in the stored rack record. Returns the new
  /// version of that record, or 0 if nothing was written.
  uint64_t updateVm(const fleet::VmView &Vm, const VmChange &Apply);
  void recordEvent(EventKind Kind, const fleet::VmView &Vm,
                   const std::string &Text);

  store::RecordClient &Records;
  store::WorkerControl Workers;
  DrainHooks Drains;
  EpochSource Epoch;
  Clock Time;
  Random Source;
  EventJournal &Journal;
};

} // namespace whintack::controller

#endif // WHINTACK_CONTROLLER_POOLCONTROLLER_H
