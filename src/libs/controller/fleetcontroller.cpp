#include "whintack/controller/fleetcontroller.h"

#include "whintack/controller/jobcontroller.h"
#include "whintack/controller/movecontroller.h"
#include "whintack/controller/poolcontroller.h"

#include <algorithm>

namespace whintack::controller {

static constexpr Duration ActiveInterval = std::chrono::milliseconds(200);
/// Interval between passes when nothing is under way. Urgent work must start
/// within a second of being submitted, so this is well below one second.
static constexpr Duration IdleInterval = std::chrono::milliseconds(400);
/// Shard whose holder decides on moves of VMs between pools.
static constexpr const char *MoveShard = "moves";

FleetController::FleetController(store::RecordClient &Records,
                                 store::WorkerControl Workers,
                                 FleetReader &Reader, ShardClaims &Claims,
                                 DrainHooks Drains, FleetControllerHooks Hooks,
                                 Clock Time, Random Source,
                                 EventJournal &Journal)
    : Records(Records), Workers(std::move(Workers)), Reader(Reader),
      Claims(Claims), Drains(std::move(Drains)), Hooks(std::move(Hooks)),
      Time(std::move(Time)), Source(std::move(Source)), Journal(Journal),
      Moves(std::make_unique<MoveController>(
          Records, this->Workers,
          [this] { return this->Claims.epoch(MoveShard); }, this->Time,
          this->Source, Journal)) {}

FleetController::~FleetController() = default;

static const fleet::VmRecord *findRecord(const FleetSnapshot &Snapshot,
                                         const VmName &Vm) {
  for (const fleet::RackRecord &Rack : Snapshot.Racks)
    if (const fleet::VmRecord *Found = Rack.find(Vm))
      return Found;
  return nullptr;
}

VmFacts
FleetController::vmFacts(const VmName &Vm, const FleetSnapshot &Snapshot,
                         const std::vector<store::VmInfo> &Listed) const {
  VmFacts Facts;
  const fleet::VmRecord *Record = findRecord(Snapshot, Vm);
  if (!Record || Record->Phase == fleet::VmPhase::InService)
    return Facts;
  Facts.Requests = this->Drains.Requests(Vm);
  const bool IsProbed = Record->Phase == fleet::VmPhase::Verifying ||
                        Record->Phase == fleet::VmPhase::Quarantined;
  const auto Found = std::find_if(
      Listed.begin(), Listed.end(), [&Vm](const store::VmInfo &Candidate) {
        return Candidate.Name == Vm && Candidate.State == store::VmState::Live;
      });
  if (IsProbed && Found != Listed.end())
    Facts.IsAnswering = this->Hooks.Probe(*Found);
  return Facts;
}

JobController &
FleetController::jobControllerFor(const PoolName &Pool,
                                  const configuration::Configuration &InForce) {
  std::unique_ptr<JobController> &Existing = this->Jobs[Pool];
  if (!Existing)
    Existing = std::make_unique<JobController>(
        Pool, InForce.Declared.FleetItem.Cost, this->Records, this->Workers,
        [this, Pool] { return this->Claims.epoch(Pool.text()); }, this->Time,
        this->Source, this->Journal);
  return *Existing;
}

bool FleetController::controlPools(const FleetSnapshot &Snapshot,
                                   const configuration::Configuration &InForce,
                                   const std::vector<store::VmInfo> &Listed) {
  fleet::WaveLimits Limits;
  Limits.MaxRequestDuration = Duration::zero();
  for (const auto &[Name, Service] : InForce.Declared.Services)
    Limits.MaxRequestDuration =
        std::max(Limits.MaxRequestDuration, Service.MaxDuration);
  bool IsActive = false;
  for (const auto &[Name, Pool] : InForce.Declared.Pools) {
    const std::string Shard = Name.text();
    if (this->Claims.epoch(Shard) == 0)
      continue;
    PoolController Controller(
        this->Records, this->Workers, this->Drains,
        [this, Shard] { return this->Claims.epoch(Shard); }, this->Time,
        this->Source, this->Journal);
    JobController &PoolJobs = this->jobControllerFor(Name, InForce);
    fleet::PoolView View =
        poolView(Pool, Snapshot, InForce, Listed, [&](const VmName &Vm) {
          return this->vmFacts(Vm, Snapshot, Listed);
        });
    IsActive = PoolJobs.pass(View, InForce, Listed) || IsActive;
    for (fleet::VmView &Vm : View.Vms)
      Vm.Tasks = PoolJobs.tasksOn(Vm.Record.Name);
    IsActive = Controller.pass(View, Limits, Snapshot.Version) || IsActive;
  }
  return IsActive;
}

bool FleetController::controlHeldShards() {
  const auto InForce = this->Hooks.InForce();
  if (!InForce)
    return false;
  std::vector<std::string> Wanted = {MoveShard};
  for (const auto &[Name, Pool] : InForce->Declared.Pools)
    Wanted.push_back(Name.text());
  this->Claims.pass(Wanted);
  if (this->Claims.held().empty())
    return false;
  const std::vector<store::VmInfo> Listed = this->Hooks.Listed();
  auto Snapshot = this->Reader.read();
  if (!Snapshot || Listed.empty())
    return false;
  const auto *Preset = InForce->Declared.preset(InForce->Current.Preset);
  if (Preset && this->Claims.epoch(MoveShard) != 0) {
    const auto NoFacts = [](const VmName &) { return VmFacts(); };
    this->Moves->pass(
        Snapshot.value(),
        fleetView(*Preset, Snapshot.value(), *InForce, Listed, NoFacts),
        Listed);
  }
  return this->controlPools(Snapshot.value(), *InForce, Listed);
}

Duration FleetController::pass() {
  return this->controlHeldShards() ? ActiveInterval : IdleInterval;
}

void FleetController::run(const StopSignal &Stop) {
  while (!Stop.isRequested()) {
    const Duration Wait = this->pass();
    Stop.waitFor(Wait);
  }
  this->Claims.releaseAll();
}

} // namespace whintack::controller
