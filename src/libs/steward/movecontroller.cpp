#include "whintack/steward/movesteward.h"

#include "orderlog.h"

#include <algorithm>
#include <set>

namespace whintack::steward {

using fleet::RackRecord;
using fleet::VmPhase;
using fleet::VmRecord;
using store::VmInfo;

/// A VM not listed for this long has been replaced.
static constexpr Duration ForgetAfter = std::chrono::minutes(10);

MoveSteward::MoveSteward(store::RecordClient &Records,
                         store::WorkerControl Workers, EpochSource Epoch,
                         Clock Time, Random Source, EventJournal &Journal)
    : Records(Records), Workers(std::move(Workers)), Epoch(std::move(Epoch)),
      Time(std::move(Time)), Source(std::move(Source)), Journal(Journal) {}

uint64_t MoveSteward::change(const RackName &Rack, const RackChange &Apply) {
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

void MoveSteward::addNew(const FleetSnapshot &Snapshot,
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
    this->change(Rack, [&Vms = Vms, Now](RackRecord &Record) {
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

void MoveSteward::forgetGone(const fleet::FleetView &View) {
  const TimePoint Now = this->Time.Now();
  for (const fleet::VmView &Vm : View.Vms) {
    if (Vm.IsListed) {
      this->MissingSince.erase(Vm.Record.Name);
      continue;
    }
    const auto Since = this->MissingSince.emplace(Vm.Record.Name, Now).first;
    if (Since->second + ForgetAfter > Now)
      continue;
    this->change(Vm.Rack, [&Vm](RackRecord &Record) {
      return std::erase_if(Record.Vms, [&Vm](const VmRecord &Candidate) {
               return Candidate == Vm.Record;
             }) > 0;
    });
  }
}

void MoveSteward::cancelMoves(const fleet::FleetView &View) {
  const std::vector<VmName> Cancelled = fleet::planCancellations(View);
  for (const fleet::VmView &Vm : View.Vms) {
    if (std::find(Cancelled.begin(), Cancelled.end(), Vm.Record.Name) ==
        Cancelled.end())
      continue;
    this->change(Vm.Rack, [&Vm](RackRecord &Record) {
      VmRecord *Found = Record.find(Vm.Record.Name);
      if (!Found || Found->Phase != VmPhase::InService)
        return false;
      Found->NextPool = PoolName();
      return true;
    });
  }
}

void MoveSteward::orderMove(const fleet::VmMove &Move) {
  const bool IsUnassigned = Move.From.isEmpty();
  const uint64_t Written = this->change(Move.Rack, [&](RackRecord &Record) {
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
  Event Noted;
  Noted.Kind = EventKind::VmMoved;
  Noted.Vm = Move.Vm;
  Noted.Text = "to " + Move.To.text();
  this->Journal.record(std::move(Noted));
}

void MoveSteward::pass(const FleetSnapshot &Snapshot,
                       const fleet::FleetView &View,
                       const std::vector<VmInfo> &Listed) {
  if (this->Epoch() == 0)
    return;
  this->addNew(Snapshot, Listed);
  this->forgetGone(View);
  this->cancelMoves(View);
  for (const fleet::VmMove &Move : fleet::planMoves(View)) {
    if (this->Epoch() == 0)
      return;
    this->orderMove(Move);
  }
}

} // namespace whintack::steward
