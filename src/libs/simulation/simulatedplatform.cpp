#include "whintack/simulation/simulatedplatform.h"

#include "simulatedexecutor.h"

#include <algorithm>
#include <charconv>

namespace whintack::simulation {

using jobs::DecodeError;
using jobs::GatewayError;
using jobs::GatewayErrorCode;
using jobs::MachineState;

static const std::string ConfigurationKey = "declared/configuration";
static const std::string WavePrefix = "declared/wave/";
static const std::string ExecutorPrefix = "executors/";

/// One way between an entry VM and a machine or the platform.
static constexpr Duration TravelTime = std::chrono::milliseconds(1);
static constexpr Duration MoveTime = std::chrono::milliseconds(1500);
static constexpr Duration MaintenanceTime = std::chrono::seconds(2);
/// After this a crashed executor's entry lapses.
static constexpr Duration EntryLapse = std::chrono::milliseconds(4500);
/// Holders of the right to order a machine may not take turns within it.
static constexpr Duration HolderDistance = std::chrono::seconds(3);

/// A machine, its place, and the executor that runs on it.
class SimulatedPlatform::Machine {
public:
  MachineSetup Setup;
  MachineState State = MachineState::Down;
  std::shared_ptr<Internal::SimulatedExecutor> Executor;
  uint64_t HighestToken = 0;
  std::string LastHolder;
  TimePoint LastOrder = TimePoint::min();
  std::set<uint64_t> WavesDone;
};

static std::vector<std::string> labelsOf(const MachineSetup &Setup) {
  return {"standard", Setup.Rack};
}

/// An executor as it registers itself.
static jobs::ExecutorInfo executorOn(const MachineSetup &Setup,
                                     const jobs::ExecutorId &Id) {
  jobs::ExecutorInfo Info;
  Info.Id = Id;
  Info.Service = Setup.Pool;
  Info.Server = {"127.0.0.1", 9000};
  Info.DataCentre = Setup.DataCentre;
  Info.Capacity = Setup.Capacity;
  Info.Labels = labelsOf(Setup);
  return Info;
}

SimulatedPlatform::SimulatedPlatform(Clock Time, TimerQueue &Loop,
                                     Random Source)
    : Time(std::move(Time)), Loop(Loop), Source(std::move(Source)),
      Store(this->Time, Loop),
      Fails([](const jobs::TaskKey &, uint64_t) { return false; }) {}

SimulatedPlatform::~SimulatedPlatform() = default;

void SimulatedPlatform::configure(const jobs::FleetConfiguration &Newest) {
  this->Configurations[Newest.Version] = Newest;
  this->Store.put(ConfigurationKey, std::to_string(Newest.Version));
}

void SimulatedPlatform::addTemplate(const std::string &Name,
                                    const jobs::JobSpec &Spec) {
  this->Templates[Name] = Spec;
}

void SimulatedPlatform::addMachine(const MachineSetup &Setup) {
  auto Added = std::make_unique<Machine>();
  Added->Setup = Setup;
  this->Machines[Setup.Name] = std::move(Added);
  this->join(Setup.Name);
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

/// Starts a new executor on a machine that is in a pool.
void SimulatedPlatform::join(const jobs::MachineName &Name) {
  Machine &Of = *this->Machines.at(Name);
  Of.State = MachineState::Up;
  bool IsSpare = false;
  bool Refuses = true;
  if (!this->Configurations.empty())
    for (const jobs::ServicePolicy &Service :
         this->Configurations.rbegin()->second.Services)
      if (Service.Name == Of.Setup.Pool) {
        IsSpare = Service.IsSpare;
        Refuses = Service.ExecutorsRefuse;
      }
  if (IsSpare)
    return;
  const jobs::ExecutorInfo Info = executorOn(
      Of.Setup, jobs::ExecutorId("x" + std::to_string(++this->LastExecutor)));
  constexpr uint64_t ClockSpread = 1000000;
  Of.Executor = std::make_shared<Internal::SimulatedExecutor>(
      Info, Refuses, static_cast<int64_t>(this->Source() % ClockSpread),
      this->Time, this->Loop, this->Ledger,
      [this](const jobs::TaskKey &Task, uint64_t Run) {
        return this->Fails(Task, Run);
      });
  this->Store.put(ExecutorPrefix + Info.Id.text(), Name.text());
}

/// Ends the machine's executor; another one starts after a while.
void SimulatedPlatform::leave(Machine &Of, MachineState Into, Duration For,
                              const ServiceName &Pool) {
  if (Of.Executor) {
    Of.Executor->die();
    const std::string Key = ExecutorPrefix + Of.Executor->info().Id.text();
    this->Loop.schedule(this->Time.Now() + EntryLapse,
                        [this, Key] { this->Store.remove(Key); });
    Of.Executor.reset();
  }
  Of.State = Into;
  Of.Setup.Pool = Pool;
  this->Loop.schedule(this->Time.Now() + For, [this, Name = Of.Setup.Name] {
    if (this->Machines.at(Name)->State != MachineState::Up)
      this->join(Name);
  });
}

void SimulatedPlatform::crash(const jobs::MachineName &Name, Duration DownFor) {
  Machine &Of = *this->Machines.at(Name);
  if (Of.State == MachineState::Up)
    this->leave(Of, MachineState::Down, DownFor, Of.Setup.Pool);
}

void SimulatedPlatform::setCut(const EntryName &Vm,
                               const DataCentreName &DataCentre, bool IsCut) {
  if (IsCut)
    this->Cuts.emplace(Vm, DataCentre);
  else
    this->Cuts.erase({Vm, DataCentre});
}

SimulatedPlatform::Machine *
SimulatedPlatform::machineOf(const jobs::ExecutorId &Id) {
  for (const auto &[Name, Each] : this->Machines)
    if (Each->Executor && Each->Executor->info().Id == Id)
      return Each.get();
  return nullptr;
}

static bool happens(double Chance, const Random &Source) {
  constexpr uint64_t Parts = 1000000;
  return static_cast<double>(Source() % Parts) < Chance * Parts;
}

/// Brings a call to its executor, as far as the network allows.
void SimulatedPlatform::carryOut(
    const EntryName &Vm, const jobs::ExecutorAddress &To,
    const std::function<void(Machine &, bool IsAnswered)> &Work) {
  const bool IsLate = happens(this->Trouble.CarriedOutLate, this->Source);
  const bool IsLost = IsLate || happens(this->Trouble.AnswerLost, this->Source);
  Duration Travel = TravelTime;
  if (IsLate)
    Travel = std::chrono::seconds(1) +
             std::chrono::milliseconds(this->Source() % 5000);
  this->Loop.schedule(this->Time.Now() + Travel, [=, this] {
    Machine *Found = this->machineOf(To.Id);
    // An executor that is gone does not answer.
    if (Found && !this->Cuts.contains({Vm, Found->Setup.DataCentre}))
      Work(*Found, !IsLost);
  });
}

/// Returns a callback of which only the first call counts, and calls it with
/// \p Silence at the deadline.
template <typename Answer>
std::function<void(Answer)>
SimulatedPlatform::answeredBy(TimePoint Deadline,
                              std::function<void(Answer)> Done,
                              const Answer &Silence) {
  std::function<void(Answer)> First =
      [Done = std::move(Done),
       IsOver = std::make_shared<bool>(false)](Answer Given) {
        if (!std::exchange(*IsOver, true))
          Done(std::move(Given));
      };
  this->Loop.schedule(Deadline, [First, Silence] { First(Silence); });
  return First;
}

jobs::ExecutorGateway SimulatedPlatform::executors(const EntryName &Vm) {
  using Reported = jobs::GatewayResult<jobs::ExecutorReport>;
  using Confirmed = jobs::GatewayResult<jobs::ExecutorTime>;
  const auto Silence = [] {
    return failure(GatewayError{GatewayErrorCode::NoAnswer, "no answer"});
  };
  jobs::ExecutorGateway Made;
  Made.Report = [=, this](const jobs::ExecutorAddress &To,
                          const jobs::ReportRequest &Request,
                          TimePoint Deadline,
                          jobs::GatewayCallback<jobs::ExecutorReport> Done) {
    const auto First =
        this->answeredBy<Reported>(Deadline, std::move(Done), Silence());
    this->carryOut(Vm, To, [Request, First](Machine &Of, bool IsAnswered) {
      Of.Executor->report(
          Request, IsAnswered ? First : [](const Reported &) {});
    });
  };
  Made.Start = [=, this](const jobs::ExecutorAddress &To,
                         const jobs::StartOrder &Order, uint64_t Token,
                         jobs::ExecutorTime LeaseUntil, TimePoint Deadline,
                         std::function<void(jobs::StartAnswer)> Done) {
    const auto First = this->answeredBy<jobs::StartAnswer>(
        Deadline, std::move(Done), jobs::StartAnswer());
    this->carryOut(Vm, To, [=, this](Machine &Of, bool IsAnswered) {
      const jobs::StartAnswer Answer =
          Of.Executor->start(Order, Token, LeaseUntil);
      if (IsAnswered)
        this->Loop.schedule(this->Time.Now() + TravelTime,
                            [First, Answer] { First(Answer); });
    });
  };
  Made.Stop = [=, this](const jobs::ExecutorAddress &To,
                        const jobs::StopOrder &Order, uint64_t Token,
                        TimePoint Deadline,
                        jobs::GatewayCallback<jobs::ExecutorTime> Done) {
    const auto First =
        this->answeredBy<Confirmed>(Deadline, std::move(Done), Silence());
    this->carryOut(Vm, To, [=](Machine &Of, bool IsAnswered) {
      const Confirmed Answer = Of.Executor->stop(Order, Token);
      if (IsAnswered)
        First(Answer);
    });
  };
  Made.Pace = [=, this](const jobs::ExecutorAddress &To,
                        const jobs::PaceOrder &Order, uint64_t Token,
                        TimePoint Deadline,
                        jobs::GatewayCallback<jobs::ExecutorTime> Done) {
    const auto First =
        this->answeredBy<Confirmed>(Deadline, std::move(Done), Silence());
    this->carryOut(Vm, To, [=](Machine &Of, bool IsAnswered) {
      const Confirmed Answer = Of.Executor->pace(Order, Token);
      if (IsAnswered)
        First(Answer);
    });
  };
  return Made;
}

std::vector<jobs::MachineInfo> SimulatedPlatform::machineList() const {
  std::vector<jobs::MachineInfo> List;
  for (const auto &[Name, Each] : this->Machines) {
    jobs::MachineInfo Info;
    Info.Name = Name;
    Info.Pool = Each->Setup.Pool;
    Info.State = Each->State;
    Info.DataCentre = Each->Setup.DataCentre;
    Info.Labels = labelsOf(Each->Setup);
    Info.Capacity = Each->Setup.Capacity;
    if (Each->Executor)
      Info.Executor = Each->Executor->info().Id;
    List.push_back(std::move(Info));
  }
  return List;
}

std::vector<jobs::MachineName> SimulatedPlatform::machineNames() const {
  std::vector<jobs::MachineName> Names;
  for (const auto &[Name, Each] : this->Machines)
    Names.push_back(Name);
  return Names;
}

/// Checks who orders a machine, and whether it can be ordered.
jobs::GatewayResult<void>
SimulatedPlatform::order(const jobs::MachineOrderer &By, Machine &Of) {
  const TimePoint Now = this->Time.Now();
  const std::string Name = Of.Setup.Name.text();
  if (By.Token < Of.HighestToken)
    this->Ledger.noteViolation("a lower token after a higher one for " + Name);
  if (!Of.LastHolder.empty() && Of.LastHolder != By.Holder &&
      Now < Of.LastOrder + HolderDistance)
    this->Ledger.noteViolation("holders take turns with " + Name);
  Of.HighestToken = std::max(Of.HighestToken, By.Token);
  Of.LastHolder = By.Holder;
  Of.LastOrder = Now;
  if (Of.State != MachineState::Up)
    return failure(GatewayError{GatewayErrorCode::Busy, "it is not up"});
  return success();
}

jobs::MachineGateway SimulatedPlatform::machines(const EntryName &) {
  const auto After = [this](std::function<void()> Call) {
    this->Loop.schedule(this->Time.Now() + 2 * TravelTime, std::move(Call));
  };
  jobs::MachineGateway Made;
  Made.List = [this, After](
                  TimePoint,
                  jobs::GatewayCallback<std::vector<jobs::MachineInfo>> Done) {
    After([this, Done = std::move(Done)] { Done(this->machineList()); });
  };
  Made.Move = [this, After](const jobs::MachineOrderer &By,
                            const jobs::MachineName &Name,
                            const ServiceName &Pool, TimePoint,
                            const jobs::GatewayCallback<void> &Done) {
    After([=, this] {
      Machine &Of = *this->Machines.at(Name);
      if (Of.State == MachineState::Up && Of.Setup.Pool == Pool) {
        Done(success());
        return;
      }
      const auto Checked = this->order(By, Of);
      if (Checked)
        this->leave(Of, MachineState::Moving, MoveTime, Pool);
      Done(Checked);
    });
  };
  Made.Maintain = [this, After](const jobs::MachineOrderer &By,
                                const jobs::MachineName &Name, uint64_t Wave,
                                TimePoint,
                                const jobs::GatewayCallback<void> &Done) {
    After([=, this] {
      Machine &Of = *this->Machines.at(Name);
      if (Of.WavesDone.contains(Wave)) {
        Done(success());
        return;
      }
      const auto Checked = this->order(By, Of);
      if (Checked) {
        Of.WavesDone.insert(Wave);
        const auto Down = static_cast<size_t>(std::count_if(
            this->Machines.begin(), this->Machines.end(),
            [](const auto &Entry) {
              return Entry.second->State == MachineState::Maintenance;
            }));
        if (Down >= this->Waves.at(Wave).MostAtOnce)
          this->Ledger.noteViolation("too many machines of a wave are down");
        this->leave(Of, MachineState::Maintenance, MaintenanceTime,
                    Of.Setup.Pool);
      }
      Done(Checked);
    });
  };
  return Made;
}

template <typename Number>
static std::optional<Number> parseNumber(const std::string &Text) {
  Number Read = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Read);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Read;
}

jobs::PlatformWords SimulatedPlatform::words() {
  jobs::PlatformWords Words;
  Words.ConfigurationKey = ConfigurationKey;
  Words.OperatorPrefix = "declared/";
  Words.ExecutorPrefix = ExecutorPrefix;
  Words.WavePrefix = WavePrefix;
  Words.WaveStatusKey = [](uint64_t Wave) {
    return "reported/wave/" + std::to_string(Wave);
  };
  Words.EncodeWaveStatus = [](bool IsCompleted) {
    return std::string(IsCompleted ? "completed" : "running");
  };
  Words.DecodeConfiguration = [this](const std::string &Text)
      -> jobs::DecodeResult<jobs::FleetConfiguration> {
    const auto Version = parseNumber<uint64_t>(Text);
    if (!Version || !this->Configurations.contains(*Version))
      return failure(DecodeError{"no such configuration: " + Text});
    return this->Configurations.at(*Version);
  };
  Words.DecodeWave =
      [this](const std::string &Text) -> jobs::DecodeResult<jobs::WaveRequest> {
    const auto Number = parseNumber<uint64_t>(Text);
    if (!Number || !this->Waves.contains(*Number))
      return failure(DecodeError{"no such wave: " + Text});
    return this->Waves.at(*Number);
  };
  Words.DecodeExecutor = [this](const std::string &Key, const std::string &Text)
      -> jobs::DecodeResult<jobs::ExecutorInfo> {
    const auto Found = this->Machines.find(jobs::MachineName(Text));
    const jobs::ExecutorId Id(Key.substr(ExecutorPrefix.size()));
    if (Found == this->Machines.end())
      return failure(DecodeError{"no such machine: " + Text});
    const Machine &Of = *Found->second;
    if (Of.Executor && Of.Executor->info().Id == Id)
      return Of.Executor->info();
    // The entry of an executor that is gone stays for a while.
    return executorOn(Of.Setup, Id);
  };
  Words.DecodeJob =
      [this](const jobs::JobId &Id,
             const std::string &Body) -> jobs::DecodeResult<jobs::JobSpec> {
    const auto Found = this->Templates.find(Body);
    if (Found == this->Templates.end())
      return failure(DecodeError{"no such template: " + Body});
    jobs::JobSpec Spec = Found->second;
    Spec.Id = Id;
    Spec.TaskText = Body;
    return Spec;
  };
  Words.EncodeState = [](jobs::JobState State) {
    return std::string(nameOf(jobs::JobStateNames, State));
  };
  Words.EncodeWaiting = [](size_t Waiting) { return std::to_string(Waiting); };
  return Words;
}

} // namespace whintack::simulation
