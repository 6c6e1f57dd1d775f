#include "arguments.h"
#include "checkreport.h"
#include "commands.h"
#include "exitcode.h"
#include "localinput.h"
#include "operatorclient.h"
#include "table.h"

#include "whintack/base/log.h"
#include "whintack/base/random.h"
#include "whintack/fleet/budget.h"
#include "whintack/load/loadgenerator.h"
#include "whintack/local/availabilitymonitor.h"
#include "whintack/local/localfleet.h"

#include <algorithm>
#include <cstdio>

namespace whintack::commands::Internal {

using web::json::value;

static constexpr Duration StepTimeout = std::chrono::seconds(60);
static constexpr Duration WaveTimeout = std::chrono::seconds(180);
static constexpr Duration DemoPollInterval = std::chrono::milliseconds(100);
static constexpr const char *MaintenancePreset = "maintenance";

namespace {

/// Runs the steps of the demo and records which checks failed.
class Demo {
public:
  Demo(const LocalInput &Input, const Clock &Time, const Random &Source,
       TimerQueue &Timers);

  int run();

private:
  bool waitUntil(const std::function<bool()> &Condition, Duration Timeout);
  value call(OperatorClient &Client, const std::string &Path, const value &Body,
             int ExpectedStatus);
  value status();
  bool applyDeclaration();
  bool waitForServers();
  load::LoadPlan loadPlan() const;
  void changePreset();
  void runWaves();
  bool wavesEnded();
  void waitForMoves();
  void submitJobs();
  void checkJobs();
  std::map<PoolName, int64_t> requiredByPool(const std::string &Preset) const;
  void printSummary(const load::LoadReport &Load);
  void checkLoad(const load::LoadReport &Load);

  const LocalInput &Input;
  Clock Time;
  Random Source;
  TimerQueue &Timers;
  local::LocalFleet Fleet;
  OperatorClient FirstOperator;
  OperatorClient SecondOperator;
  CheckReport Checks;
  std::map<PoolName, local::AvailabilityMinimum> LowestAvailability;
  Duration TimeToPreset = Duration::zero();
  Duration TimeToInForce = Duration::zero();
  Duration WaveTime = Duration::zero();
  Duration FirstTaskTime = Duration::zero();
  uint64_t SubmittedTasks = 0;
  int64_t Moves = 0;
  int64_t SpareVms = 0;
};

} // namespace

static std::vector<Address>
operatorAddresses(const local::LocalSettings &Local) {
  std::vector<Address> Addresses;
  for (const settings::EntrySettings &Entry : local::entrySettings(Local))
    Addresses.push_back(Entry.OperatorListener);
  return Addresses;
}

static std::string operatorToken(const LocalInput &Input, size_t Operator) {
  const auto &Accounts = Input.Local.Operators;
  return Accounts[Operator % Accounts.size()].Name.text() +
         local::LocalTokenSuffix;
}

Demo::Demo(const LocalInput &Input, const Clock &Time, const Random &Source,
           TimerQueue &Timers)
    : Input(Input), Time(Time), Source(Source), Timers(Timers),
      Fleet(Input.Local, local::servicesByPool(Input.Declared), Time, Source,
            Timers),
      FirstOperator(operatorAddresses(Input.Local), operatorToken(Input, 0),
                    Time, Timers),
      SecondOperator(operatorAddresses(Input.Local), operatorToken(Input, 1),
                     Time, Timers) {}

bool Demo::waitUntil(const std::function<bool()> &Condition, Duration Timeout) {
  const TimePoint Deadline = this->Time.Now() + Timeout;
  const StopSignal Pause;
  while (!Condition()) {
    if (this->Time.Now() >= Deadline)
      return false;
    Pause.waitFor(DemoPollInterval);
  }
  return true;
}

value Demo::call(OperatorClient &Client, const std::string &Path,
                 const value &Body, int ExpectedStatus) {
  const std::string Text =
      Body.is_string() ? Body.as_string() : Body.serialize();
  const auto Response = Client.post(Path, Text, randomIdentifier(this->Source));
  const bool IsExpected = Response && Response.value().Status == ExpectedStatus;
  if (!IsExpected)
    this->Checks.check(
        false,
        Path + " answers " + std::to_string(ExpectedStatus) +
            (Response ? ", not " + std::to_string(Response.value().Status) +
                            ": " + Response.value().errorText()
                      : ": " + Response.error().Message));
  return Response ? Response.value().Body : value::object();
}

value Demo::status() {
  const auto Response = this->FirstOperator.get("/api/v1/status");
  return Response ? Response.value().Body : value::object();
}

bool Demo::applyDeclaration() {
  const value Applied = this->call(
      this->FirstOperator, "/api/v1/apply?revision=0&preset=ordinary",
      value(this->Input.DeclarationText), http::status::Ok);
  const auto IsInForce = [this] {
    for (size_t Index = 0; Index < this->Fleet.size(); ++Index)
      if (!this->Fleet.node(Index).isReady())
        return false;
    return true;
  };
  return textAt(Applied, "outcome") == "accepted" &&
         this->waitUntil(IsInForce, StepTimeout);
}

std::map<PoolName, int64_t>
Demo::requiredByPool(const std::string &Preset) const {
  std::map<PoolName, int64_t> Required;
  const auto *TargetPreset = this->Input.Declared.preset(PresetName(Preset));
  for (const auto &[Name, Service] : this->Input.Declared.Services) {
    const int64_t Target = TargetPreset->Vms.at(Service.HostPool);
    Required[Service.HostPool] = fleet::requiredExecutors(Service, Target);
  }
  return Required;
}

/// Waits until every pool has the VMs of the ordinary preset, every budget is
/// met and every entry VM can use all of its peers.
bool Demo::waitForServers() {
  const auto *Ordinary = this->Input.Declared.preset(PresetName("ordinary"));
  return this->waitUntil(
      [&] {
        std::map<PoolName, int64_t> VmsByPool;
        for (const store::VmInfo &Vm : this->Fleet.platform().machines().now())
          ++VmsByPool[Vm.Pool];
        for (const auto &[Pool, Count] : Ordinary->Vms)
          if (VmsByPool[Pool] < Count)
            return false;
        const value Status = this->status();
        if (!Status.has_field("budgets"))
          return false;
        for (const value &Row : Status.at("budgets").as_array())
          if (numberAt(Row, "room") < 0)
            return false;
        for (size_t Index = 0; Index < this->Fleet.size(); ++Index)
          if (this->Fleet.node(Index).usablePeers() + 1 < this->Fleet.size())
            return false;
        return true;
      },
      StepTimeout);
}

load::LoadPlan Demo::loadPlan() const {
  load::LoadPlan Plan;
  for (const settings::EntrySettings &Entry : this->Fleet.entries())
    Plan.Targets.push_back(Entry.CallerListener);
  for (const auto &[Name, Service] : this->Input.Declared.Services)
    Plan.Services.push_back(Name.text());
  constexpr unsigned ConcurrentRequests = 32;
  Plan.Concurrency = ConcurrentRequests;
  Plan.Work = std::chrono::milliseconds(5);
  return Plan;
}

void Demo::changePreset() {
  std::puts("two operators choose a preset at once");
  value Choice;
  Choice["preset"] = value(MaintenancePreset);
  const value Preview = this->call(this->FirstOperator, "/api/v1/preset/choose",
                                   Choice, http::status::Ok);
  this->call(this->SecondOperator, "/api/v1/preset/choose", Choice,
             http::status::Ok);
  if (Preview.has_field("estimate")) {
    this->Moves = numberAt(Preview.at("estimate"), "moves");
    this->SpareVms = numberAt(Preview.at("estimate"), "spareVms");
  }
  value Confirmation;
  Confirmation["token"] = value(textAt(Preview, "token"));
  const TimePoint StartTime = this->Time.Now();
  const value FirstResult =
      this->call(this->FirstOperator, "/api/v1/preset/confirm", Confirmation,
                 http::status::Ok);
  const value SecondResult =
      this->call(this->SecondOperator, "/api/v1/preset/confirm", Confirmation,
                 http::status::Conflict);
  this->Checks.check(textAt(FirstResult, "outcome") == "accepted" &&
                         textAt(SecondResult, "outcome") == "refused",
                     "exactly one of two racing operators is accepted");
  const auto Revision =
      static_cast<uint64_t>(numberAt(FirstResult, "revision"));
  const bool IsInForce = this->waitUntil(
      [&] {
        for (size_t Index = 0; Index < this->Fleet.size(); ++Index)
          if (this->Fleet.node(Index).revision() < Revision)
            return false;
        return true;
      },
      StepTimeout);
  this->TimeToInForce = this->Time.Now() - StartTime;
  this->Checks.check(IsInForce, "the preset is in force at every entry VM");
  this->waitForMoves();
  this->TimeToPreset = this->Time.Now() - StartTime;
}

void Demo::waitForMoves() {
  const auto *TargetPreset =
      this->Input.Declared.preset(PresetName(MaintenancePreset));
  const bool HasReachedPreset = this->waitUntil(
      [&] {
        std::map<PoolName, int64_t> VmsByPool;
        for (const store::VmInfo &Vm : this->Fleet.platform().machines().now())
          if (Vm.State == store::VmState::Live)
            ++VmsByPool[Vm.Pool];
        for (const auto &[Pool, Count] : TargetPreset->Vms)
          if (VmsByPool[Pool] < Count)
            return false;
        return true;
      },
      WaveTimeout);
  this->Checks.check(HasReachedPreset, "the fleet follows the preset");
}

bool Demo::wavesEnded() {
  const value Status = this->status();
  if (!Status.has_field("waves"))
    return false;
  size_t Finished = 0;
  for (const value &Row : Status.at("waves").as_array())
    if (textAt(Row, "state") == "finished")
      ++Finished;
  return Finished == this->Input.Declared.Pools.size();
}

void Demo::runWaves() {
  std::puts("a maintenance wave goes through every pool");
  const TimePoint StartTime = this->Time.Now();
  for (const auto &[Name, Pool] : this->Input.Declared.Pools) {
    value Start;
    Start["pool"] = value(Name.text());
    Start["action"] = value("start");
    this->call(this->FirstOperator, "/api/v1/wave", Start, http::status::Ok);
  }
  const bool HasEnded =
      this->waitUntil([this] { return this->wavesEnded(); }, WaveTimeout);
  this->WaveTime = this->Time.Now() - StartTime;
  this->Checks.check(HasEnded, "every wave finishes");
}

void Demo::checkLoad(const load::LoadReport &Load) {
  const standin::ExecutionCounts Counts =
      this->Fleet.platform().executionCounter().counts();
  this->Checks.check(Load.MismatchedAnswers == 0,
                     "every caller gets the whole answer to its own request");
  this->Checks.check(Load.Failed == 0, "no caller is left without an outcome");
  this->Checks.check(Load.Unknown == 0,
                     "no request ends with its outcome unknown");
  this->Checks.check(Counts.DuplicateExecutions == 0, "no order runs twice");
  bool IsNotRunAccurate = true;
  for (const std::string &Order : Load.OrdersNotRun)
    if (this->Fleet.platform().executionCounter().executions(Order) > 0)
      IsNotRunAccurate = false;
  this->Checks.check(IsNotRunAccurate,
                     "what callers are told was not run was not run");
  int64_t MaxSlots = 0;
  for (const auto &[Name, Service] : this->Input.Declared.Services)
    MaxSlots = std::max(MaxSlots, Service.Slots);
  this->Checks.check(Counts.MaxRunning <= MaxSlots,
                     "no server runs more than its slots (most seen " +
                         std::to_string(Counts.MaxRunning) + " of " +
                         std::to_string(MaxSlots) + ")");
  for (const auto &[Pool, Low] : this->LowestAvailability)
    this->Checks.check(Low.Lowest >= Low.Required,
                       "budget of pool " + Pool.text() + ": lowest " +
                           std::to_string(Low.Lowest) + ", required " +
                           std::to_string(Low.Required));
}

/// Submits every job of the declaration and waits until the first task has
/// started.
void Demo::submitJobs() {
  std::puts("every job of the declaration is submitted");
  const TimePoint StartTime = this->Time.Now();
  for (const auto &[Name, Job] : this->Input.Declared.Jobs) {
    value Submitted;
    Submitted["action"] = value("submit");
    Submitted["job"] = value(Name.text());
    this->call(this->FirstOperator, "/api/v1/job", Submitted, http::status::Ok);
    this->SubmittedTasks += static_cast<uint64_t>(Job.Tasks);
  }
  this->Checks.check(
      this->waitUntil(
          [this] {
            return this->Fleet.platform().machines().counts().TaskStarts > 0;
          },
          StepTimeout),
      "tasks start");
  this->FirstTaskTime = this->Time.Now() - StartTime;
}

void Demo::checkJobs() {
  uint64_t Done = 0;
  const auto HasEnded = [&] {
    const auto Response = this->FirstOperator.get("/api/v1/jobs");
    Done = 0;
    if (Response && Response.value().Body.is_array())
      for (const value &Row : Response.value().Body.as_array())
        Done += static_cast<uint64_t>(numberAt(Row, "done"));
    return Done == this->SubmittedTasks;
  };
  const bool AllDone = this->waitUntil(HasEnded, WaveTimeout);
  this->Checks.check(AllDone, "every task finishes (" + std::to_string(Done) +
                                  " of " +
                                  std::to_string(this->SubmittedTasks) + ")");
}

static std::string secondsText(Duration Length) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.1f s",
                std::chrono::duration<double>(Length).count());
  return Text.data();
}

void Demo::printSummary(const load::LoadReport &Load) {
  Table Entries({"ENTRY", "REVISION", "PRESET", "DONE", "NOT-RUN", "UNKNOWN",
                 "BORROWED"});
  for (size_t Index = 0; Index < this->Fleet.size(); ++Index) {
    const entry::EntryNode &Node = this->Fleet.node(Index);
    const routing::RouterCounts Counts = Node.counts();
    Entries.addRow(
        {this->Fleet.entries()[Index].Name.text(),
         std::to_string(Node.revision()), Node.preset(),
         std::to_string(Counts.Answered), std::to_string(Counts.NotRun),
         std::to_string(Counts.Unknown), std::to_string(Counts.SlotsBorrowed)});
  }
  std::printf("\n%s\n", Entries.text().c_str());
  constexpr double MicrosecondsPerMillisecond = 1000;
  std::printf("requests: done %llu, not run %llu, unknown %llu; %.0f a second, "
              "p50 %.1f ms, p99 %.1f ms\n",
              static_cast<unsigned long long>(Load.Done),
              static_cast<unsigned long long>(Load.NotRun),
              static_cast<unsigned long long>(Load.Unknown), Load.perSecond(),
              static_cast<double>(Load.percentile(50).count()) /
                  MicrosecondsPerMillisecond,
              static_cast<double>(Load.percentile(99).count()) /
                  MicrosecondsPerMillisecond);
  const standin::VmCounts Vms = this->Fleet.platform().machines().counts();
  const standin::StoreCalls Calls = this->Fleet.platform().store().calls();
  std::printf("buffer cost: %lld VMs spare\n",
              static_cast<long long>(this->SpareVms));
  std::printf("roll-out: in force after %s, VMs moved after %s, waves done "
              "after %s\n",
              secondsText(this->TimeToInForce).c_str(),
              secondsText(this->TimeToPreset).c_str(),
              secondsText(this->WaveTime).c_str());
  std::printf("jobs: %llu tasks, first one started after %s\n",
              static_cast<unsigned long long>(this->SubmittedTasks),
              secondsText(this->FirstTaskTime).c_str());
  std::printf("moves: %lld VMs; reboots: %llu\n",
              static_cast<long long>(this->Moves),
              static_cast<unsigned long long>(Vms.Reboots));
  std::printf("calls to the platform's store: %llu reads, %llu writes, %llu "
              "for leases\n",
              static_cast<unsigned long long>(Calls.Reads),
              static_cast<unsigned long long>(Calls.Writes),
              static_cast<unsigned long long>(Calls.LeaseCalls));
}

int Demo::run() {
  if (const auto Started = this->Fleet.start(); !Started) {
    std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
    return static_cast<int>(ExitCode::Unknown);
  }
  std::printf("%zu entry VMs and %zu backend server VMs are up\n",
              this->Fleet.size(), local::workerVms(this->Input.Local).size());
  this->Checks.check(this->applyDeclaration(), "the declaration is in force");
  this->Checks.check(this->waitForServers(), "every pool gets its VMs");
  local::AvailabilityMonitor Monitor(this->Fleet.platform().machines());
  Monitor.start(this->requiredByPool(MaintenancePreset));
  load::LoadGenerator Load(this->loadPlan(), this->Time, this->Source,
                           this->Timers);
  Load.start();
  if (this->Checks.allPassed()) {
    this->changePreset();
    this->submitJobs();
    this->runWaves();
    this->checkJobs();
  }
  const load::LoadReport Report = Load.stop();
  this->LowestAvailability = Monitor.stop();
  std::puts("checks");
  this->checkLoad(Report);
  this->printSummary(Report);
  const size_t CutOff = this->Fleet.stop();
  this->Checks.check(CutOff == 0,
                     "the entry VMs stop without cutting off requests");
  std::printf("\n%s\n", this->Checks.allPassed() ? "all promises held"
                                                 : "SOME PROMISES ARE BROKEN");
  return static_cast<int>(this->Checks.allPassed() ? ExitCode::Done
                                                   : ExitCode::Refused);
}

int runDemo(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "[--settings FILE] [--declaration FILE]\n\nRuns a whole fleet on this "
      "machine under load, changes the preset, maintains every VM, and checks "
      "each promise.",
      localOptions(
          {{"seed", OptionKind::Number, "seed of the random numbers", "1"},
           {"verbose", OptionKind::Flag, "log every event", ""}}),
      Args, Exit);
  if (!Options)
    return Exit;
  const std::optional<LocalInput> Input = readLocalInput(*Options);
  if (!Input)
    return static_cast<int>(ExitCode::BadInput);
  if (!Options->flag("verbose"))
    setLogLevel(LogLevel::Error);
  http::initializeHttpThreads(static_cast<unsigned>(Input->Local.HttpThreads));
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  Demo DemoRun(*Input, Time,
               seededRandom(static_cast<uint64_t>(Options->number("seed"))),
               Timers);
  return DemoRun.run();
}

} // namespace whintack::commands::Internal
