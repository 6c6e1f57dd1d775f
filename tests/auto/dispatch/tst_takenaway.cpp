// Guards against long-running tasks that stay away for long after their
// executors were emptied and taken away, whatever else happens at that time.

#include "logcapture.h"
#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration HoldTime = seconds(10);
/// How long a long-running task may be away while nothing is disturbed.
constexpr Duration MaxAway = seconds(9);
/// Time after the last disturbance from which on that holds.
constexpr Duration SettleTime = seconds(7);
constexpr Duration SamplePause = milliseconds(100);
const std::string EntryPrefix = "executors/";

/// A fleet with long-running tasks and plenty of room, of which machines are
/// taken away beside an outage of the store, kills and cuts drawn from a seed.
class LeavingMachines : public SimulatedFleet {
public:
  explicit LeavingMachines(uint64_t Seed) : SimulatedFleet(Seed) {
    this->setMaxLease(HoldTime);
    for (int Number = 0; Number < 12; ++Number) {
      simulation::MachineSetup Machine;
      Machine.Name = jobs::MachineName("q" + std::to_string(Number));
      Machine.Pool = ServiceName("quotes");
      Machine.Rack = "r" + std::to_string(Number % 4);
      Machine.DataCentre = DataCentreName(Number % 2 == 0 ? "d1" : "d2");
      Machine.Capacity = {16000, 64000, 0};
      this->Platform.addMachine(Machine);
    }
    this->startAll();
    for (int Count = 0; Count < 5; ++Count)
      this->Jobs.push_back(this->submit("quotes", "lasting"));
    this->runFor(seconds(3));
  }

  void play() {
    const TimePoint Begin = this->Loop.Time.now();
    this->at(Begin + this->drawn(1000), [this] { this->beginOutage(); });
    const TimePoint OutageEnd = Begin + seconds(2) + this->drawn(4000);
    this->at(OutageEnd, [this] { this->endOutage(); });
    if (this->source()() % 2 == 0)
      this->at(Begin + this->drawn(8000), [this] { this->killPlanner(); });
    if (this->source()() % 3 == 0)
      this->cutPlanner(Begin + this->drawn(6000));
    for (int Count = 0; Count < 3; ++Count)
      this->at(Begin + this->drawn(8000), [this] { this->takeMachines(); });
    this->Platform.setCallFaults({0.02, 0});
    this->runFor(seconds(16));
    this->Platform.setCallFaults({});
    this->watch();
  }

private:
  Duration drawn(uint64_t MaxMs) {
    return milliseconds(this->source()() % MaxMs);
  }

  void at(TimePoint When, std::function<void()> Call) {
    this->Loop.Queue.schedule(When, std::move(Call));
  }

  std::vector<jobs::MachineInfo> pool() const {
    std::vector<jobs::MachineInfo> Found;
    for (const jobs::MachineInfo &Each : this->Platform.machineList())
      if (Each.Pool == ServiceName("quotes") && !Each.Executor.isEmpty())
        Found.push_back(Each);
    return Found;
  }

  /// The store refuses all calls, and the registrations of executors expire.
  void beginOutage() {
    this->Platform.store().setFaultModeForAll(
        simulation::StoreFaultMode::Refused);
    if (this->source()() % 2 == 0)
      return;
    for (const jobs::MachineInfo &Each : this->Platform.machineList()) {
      const std::string Key = EntryPrefix + Each.Executor.text();
      if (const auto Entry = this->Platform.store().value(Key)) {
        this->Expired[Each.Executor] = *Entry;
        this->Platform.store().remove(Key);
      }
    }
  }

  /// Executors that are still up register again within two seconds.
  void endOutage() {
    this->Platform.store().setFaultModeForAll(
        simulation::StoreFaultMode::Served);
    for (const auto &[Id, Entry] : this->Expired)
      this->at(this->Loop.Time.now() + this->drawn(2000), [this, Id, Entry] {
        for (const jobs::MachineInfo &Each : this->Platform.machineList())
          if (Each.Executor == Id)
            this->Platform.store().put(EntryPrefix + Id.text(), Entry);
      });
  }

  void killPlanner() {
    const std::string Planner = this->plannerOf("quotes");
    if (Planner.empty())
      return;
    this->killNode(Planner);
    this->at(this->Loop.Time.now() + seconds(1),
             [this, Planner] { this->restartNode(Planner); });
  }

  /// Cuts the planner off from the machines of one data centre for a while.
  void cutPlanner(TimePoint From) {
    this->at(From, [this] {
      const std::string Planner = this->plannerOf("quotes");
      const DataCentreName Cut(this->source()() % 2 == 0 ? "d1" : "d2");
      this->Platform.setCut(EntryName(Planner), Cut, true);
      this->at(this->Loop.Time.now() + seconds(1) + this->drawn(8000),
               [this, Planner, Cut] {
                 this->Platform.setCut(EntryName(Planner), Cut, false);
               });
    });
  }

  /// Two machines leave, after at least three seconds.
  void takeMachines() {
    const std::vector<jobs::MachineInfo> Pool = this->pool();
    const Duration DrainTime = seconds(3) + this->drawn(5000);
    for (int Count = 0; Count < 2; ++Count)
      this->Platform.takeAway(Pool[this->source()() % Pool.size()].Name,
                              DrainTime);
  }

  /// Checks that no task is away for too long.
  void watch() {
    const TimePoint CalmSince = this->Loop.Time.now();
    std::map<jobs::TaskKey, TimePoint> LastRunning;
    std::set<jobs::TaskKey> Late;
    for (Duration Watched = Duration::zero(); Watched < seconds(25);
         Watched += SamplePause) {
      const TimePoint Now = this->Loop.Time.now();
      for (const std::string &Path : this->Jobs)
        for (size_t Index = 0; Index < 3; ++Index) {
          const jobs::JobId Id(Path.substr(Path.rfind('/') + 1));
          const jobs::TaskKey Task{{Id, 0, 0}, Index};
          auto &Last = LastRunning.emplace(Task, CalmSince).first->second;
          if (this->Platform.runChecker().isRunning(Task))
            Last = Now;
          else if (Now > Last + MaxAway && Now > CalmSince + SettleTime)
            Late.insert(Task);
        }
      this->runFor(SamplePause);
    }
    for (const jobs::TaskKey &Task : Late)
      FAIL_CHECK("away for too long: " + Task.text());
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
  }

  std::vector<std::string> Jobs;
  std::map<jobs::ExecutorId, std::string> Expired;
};

} // namespace

TEST_CASE("long-running tasks come back when their executors are taken away") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    INFO("seed " << Seed);
    LeavingMachines Fleet(Seed);
    Fleet.play();
  }
}

// The planner cannot stop the task in time, because it is cut off from its
// executor until that has left.
TEST_CASE("a task whose executor leaves while it does not answer starts "
          "elsewhere before its lease runs out") {
  SimulatedFleet Fleet;
  Fleet.setMaxLease(HoldTime);
  Fleet.startAll();
  const std::string Path = Fleet.submit("quotes", "lasting");
  Fleet.runFor(seconds(3));
  const jobs::TaskKey Task{
      {jobs::JobId(Path.substr(Path.rfind('/') + 1)), 0, 0}, 0};
  simulation::RunChecker &Checker = Fleet.Platform.runChecker();
  REQUIRE(Checker.isRunning(Task));
  const LogCapture Log;
  for (const std::string &Name : Fleet.nodeNames())
    for (const char *DataCentre : {"d1", "d2"})
      Fleet.Platform.setCut(EntryName(Name), DataCentreName(DataCentre), true);
  Fleet.runFor(seconds(2));
  for (const jobs::MachineInfo &Each : Fleet.Platform.machineList())
    if (Each.Pool == ServiceName("quotes") && Each.Name.text() != "m0")
      Fleet.Platform.takeAway(Each.Name, milliseconds(100));
  Fleet.runFor(milliseconds(200));
  for (const std::string &Name : Fleet.nodeNames())
    for (const char *DataCentre : {"d1", "d2"})
      Fleet.Platform.setCut(EntryName(Name), DataCentreName(DataCentre), false);
  Fleet.runFor(seconds(6));
  for (size_t Index = 0; Index < 3; ++Index)
    CHECK(Checker.isRunning({Task.Step, Index}));
  CHECK(Checker.violations().empty());
}
