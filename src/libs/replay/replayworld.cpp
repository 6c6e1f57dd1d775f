#include "whintack/replay/replayworld.h"

#include "whintack/configuration/changeclient.h"
#include "whintack/fleet/budget.h"
#include "whintack/fleet/runrecord.h"
#include "whintack/standin/memoryplatform.h"
#include "whintack/standin/vmmachines.h"
#include "whintack/steward/steward.h"

#include <algorithm>
#include <map>
#include <set>

namespace whintack::replay {

using store::VmInfo;
using store::VmState;

namespace {

constexpr int64_t CallsPerSecond = 1000000;
constexpr size_t JournalCapacity = 100000;
constexpr const char *OperatorNames[] = {"ada", "ben"};

/// Time that moves only when the replay moves it.
class ReplayClock {
public:
  Clock clock() {
    return {[this] { return this->Now; },
            [this] {
              constexpr Duration SomeDate = std::chrono::hours(24 * 365 * 56);
              return WallTime(SomeDate + this->Now.time_since_epoch());
            }};
  }

  TimePoint Now{std::chrono::hours(1)};
};

/// The control work of one entry VM.
struct Holder {
  EntryName Name;
  bool IsStopped = false;
  TimePoint NextPass;
  std::unique_ptr<store::RecordClient> Records;
  std::unique_ptr<configuration::ChangeClient> Changes;
  configuration::ConfigurationKeeper Keeper;
  std::unique_ptr<steward::FleetReader> Reader;
  std::unique_ptr<steward::ShardClaims> Claims;
  std::unique_ptr<steward::Steward> Control;
};

/// Everything that a replay moves.
class World {
public:
  explicit World(const Trace &Recorded);

  ReplayReport run();

private:
  void addHolder(const std::string &Name, uint64_t Seed);
  store::KeyValueStore storeFor(Holder &Owner);
  store::WorkerControl watchedWorkers();
  steward::DrainHooks drainHooks();
  steward::StewardHooks stewardHooks(Holder &Owner);
  void schedule(TimePoint Deadline, std::function<void()> Call);
  void runUntil(TimePoint End);
  TimePoint nextMoment(TimePoint End) const;
  void passHolders();
  void applyDeclaration();
  void apply(const TraceEvent &Event);
  void confirm(const std::string &Preset, size_t Operator, uint64_t Seen);
  void changeWave(const TraceEvent &Event, fleet::WaveState State);
  void submit(const std::string &Job);
  void cancel(const std::string &Job);
  void loseRack(const std::string &Rack, bool IsLost);
  void checkDrain(const VmName &Vm);
  void checkMoment();
  void breakOutcome(const std::string &Outcome, const std::string &By);
  std::string timeText() const;
  int64_t required(const PoolName &Pool) const;
  std::string presetInForce();
  void judge(ReplayReport &Report);
  void judgePools(ReplayReport &Report);
  void judgeWaves(ReplayReport &Report);
  void judgeTasks(ReplayReport &Report);
  void addVerdict(ReplayReport &Report, const std::string &Outcome, bool Holds,
                  const std::string &Found);
  ReplayMeasures measures() const;

  const Trace &Recorded;
  ReplayClock Time;
  Random Source = seededRandom(5);
  HybridClock Stamps;
  EventJournal Journal;
  standin::MemoryPlatform Store;
  std::multimap<TimePoint, std::function<void()>> Later;
  standin::VmMachines Machines;
  store::RecordClient Operators;
  configuration::ChangeClient OperatorChanges;
  std::vector<std::unique_ptr<Holder>> Holders;
  std::map<VmName, TimePoint> DrainAskedAt;
  std::set<VmName> LostUnplanned;
  std::map<TaskId, uint64_t> TaskStarts;
  std::map<std::string, std::string> Broken;
  std::string CurrentPreset;
  std::string FreezeName;
  Duration FreezeLength = Duration::zero();
  std::vector<std::string> Runs;
  std::map<std::string, std::string> RunJobs;
  TimePoint StartedAt;
  TimePoint FirstChange = TimePoint::max();
  TimePoint LastBusy = TimePoint::min();
  double BufferSum = 0;
  Duration Observed = Duration::zero();
  int64_t TaskMoves = 0;
};

} // namespace

static standin::VmBehaviour behaviourOf(const RecordedTimes &Times) {
  standin::VmBehaviour Behaviour;
  Behaviour.RebootTime = Times.Reboot;
  Behaviour.ListLag = Times.ListLag;
  Behaviour.TaskTime = Times.Task;
  return Behaviour;
}

World::World(const Trace &Recorded)
    : Recorded(Recorded), Stamps(Time.clock().WallNow),
      Journal(EntryName("replay"), Stamps, JournalCapacity),
      Store(Time.clock()),
      Machines(Recorded.Vms, behaviourOf(Recorded.Times), standin::VmHooks(),
               Time.clock(),
               [this](TimePoint Deadline, std::function<void()> Call) {
                 this->schedule(Deadline, std::move(Call));
               }),
      Operators(Store.store(), CallsPerSecond, Time.clock(), Source),
      OperatorChanges(Operators, Time.clock()),
      CurrentPreset(Recorded.FirstPreset), StartedAt(Time.Now) {
  this->addHolder("e1", 1);
  this->addHolder("e2", 2);
}

void World::schedule(TimePoint Deadline, std::function<void()> Call) {
  this->Later.emplace(Deadline, std::move(Call));
}

store::KeyValueStore World::storeFor(Holder &Owner) {
  store::KeyValueStore Hooked = this->Store.store();
  const auto Put = Hooked.Put;
  Hooked.Put = [this, &Owner, Put](const store::ConditionalPut &Given) {
    if (this->FreezeName == Owner.Name.text()) {
      // The holder stands still between deciding and writing; the rest of the
      // world goes on.
      this->FreezeName.clear();
      Owner.IsStopped = true;
      this->runUntil(this->Time.Now + this->FreezeLength);
      Owner.IsStopped = false;
    }
    return Put(Given);
  };
  return Hooked;
}

store::WorkerControl World::watchedWorkers() {
  store::WorkerControl Watched = this->Machines.workers();
  const auto Drain = Watched.Drain;
  Watched.Drain = [this, Drain](const VmName &Vm, uint64_t Epoch) {
    const uint64_t Before = this->Machines.counts().Drains;
    auto Done = Drain(Vm, Epoch);
    if (this->Machines.counts().Drains > Before)
      this->checkDrain(Vm);
    return Done;
  };
  const auto Start = Watched.StartTask;
  Watched.StartTask = [this, Start](const store::TaskStart &Given) {
    const uint64_t Before = this->Machines.counts().TaskStarts;
    auto Done = Start(Given);
    if (this->Machines.counts().TaskStarts == Before)
      return Done;
    if (Given.ResumesCheckpoint)
      ++this->TaskMoves;
    else if (++this->TaskStarts[Given.Task] > 1)
      this->breakOutcome("no-task-starts-twice",
                         "task " + Given.Task.text() + " was started again");
    return Done;
  };
  return Watched;
}

steward::DrainHooks World::drainHooks() {
  steward::DrainHooks Hooks;
  Hooks.Ask = [this](const VmName &Vm, uint64_t) {
    this->DrainAskedAt.emplace(Vm, this->Time.Now);
  };
  Hooks.Requests = [this](const VmName &Vm) -> std::optional<int64_t> {
    const auto Asked = this->DrainAskedAt.find(Vm);
    if (Asked == this->DrainAskedAt.end())
      return std::nullopt;
    const bool HasEnded =
        Asked->second + this->Recorded.Times.Drain <= this->Time.Now;
    return HasEnded ? 0 : 1;
  };
  Hooks.Forget = [this](const VmName &Vm) { this->DrainAskedAt.erase(Vm); };
  return Hooks;
}

steward::StewardHooks World::stewardHooks(Holder &Owner) {
  steward::StewardHooks Hooks;
  Hooks.InForce = [&Owner] { return Owner.Keeper.current(); };
  Hooks.Listed = [this] { return this->Machines.directory().List().value(); };
  Hooks.Probe = [this](const VmInfo &Vm) {
    for (const VmInfo &Known : this->Machines.now())
      if (Known.Name == Vm.Name)
        return Known.State == VmState::Live;
    return false;
  };
  return Hooks;
}

void World::addHolder(const std::string &Name, uint64_t Seed) {
  auto Added = std::make_unique<Holder>();
  Holder &Owner = *Added;
  Owner.Name = EntryName(Name);
  Owner.NextPass = this->Time.Now;
  Owner.Records = std::make_unique<store::RecordClient>(
      this->storeFor(Owner), CallsPerSecond, this->Time.clock(),
      seededRandom(Seed));
  Owner.Changes = std::make_unique<configuration::ChangeClient>(
      *Owner.Records, this->Time.clock());
  Owner.Reader = std::make_unique<steward::FleetReader>(*Owner.Records,
                                                        this->Time.clock());
  Owner.Claims = std::make_unique<steward::ShardClaims>(
      Owner.Name, Seed, *Owner.Records,
      [this] {
        std::vector<EntryName> Working;
        for (const auto &Each : this->Holders)
          if (!Each->IsStopped)
            Working.push_back(Each->Name);
        return Working;
      },
      this->Time.clock(), seededRandom(Seed + 10), this->Journal);
  Owner.Control = std::make_unique<steward::Steward>(
      *Owner.Records, this->watchedWorkers(), *Owner.Reader, *Owner.Claims,
      this->drainHooks(), this->stewardHooks(Owner), this->Time.clock(),
      seededRandom(Seed + 20), this->Journal);
  this->Holders.push_back(std::move(Added));
}

std::string World::timeText() const {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
                           this->Time.Now - this->StartedAt)
                           .count();
  return std::to_string(Seconds) + " s";
}

void World::breakOutcome(const std::string &Outcome, const std::string &By) {
  this->Broken.emplace(Outcome, "at " + this->timeText() + ": " + By);
}

int64_t World::required(const PoolName &Pool) const {
  const auto *Preset =
      this->Recorded.Declared.preset(PresetName(this->CurrentPreset));
  for (const auto &[Name, Service] : this->Recorded.Declared.Services)
    if (Service.CarriedBy == Pool && Preset)
      return fleet::requiredExecutors(Service, Preset->Vms.at(Pool));
  return 0;
}

/// Checks a drain that begins against what the platform's list shows: it must
/// leave enough live VMs in the pool.
void World::checkDrain(const VmName &Vm) {
  const std::vector<VmInfo> Listed = this->Machines.directory().List().value();
  const std::vector<VmInfo> True = this->Machines.now();
  PoolName Pool;
  for (const VmInfo &Known : True)
    if (Known.Name == Vm)
      Pool = Known.Pool;
  int64_t Live = 0;
  for (const VmInfo &Known : True) {
    const auto Shown = std::find_if(
        Listed.begin(), Listed.end(),
        [&Known](const VmInfo &Each) { return Each.Name == Known.Name; });
    const bool IsShownLive =
        Shown != Listed.end() && Shown->State == VmState::Live;
    if (Known.Pool == Pool && Known.State != VmState::Leaving && IsShownLive)
      ++Live;
  }
  if (Live < this->required(Pool))
    this->breakOutcome("budgets-hold",
                       "draining " + Vm.text() + " leaves " +
                           std::to_string(Live) + " of " +
                           std::to_string(this->required(Pool)) +
                           " VMs in pool " + Pool.text());
}

/// Checks that planned disruptions alone never break a budget. A pool that a
/// new preset enlarges has fewer VMs than are required until others arrive;
/// that alone breaks nothing, but no VM of it may be out then.
void World::checkMoment() {
  std::map<PoolName, int64_t> Up;
  std::map<PoolName, int64_t> Out;
  for (const VmInfo &Vm : this->Machines.now()) {
    const bool IsLost = this->LostUnplanned.contains(Vm.Name);
    ++(Vm.State == VmState::Live || IsLost ? Up : Out)[Vm.Pool];
  }
  if (this->FirstChange == TimePoint::max())
    return;
  for (const auto &[Name, Pool] : this->Recorded.Declared.Pools) {
    if (Out[Name] > 0)
      this->LastBusy = this->Time.Now;
    if (Out[Name] > 0 && Up[Name] < this->required(Name))
      this->breakOutcome("budgets-hold",
                         "pool " + Name.text() + " has " +
                             std::to_string(Up[Name]) + " of " +
                             std::to_string(this->required(Name)) +
                             " VMs and " + std::to_string(Out[Name]) + " out");
  }
}

void World::passHolders() {
  for (const auto &Each : this->Holders) {
    if (Each->IsStopped || Each->NextPass > this->Time.Now)
      continue;
    auto Head = Each->Changes->readHead();
    if (Head && Head.value().Revision > Each->Keeper.revision())
      Each->Keeper.adopt(Head.value(), {Each->Changes->contentSource()});
    const Duration Wait = Each->Control->pass();
    // Recorded times are long; looking less often shortens the replay. The
    // lease of the shards allows no longer wait than this.
    constexpr Duration IdleWait = std::chrono::seconds(4);
    constexpr Duration ActiveWait = std::chrono::seconds(2);
    constexpr Duration LongestActive = std::chrono::milliseconds(300);
    Each->NextPass =
        this->Time.Now + (Wait > LongestActive ? IdleWait : ActiveWait);
  }
}

TimePoint World::nextMoment(TimePoint End) const {
  TimePoint Next = End;
  if (!this->Later.empty())
    Next = std::min(Next, this->Later.begin()->first);
  for (const auto &Each : this->Holders)
    if (!Each->IsStopped)
      Next = std::min(Next, Each->NextPass);
  return std::max(Next, this->Time.Now);
}

void World::runUntil(TimePoint End) {
  while (this->Time.Now < End) {
    const TimePoint Next = this->nextMoment(End);
    const Duration Passed = Next - this->Time.Now;
    int64_t Wanted = 0;
    const auto *Preset =
        this->Recorded.Declared.preset(PresetName(this->CurrentPreset));
    for (const auto &[Pool, Count] : Preset->Vms)
      Wanted += Count;
    const auto Spare = static_cast<double>(this->Recorded.Vms.size()) -
                       static_cast<double>(Wanted);
    this->BufferSum += Spare * static_cast<double>(Passed.count());
    this->Observed += Passed;
    this->Time.Now = Next;
    while (!this->Later.empty() &&
           this->Later.begin()->first <= this->Time.Now) {
      const auto Call = std::move(this->Later.begin()->second);
      this->Later.erase(this->Later.begin());
      Call();
    }
    this->passHolders();
    this->checkMoment();
  }
}

void World::applyDeclaration() {
  this->OperatorChanges.apply(declaration::toItems(this->Recorded.Declared),
                              PresetName(this->Recorded.FirstPreset),
                              {OperatorName("ada"), 0, OperationId("first")});
}

void World::confirm(const std::string &Preset, size_t Operator, uint64_t Seen) {
  const configuration::ChangeReport Report =
      this->OperatorChanges.confirmPreset(
          PresetName(Preset), {OperatorName(OperatorNames[Operator]), Seen,
                               OperationId(randomIdentifier(this->Source))});
  if (Report.Outcome == configuration::ChangeOutcome::Accepted)
    this->CurrentPreset = Preset;
}

void World::changeWave(const TraceEvent &Event, fleet::WaveState State) {
  auto Changed = this->Operators.update(
      fleet::waveKey(PoolName(Event.Subject)),
      OperationId(randomIdentifier(this->Source)),
      [&](const store::Record &Before) -> std::optional<web::json::value> {
        fleet::WaveRecord Wave =
            fleet::waveFromJson(Before.Body).value_or(fleet::WaveRecord());
        Wave.Pool = PoolName(Event.Subject);
        Wave.State = State;
        if (Event.Kind == TraceEventKind::StartWave)
          Wave.StartedAt = this->Time.clock().WallNow();
        return fleet::toJson(Wave);
      });
  if (!Changed)
    this->breakOutcome("events-apply", "wave of " + Event.Subject);
}

void World::submit(const std::string &Job) {
  const auto Known = this->Recorded.Declared.Jobs.find(JobName(Job));
  if (Known == this->Recorded.Declared.Jobs.end())
    return this->breakOutcome("events-apply", "no job is called " + Job);
  fleet::RunRecord Run;
  Run.Id = "run-" + std::to_string(this->Runs.size());
  Run.Job = Known->first;
  Run.Pool = Known->second.CarriedBy;
  Run.SubmittedAt = this->Time.clock().WallNow();
  Run.Tasks.resize(static_cast<size_t>(Known->second.Tasks));
  this->Runs.push_back(fleet::runKey(Run.Pool, Run.Id));
  this->RunJobs[this->Runs.back()] = Job;
  auto Written = this->Operators.update(
      this->Runs.back(), OperationId(Run.Id), [&Run](const store::Record &) {
        return std::optional<web::json::value>(fleet::toJson(Run));
      });
  if (!Written)
    this->breakOutcome("events-apply", "job " + Job + " is not submitted");
}

void World::cancel(const std::string &Job) {
  for (const std::string &Key : this->Runs) {
    if (this->RunJobs[Key] != Job)
      continue;
    auto Written = this->Operators.update(
        Key, OperationId(randomIdentifier(this->Source)),
        [](const store::Record &Before) -> std::optional<web::json::value> {
          auto Run = fleet::runFromJson(Before.Body);
          if (!Run)
            return std::nullopt;
          Run->IsCancelled = true;
          return fleet::toJson(*Run);
        });
    if (!Written)
      this->breakOutcome("events-apply", "job " + Job + " is not cancelled");
  }
}

void World::loseRack(const std::string &Rack, bool IsLost) {
  for (const VmInfo &Vm : this->Recorded.Vms) {
    const bool IsMeant = Vm.Rack.text() == Rack || Vm.Name.text() == Rack;
    if (!IsMeant)
      continue;
    if (IsLost) {
      this->LostUnplanned.insert(Vm.Name);
      this->Machines.kill(Vm.Name);
    } else {
      this->LostUnplanned.erase(Vm.Name);
      this->Machines.revive(Vm.Name);
    }
  }
}

void World::apply(const TraceEvent &Event) {
  const uint64_t Seen = [this] {
    auto Head = this->OperatorChanges.readHead();
    return Head ? Head.value().Revision : 0;
  }();
  const auto SetStopped = [this, &Event](bool IsStopped) {
    for (const auto &Each : this->Holders)
      if (Each->Name.text() == Event.Subject) {
        Each->IsStopped = IsStopped;
        Each->NextPass = this->Time.Now;
      }
  };
  standin::StoreFaults Faults;
  switch (Event.Kind) {
  case TraceEventKind::ConfirmPreset:
    this->FirstChange = std::min(this->FirstChange, this->Time.Now);
    return this->confirm(Event.Subject, 0, Seen);
  case TraceEventKind::RacePresets: {
    // Both operators saw the same revision.
    const size_t Comma = Event.Subject.find(',');
    this->FirstChange = std::min(this->FirstChange, this->Time.Now);
    this->confirm(Event.Subject.substr(0, Comma), 0, Seen);
    return this->confirm(Event.Subject.substr(Comma + 1), 1, Seen);
  }
  case TraceEventKind::StartWave:
    this->FirstChange = std::min(this->FirstChange, this->Time.Now);
    return this->changeWave(Event, fleet::WaveState::Running);
  case TraceEventKind::ResumeWave:
    return this->changeWave(Event, fleet::WaveState::Running);
  case TraceEventKind::PauseWave:
    return this->changeWave(Event, fleet::WaveState::Paused);
  case TraceEventKind::CancelWave:
    return this->changeWave(Event, fleet::WaveState::Cancelled);
  case TraceEventKind::LoseRack:
  case TraceEventKind::LoseVm:
    return this->loseRack(Event.Subject, true);
  case TraceEventKind::ReturnRack:
  case TraceEventKind::ReturnVm:
    return this->loseRack(Event.Subject, false);
  case TraceEventKind::StickVm:
    this->LostUnplanned.insert(VmName(Event.Subject));
    return this->Machines.setStuck(VmName(Event.Subject));
  case TraceEventKind::FailWorker:
    return this->Machines.setFailing(VmName(Event.Subject));
  case TraceEventKind::PlatformDown:
    Faults.IsDown = true;
    return this->Store.setFaults(Faults);
  case TraceEventKind::PlatformUp:
    return this->Store.setFaults(Faults);
  case TraceEventKind::LoseAnswers:
    Faults.LostWriteAnswers =
        static_cast<unsigned>(std::strtoul(Event.Subject.c_str(), nullptr, 10));
    return this->Store.setFaults(Faults);
  case TraceEventKind::StopHolder:
    return SetStopped(true);
  case TraceEventKind::ResumeHolder:
    return SetStopped(false);
  case TraceEventKind::FreezeHolder:
    this->FreezeName = Event.Subject;
    this->FreezeLength = Event.Length;
    return;
  case TraceEventKind::SubmitJob:
    return this->submit(Event.Subject);
  case TraceEventKind::CancelJob:
    return this->cancel(Event.Subject);
  }
}

void World::addVerdict(ReplayReport &Report, const std::string &Outcome,
                       bool Holds, const std::string &Found) {
  Report.Verdicts.push_back({Outcome, Holds, Holds ? "" : Found});
}

std::string World::presetInForce() {
  auto Head = this->OperatorChanges.readHead();
  return Head ? Head.value().Preset.text() : "";
}

void World::judgePools(ReplayReport &Report) {
  std::map<PoolName, int64_t> Vms;
  for (const VmInfo &Vm : this->Machines.now())
    ++Vms[Vm.Pool];
  const auto *Preset =
      this->Recorded.Declared.preset(PresetName(this->presetInForce()));
  std::string Found;
  if (Preset)
    for (const auto &[Pool, Count] : Preset->Vms)
      if (Vms[Pool] < Count)
        Found += "pool " + Pool.text() + " has " + std::to_string(Vms[Pool]) +
                 " of " + std::to_string(Count) + " VMs; ";
  this->addVerdict(Report, "pools-follow-preset", Preset && Found.empty(),
                   Found);
}

void World::judgeWaves(ReplayReport &Report) {
  const auto StateOf = [this](const std::string &Pool) {
    auto Read = this->Operators.read(fleet::waveKey(PoolName(Pool)));
    const auto Wave =
        Read ? fleet::waveFromJson(Read.value().Body) : std::nullopt;
    return Wave ? std::string(nameOf(fleet::WaveStateNames, Wave->State))
                : std::string("none");
  };
  for (const std::string &Pool : this->Recorded.Outcomes.WavesFinished)
    this->addVerdict(Report, "wave of " + Pool + " finished",
                     StateOf(Pool) == "finished", "it is " + StateOf(Pool));
  for (const std::string &Pool : this->Recorded.Outcomes.WavesStopped)
    this->addVerdict(Report, "wave of " + Pool + " stopped",
                     StateOf(Pool) == "stopped", "it is " + StateOf(Pool));
}

void World::judgeTasks(ReplayReport &Report) {
  // Counted at the workers; records of runs that ended are not kept for long.
  std::map<std::string, int64_t> Done;
  for (const store::TaskReport &Task : this->Machines.tasks())
    if (Task.State == store::TaskState::Finished)
      ++Done[Task.Job.text()];
  for (const auto &[Job, Count] : this->Recorded.Outcomes.TasksDone)
    this->addVerdict(Report,
                     "tasks of " + Job + " done: " + std::to_string(Count),
                     Done[Job] == Count, std::to_string(Done[Job]) + " done");
}

ReplayMeasures World::measures() const {
  ReplayMeasures Measured;
  if (this->Observed > Duration::zero())
    Measured.BufferVms =
        this->BufferSum / static_cast<double>(this->Observed.count());
  if (this->LastBusy > this->FirstChange)
    Measured.RollOut = this->LastBusy - this->FirstChange;
  for (const Event &Noted : this->Journal.events({}, JournalCapacity))
    if (Noted.Kind == EventKind::VmMoved && !Noted.Text.starts_with("to "))
      ++Measured.VmMoves;
  Measured.TaskMoves = this->TaskMoves;
  Measured.Reboots = this->Machines.counts().Reboots;
  Measured.StoreReads = this->Store.calls().Reads;
  Measured.StoreWrites = this->Store.calls().Writes;
  return Measured;
}

void World::judge(ReplayReport &Report) {
  const StatedOutcomes &Stated = this->Recorded.Outcomes;
  for (const char *Always :
       {"budgets-hold", "no-task-starts-twice", "events-apply"}) {
    const auto Found = this->Broken.find(Always);
    const bool IsStated =
        Stated.BudgetsHold || std::string(Always) != "budgets-hold";
    if (IsStated)
      this->addVerdict(Report, Always, Found == this->Broken.end(),
                       Found == this->Broken.end() ? "" : Found->second);
  }
  if (!Stated.PresetInForce.empty())
    this->addVerdict(Report, "preset in force is " + Stated.PresetInForce,
                     this->presetInForce() == Stated.PresetInForce,
                     "it is " + this->presetInForce());
  if (Stated.PoolsFollowPreset)
    this->judgePools(Report);
  this->judgeWaves(Report);
  this->judgeTasks(Report);
  Report.Measures = this->measures();
  const auto Reboots = static_cast<int64_t>(Report.Measures.Reboots);
  if (Stated.MostReboots >= 0)
    this->addVerdict(
        Report, "at most " + std::to_string(Stated.MostReboots) + " reboots",
        Reboots <= Stated.MostReboots, std::to_string(Reboots) + " reboots");
  if (Stated.MostMoves >= 0)
    this->addVerdict(
        Report, "at most " + std::to_string(Stated.MostMoves) + " VM moves",
        Report.Measures.VmMoves <= Stated.MostMoves,
        std::to_string(Report.Measures.VmMoves) + " moves");
}

ReplayReport World::run() {
  this->Machines.start();
  this->applyDeclaration();
  for (const TraceEvent &Event : this->Recorded.Events) {
    this->runUntil(this->StartedAt + Event.At);
    this->apply(Event);
  }
  this->runUntil(this->StartedAt + this->Recorded.Length);
  ReplayReport Report;
  this->judge(Report);
  return Report;
}

ReplayReport replay(const Trace &Recorded) { return World(Recorded).run(); }

} // namespace whintack::replay
