#include "whintack/controller/poolcontroller.h"

#include "orderlog.h"

#include "whintack/base/log.h"

#include <algorithm>

namespace whintack::controller {

using fleet::VmPhase;
using fleet::VmRecord;
using fleet::VmStepKind;
using fleet::VmView;
using store::UpdateOutcome;
using web::json::value;

PoolController::PoolController(store::RecordClient &Records,
                               store::WorkerControl Workers, DrainHooks Drains,
                               EpochSource Epoch, Clock Time, Random Source,
                               EventJournal &Journal)
    : Records(Records), Workers(std::move(Workers)), Drains(std::move(Drains)),
      Epoch(std::move(Epoch)), Time(std::move(Time)), Source(std::move(Source)),
      Journal(Journal) {}

void PoolController::recordEvent(EventKind Kind, const VmView &Vm,
                                 const std::string &Text) {
  Event Recorded;
  Recorded.Kind = Kind;
  Recorded.Vm = Vm.Record.Name;
  Recorded.Text = Text;
  this->Journal.record(std::move(Recorded));
}

uint64_t PoolController::updateVm(const VmView &Vm, const VmChange &Apply) {
  const uint64_t OwnEpoch = this->Epoch();
  if (OwnEpoch == 0)
    return 0;
  const auto UpdateRecord =
      [&](const store::Record &Before) -> std::optional<value> {
    auto Rack = fleet::rackFromJson(Before.Body);
    VmRecord *Changed = Rack ? Rack->find(Vm.Record.Name) : nullptr;
    const bool IsOwned = Changed && Changed->Pool == Vm.Record.Pool &&
                         Changed->Epoch <= OwnEpoch;
    if (!IsOwned)
      return std::nullopt;
    Changed->Epoch = OwnEpoch;
    if (!Apply(*Changed))
      return std::nullopt;
    return fleet::toJson(*Rack);
  };
  auto Updated = this->Records.update(
      fleet::rackKey(Vm.Rack), OperationId(randomIdentifier(this->Source)),
      UpdateRecord);
  if (!Updated || Updated.value().Outcome == UpdateOutcome::Declined)
    return 0;
  return Updated.value().After.Version;
}

bool PoolController::acquireTickets(const fleet::PoolView &View,
                                    const fleet::Ticket &Wanted) {
  for (const declaration::Service &Service : View.Services) {
    auto Updated = this->Records.update(
        fleet::budgetKey(Service.Name),
        OperationId(randomIdentifier(this->Source)),
        [&](const store::Record &Before) -> std::optional<value> {
          fleet::BudgetRecord Known;
          if (Before.exists())
            Known = fleet::budgetFromJson(Before.Body)
                        .value_or(fleet::BudgetRecord());
          const auto Taken = fleet::withTicket(View, Service, Known, Wanted);
          if (!Taken)
            return std::nullopt;
          return fleet::toJson(*Taken);
        });
    if (!Updated || Updated.value().Outcome == UpdateOutcome::Declined) {
      this->releaseTickets(View, Wanted.Vm, Wanted.Disruption);
      return false;
    }
  }
  return true;
}

void PoolController::releaseTickets(const fleet::PoolView &View,
                                    const VmName &Vm,
                                    const OperationId &Disruption) {
  for (const declaration::Service &Service : View.Services) {
    const auto Updated = this->Records.update(
        fleet::budgetKey(Service.Name),
        OperationId(randomIdentifier(this->Source)),
        [&](const store::Record &Before) -> std::optional<value> {
          const auto Known = fleet::budgetFromJson(Before.Body);
          if (!Known || !Known->holds(Vm))
            return std::nullopt;
          return fleet::toJson(fleet::withoutTicket(*Known, Vm, Disruption));
        });
    // A ticket that could not be released is found by releaseEndedTickets() at
    // a later pass.
    if (!Updated)
      logEvent(LogLevel::Warning, "ticket-not-released",
               {{"vm", Vm},
                {"service", Service.Name},
                {"text", Updated.error().Message}});
  }
}

void PoolController::releaseEndedTickets(const fleet::PoolView &View) {
  for (const auto &[Service, Budget] : View.Budgets)
    for (const fleet::Ticket &Ended : fleet::endedTickets(View, Budget)) {
      const auto Vm = std::find_if(View.Vms.begin(), View.Vms.end(),
                                   [&Ended](const VmView &Candidate) {
                                     return Candidate.Record.Name == Ended.Vm;
                                   });
      // Writes this holder's epoch to the VM's record before releasing the
      // ticket of a VM in service, so that an earlier holder of the shard can
      // no longer begin the disruption for which it took the ticket.
      if (Vm != View.Vms.end()) {
        const uint64_t Written = this->updateVm(*Vm, [](VmRecord &Record) {
          return Record.Phase == VmPhase::InService;
        });
        if (Written == 0)
          continue;
      }
      this->releaseTickets(View, Ended.Vm, Ended.Disruption);
    }
}

void PoolController::beginDisruption(const fleet::PoolView &View,
                                     const VmView &Vm, bool IsMove) {
  const WallTime Now = this->Time.WallNow();
  const fleet::Ticket Wanted{Vm.Record.Name,
                             OperationId(randomIdentifier(this->Source)), Now};
  if (!this->acquireTickets(View, Wanted)) {
    this->recordEvent(EventKind::TicketRefused, Vm, "no room in the budget");
    return;
  }
  const uint64_t Written = this->updateVm(Vm, [&](VmRecord &Record) {
    if (Record.Phase != VmPhase::InService ||
        Record.NextPool.isEmpty() == IsMove)
      return false;
    Record.Phase = VmPhase::Draining;
    Record.PhaseSince = Now;
    Record.Disruption = Wanted.Disruption;
    Record.IncarnationBefore = Vm.Incarnation;
    return true;
  });
  if (Written == 0) {
    this->releaseTickets(View, Wanted.Vm, Wanted.Disruption);
    return;
  }
  this->recordEvent(EventKind::VmDraining, Vm,
                    IsMove ? "to pool " + Vm.Record.NextPool.text()
                           : "maintenance");
  this->drain(Vm, Written);
}

void PoolController::drain(const VmView &Vm, uint64_t OrderEpoch) {
  this->Drains.RequestReport(Vm.Record.Name, Vm.Incarnation);
  if (Vm.IsLive)
    logIfFailed("drain", Vm.Record.Name,
                this->Workers.Drain(Vm.Record.Name, OrderEpoch));
}

void PoolController::reboot(const VmView &Vm) {
  const WallTime Now = this->Time.WallNow();
  const PoolName Next = Vm.Record.NextPool;
  const uint64_t Incarnation =
      Vm.Incarnation == 0 ? Vm.Record.IncarnationBefore : Vm.Incarnation;
  const uint64_t Written = this->updateVm(Vm, [&](VmRecord &Record) {
    if (Record.Phase != VmPhase::Draining)
      return false;
    Record.Phase = VmPhase::Rebooting;
    Record.PhaseSince = Now;
    Record.IncarnationBefore = Incarnation;
    if (Next.isEmpty())
      return true;
    Record.Pool = Next;
    Record.NextPool = PoolName();
    // Epochs are counted for each shard separately, so the new pool's shard
    // starts afresh.
    Record.Epoch = 0;
    return true;
  });
  if (Written == 0)
    return;
  this->Drains.StopTracking(Vm.Record.Name);
  this->recordEvent(EventKind::VmRebooting, Vm,
                    Next.isEmpty() ? "" : "to pool " + Next.text());
  if (!Next.isEmpty()) {
    this->recordEvent(EventKind::VmMoved, Vm,
                      Vm.Record.Pool.text() + " to " + Next.text());
    logIfFailed("assign", Vm.Record.Name,
                this->Workers.Assign(Vm.Record.Name, Next, Written));
  }
  logIfFailed("reboot", Vm.Record.Name,
              this->Workers.Reboot(Vm.Record.Name, Incarnation, Written));
}

void PoolController::repeatReboot(const VmView &Vm, uint64_t OrderEpoch) {
  logIfFailed("assign", Vm.Record.Name,
              this->Workers.Assign(Vm.Record.Name, Vm.Record.Pool, OrderEpoch));
  logIfFailed("reboot", Vm.Record.Name,
              this->Workers.Reboot(Vm.Record.Name, Vm.Record.IncarnationBefore,
                                   OrderEpoch));
}

void PoolController::returnToService(const fleet::PoolView &View,
                                     const VmView &Vm) {
  const WallTime Now = this->Time.WallNow();
  const uint64_t Written = this->updateVm(Vm, [Now](VmRecord &Record) {
    if (Record.Phase != VmPhase::Verifying &&
        Record.Phase != VmPhase::Quarantined)
      return false;
    Record.Phase = VmPhase::InService;
    Record.PhaseSince = Now;
    Record.MaintainedAt = Now;
    Record.Disruption = OperationId();
    return true;
  });
  if (Written == 0)
    return;
  this->releaseTickets(View, Vm.Record.Name, Vm.Record.Disruption);
  this->recordEvent(EventKind::VmReturned, Vm, "");
}

void PoolController::quarantine(const VmView &Vm) {
  const WallTime Now = this->Time.WallNow();
  const uint64_t Written = this->updateVm(Vm, [Now](VmRecord &Record) {
    Record.Phase = VmPhase::Quarantined;
    Record.PhaseSince = Now;
    return true;
  });
  if (Written != 0)
    this->recordEvent(EventKind::VmQuarantined, Vm,
                      "did not come back in time");
}

void PoolController::executeStep(const fleet::PoolView &View,
                                 const fleet::VmStep &Step,
                                 uint64_t SnapshotVersion) {
  const auto Vm = std::find_if(View.Vms.begin(), View.Vms.end(),
                               [&Step](const VmView &Candidate) {
                                 return Candidate.Record.Name == Step.Vm;
                               });
  switch (Step.Kind) {
  case VmStepKind::BeginMaintenance:
    this->beginDisruption(View, *Vm, false);
    return;
  case VmStepKind::BeginMove:
    this->beginDisruption(View, *Vm, true);
    return;
  case VmStepKind::RepeatDrain:
    this->drain(*Vm, SnapshotVersion);
    return;
  case VmStepKind::Reboot:
    this->reboot(*Vm);
    return;
  case VmStepKind::RepeatReboot:
    this->repeatReboot(*Vm, SnapshotVersion);
    return;
  case VmStepKind::Verify:
    this->updateVm(*Vm, [this](VmRecord &Record) {
      Record.Phase = VmPhase::Verifying;
      Record.PhaseSince = this->Time.WallNow();
      return true;
    });
    return;
  case VmStepKind::Return:
    this->returnToService(View, *Vm);
    return;
  case VmStepKind::Quarantine:
    this->quarantine(*Vm);
    return;
  }
}

void PoolController::writeWave(const fleet::PoolView &View,
                               const fleet::WaveRecord &Wave) {
  auto Updated = this->Records.update(
      fleet::waveKey(View.Pool.Name),
      OperationId(randomIdentifier(this->Source)),
      [&](const store::Record &Before) -> std::optional<value> {
        const auto Known = fleet::waveFromJson(Before.Body);
        const auto &Expected = View.Wave;
        const bool HasChanged = Known.has_value() != Expected.has_value() ||
                                (Known && (Known->Id != Expected->Id ||
                                           Known->State != Expected->State));
        if (HasChanged)
          return std::nullopt;
        return fleet::toJson(Wave);
      });
  if (!Updated || Updated.value().Outcome == UpdateOutcome::Declined)
    return;
  Event Recorded;
  Recorded.Kind = EventKind::WaveFinished;
  if (Wave.State == fleet::WaveState::Running)
    Recorded.Kind = EventKind::WaveStarted;
  else if (Wave.State == fleet::WaveState::Stopped)
    Recorded.Kind = EventKind::WaveStopped;
  Recorded.Text = "pool=" + View.Pool.Name.text() + " " + Wave.Reason;
  this->Journal.record(std::move(Recorded));
}

bool PoolController::pass(const fleet::PoolView &View,
                          const fleet::WaveLimits &Limits,
                          uint64_t SnapshotVersion) {
  if (this->Epoch() == 0)
    return false;
  this->releaseEndedTickets(View);
  const OperationId NewWave(randomIdentifier(this->Source));
  const fleet::PoolPlan Plan =
      fleet::planPool(View, Limits, this->Time.WallNow(), NewWave);
  if (Plan.Wave)
    this->writeWave(View, *Plan.Wave);
  for (const fleet::VmStep &Step : Plan.Steps) {
    if (this->Epoch() == 0)
      return false;
    this->executeStep(View, Step, SnapshotVersion);
  }
  const bool HasWave =
      View.Wave && View.Wave->State == fleet::WaveState::Running;
  return !Plan.Steps.empty() || Plan.Wave || HasWave;
}

} // namespace whintack::controller
