#include "whintack/replay/replaysession.h"

#include "whintack/configuration/changeclient.h"
#include "whintack/controller/fleetcontroller.h"
#include "whintack/fleet/budget.h"
#include "whintack/fleet/runrecord.h"
#include "whintack/standin/memorykeyvaluestore.h"
#include "whintack/standin/vmsimulator.h"

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

/// Simulated clock that only the replay advances.
class ReplayClock {
public:
  Clock clock() {
    return {[this] { return this->Now; },
            [this] {
              constexpr Duration WallClockStart =
                  std::chrono::hours(24 * 365 * 56);
              return WallTime(WallClockStart + this->Now.time_since_epoch());
            }};
  }

  TimePoint Now{std::chrono::hours(1)};
};

/// One entry VM's fleet controller with its store clients; it holds shards of
/// the control work.
struct Holder {
  EntryName Name;
  bool IsStopped = false;
  TimePoint NextPass;
  std::unique_ptr<store::RecordClient> Records;
  std::unique_ptr<configuration::ChangeClient> Changes;
  configuration::ConfigurationManager Manager;
  std::unique_ptr<controller::FleetReader> Reader;
  std::unique_ptr<controller::ShardClaims> Claims;
  std::unique_ptr<controller::FleetController> Control;
};

/// State of one replay: simulated platform, holders and clock.
class ReplaySession {
public:
  explicit ReplaySession(const Trace &Recorded);

  ReplayReport run();

private:
  void addHolder(const std::string &Name, uint64_t Seed);
  store::KeyValueStore storeForHolder(Holder &Owner);
  store::WorkerControl checkedWorkers();
  controller::DrainHooks drainHooks();
  controller::FleetControllerHooks controllerHooks(Holder &Owner);
  void schedule(TimePoint Deadline, std::function<void()> Call);
  void runUntil(TimePoint End);
  TimePoint nextEventTime(TimePoint End) const;
  void runDuePasses();
  void applyDeclaration();
  void apply(const TraceEvent &Event);
  void confirm(const std::string &Preset, size_t Operator,
               uint64_t SeenRevision);
  void changeWave(const TraceEvent &Event, fleet::WaveState State);
  void submit(const std::string &Job);
  void cancel(const std::string &Job);
  void setLost(const std::string &Rack, bool IsLost);
  void checkDrain(const VmName &Vm);
  void checkBudgets();
  void recordViolation(const std::string &Outcome, const std::string &By);
  std::string traceTimeText() const;
  int64_t required(const PoolName &Pool) const;
  std::string presetInForce();
  void evaluate(ReplayReport &Report);
  void evaluatePools(ReplayReport &Report);
  void evaluateWaves(ReplayReport &Report);
  void evaluateTasks(ReplayReport &Report);
  void addVerdict(ReplayReport &Report, const std::string &Outcome, bool Holds,
                  const std::string &Found);
  ReplayMeasures measures() const;

  const Trace &Recorded;
  ReplayClock Time;
  Random Source = seededRandom(5);
  HybridClock Stamps;
  EventJournal Journal;
  standin::MemoryKeyValueStore Store;
  std::multimap<TimePoint, std::function<void()>> ScheduledCalls;
  standin::VmSimulator Machines;
  store::RecordClient Operators;
  configuration::ChangeClient OperatorChanges;
  std::vector<std::unique_ptr<Holder>> Holders;
  std::map<VmName, TimePoint> DrainRequestedAt;
  std::set<VmName> UnplannedLosses;
  std::map<TaskId, uint64_t> TaskStarts;
  /// First violation of each outcome.
  std::map<std::string, std::string> Violations;
  std::string CurrentPreset;
  /// Holder to suspend before its next write; empty for none.
  std::string HolderToFreeze;
  Duration FreezeLength = Duration::zero();
  std::vector<std::string> RunKeys;
  std::map<std::string, std::string> JobOfRun;
  TimePoint StartedAt;
  TimePoint FirstChangeAt = TimePoint::max();
  TimePoint LastVmOutAt = TimePoint::min();
  /// VMs beyond what the preset requires, integrated over ObservedTime.
  double BufferVmTime = 0;
  Duration ObservedTime = Duration::zero();
  int64_t TaskMoves = 0;
};

} // namespace

static standin::VmBehaviour vmBehaviour(const RecordedTimes &Times) {
  standin::VmBehaviour Behaviour;
  Behaviour.RebootTime = Times.Reboot;
  Behaviour.ListLag = Times.ListLag;
  Behaviour.TaskTime = Times.Task;
  return Behaviour;
}

ReplaySession::ReplaySession(const Trace &Recorded)
    : Recorded(Recorded), Stamps(Time.clock().WallNow),
      Journal(EntryName("replay"), Stamps, JournalCapacity),
      Store(Time.clock()),
      Machines(Recorded.Vms, vmBehaviour(Recorded.Times), standin::VmHooks(),
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

void ReplaySession::schedule(TimePoint Deadline, std::function<void()> Call) {
  this->ScheduledCalls.emplace(Deadline, std::move(Call));
}

store::KeyValueStore ReplaySession::storeForHolder(Holder &Owner) {
  store::KeyValueStore Hooked = this->Store.store();
  const auto Put = Hooked.Put;
  Hooked.Put = [this, &Owner, Put](const store::ConditionalPut &Given) {
    if (this->HolderToFreeze == Owner.Name.text()) {
      // The holder is suspended between its decision and its write, while
      // everything else continues.
      this->HolderToFreeze.clear();
      Owner.IsStopped = true;
      this->runUntil(this->Time.Now + this->FreezeLength);
      Owner.IsStopped = false;
    }
    return Put(Given);
  };
  return Hooked;
}

store::WorkerControl ReplaySession::checkedWorkers() {
  store::WorkerControl Checked = this->Machines.workers();
  const auto Drain = Checked.Drain;
  Checked.Drain = [this, Drain](const VmName &Vm, uint64_t Epoch) {
    const uint64_t Before = this->Machines.counts().Drains;
    auto Done = Drain(Vm, Epoch);
    if (this->Machines.counts().Drains > Before)
      this->checkDrain(Vm);
    return Done;
  };
  const auto Start = Checked.StartTask;
  Checked.StartTask = [this, Start](const store::TaskStart &Given) {
    const uint64_t Before = this->Machines.counts().TaskStarts;
    auto Done = Start(Given);
    if (this->Machines.counts().TaskStarts == Before)
      return Done;
    if (Given.ResumesCheckpoint)
      ++this->TaskMoves;
    else if (++this->TaskStarts[Given.Task] > 1)
      this->recordViolation("no-task-starts-twice",
                            "task " + Given.Task.text() + " was started again");
    return Done;
  };
  return Checked;
}

controller::DrainHooks ReplaySession::drainHooks() {
  controller::DrainHooks Hooks;
  Hooks.RequestReport = [this](const VmName &Vm, uint64_t) {
    this->DrainRequestedAt.emplace(Vm, this->Time.Now);
  };
  Hooks.Requests = [this](const VmName &Vm) -> std::optional<int64_t> {
    const auto Requested = this->DrainRequestedAt.find(Vm);
    if (Requested == this->DrainRequestedAt.end())
      return std::nullopt;
    const bool HasEnded =
        Requested->second + this->Recorded.Times.Drain <= this->Time.Now;
    return HasEnded ? 0 : 1;
  };
  Hooks.StopTracking = [this](const VmName &Vm) {
    this->DrainRequestedAt.erase(Vm);
  };
  return Hooks;
}

controller::FleetControllerHooks ReplaySession::controllerHooks(Holder &Owner) {
  controller::FleetControllerHooks Hooks;
  Hooks.InForce = [&Owner] { return Owner.Manager.current(); };
  Hooks.Listed = [this] { return this->Machines.directory().List().value(); };
  Hooks.Probe = [this](const VmInfo &Vm) {
    for (const VmInfo &Known : this->Machines.now())
      if (Known.Name == Vm.Name)
        return Known.State == VmState::Live;
    return false;
  };
  return Hooks;
}

void ReplaySession::addHolder(const std::string &Name, uint64_t Seed) {
  auto Added = std::make_unique<Holder>();
  Holder &Owner = *Added;
  Owner.Name = EntryName(Name);
  Owner.NextPass = this->Time.Now;
  Owner.Records = std::make_unique<store::RecordClient>(
      this->storeForHolder(Owner), CallsPerSecond, this->Time.clock(),
      seededRandom(Seed));
  Owner.Changes = std::make_unique<configuration::ChangeClient>(
      *Owner.Records, this->Time.clock());
  Owner.Reader = std::make_unique<controller::FleetReader>(*Owner.Records,
                                                           this->Time.clock());
  Owner.Claims = std::make_unique<controller::ShardClaims>(
      Owner.Name, Seed, *Owner.Records,
      [this] {
        std::vector<EntryName> Working;
        for (const auto &Each : this->Holders)
          if (!Each->IsStopped)
            Working.push_back(Each->Name);
        return Working;
      },
      this->Time.clock(), seededRandom(Seed + 10), this->Journal);
  Owner.Control = std::make_unique<controller::FleetController>(
      *Owner.Records, this->checkedWorkers(), *Owner.Reader, *Owner.Claims,
      this->drainHooks(), this->controllerHooks(Owner), this->Time.clock(),
      seededRandom(Seed + 20), this->Journal);
  this->Holders.push_back(std::move(Added));
}

std::string ReplaySession::traceTimeText() const {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
                           this->Time.Now - this->StartedAt)
                           .count();
  return std::to_string(Seconds) + " s";
}

void ReplaySession::recordViolation(const std::string &Outcome,
                                    const std::string &By) {
  this->Violations.emplace(Outcome, "at " + this->traceTimeText() + ": " + By);
}

int64_t ReplaySession::required(const PoolName &Pool) const {
  const auto *Preset =
      this->Recorded.Declared.preset(PresetName(this->CurrentPreset));
  for (const auto &[Name, Service] : this->Recorded.Declared.Services)
    if (Service.HostPool == Pool && Preset)
      return fleet::requiredExecutors(Service, Preset->Vms.at(Pool));
  return 0;
}

/// Checks a drain that has begun: enough VMs must remain in the pool that the
/// platform's list shows as live.
void ReplaySession::checkDrain(const VmName &Vm) {
  const std::vector<VmInfo> Listed = this->Machines.directory().List().value();
  const std::vector<VmInfo> True = this->Machines.now();
  PoolName Pool;
  for (const VmInfo &Known : True)
    if (Known.Name == Vm)
      Pool = Known.Pool;
  int64_t Live = 0;
  for (const VmInfo &Known : True) {
    const auto Entry = std::find_if(
        Listed.begin(), Listed.end(),
        [&Known](const VmInfo &Each) { return Each.Name == Known.Name; });
    const bool IsListedLive =
        Entry != Listed.end() && Entry->State == VmState::Live;
    if (Known.Pool == Pool && Known.State != VmState::Leaving && IsListedLive)
      ++Live;
  }
  if (Live < this->required(Pool))
    this->recordViolation("budgets-hold",
                          "draining " + Vm.text() + " leaves " +
                              std::to_string(Live) + " of " +
                              std::to_string(this->required(Pool)) +
                              " VMs in pool " + Pool.text());
}

/// Checks that planned disruptions never break a budget; VMs that were lost
/// unplanned count as available. A pool that a new preset enlarges has fewer
/// VMs than required until others have moved in. This is no violation by
/// itself, but no VM of the pool may be unavailable meanwhile.
void ReplaySession::checkBudgets() {
  std::map<PoolName, int64_t> Available;
  std::map<PoolName, int64_t> Unavailable;
  for (const VmInfo &Vm : this->Machines.now()) {
    const bool IsLost = this->UnplannedLosses.contains(Vm.Name);
    ++(Vm.State == VmState::Live || IsLost ? Available : Unavailable)[Vm.Pool];
  }
  if (this->FirstChangeAt == TimePoint::max())
    return;
  for (const auto &[Name, Pool] : this->Recorded.Declared.Pools) {
    if (Unavailable[Name] > 0)
      this->LastVmOutAt = this->Time.Now;
    if (Unavailable[Name] > 0 && Available[Name] < this->required(Name))
      this->recordViolation(
          "budgets-hold",
          "pool " + Name.text() + " has " + std::to_string(Available[Name]) +
              " of " + std::to_string(this->required(Name)) + " VMs and " +
              std::to_string(Unavailable[Name]) + " out");
  }
}

void ReplaySession::runDuePasses() {
  for (const auto &Each : this->Holders) {
    if (Each->IsStopped || Each->NextPass > this->Time.Now)
      continue;
    auto Head = Each->Changes->readHead();
    if (Head && Head.value().Revision > Each->Manager.revision())
      Each->Manager.adopt(Head.value(), {Each->Changes->contentSource()});
    const Duration Wait = Each->Control->pass();
    // Recorded times are long, so fewer passes shorten the replay. Longer
    // intervals than these would exceed what the lease of the shards allows.
    constexpr Duration IdlePassInterval = std::chrono::seconds(4);
    constexpr Duration ActivePassInterval = std::chrono::seconds(2);
    constexpr Duration MaxActiveWait = std::chrono::milliseconds(300);
    Each->NextPass =
        this->Time.Now +
        (Wait > MaxActiveWait ? IdlePassInterval : ActivePassInterval);
  }
}

TimePoint ReplaySession::nextEventTime(TimePoint End) const {
  TimePoint Next = End;
  if (!this->ScheduledCalls.empty())
    Next = std::min(Next, this->ScheduledCalls.begin()->first);
  for (const auto &Each : this->Holders)
    if (!Each->IsStopped)
      Next = std::min(Next, Each->NextPass);
  return std::max(Next, this->Time.Now);
}

void ReplaySession::runUntil(TimePoint End) {
  while (this->Time.Now < End) {
    const TimePoint Next = this->nextEventTime(End);
    const Duration Passed = Next - this->Time.Now;
    int64_t Wanted = 0;
    const auto *Preset =
        this->Recorded.Declared.preset(PresetName(this->CurrentPreset));
    for (const auto &[Pool, Count] : Preset->Vms)
      Wanted += Count;
    const auto Spare = static_cast<double>(this->Recorded.Vms.size()) -
                       static_cast<double>(Wanted);
    this->BufferVmTime += Spare * static_cast<double>(Passed.count());
    this->ObservedTime += Passed;
    this->Time.Now = Next;
    while (!this->ScheduledCalls.empty() &&
           this->ScheduledCalls.begin()->first <= this->Time.Now) {
      const auto Call = std::move(this->ScheduledCalls.begin()->second);
      this->ScheduledCalls.erase(this->ScheduledCalls.begin());
      Call();
    }
    this->runDuePasses();
    this->checkBudgets();
  }
}

void ReplaySession::applyDeclaration() {
  this->OperatorChanges.apply(declaration::toItems(this->Recorded.Declared),
                              PresetName(this->Recorded.FirstPreset),
                              {OperatorName("ada"), 0, OperationId("first")});
}

void ReplaySession::confirm(const std::string &Preset, size_t Operator,
                            uint64_t SeenRevision) {
  const configuration::ChangeReport Report =
      this->OperatorChanges.confirmPreset(
          PresetName(Preset),
          {OperatorName(OperatorNames[Operator]), SeenRevision,
           OperationId(randomIdentifier(this->Source))});
  if (Report.Outcome == configuration::ChangeOutcome::Accepted)
    this->CurrentPreset = Preset;
}

void ReplaySession::changeWave(const TraceEvent &Event,
                               fleet::WaveState State) {
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
    this->recordViolation("events-apply", "wave of " + Event.Subject);
}

void ReplaySession::submit(const std::string &Job) {
  const auto Known = this->Recorded.Declared.Jobs.find(JobName(Job));
  if (Known == this->Recorded.Declared.Jobs.end())
    return this->recordViolation("events-apply", "no job is called " + Job);
  fleet::RunRecord Run;
  Run.Id = "run-" + std::to_string(this->RunKeys.size());
  Run.Job = Known->first;
  Run.Pool = Known->second.HostPool;
  Run.SubmittedAt = this->Time.clock().WallNow();
  Run.Tasks.resize(static_cast<size_t>(Known->second.Tasks));
  this->RunKeys.push_back(fleet::runKey(Run.Pool, Run.Id));
  this->JobOfRun[this->RunKeys.back()] = Job;
  auto Written = this->Operators.update(
      this->RunKeys.back(), OperationId(Run.Id), [&Run](const store::Record &) {
        return std::optional<web::json::value>(fleet::toJson(Run));
      });
  if (!Written)
    this->recordViolation("events-apply", "job " + Job + " is not submitted");
}

void ReplaySession::cancel(const std::string &Job) {
  for (const std::string &Key : this->RunKeys) {
    if (this->JobOfRun[Key] != Job)
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
      this->recordViolation("events-apply", "job " + Job + " is not cancelled");
  }
}

void ReplaySession::setLost(const std::string &Rack, bool IsLost) {
  for (const VmInfo &Vm : this->Recorded.Vms) {
    const bool IsAffected = Vm.Rack.text() == Rack || Vm.Name.text() == Rack;
    if (!IsAffected)
      continue;
    if (IsLost) {
      this->UnplannedLosses.insert(Vm.Name);
      this->Machines.kill(Vm.Name);
    } else {
      this->UnplannedLosses.erase(Vm.Name);
      this->Machines.revive(Vm.Name);
    }
  }
}

void ReplaySession::apply(const TraceEvent &Event) {
  const uint64_t SeenRevision = [this] {
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
    this->FirstChangeAt = std::min(this->FirstChangeAt, this->Time.Now);
    return this->confirm(Event.Subject, 0, SeenRevision);
  case TraceEventKind::RacePresets: {
    // Both operators change the preset from the same revision.
    const size_t Comma = Event.Subject.find(',');
    this->FirstChangeAt = std::min(this->FirstChangeAt, this->Time.Now);
    this->confirm(Event.Subject.substr(0, Comma), 0, SeenRevision);
    return this->confirm(Event.Subject.substr(Comma + 1), 1, SeenRevision);
  }
  case TraceEventKind::StartWave:
    this->FirstChangeAt = std::min(this->FirstChangeAt, this->Time.Now);
    return this->changeWave(Event, fleet::WaveState::Running);
  case TraceEventKind::ResumeWave:
    return this->changeWave(Event, fleet::WaveState::Running);
  case TraceEventKind::PauseWave:
    return this->changeWave(Event, fleet::WaveState::Paused);
  case TraceEventKind::CancelWave:
    return this->changeWave(Event, fleet::WaveState::Cancelled);
  case TraceEventKind::LoseRack:
  case TraceEventKind::LoseVm:
    return this->setLost(Event.Subject, true);
  case TraceEventKind::ReturnRack:
  case TraceEventKind::ReturnVm:
    return this->setLost(Event.Subject, false);
  case TraceEventKind::StickVm:
    this->UnplannedLosses.insert(VmName(Event.Subject));
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
    this->HolderToFreeze = Event.Subject;
    this->FreezeLength = Event.Length;
    return;
  case TraceEventKind::SubmitJob:
    return this->submit(Event.Subject);
  case TraceEventKind::CancelJob:
    return this->cancel(Event.Subject);
  }
}

void ReplaySession::addVerdict(ReplayReport &Report, const std::string &Outcome,
                               bool Holds, const std::string &Found) {
  Report.Verdicts.push_back({Outcome, Holds, Holds ? "" : Found});
}

std::string ReplaySession::presetInForce() {
  auto Head = this->OperatorChanges.readHead();
  return Head ? Head.value().Preset.text() : "";
}

void ReplaySession::evaluatePools(ReplayReport &Report) {
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

void ReplaySession::evaluateWaves(ReplayReport &Report) {
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

void ReplaySession::evaluateTasks(ReplayReport &Report) {
  // Counted at the workers, because the records of ended runs are soon removed.
  std::map<std::string, int64_t> Done;
  for (const store::TaskReport &Task : this->Machines.tasks())
    if (Task.State == store::TaskState::Finished)
      ++Done[Task.Job.text()];
  for (const auto &[Job, Count] : this->Recorded.Outcomes.TasksDone)
    this->addVerdict(Report,
                     "tasks of " + Job + " done: " + std::to_string(Count),
                     Done[Job] == Count, std::to_string(Done[Job]) + " done");
}

ReplayMeasures ReplaySession::measures() const {
  ReplayMeasures Measured;
  if (this->ObservedTime > Duration::zero())
    Measured.BufferVms =
        this->BufferVmTime / static_cast<double>(this->ObservedTime.count());
  if (this->LastVmOutAt > this->FirstChangeAt)
    Measured.RollOut = this->LastVmOutAt - this->FirstChangeAt;
  for (const Event &Happened : this->Journal.events({}, JournalCapacity))
    if (Happened.Kind == EventKind::VmMoved &&
        !Happened.Text.starts_with("to "))
      ++Measured.VmMoves;
  Measured.TaskMoves = this->TaskMoves;
  Measured.Reboots = this->Machines.counts().Reboots;
  Measured.StoreReads = this->Store.calls().Reads;
  Measured.StoreWrites = this->Store.calls().Writes;
  return Measured;
}

void ReplaySession::evaluate(ReplayReport &Report) {
  const ExpectedOutcomes &Expected = this->Recorded.Outcomes;
  for (const char *Invariant :
       {"budgets-hold", "no-task-starts-twice", "events-apply"}) {
    const auto Found = this->Violations.find(Invariant);
    const bool IsExpected =
        Expected.BudgetsHold || std::string(Invariant) != "budgets-hold";
    if (IsExpected)
      this->addVerdict(Report, Invariant, Found == this->Violations.end(),
                       Found == this->Violations.end() ? "" : Found->second);
  }
  if (!Expected.PresetInForce.empty())
    this->addVerdict(Report, "preset in force is " + Expected.PresetInForce,
                     this->presetInForce() == Expected.PresetInForce,
                     "it is " + this->presetInForce());
  if (Expected.PoolsFollowPreset)
    this->evaluatePools(Report);
  this->evaluateWaves(Report);
  this->evaluateTasks(Report);
  Report.Measures = this->measures();
  const auto Reboots = static_cast<int64_t>(Report.Measures.Reboots);
  if (Expected.MaxReboots >= 0)
    this->addVerdict(
        Report, "at most " + std::to_string(Expected.MaxReboots) + " reboots",
        Reboots <= Expected.MaxReboots, std::to_string(Reboots) + " reboots");
  if (Expected.MaxMoves >= 0)
    this->addVerdict(
        Report, "at most " + std::to_string(Expected.MaxMoves) + " VM moves",
        Report.Measures.VmMoves <= Expected.MaxMoves,
        std::to_string(Report.Measures.VmMoves) + " moves");
}

ReplayReport ReplaySession::run() {
  this->Machines.start();
  this->applyDeclaration();
  for (const TraceEvent &Event : this->Recorded.Events) {
    this->runUntil(this->StartedAt + Event.At);
    this->apply(Event);
  }
  this->runUntil(this->StartedAt + this->Recorded.Length);
  ReplayReport Report;
  this->evaluate(Report);
  return Report;
}

ReplayReport replay(const Trace &Recorded) {
  return ReplaySession(Recorded).run();
}

} // namespace whintack::replay
