#include "arguments.h"
#include "commands.h"
#include "exitcode.h"
#include "promises.h"

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

using simulation::StorePath;

static constexpr size_t NodeCount = 3;
static constexpr Duration CallTimeout = std::chrono::seconds(4);
/// Time for entry VMs to find each other and claim the services.
static constexpr Duration SettleTime = std::chrono::seconds(3);
static constexpr Duration JobPause = std::chrono::milliseconds(50);
static constexpr Duration EndTimeout = std::chrono::seconds(20);

namespace {

/// Runs entry VMs with real listeners on a simulated platform, hands jobs in,
/// lets things go wrong and checks what was promised.
class FleetDemo {
public:
  int run();

private:
  void start();
  /// Calls on the thread on which everything simulated runs.
  void onLoop(const std::function<void()> &Call);
  http::HttpResult call(size_t Node, const std::string &Method,
                        const std::string &Path, const std::string &Body);
  void submit(const std::string &Template);
  /// Hands jobs in for \p Length.
  void work(Duration Length);
  bool allEnd();
  void checkAnswers();
  void checkTroubles();
  void checkLedger();

  Clock Time = systemClock();
  Random Source = systemRandom();
  TimerQueue Timers{this->Time};
  TimerQueue Loop{this->Time};
  simulation::SimulatedPlatform Platform{this->Time, this->Loop, this->Source};
  std::vector<std::unique_ptr<dispatch::FleetNode>> Nodes;
  std::vector<Address> Doors;
  std::vector<std::string> Accepted;
  Promises Kept;
  size_t Refused = 0;
  uint64_t LastJob = 0;
};

} // namespace

static std::string nameOfNode(size_t Index) {
  return "e" + std::to_string(Index + 1);
}

static settings::EntrySettings settingsOf(size_t Index) {
  constexpr uint16_t CallerPort = 8080;
  constexpr uint16_t PeerPort = 8082;
  constexpr uint16_t ReadyPort = 8083;
  const std::string Host = "127.78.1." + std::to_string(Index + 1);
  settings::EntrySettings Made;
  Made.Name = EntryName(nameOfNode(Index));
  Made.DataCentre = DataCentreName(Index % 2 == 0 ? "d1" : "d2");
  Made.CallerListener = {Host, CallerPort};
  Made.PeerListener = {Host, PeerPort};
  Made.Fleet.ReadyListener = {Host, ReadyPort};
  Made.Fleet.LongestLease = std::chrono::seconds(6);
  Made.StopTimeout = std::chrono::seconds(5);
  return Made;
}

void FleetDemo::onLoop(const std::function<void()> &Call) {
  std::promise<void> Called;
  this->Loop.post([&] {
    Call();
    Called.set_value();
  });
  Called.get_future().get();
}

void FleetDemo::start() {
  this->onLoop([this] { simulation::addExampleFleet(this->Platform); });
  for (size_t Index = 0; Index < NodeCount; ++Index) {
    const settings::EntrySettings Settings = settingsOf(Index);
    dispatch::NodeConnections Connections;
    Connections.Store = this->Platform.store().interface(Settings.Name);
    Connections.Executors = this->Platform.executors(Settings.Name);
    Connections.Machines = this->Platform.machines(Settings.Name);
    Connections.Words = this->Platform.words();
    this->Doors.push_back(Settings.CallerListener);
    this->Nodes.push_back(std::make_unique<dispatch::FleetNode>(
        Settings, std::move(Connections), this->Time, this->Source, this->Loop,
        this->Timers));
    const auto Started = this->Nodes.back()->start();
    this->Kept.expect(Started.has_value(),
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
  return http::callAndWait(this->Doors[Node % this->Doors.size()], Request,
                           this->Time.Now() + CallTimeout, this->Timers);
}

void FleetDemo::submit(const std::string &Template) {
  constexpr int IdDigits = 16;
  std::ostringstream Id;
  Id << std::hex << std::setw(IdDigits) << std::setfill('0') << ++this->LastJob;
  const std::string Queue = this->LastJob % 2 == 0 ? "quotes" : "payouts";
  const std::string Path = "/" + Queue + "/" + Id.str();
  this->onLoop([&] {
    const auto Spec =
        this->Platform.words().DecodeJob(jobs::JobId(Id.str()), Template);
    this->Platform.ledger().noteSubmitted(Spec.value(),
                                          simulation::ExampleMostAttempts);
  });
  const auto Answer = this->call(this->LastJob, "POST", Path, Template);
  if (Answer && Answer.value().Status == http::status::Ok)
    this->Accepted.push_back(Path);
  else
    ++this->Refused;
}

void FleetDemo::work(Duration Length) {
  const TimePoint End = this->Time.Now() + Length;
  while (this->Time.Now() < End) {
    this->submit(this->LastJob % 3 == 0 ? "chain" : "short");
    std::this_thread::sleep_for(JobPause);
  }
}

/// Waits until all accepted jobs are shown as completed.
bool FleetDemo::allEnd() {
  const TimePoint Deadline = this->Time.Now() + EndTimeout;
  size_t Node = 0;
  return std::all_of(this->Accepted.begin(), this->Accepted.end(),
                     [&](const std::string &Path) {
                       while (this->Time.Now() < Deadline) {
                         const auto Answer =
                             this->call(++Node, "GET", Path, "");
                         if (Answer && Answer.value().Body == "completed")
                           return true;
                         std::this_thread::sleep_for(JobPause);
                       }
                       return false;
                     });
}

void FleetDemo::checkAnswers() {
  std::puts("bad input");
  const auto StatusOf = [this](const std::string &Method,
                               const std::string &Path,
                               const std::string &Body) {
    const auto Answer = this->call(0, Method, Path, Body);
    return Answer ? Answer.value().Status : 0;
  };
  constexpr int Gone = 410;
  this->Kept.expect(StatusOf("POST", "/quotes/00000000000000ff", "?") ==
                        http::status::BadRequest,
                    "a body that cannot be read is refused with 400");
  this->Kept.expect(StatusOf("POST", "/none/00000000000000ff", "short") ==
                        http::status::NotFound,
                    "a queue that does not exist is answered 404");
  this->Kept.expect(StatusOf("GET", "/quotes/00000000000000ff", "") == Gone,
                    "a job that nobody handed in is answered 410");
}

void FleetDemo::checkTroubles() {
  std::puts("the store turns one VM away for 4 s");
  this->onLoop([this] {
    this->Platform.store().setPath(EntryName(nameOfNode(0)),
                                   StorePath::Refused);
  });
  const size_t RefusedBefore = this->Refused;
  this->work(std::chrono::seconds(4));
  this->Kept.expect(this->Refused == RefusedBefore,
                    "it takes jobs in all the while, through its peers");
  this->onLoop(
      [this] { this->Platform.store().setPathOfAll(StorePath::Served); });

  std::puts("two machines lose power, answers are lost for 3 s");
  this->onLoop([this] {
    this->Platform.crash(jobs::MachineName("m0"), std::chrono::seconds(3));
    this->Platform.crash(jobs::MachineName("m5"), std::chrono::seconds(3));
    this->Platform.setTrouble({0.05, 0.05});
  });
  this->work(std::chrono::seconds(3));
  this->onLoop([this] { this->Platform.setTrouble({}); });

  std::puts("an entry VM stops and hands its services over");
  const size_t Stopped = NodeCount - 1;
  size_t CutOff = 0;
  std::atomic<bool> IsStopped{false};
  std::thread Stopping([&] {
    CutOff = this->Nodes[Stopped]->stop();
    IsStopped = true;
  });
  this->Doors.pop_back();
  while (!IsStopped) {
    this->submit("short");
    std::this_thread::sleep_for(JobPause);
  }
  Stopping.join();
  this->Kept.expect(CutOff == 0, "it cuts off no request");
  this->work(std::chrono::seconds(1));
}

void FleetDemo::checkLedger() {
  std::vector<std::string> Violations;
  size_t Starts = 0;
  this->onLoop([&] {
    Violations = this->Platform.ledger().violations();
    Starts = this->Platform.ledger().starts();
  });
  for (const std::string &Text : Violations)
    std::printf("  BROKEN %s\n", Text.c_str());
  this->Kept.expect(Violations.empty(),
                    "no task ran twice, too early or after its end (" +
                        std::to_string(Starts) + " starts)");
}

int FleetDemo::run() {
  std::puts("entry VMs on a simulated platform of 12 machines");
  this->start();
  std::puts("jobs come in for 3 s");
  this->work(std::chrono::seconds(3));
  this->Kept.expect(this->Refused == 0,
                    "every job is accepted (" +
                        std::to_string(this->Accepted.size()) + ")");
  this->checkAnswers();
  this->checkTroubles();
  this->Kept.expect(this->allEnd(),
                    "every accepted job is shown as completed (" +
                        std::to_string(this->Accepted.size()) + ")");
  this->checkLedger();
  for (const std::unique_ptr<dispatch::FleetNode> &Node : this->Nodes)
    if (Node != this->Nodes.back())
      Node->stop();
  std::puts(this->Kept.allHeld() ? "all promises held" : "promises broken");
  std::fflush(stdout);
  return static_cast<int>(this->Kept.allHeld() ? ExitCode::Done
                                               : ExitCode::Refused);
}

int runFleetDemo(const std::vector<std::string> &Words) {
  int Exit = 0;
  const auto Given = Arguments::parse(
      "\n\nRuns three entry VMs on loopback addresses against a simulated "
      "platform, hands jobs in, lets things go wrong and checks what was "
      "promised.",
      {{"verbose", OptionKind::Flag, "show the log", ""}}, Words, Exit);
  if (!Given)
    return Exit;
  if (!Given->flag("verbose"))
    setLogLevel(LogLevel::Error);
  auto Demo = std::make_unique<FleetDemo>();
  const int Code = Demo->run();
  // Calls that are still on their way refer to the demo.
  std::_Exit(Code);
}

} // namespace whintack::commands::Internal
