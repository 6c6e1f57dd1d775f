#include "whintack/simulation/simulatedplatform.h"

#include "simulatedplatform_p.h"

#include <algorithm>

namespace whintack::simulation {

using jobs::GatewayError;
using jobs::GatewayErrorCode;
using jobs::MachineState;
using namespace Internal;

/// Time from the crash of an executor to the start of the next one.
static constexpr Duration ExecutorRestartTime = std::chrono::seconds(3);
/// Time after which the registration of an executor that ended is removed.
static constexpr Duration ExecutorEntryTtl = std::chrono::milliseconds(4500);
/// How far the clock of an executor is set back.
static constexpr Duration ClockSetBackBy = std::chrono::hours(1);

static std::vector<std::string> labelsFor(const MachineSetup &Setup) {
  return {"standard", Setup.Rack};
}

/// The entry of an executor in the list.
static std::string entryText(const jobs::MachineName &Machine,
                             jobs::ExecutorIncarnation Incarnation) {
  return Machine.text() + " " + std::to_string(Incarnation);
}

jobs::ExecutorInfo Internal::makeExecutorInfo(const MachineSetup &Setup,
                                              const jobs::ExecutorId &Id) {
  jobs::ExecutorInfo Info;
  Info.Id = Id;
  Info.Service = Setup.Pool;
  Info.Server = {"127.0.0.1", 9000};
  Info.DataCentre = Setup.DataCentre;
  Info.Capacity = Setup.Capacity;
  Info.Labels = labelsFor(Setup);
  return Info;
}

SimulatedPlatform::SimulatedPlatform(Clock Time, TimerQueue &Loop,
                                     Random Source)
    : Time(std::move(Time)), Loop(Loop), Source(std::move(Source)),
      Store(this->Time, Loop),
      Fails([](const jobs::TaskKey &, uint64_t) { return false; }),
      CrashesExecutor([](const jobs::TaskKey &) { return false; }) {}

SimulatedPlatform::~SimulatedPlatform() = default;

void SimulatedPlatform::addTemplate(const std::string &Name,
                                    const jobs::JobSpec &Spec) {
  this->Templates[Name] = Spec;
}

void SimulatedPlatform::addMachine(const MachineSetup &Setup) {
  auto Added = std::make_unique<Machine>();
  Added->Setup = Setup;
  this->Machines[Setup.Name] = std::move(Added);
  this->bringUp(Setup.Name);
}

void SimulatedPlatform::requestWave(const jobs::WaveRequest &Wave) {
  this->Waves[Wave.Number] = Wave;
  this->Store.put(WavePrefix + std::to_string(Wave.Number),
                  std::to_string(Wave.Number));
}

void SimulatedPlatform::setFailures(
    std::function<bool(const jobs::TaskKey &, uint64_t)> Given) {
  this->Fails = std::move(Given);
}

/// The newest policy of the service; null if there is none.
const jobs::ServicePolicy *
SimulatedPlatform::policyOf(const ServiceName &Service) const {
  if (this->Configurations.empty())
    return nullptr;
  for (const jobs::ServicePolicy &Each :
       this->Configurations.rbegin()->second.Services)
    if (Each.Name == Service)
      return &Each;
  return nullptr;
}

/// Brings a machine up, and starts an executor on it unless its pool holds
/// spare machines.
void SimulatedPlatform::bringUp(const jobs::MachineName &Name) {
  Machine &Target = *this->Machines.at(Name);
  Target.State = MachineState::Up;
  const jobs::ServicePolicy *Service = this->policyOf(Target.Setup.Pool);
  if (Service && Service->IsSpare)
    return;
  if (Target.Restarting) {
    this->startAgain(Target);
    return;
  }
  jobs::ExecutorInfo Info = makeExecutorInfo(
      Target.Setup,
      jobs::ExecutorId("x" + std::to_string(++this->LastExecutor)));
  Info.Incarnation = this->AreIncarnationsTold ? this->wallTime() : 0;
  constexpr uint64_t MaxClockOffset = 1000000;
  this->startExecutor(Target, Info, this->Source() % MaxClockOffset);
  this->registerExecutor(Target);
}

jobs::ExecutorIncarnation SimulatedPlatform::wallTime() const {
  return toMilliseconds(this->Time.WallNow().time_since_epoch());
}

/// Starts the next incarnation of the executor that ended on the machine.
void SimulatedPlatform::startAgain(Machine &Target) {
  const auto Earlier = std::exchange(Target.Restarting, nullptr);
  jobs::ExecutorInfo Info = makeExecutorInfo(Target.Setup, Earlier->info().Id);
  Info.Capacity = Earlier->info().Capacity;
  const jobs::ExecutorIncarnation Last = Earlier->info().Incarnation;
  if (this->AreIncarnationsTold)
    Info.Incarnation = Target.Restart.IsClockSetBack
                           ? Last - toMilliseconds(ClockSetBackBy)
                           : std::max(this->wallTime(), Last + 1);
  constexpr uint64_t MaxClockOffset = 1000;
  this->startExecutor(Target, Info, this->Source() % MaxClockOffset);
  Target.Executor->adoptEarlierCapacities(*Earlier);
  if (Target.Restart.Capacity)
    Target.Setup.Capacity = *Target.Restart.Capacity;
  if (Target.Setup.Capacity != Info.Capacity)
    Target.Executor->setCapacity(Target.Setup.Capacity);
  this->EndedExecutors.erase(Info.Id);
  if (Target.Restart.RegistersAfter == Duration::zero()) {
    this->registerExecutor(Target);
    return;
  }
  this->Loop.schedule(this->Time.Now() + Target.Restart.RegistersAfter,
                      [this, &Target, Started = Target.Executor] {
                        if (Target.Executor == Started)
                          this->registerExecutor(Target);
                      });
}

/// Writes the executor's entry in the list.
void SimulatedPlatform::registerExecutor(const Machine &Target) {
  const jobs::ExecutorInfo &Info = Target.Executor->info();
  this->Store.put(ExecutorPrefix + Info.Id.text(),
                  entryText(Target.Setup.Name, Info.Incarnation));
}

void SimulatedPlatform::startExecutor(Machine &Target,
                                      const jobs::ExecutorInfo &Info,
                                      uint64_t ClockOffset) {
  Internal::ExecutorHooks Hooks;
  Hooks.Fails = [this](const jobs::TaskKey &Task, uint64_t Run) {
    return this->Fails(Task, Run);
  };
  Hooks.CrashesExecutor = [this](const jobs::TaskKey &Task) {
    return this->CrashesExecutor(Task);
  };
  Hooks.OnCrash = [this, Name = Target.Setup.Name] {
    if (!this->DoCrashedKeepIds) {
      this->crashExecutor(Name, ExecutorRestartTime);
      return;
    }
    ExecutorRestart How;
    How.DownFor = ExecutorRestartTime;
    this->restartExecutor(Name, How);
  };
  const jobs::ServicePolicy *Service = this->policyOf(Target.Setup.Pool);
  const Internal::ExecutorSetup Setup{
      !Service || Service->ExecutorsCheckAdmission,
      static_cast<int64_t>(ClockOffset), this->MaxLease};
  Target.Executor = std::make_shared<Internal::SimulatedExecutor>(
      Info, Setup, this->Time, this->Loop, this->Checker, std::move(Hooks));
}

/// Ends the machine's executor, and brings the machine up again in \p Pool
/// after \p DownTime.
void SimulatedPlatform::takeDown(Machine &Target, MachineState NewState,
                                 Duration DownTime, const ServiceName &Pool) {
  if (Target.Executor) {
    if (NewState == MachineState::Down)
      this->Checker.noteExecutorCrashed(Target.Executor->info().Id);
    Target.Executor->terminate();
    const jobs::ExecutorInfo &Info = Target.Executor->info();
    const std::string Key = ExecutorPrefix + Info.Id.text();
    const std::string Text = entryText(Target.Setup.Name, Info.Incarnation);
    this->Loop.schedule(this->Time.Now() + ExecutorEntryTtl, [this, Key, Text] {
      if (this->Store.value(Key) == Text)
        this->Store.remove(Key);
    });
    Target.Executor.reset();
  }
  Target.State = NewState;
  Target.Setup.Pool = Pool;
  this->Loop.schedule(this->Time.Now() + DownTime,
                      [this, Name = Target.Setup.Name] {
                        if (this->Machines.at(Name)->State != MachineState::Up)
                          this->bringUp(Name);
                      });
}

void SimulatedPlatform::crash(const jobs::MachineName &Name, Duration DownFor) {
  Machine &Target = *this->Machines.at(Name);
  if (Target.State == MachineState::Up)
    this->takeDown(Target, MachineState::Down, DownFor, Target.Setup.Pool);
}

void SimulatedPlatform::takeAway(const jobs::MachineName &Name,
                                 Duration DrainTime) {
  Machine &Target = *this->Machines.at(Name);
  if (!Target.Executor)
    return;
  Target.Executor->setDraining();
  this->registerExecutor(Target);
  this->Loop.schedule(
      this->Time.Now() + DrainTime, [this, &Target, Leaving = Target.Executor] {
        if (Target.Executor != Leaving)
          return;
        this->EndedExecutors.insert(Leaving->info().Id);
        Leaving->terminate();
        Leaving->resetConnections();
        this->Store.remove(ExecutorPrefix + Leaving->info().Id.text());
        Target.Executor.reset();
        Target.State = MachineState::Down;
        Target.IsTakenAway = true;
      });
}

void SimulatedPlatform::crashExecutor(const jobs::MachineName &Name,
                                      Duration DownFor) {
  const std::shared_ptr<Internal::SimulatedExecutor> Crashed =
      this->Machines.at(Name)->Executor;
  this->crash(Name, DownFor);
  if (!Crashed)
    return;
  this->EndedExecutors.insert(Crashed->info().Id);
  Crashed->resetConnections();
}

void SimulatedPlatform::restartExecutor(const jobs::MachineName &Name,
                                        const ExecutorRestart &How) {
  Machine &Target = *this->Machines.at(Name);
  const std::shared_ptr<Internal::SimulatedExecutor> Ended = Target.Executor;
  if (!Ended || Target.State != MachineState::Up)
    return;
  const jobs::ExecutorInfo &Info = Ended->info();
  this->EarlierIncarnations[{Info.Id, Info.Incarnation}] = Info;
  this->takeDown(Target, MachineState::Down, How.DownFor, Target.Setup.Pool);
  Target.Restarting = Ended;
  Target.Restart = How;
  if (!How.ResetsConnections)
    return;
  this->EndedExecutors.insert(Info.Id);
  Ended->resetConnections();
}

void SimulatedPlatform::setCapacity(const jobs::MachineName &Name,
                                    const jobs::ComputeResources &Capacity) {
  Machine &Target = *this->Machines.at(Name);
  Target.Setup.Capacity = Capacity;
  if (!Target.Executor)
    return;
  Target.Executor->setCapacity(Capacity);
  this->registerExecutor(Target);
}

void SimulatedPlatform::setCut(const EntryName &Vm,
                               const DataCentreName &DataCentre,
                               bool IsPartitioned) {
  if (IsPartitioned)
    this->Partitions.emplace(Vm, DataCentre);
  else
    this->Partitions.erase({Vm, DataCentre});
}

SimulatedPlatform::Machine *
SimulatedPlatform::machineOf(const jobs::ExecutorId &Id) {
  for (const auto &[Name, Each] : this->Machines)
    if (Each->Executor && Each->Executor->info().Id == Id)
      return Each.get();
  return nullptr;
}

static bool occursWithProbability(double Probability, const Random &Source) {
  constexpr uint64_t Parts = 1000000;
  return static_cast<double>(Source() % Parts) < Probability * Parts;
}

/// Delivers a call to its executor, subject to partitions and injected faults.
void SimulatedPlatform::deliverCall(
    const EntryName &Vm, const jobs::ExecutorAddress &To,
    const std::function<void(Machine &, bool IsAnswered)> &Work,
    const std::function<void()> &Refuse) {
  const bool IsLate =
      occursWithProbability(this->Faults.LateCallProbability, this->Source);
  const bool IsLost =
      IsLate ||
      occursWithProbability(this->Faults.AnswerLossProbability, this->Source);
  Duration CallDelay = NetworkDelay;
  if (IsLate)
    CallDelay = std::chrono::seconds(1) +
                std::chrono::milliseconds(this->Source() % 5000);
  this->Loop.schedule(this->Time.Now() + CallDelay, [=, this] {
    Machine *Found = this->machineOf(To.Id);
    if (this->EndedExecutors.contains(To.Id))
      Refuse();
    // An executor that has ended does not answer.
    if (Found && !this->Partitions.contains({Vm, Found->Setup.DataCentre}))
      Work(*Found, !IsLost);
  });
}

/// Returns a callback that forwards only its first call to \p Done, and calls
/// it with \p TimeoutAnswer at the deadline.
template <typename Answer>
std::function<void(Answer)>
SimulatedPlatform::withDeadline(TimePoint Deadline,
                                std::function<void(Answer)> Done,
                                const Answer &TimeoutAnswer) {
  std::function<void(Answer)> AnswerOnce =
      [Done = std::move(Done),
       HasAnswered = std::make_shared<bool>(false)](Answer Given) {
        if (!std::exchange(*HasAnswered, true))
          Done(std::move(Given));
      };
  this->Loop.schedule(
      Deadline, [AnswerOnce, TimeoutAnswer] { AnswerOnce(TimeoutAnswer); });
  return AnswerOnce;
}

jobs::ExecutorGateway SimulatedPlatform::executors(const EntryName &Vm) {
  using Reported = jobs::GatewayResult<jobs::ExecutorReport>;
  using Confirmed = jobs::GatewayResult<jobs::ExecutorTime>;
  const auto TimeoutAnswer = [] {
    return failure(GatewayError{GatewayErrorCode::NoAnswer, "no answer"});
  };
  jobs::ExecutorGateway Gateway;
  Gateway.Report = [=, this](const jobs::ExecutorAddress &To,
                             const jobs::ReportRequest &Request,
                             TimePoint Deadline,
                             jobs::GatewayCallback<jobs::ExecutorReport> Done) {
    const auto AnswerOnce = this->withDeadline<Reported>(
        Deadline, std::move(Done), TimeoutAnswer());
    this->deliverCall(
        Vm, To,
        [Request, AnswerOnce](Machine &Target, bool IsAnswered) {
          Target.Executor->report(
              Request, IsAnswered ? AnswerOnce : [](const Reported &) {});
        },
        [=] { AnswerOnce(TimeoutAnswer()); });
  };
  Gateway.Start = [=, this](const jobs::ExecutorAddress &To,
                            const jobs::StartOrder &Order, uint64_t Token,
                            jobs::ExecutorTime LeaseUntil, TimePoint Deadline,
                            std::function<void(jobs::StartAnswer)> Done) {
    const auto AnswerOnce = this->withDeadline<jobs::StartAnswer>(
        Deadline, std::move(Done), jobs::StartAnswer());
    this->deliverCall(
        Vm, To,
        [=, this](Machine &Target, bool IsAnswered) {
          jobs::StartAnswer Answer =
              Target.Executor->start(Order, Token, LeaseUntil);
          if (this->DoStartAnswersTellIncarnation)
            Answer.Incarnation = Target.Executor->info().Incarnation;
          if (IsAnswered)
            this->Loop.schedule(this->Time.Now() + NetworkDelay,
                                [AnswerOnce, Answer] { AnswerOnce(Answer); });
        },
        [AnswerOnce] { AnswerOnce(jobs::StartAnswer()); });
  };
  Gateway.Stop = [=, this](const jobs::ExecutorAddress &To,
                           const jobs::StopOrder &Order, uint64_t Token,
                           TimePoint Deadline,
                           jobs::GatewayCallback<jobs::ExecutorTime> Done) {
    const auto AnswerOnce = this->withDeadline<Confirmed>(
        Deadline, std::move(Done), TimeoutAnswer());
    this->deliverCall(
        Vm, To,
        [=](Machine &Target, bool IsAnswered) {
          const Confirmed Answer = Target.Executor->stop(Order, Token);
          if (IsAnswered)
            AnswerOnce(Answer);
        },
        [=] { AnswerOnce(TimeoutAnswer()); });
  };
  Gateway.Pace = [=, this](const jobs::ExecutorAddress &To,
                           const jobs::PaceOrder &Order, uint64_t Token,
                           TimePoint Deadline,
                           jobs::GatewayCallback<jobs::ExecutorTime> Done) {
    const auto AnswerOnce = this->withDeadline<Confirmed>(
        Deadline, std::move(Done), TimeoutAnswer());
    this->deliverCall(
        Vm, To,
        [=](Machine &Target, bool IsAnswered) {
          const Confirmed Answer = Target.Executor->pace(Order, Token);
          if (IsAnswered)
            AnswerOnce(Answer);
        },
        [=] { AnswerOnce(TimeoutAnswer()); });
  };
  return Gateway;
}

std::vector<jobs::MachineInfo> SimulatedPlatform::machineList() const {
  std::vector<jobs::MachineInfo> List;
  for (const auto &[Name, Each] : this->Machines) {
    if (Each->IsTakenAway)
      continue;
    jobs::MachineInfo Info;
    Info.Name = Name;
    Info.Pool = Each->Setup.Pool;
    Info.State = Each->State;
    Info.DataCentre = Each->Setup.DataCentre;
    Info.Labels = labelsFor(Each->Setup);
    Info.Capacity = Each->Setup.Capacity;
    if (Each->Executor)
      Info.Executor = Each->Executor->info().Id;
    List.push_back(std::move(Info));
  }
  return List;
}

void SimulatedPlatform::noteHolderEnded(const EntryName &Vm) {
  for (const auto &[Name, Each] : this->Machines)
    if (Each->LastHolder == Vm.text())
      Each->LastHolder.clear();
}

std::vector<jobs::MachineName> SimulatedPlatform::machineNames() const {
  std::vector<jobs::MachineName> Names;
  for (const auto &[Name, Each] : this->Machines)
    Names.push_back(Name);
  return Names;
}

} // namespace whintack::simulation
