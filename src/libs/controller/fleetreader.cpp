#include "whintack/controller/fleetreader.h"

#include "whintack/base/log.h"
#include "whintack/fleet/budget.h"

#include <algorithm>
#include <unordered_map>

namespace whintack::controller {

using fleet::VmView;
using store::VmInfo;
using store::VmState;

FleetReader::FleetReader(store::RecordClient &Records, Clock Time)
    : Records(Records), Time(std::move(Time)) {}

std::optional<FleetSnapshot> FleetReader::last() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Last;
}

store::StoreResult<FleetSnapshot> FleetReader::read() {
  auto Racks = this->Records.list(fleet::RackPrefix);
  if (!Racks)
    return failure(std::move(Racks).error());
  auto Budgets = this->Records.list(fleet::BudgetPrefix);
  if (!Budgets)
    return failure(std::move(Budgets).error());
  auto Waves = this->Records.list(fleet::WavePrefix);
  if (!Waves)
    return failure(std::move(Waves).error());
  FleetSnapshot Snapshot;
  Snapshot.ReadAt = this->Time.WallNow();
  for (const store::KeyedRecord &Item : Racks.value()) {
    Snapshot.Version = std::max(Snapshot.Version, Item.Stored.Version);
    if (auto Rack = fleet::rackFromJson(Item.Stored.Body))
      Snapshot.Racks.push_back(std::move(*Rack));
  }
  for (const store::KeyedRecord &Item : Budgets.value())
    if (auto Budget = fleet::budgetFromJson(Item.Stored.Body))
      Snapshot.Budgets.emplace(Budget->Service, std::move(*Budget));
  for (const store::KeyedRecord &Item : Waves.value())
    if (auto Wave = fleet::waveFromJson(Item.Stored.Body))
      Snapshot.Waves.emplace(Wave->Pool, std::move(*Wave));
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Last = Snapshot;
  return Snapshot;
}

void FleetReader::refresh() {
  const auto Read = this->read();
  if (!Read)
    logEvent(LogLevel::Info, "fleet-not-read",
             {{"text", Read.error().Message}});
}

static std::unordered_map<VmName, const VmInfo *>
indexByName(const std::vector<VmInfo> &Listed) {
  std::unordered_map<VmName, const VmInfo *> Index;
  for (const VmInfo &Vm : Listed)
    Index.emplace(Vm.Name, &Vm);
  return Index;
}

static VmView vmView(const fleet::VmRecord &Record,
                     const fleet::RackRecord &Rack, const VmInfo *Listed,
                     const VmFactsSource &Facts) {
  VmView View;
  View.Record = Record;
  View.Rack = Rack.Rack;
  View.DataCentre = Rack.DataCentre;
  if (Listed) {
    View.IsLive = Listed->State == VmState::Live;
    View.IsListed = Listed->State != VmState::Gone;
    View.Incarnation = Listed->Incarnation;
    View.ReportedPool = Listed->Pool;
  }
  const VmFacts Known = Facts(Record.Name);
  View.Requests = Known.Requests;
  View.IsAnswering = Known.IsAnswering;
  View.Tasks = Known.Tasks;
  return View;
}

fleet::PoolView poolView(const declaration::Pool &Pool,
                         const FleetSnapshot &Snapshot,
                         const configuration::Configuration &InForce,
                         const std::vector<VmInfo> &Listed,
                         const VmFactsSource &Facts) {
  fleet::PoolView View;
  View.Pool = Pool;
  const auto *Preset = InForce.Declared.preset(InForce.Current.Preset);
  if (Preset) {
    const auto Target = Preset->Vms.find(Pool.Name);
    View.Target = Target == Preset->Vms.end() ? 0 : Target->second;
    View.AllowsWaves = Preset->AllowsWaves;
  }
  const auto Index = indexByName(Listed);
  for (const fleet::RackRecord &Rack : Snapshot.Racks)
    for (const fleet::VmRecord &Vm : Rack.Vms) {
      if (Vm.Pool != Pool.Name)
        continue;
      const auto Found = Index.find(Vm.Name);
      View.Vms.push_back(vmView(
          Vm, Rack, Found == Index.end() ? nullptr : Found->second, Facts));
    }
  for (const auto &[Name, Service] : InForce.Declared.Services) {
    if (Service.HostPool != Pool.Name)
      continue;
    View.Services.push_back(Service);
    const auto Budget = Snapshot.Budgets.find(Name);
    if (Budget != Snapshot.Budgets.end())
      View.Budgets.emplace(Name, Budget->second);
  }
  const auto Wave = Snapshot.Waves.find(Pool.Name);
  if (Wave != Snapshot.Waves.end())
    View.Wave = Wave->second;
  return View;
}

fleet::FleetView fleetView(const declaration::Preset &Preset,
                           const FleetSnapshot &Snapshot,
                           const configuration::Configuration &InForce,
                           const std::vector<VmInfo> &Listed,
                           const VmFactsSource &Facts) {
  fleet::FleetView View;
  View.Targets = Preset.Vms;
  const auto Index = indexByName(Listed);
  for (const fleet::RackRecord &Rack : Snapshot.Racks)
    for (const fleet::VmRecord &Vm : Rack.Vms) {
      const auto Found = Index.find(Vm.Name);
      View.Vms.push_back(vmView(
          Vm, Rack, Found == Index.end() ? nullptr : Found->second, Facts));
    }
  for (const auto &[Name, Pool] : InForce.Declared.Pools) {
    fleet::PoolView CurrentPool =
        poolView(Pool, Snapshot, InForce, Listed, Facts);
    const auto Target = Preset.Vms.find(Name);
    CurrentPool.Target = Target == Preset.Vms.end() ? 0 : Target->second;
    auto Room = static_cast<int64_t>(CurrentPool.Vms.size());
    for (const declaration::Service &Service : CurrentPool.Services)
      Room =
          std::min(Room, fleet::budgetStatus(CurrentPool, Service,
                                             CurrentPool.Budgets[Service.Name])
                             .room());
    View.MoveRoom[Name] = Room;
  }
  return View;
}

} // namespace whintack::controller
