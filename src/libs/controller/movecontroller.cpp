#include "whintack/controller/movecontroller.h"

#include "orderlog.h"

#include <algorithm>
#include <set>

namespace whintack::controller {

using fleet::RackRecord;
using fleet::VmPhase;
using fleet::VmRecord;
using store::VmInfo;

/// A VM that the platform has not listed for this long counts as replaced, and
/// its record is removed.
static constexpr Duration UnlistedVmRetention = std::chrono::minutes(10);

MoveController::MoveController(store::RecordClient &Records,
                               store::WorkerControl Workers, EpochSource Epoch,
                               Clock Time, Random Source, EventJournal &Journal)
    : Records(Records), Workers(std::move(Workers)), Epoch(std::move(Epoch)),
      Time(std::move(Time)), Source(std::move(Source)), Journal(Journal) {}

uint64_t MoveController::updateRack(const RackName &Rack,
                                    const RackChange &Apply) {
  if (this->Epoch() == 0)
    return 0;
  auto Updated = this->Records.update(
      fleet::rackKey(Rack), OperationId(randomIdentifier(this->Source)),
      [&](const store::Record &Before) -> std::optional<web::json::value> {
        RackRecord Known;
        if (Before.exists())
          Known = fleet::rackFromJson(Before.Body).value_or(RackRecord());
        Known.Rack = Rack;
        if (!Apply(Known))
          return std::nullopt;
        return fleet::toJson(Known);
      });
  const bool IsWritten =
      Updated && Updated.value().Outcome != store::UpdateOutcome::Declined;
  return IsWritten ? Updated.value().After.Version : 0;
}

void MoveController::addNewVms(const FleetSnapshot &Snapshot,
                               const std::vector<VmInfo> &Listed) {
  std::set<VmName> Known;
  for (const RackRecord &Rack : Snapshot.Racks)
    for (const VmRecord &Vm : Rack.Vms)
      Known.insert(Vm.Name);
  std::map<RackName, std::vector<const VmInfo *>> NewByRack;
  for (const VmInfo &Vm : Listed)
    if (Vm.Role == store::VmRole::Worker && Vm.State == store::VmState::Live &&
        !Known.contains(Vm.Name))
      NewByRack[Vm.Rack].push_back(&Vm);
  const WallTime Now = this->Time.WallNow();
  for (const auto &[Rack, Vms] : NewByRack)
    this->updateRack(Rack, [&Vms = Vms, Now](RackRecord &Record) {
      bool HasAdded = false;
      for (const VmInfo *Vm : Vms) {
        Record.DataCentre = Vm->DataCentre;
        if (Record.find(Vm->Name))
          continue;
        VmRecord Added;
        Added.Name = Vm->Name;
        Added.Pool = Vm->Pool;
        Added.PhaseSince = Now;
        Added.MaintainedAt = Now;
        Record.Vms.push_back(std::move(Added));
        HasAdded = true;
      }
      return HasAdded;
    });
}

void MoveController::removeUnlistedVms(const fleet::FleetView &View) {
  const TimePoint Now = this->Time.Now();
  for (const fleet::VmView &Vm : View.Vms) {
    if (Vm.IsListed) {
      this->MissingSince.erase(Vm.Record.Name);
      continue;
    }
    const auto Since = this->MissingSince.emplace(Vm.Record.Name, Now).first;
    if (Since->second + UnlistedVmRetention > Now)
      continue;
    this->updateRack(Vm.Rack, [&Vm](RackRecord &Record) {
      return std::erase_if(Record.Vms, [&Vm](const VmRecord &Candidate) {
               return Candidate == Vm.Record;
             }) > 0;
    });
  }
}

void MoveController::cancelMoves(const fleet::FleetView &View) {
  const std::vector<VmName> Cancelled = fleet::planCancellations(View);
  for (const fleet::VmView &Vm : View.Vms) {
    if (std::find(Cancelled.begin(), Cancelled.end(), Vm.Record.Name) ==
        Cancelled.end())
      continue;
    this->updateRack(Vm.Rack, [&Vm](RackRecord &Record) {
      VmRecord *Found = Record.find(Vm.Record.Name);
      if (!Found || Found->Phase != VmPhase::InService)
        return false;
      Found->NextPool = PoolName();
      return true;
    });
  }
}

void MoveController::orderMove(const fleet::VmMove &Move) {
  const bool IsUnassigned = Move.From.isEmpty();
  const uint64_t Written = this->updateRack(Move.Rack, [&](RackRecord &Record) {
    VmRecord *Found = Record.find(Move.Vm);
    const bool IsMovable = Found && Found->Pool == Move.From &&
                           Found->Phase == VmPhase::InService &&
                           Found->NextPool.isEmpty();
    if (!IsMovable)
      return false;
    if (IsUnassigned)
      Found->Pool = Move.To;
    else
      Found->NextPool = Move.To;
    return true;
  });
  if (Written == 0 || !IsUnassigned)
    return;
  logIfFailed("assign", Move.Vm,
              this->Workers.Assign(Move.Vm, Move.To, Written));
  Event Recorded;
  Recorded.Kind = EventKind::VmMoved;
  Recorded.Vm = Move.Vm;
  Recorded.Text = "to " + Move.To.text();
  this->Journal.record(std::move(Recorded));
}

void MoveController::pass(const FleetSnapshot &Snapshot,
                          const fleet::FleetView &View,
                          const std::vector<VmInfo> &Listed) {
  if (this->Epoch() == 0)
    return;
  this->addNewVms(Snapshot, Listed);
  this->removeUnlistedVms(View);
  this->cancelMoves(View);
  for (const fleet::VmMove &Move : fleet::planMoves(View)) {
    if (this->Epoch() == 0)
      return;
    this->orderMove(Move);
  }
}

} // namespace whintack::controller
