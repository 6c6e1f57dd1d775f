#include "arguments.h"
#include "checkreport.h"
#include "commands.h"
#include "exitcode.h"

#include "whintack/base/log.h"
#include "whintack/dispatch/fleetnode.h"
#include "whintack/http/httpclient.h"
#include "whintack/simulation/examplefleet.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <future>
#include <iomanip>
#include <sstream>
#include <thread>

namespace whintack::commands::Internal {

using simulation::StoreFaultMode;

static constexpr size_t NodeCount = 3;
static constexpr Duration CallTimeout = std::chrono::seconds(4);
/// Time that entry VMs need to discover each other and to claim the services.
static constexpr Duration SettleTime = std::chrono::seconds(3);
static constexpr Duration SubmitInterval = std::chrono::milliseconds(50);
static constexpr Duration CompletionTimeout = std::chrono::seconds(20);

namespace {

/// Runs entry VMs with real listeners on a simulated platform, submits jobs,
/// injects faults and checks the guarantees of the system.
class FleetDemo {
public:
  int run();

private:
  void start();
  /// Runs \p Call on the thread of the simulated platform and waits for its
  /// end.
  void runOnLoop(const std::function<void()> &Call);
  http::HttpResult call(size_t Node, const std::string &Method,
                        const std::string &Path, const std::string &Body);
  void submit(const std::string &Template);
  /// Submits jobs for the time \p Length.
  void submitFor(Duration Length);
  bool waitForCompletion();
  void checkErrorResponses();
  void checkFaults();
  void checkLedger();

  Clock Time = systemClock();
  Random Source = systemRandom();
  TimerQueue Timers{this->Time};
  TimerQueue Loop{this->Time};
  simulation::SimulatedPlatform Platform{this->Time, this->Loop, this->Source};
  std::vector<std::unique_ptr<dispatch::FleetNode>> Nodes;
  std::vector<Address> CallerAddresses;
  std::vector<std::string> Accepted;
  CheckReport Checks;
  size_t Refused = 0;
  uint64_t LastJob = 0;
};

} // namespace

static std::string nodeName(size_t Index) {
  return "e" + std::to_string(Index + 1);
}

static settings::EntrySettings nodeSettings(size_t Index) {
  constexpr uint16_t CallerPort = 8080;
  constexpr uint16_t PeerPort = 8082;
  constexpr uint16_t ReadyPort = 8083;
  const std::string Host = "127.78.1." + std::to_string(Index + 1);
  settings::EntrySettings Settings;
  Settings.Name = EntryName(nodeName(Index));
  Settings.DataCentre = DataCentreName(Index % 2 == 0 ? "d1" : "d2");
  Settings.CallerListener = {Host, CallerPort};
  Settings.PeerListener = {Host, PeerPort};
  Settings.Fleet.ReadyListener = {Host, ReadyPort};
  Settings.Fleet.MaxLease = std::chrono::seconds(6);
  Settings.StopTimeout = std::chrono::seconds(5);
  return Settings;
}

void FleetDemo::runOnLoop(const std::function<void()> &Call) {
  std::promise<void> Finished;
  this->Loop.post([&] {
    Call();
    Finished.set_value();
  });
  Finished.get_future().get();
}

void FleetDemo::start() {
  this->runOnLoop([this] { simulation::addExampleFleet(this->Platform); });
  for (size_t Index = 0; Index < NodeCount; ++Index) {
    const settings::EntrySettings Settings = nodeSettings(Index);
    dispatch::NodeConnections Connections;
    Connections.Store = this->Platform.store().interface(Settings.Name);
    Connections.Executors = this->Platform.executors(Settings.Name);
    Connections.Machines = this->Platform.machines(Settings.Name);
    Connections.Codec = this->Platform.codec();
    this->CallerAddresses.push_back(Settings.CallerListener);
    this->Nodes.push_back(std::make_unique<dispatch::FleetNode>(
        Settings, std::move(Connections), this->Time, this->Source, this->Loop,
        this->Timers));
    const auto Started = this->Nodes.back()->start();
    this->Checks.check(Started.has_value(),
                       Settings.Name.text() + " listens on " +
                           Settings.CallerListener.text() +
                           (Started ? "" : ": " + Started.error().Message));
  }
  std::this_thread::sleep_for(SettleTime);
}

http::HttpResult FleetDemo::call(size_t Node, const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body) {
  http::HttpRequest Request;
  Request.Method = Method;
  Request.Target = Path;
  Request.Headers.set("Host", simulation::ExampleHost);
  Request.Body = Body;
  return http::callAndWait(
      this->CallerAddresses[Node % this->CallerAddresses.size()], Request,
      this->Time.Now() + CallTimeout, this->Timers);
}

void FleetDemo::submit(const std::string &Template) {
  constexpr int IdDigits = 16;
  std::ostringstream Id;
  Id << std::hex << std::setw(IdDigits) << std::setfill('0') << ++this->LastJob;
  const std::string Queue = this->LastJob % 2 == 0 ? "quotes" : "payouts";
  const std::string Path = "/" + Queue + "/" + Id.str();
  this->runOnLoop([&] {
    const auto Spec =
        this->Platform.codec().DecodeJob(jobs::JobId(Id.str()), Template);
    this->Platform.runChecker().noteSubmitted(Spec.value(),
                                              simulation::ExampleMaxAttempts);
  });
  const auto Response = this->call(this->LastJob, "POST", Path, Template);
  if (Response && Response.value().Status == http::status::Ok)
    this->Accepted.push_back(Path);
  else
    ++this->Refused;
}

void FleetDemo::submitFor(Duration Length) {
  const TimePoint End = this->Time.Now() + Length;
  while (this->Time.Now() < End) {
    this->submit(this->LastJob % 3 == 0 ? "chain" : "short");
    std::this_thread::sleep_for(SubmitInterval);
  }
}

/// Waits until all accepted jobs are reported as completed. Returns false after
/// CompletionTimeout.
bool FleetDemo::waitForCompletion() {
  const TimePoint Deadline = this->Time.Now() + CompletionTimeout;
  size_t Node = 0;
  return std::all_of(this->Accepted.begin(), this->Accepted.end(),
                     [&](const std::string &Path) {
                       while (this->Time.Now() < Deadline) {
                         const auto Response =
                             this->call(++Node, "GET", Path, "");
                         if (Response && Response.value().Body == "completed")
                           return true;
                         std::this_thread::sleep_for(SubmitInterval);
                       }
                       return false;
                     });
}

void FleetDemo::checkErrorResponses() {
  std::puts("bad input");
  const auto CallStatus = [this](const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body) {
    const auto Response = this->call(0, Method, Path, Body);
    return Response ? Response.value().Status : 0;
  };
  constexpr int Gone = 410;
  this->Checks.check(CallStatus("POST", "/quotes/00000000000000ff", "?") ==
                         http::status::BadRequest,
                     "a body that cannot be read is refused with 400");
  this->Checks.check(CallStatus("POST", "/none/00000000000000ff", "short") ==
                         http::status::NotFound,
                     "a queue that does not exist is answered 404");
  this->Checks.check(CallStatus("GET", "/quotes/00000000000000ff", "") == Gone,
                     "a job that nobody handed in is answered 410");
}

void FleetDemo::checkFaults() {
  std::puts("the store turns one VM away for 4 s");
  this->runOnLoop([this] {
    this->Platform.store().setFaultMode(EntryName(nodeName(0)),
                                        StoreFaultMode::Refused);
  });
  const size_t RefusedBefore = this->Refused;
  this->submitFor(std::chrono::seconds(4));
  this->Checks.check(this->Refused == RefusedBefore,
                     "it takes jobs in all the while, through its peers");
  this->runOnLoop([this] {
    this->Platform.store().setFaultModeForAll(StoreFaultMode::Served);
  });

  std::puts("two machines lose power, answers are lost for 3 s");
  this->runOnLoop([this] {
    this->Platform.crash(jobs::MachineName("m0"), std::chrono::seconds(3));
    this->Platform.crash(jobs::MachineName("m5"), std::chrono::seconds(3));
    this->Platform.setCallFaults({0.05, 0.05});
  });
  this->submitFor(std::chrono::seconds(3));
  this->runOnLoop([this] { this->Platform.setCallFaults({}); });

  std::puts("an entry VM stops and hands its services over");
  const size_t Stopped = NodeCount - 1;
  size_t CutOff = 0;
  std::atomic<bool> IsStopped{false};
  std::thread Stopping([&] {
    CutOff = this->Nodes[Stopped]->stop();
    IsStopped = true;
  });
  this->CallerAddresses.pop_back();
  while (!IsStopped) {
    this->submit("short");
    std::this_thread::sleep_for(SubmitInterval);
  }
  Stopping.join();
  this->Checks.check(CutOff == 0, "it cuts off no request");
  this->submitFor(std::chrono::seconds(1));
}

void FleetDemo::checkLedger() {
  std::vector<std::string> Violations;
  size_t Starts = 0;
  this->runOnLoop([&] {
    Violations = this->Platform.runChecker().violations();
    Starts = this->Platform.runChecker().starts();
  });
  for (const std::string &Text : Violations)
    std::printf("  BROKEN %s\n", Text.c_str());
  this->Checks.check(Violations.empty(),
                     "no task ran twice, too early or after its end (" +
                         std::to_string(Starts) + " starts)");
}

int FleetDemo::run() {
  std::puts("entry VMs on a simulated platform of 12 machines");
  this->start();
  std::puts("jobs come in for 3 s");
  this->submitFor(std::chrono::seconds(3));
  this->Checks.check(this->Refused == 0,
                     "every job is accepted (" +
                         std::to_string(this->Accepted.size()) + ")");
  this->checkErrorResponses();
  this->checkFaults();
  this->Checks.check(this->waitForCompletion(),
                     "every accepted job is shown as completed (" +
                         std::to_string(this->Accepted.size()) + ")");
  this->checkLedger();
  for (const std::unique_ptr<dispatch::FleetNode> &Node : this->Nodes)
    if (Node != this->Nodes.back())
      Node->stop();
  std::puts(this->Checks.allPassed() ? "all promises held" : "promises broken");
  std::fflush(stdout);
  return static_cast<int>(this->Checks.allPassed() ? ExitCode::Done
                                                   : ExitCode::Refused);
}

int runFleetDemo(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "\n\nRuns three entry VMs on loopback addresses against a simulated "
      "platform, hands jobs in, lets things go wrong and checks what was "
      "promised.",
      {{"verbose", OptionKind::Flag, "show the log", ""}}, Args, Exit);
  if (!Options)
    return Exit;
  if (!Options->flag("verbose"))
    setLogLevel(LogLevel::Error);
  auto Demo = std::make_unique<FleetDemo>();
  const int Code = Demo->run();
  // Pending calls still refer to the demo, so the process exits without
  // destroying it.
  std::_Exit(Code);
}

} // namespace whintack::commands::Internal
