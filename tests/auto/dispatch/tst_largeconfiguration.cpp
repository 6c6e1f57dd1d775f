#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after the store's acknowledgement within which every VM must act on a
/// new configuration.
constexpr Duration ApplyTime = seconds(2);
/// 200 and 10 Mbit/s.
constexpr double WideLinkRate = 200e6 / 8;
constexpr double NarrowLinkRate = 10e6 / 8;
constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr size_t QueuesPerChange = 1400;
/// Queues of the example fleet, which come first.
constexpr ptrdiff_t ExampleQueues = 2;

/// A fleet in which the operator adds thousands of queues. Two VMs of a data
/// centre have wide links and the others narrow ones.
class GrowingFleet : public SimulatedFleet {
public:
  GrowingFleet() {
    simulation::addExampleFleet(this->Platform);
    this->Current = simulation::exampleConfiguration(1);
    for (const char *Name : {"w1", "w2"})
      this->startOn(Name, WideLinkRate);
    for (const char *Name : {"n1", "n2", "n3", "n4", "n5"})
      this->startOn(Name, NarrowLinkRate);
    this->runFor(seconds(5));
  }

  void addQueues(size_t Count) {
    for (size_t Added = 0; Added < Count; ++Added)
      this->Current.Queues.push_back(this->makeQueue());
    this->publish();
  }

  /// Removes the oldest of the added queues and adds another one. Returns the
  /// prefix of the removed queue.
  std::string replaceOldestQueue() {
    const auto Oldest = this->Current.Queues.begin() + ExampleQueues;
    const std::string Removed = Oldest->Prefix;
    this->Current.Queues.erase(Oldest);
    this->Current.Queues.push_back(this->makeQueue());
    this->publish();
    return Removed;
  }

  /// Changes a queue that no request is sent to.
  void changeOneQueue() {
    this->Current.Queues.front().Timeout += milliseconds(1);
    this->publish();
  }

  std::string newestPrefix() const {
    return this->Current.Queues.back().Prefix;
  }

  /// Checks that all VMs serve the queue \p Added and reject \p Removed.
  void checkInForce(const std::string &Added, const std::string &Removed) {
    std::map<std::string, std::pair<std::shared_ptr<ClientAnswer>,
                                    std::shared_ptr<ClientAnswer>>>
        Answers;
    for (const std::string &Name : this->nodeNames())
      Answers[Name] = {this->send(Name, "GET", Added),
                       this->send(Name, "GET", Removed)};
    this->runFor(seconds(1));
    for (const auto &[Name, Each] : Answers) {
      INFO("requests to " << Name);
      CHECK(Each.first->Status == Ok);
      CHECK(Each.second->Status == NotFound);
    }
  }

private:
  void startOn(const std::string &Name, double LinkRate) {
    this->setLinkRate(Name, LinkRate);
    this->startNode(Name, "d1");
  }

  jobs::Queue makeQueue() {
    jobs::Queue Made = this->Current.Queues.front();
    Made.Name = "q" + std::to_string(++this->LastQueue);
    Made.Prefix = "/" + Made.Name + "/";
    return Made;
  }

  void publish() {
    ++this->Current.Version;
    this->Platform.configure(this->Current);
  }

  jobs::FleetConfiguration Current;
  size_t LastQueue = 0;
};

} // namespace

// Guards against VMs with narrow links that act on a replaced configuration for
// seconds, because copies of a large one take longer than their calls may and
// are asked for again from the start.
TEST_CASE("changes of a large configuration are in force in time on VMs with "
          "narrow links") {
  GrowingFleet Fleet;
  for (int Change = 0; Change < 3; ++Change) {
    Fleet.addQueues(QueuesPerChange);
    Fleet.runFor(seconds(10));
  }
  Fleet.addQueues(QueuesPerChange);
  Fleet.runFor(milliseconds(500));
  Fleet.changeOneQueue();
  Fleet.runFor(milliseconds(500));
  const std::string Removed = Fleet.replaceOldestQueue();
  Fleet.runFor(ApplyTime);
  Fleet.checkInForce(Fleet.newestPrefix(), Removed);
}

// Guards against calls that renew leases and are held up by copies of a large
// configuration, so that VMs lose their claims although the store serves them.
TEST_CASE("no planner loses its claim while a large configuration arrives",
          "[holds]") {
  GrowingFleet Fleet;
  Fleet.addQueues(3 * QueuesPerChange);
  Fleet.runFor(seconds(10));
  const std::string Planner = Fleet.plannerOf("quotes");
  for (int Change = 0; Change < 10; ++Change) {
    Fleet.changeOneQueue();
    Fleet.runFor(seconds(2));
  }
  CHECK(Fleet.plannerOf("quotes") == Planner);
}

// Guards against VMs that wait for a reader which was lost while it sent them a
// large configuration.
TEST_CASE("a large configuration is in force in time although a reader is lost",
          "[holds]") {
  for (const int Phase : {0, 100, 200, 300, 500}) {
    GrowingFleet Fleet;
    Fleet.addQueues(2 * QueuesPerChange);
    Fleet.runFor(seconds(10));
    Fleet.addQueues(QueuesPerChange / 2);
    const std::string Removed = Fleet.replaceOldestQueue();
    Fleet.runFor(milliseconds(Phase));
    INFO("the reader was killed " << Phase << " ms after the change");
    Fleet.killNode("w1");
    Fleet.runFor(ApplyTime - milliseconds(Phase));
    for (const char *Name : {"w2", "n1", "n2", "n3", "n4", "n5"}) {
      INFO("requests to " << Name);
      const auto Added = Fleet.send(Name, "GET", Fleet.newestPrefix());
      const auto Dropped = Fleet.send(Name, "GET", Removed);
      Fleet.runFor(seconds(1));
      CHECK(Added->Status == Ok);
      CHECK(Dropped->Status == NotFound);
    }
  }
}

// Guards against VMs that trust readers which hang, or which the store no
// longer answers.
TEST_CASE("a change is in force in time although all readers fail", "[holds]") {
  for (const bool IsStoreSilent : {false, true}) {
    GrowingFleet Fleet;
    Fleet.addQueues(100);
    Fleet.runFor(seconds(3));
    for (const char *Reader : {"w1", "w2"}) {
      if (IsStoreSilent)
        Fleet.Platform.store().setFaultMode(EntryName(Reader),
                                            simulation::StoreFaultMode::Silent);
      else
        Fleet.setSendDelay(Reader, seconds(20));
    }
    const std::string Removed = Fleet.replaceOldestQueue();
    Fleet.runFor(ApplyTime);
    INFO((IsStoreSilent ? "the store is silent" : "the readers hang"));
    for (const char *Name : {"n1", "n2", "n3", "n4", "n5"}) {
      INFO("requests to " << Name);
      const auto Dropped = Fleet.send(Name, "GET", Removed);
      Fleet.runFor(seconds(1));
      CHECK(Dropped->Status == NotFound);
    }
  }
}
