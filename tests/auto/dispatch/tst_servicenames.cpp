// Guards against accepted jobs that never start because the name of their
// service is also a word of ours: a service called "fleet" shared its claim
// with the shard that moves machines, so nobody planned it. Also against
// services that read each other's records because one name begins with the
// other and "/".

#include "logcapture.h"
#include "shardid.h"
#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet with these services beside those of the example. Queues are called
/// q0, q1 and so on.
class NamedServices : public SimulatedFleet {
public:
  explicit NamedServices(const std::vector<std::string> &Names) {
    simulation::addExampleFleet(this->Platform);
    jobs::FleetConfiguration Configuration =
        simulation::exampleConfiguration(2);
    for (const std::string &Name : Names) {
      const std::string QueueName = "q" + std::to_string(this->Queues.size());
      this->Queues.push_back(QueueName);
      jobs::Queue Queue = Configuration.Queues.front();
      Queue.Name = QueueName;
      Queue.Prefix = "/" + QueueName + "/";
      Queue.Service = ServiceName(Name);
      Configuration.Queues.push_back(std::move(Queue));
      jobs::ServicePolicy Policy;
      Policy.Name = ServiceName(Name);
      Configuration.Services.push_back(std::move(Policy));
      for (int Number = 0; Number < 3; ++Number) {
        simulation::MachineSetup Machine;
        Machine.Name =
            jobs::MachineName(QueueName + "-" + std::to_string(Number));
        Machine.Pool = ServiceName(Name);
        Machine.Rack = "r1";
        Machine.DataCentre = DataCentreName(Number % 2 == 0 ? "d1" : "d2");
        Machine.Capacity = {16000, 64000, 0};
        this->Platform.addMachine(Machine);
      }
    }
    this->Platform.configure(Configuration);
    this->startNode("e1", "d1");
    this->startNode("e2", "d2");
    this->startNode("e3", "d1");
    this->runFor(seconds(5));
  }

  /// Submits a job to each of the queues.
  void submitAll(const std::string &Template) {
    for (const std::string &Queue : this->Queues)
      this->Paths.push_back(this->submit(Queue, Template));
  }

  void checkCompleted() {
    for (const std::string &Path : this->Paths) {
      INFO(Path);
      CHECK(this->stateOf(Path) == "completed");
    }
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
  }

  std::vector<std::string> Queues;
  std::vector<std::string> Paths;
};

} // namespace

TEST_CASE("a service may be called like the shard of the machines") {
  NamedServices Fleet({"fleet", "fleet%fleet"});
  Fleet.submitAll("short");
  Fleet.submitAll("chain");
  Fleet.runFor(seconds(5));
  Fleet.checkCompleted();
  // The machines are looked after as well.
  const jobs::MachineName Machine("m10");
  Fleet.Platform.requestWave({1, {Machine}, milliseconds(500)});
  Fleet.runFor(seconds(5));
  CHECK(Fleet.Platform.hasBegunMaintenance(Machine, 1));
}

TEST_CASE("the jobs of such a service survive its planner") {
  NamedServices Fleet({"fleet"});
  Fleet.submitAll("chain");
  Fleet.runFor(milliseconds(200));
  for (const std::string &Name : Fleet.nodeNames()) {
    Fleet.killNode(Name);
    Fleet.runFor(seconds(1));
    Fleet.restartNode(Name);
    Fleet.runFor(seconds(3));
    Fleet.submitAll("short");
  }
  Fleet.runFor(seconds(10));
  Fleet.checkCompleted();
}

TEST_CASE("services do not read the records of those with longer names") {
  const LogCapture Log;
  NamedServices Fleet({"a", "a/b", "a/job", "a/job/cancel"});
  for (const std::string &Name : Fleet.nodeNames()) {
    Fleet.submitAll("chain");
    Fleet.runFor(milliseconds(100));
    Fleet.killNode(Name);
    Fleet.runFor(seconds(1));
    Fleet.submitAll("short");
    Fleet.runFor(seconds(2));
    Fleet.restartNode(Name);
  }
  Fleet.runFor(seconds(15));
  Fleet.checkCompleted();
  for (const char *Event : {"job-taken", "job-restored"})
    for (const std::string &Line : Log.lines(Event))
      CHECK(LogCapture::field(Line, "job").find('/') == std::string::npos);
}

TEST_CASE("the text of a shard tells which one it is") {
  CHECK(ShardId::fleet().isFleet());
  CHECK(ShardId::fromText(ShardId::fleet().text()).isFleet());
  std::set<ShardId> Different = {ShardId::fleet()};
  const std::vector<std::string> Names = {
      "fleet",  "fleet%", "fleet%fleet", "fleet%fleet%fleet",
      "fleets", "%fleet", "quotes",      "a/b",
      "Fleet",  "fleet/", "fleet%a"};
  for (const std::string &Name : Names) {
    INFO(Name);
    const ShardId Shard = ShardId::of(ServiceName(Name));
    CHECK_FALSE(Shard.isFleet());
    CHECK(Shard.service() == ServiceName(Name));
    CHECK(ShardId::fromText(Shard.text()) == Shard);
    CHECK(Different.insert(Shard).second);
  }
  // Entry VMs of an earlier version hold claims under the names of services.
  CHECK(ShardId::of(ServiceName("quotes")).text() == "quotes");
  CHECK(ShardId::fleet().text() == "fleet");
}
