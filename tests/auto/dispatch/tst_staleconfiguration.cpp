#include "simulatedfleet.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using simulation::StoreFaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after the store's acknowledgement within which every VM must act on a
/// new configuration.
constexpr Duration ApplyTime = seconds(2);
constexpr int NotFound = 404;
constexpr int ServiceUnavailable = 503;
/// Prefix of the keys that the operator writes.
const std::string OperatorPrefix = "declared/";
const std::string AddedRoute = "/refunds/";
/// More watches than a VM sends in a test.
constexpr unsigned AllWatches = 1000;

/// A fleet on which the operator adds a route.
class ConfiguredFleet : public SimulatedFleet {
public:
  /// The fleet's state at the change depends on \p Phase, which is added to the
  /// time that the fleet has run.
  explicit ConfiguredFleet(Duration Phase = Duration::zero()) {
    this->startAll();
    this->runFor(Phase);
  }

  void addRoute() {
    jobs::FleetConfiguration Next =
        this->Platform.codec().DecodeConfiguration("1").value();
    Next.Version = 2;
    jobs::Queue Added = Next.Queues.front();
    Added.Name = "refunds";
    Added.Prefix = AddedRoute;
    Next.Queues.push_back(std::move(Added));
    this->Platform.configure(Next);
    this->AddedAt = this->Loop.Time.now();
  }

  /// Runs until just after the time by which the route must be known, and
  /// returns the answer of \p Node to a request for it.
  ClientAnswer requestAddedRoute(const std::string &Node) {
    this->runFor(this->AddedAt + ApplyTime + std::chrono::microseconds(1) -
                 this->Loop.Time.now());
    const auto Answer = this->send(Node, "GET", AddedRoute);
    this->runFor(seconds(1));
    return *Answer;
  }

  /// Runs until \p Vm has \p Count watches of the operator's items waiting at
  /// the store, its own and those that it carries for peers.
  void waitForWatches(const std::string &Vm, size_t Count) {
    const TimePoint Deadline = this->Loop.Time.now() + seconds(3);
    while (this->countWatches(Vm) != Count && this->Loop.Time.now() < Deadline)
      this->runFor(milliseconds(1));
    REQUIRE(this->countWatches(Vm) == Count);
  }

  size_t countWatches(const std::string &Vm) const {
    return this->Platform.store().countWatches(EntryName(Vm), OperatorPrefix);
  }

  /// Lets the store reject e3, and runs until a peer has just sent a watch for
  /// it. Returns that peer.
  std::string rejectAndFindCarrier() {
    this->Platform.store().setFaultMode(EntryName("e3"),
                                        StoreFaultMode::Refused);
    this->runFor(seconds(3));
    const auto CountCarried = [this] {
      return this->countWatches("e1") + this->countWatches("e2");
    };
    const TimePoint Deadline = this->Loop.Time.now() + seconds(3);
    while (CountCarried() == 3 && this->Loop.Time.now() < Deadline)
      this->runFor(milliseconds(1));
    while (CountCarried() < 3 && this->Loop.Time.now() < Deadline)
      this->runFor(milliseconds(1));
    REQUIRE(CountCarried() == 3);
    return this->countWatches("e1") == 2 ? "e1" : "e2";
  }

private:
  TimePoint AddedAt;
};

} // namespace

// Guards against a request for an added route that is rejected because the
// connection of the watch of the operator's items went silent.
TEST_CASE("an added route is served although one watch gets no answer") {
  for (int Phase = 0; Phase < 1000; Phase += 50) {
    ConfiguredFleet Fleet{milliseconds(Phase)};
    Fleet.waitForWatches("e3", 1);
    Fleet.Platform.store().loseWatches(EntryName("e3"), OperatorPrefix, 1);
    Fleet.addRoute();
    INFO("the change came " << Phase << " ms later");
    CHECK(Fleet.requestAddedRoute("e3").Status != NotFound);
  }
}

// Guards against a VM that never learns of a configuration while its watches
// get no answers and all its other calls do.
TEST_CASE("an added route is served although no watch gets an answer") {
  ConfiguredFleet Fleet;
  Fleet.waitForWatches("e3", 1);
  Fleet.Platform.store().loseWatches(EntryName("e3"), OperatorPrefix,
                                     AllWatches);
  Fleet.addRoute();
  CHECK(Fleet.requestAddedRoute("e3").Status != NotFound);
}

// Guards against a request for an added route that is rejected because the peer
// that carries the watch of a VM that the store rejects was killed.
TEST_CASE("an added route is served although the watch's carrier is killed",
          "[holds]") {
  ConfiguredFleet Fleet;
  Fleet.killNode(Fleet.rejectAndFindCarrier());
  Fleet.addRoute();
  CHECK(Fleet.requestAddedRoute("e3").Status != NotFound);
}

// Guards against a request for an added route that is rejected because a peer
// gets no answer to the watch that it carries for a VM that the store rejects.
TEST_CASE("an added route is served although the carrier gets no answer",
          "[holds]") {
  ConfiguredFleet Fleet;
  const std::string Carrier = Fleet.rejectAndFindCarrier();
  Fleet.Platform.store().loseWatches(EntryName(Carrier), OperatorPrefix, 2);
  Fleet.addRoute();
  CHECK(Fleet.requestAddedRoute("e3").Status != NotFound);
  CHECK(Fleet.requestAddedRoute(Carrier).Status != NotFound);
}

// Guards against a VM that waits for peers that were cut off, one after the
// other, while the store serves it again.
TEST_CASE("an added route is served although peers that carry watches hang") {
  ConfiguredFleet Fleet;
  Fleet.rejectAndFindCarrier();
  for (const char *Peer : {"e1", "e2"})
    Fleet.setSendDelay(Peer, seconds(20));
  Fleet.Platform.store().setFaultMode(EntryName("e3"), StoreFaultMode::Served);
  Fleet.addRoute();
  CHECK(Fleet.requestAddedRoute("e3").Status != NotFound);
}

// Guards against a request for an added route that is rejected because the
// store stopped answering a VM that its peers could have served.
TEST_CASE("an added route is served although the store is silent to one VM") {
  for (int Phase = 0; Phase < 1000; Phase += 100) {
    ConfiguredFleet Fleet{milliseconds(Phase)};
    Fleet.waitForWatches("e3", 1);
    Fleet.Platform.store().loseWatches(EntryName("e3"), OperatorPrefix,
                                       AllWatches);
    Fleet.Platform.store().setFaultMode(EntryName("e3"),
                                        StoreFaultMode::Silent);
    Fleet.addRoute();
    INFO("the change came " << Phase << " ms later");
    CHECK(Fleet.requestAddedRoute("e3").Status != NotFound);
  }
}

// Guards against an answer "no such queue" from a configuration that may have
// been replaced. A 503 is allowed, as the request has had no effect.
TEST_CASE("a VM that reaches nothing does not reject an added route") {
  ConfiguredFleet Fleet;
  Fleet.setCut("e3", true);
  Fleet.Platform.store().loseWatches(EntryName("e3"), OperatorPrefix,
                                     AllWatches);
  Fleet.addRoute();
  const ClientAnswer Answer = Fleet.requestAddedRoute("e3");
  CHECK(Answer.Status == ServiceUnavailable);
  CHECK(!Answer.RetryAfter.empty());
}

// Guards against a VM that answers 503 to requests for queues that do not
// exist.
TEST_CASE("a queue that never existed is rejected by every VM", "[holds]") {
  ConfiguredFleet Fleet;
  for (const std::string &Name : Fleet.nodeNames())
    for (const char *Method : {"GET", "POST"}) {
      const auto Answer = Fleet.send(Name, Method, "/unknown/");
      Fleet.runFor(milliseconds(100));
      CHECK(Answer->Status == NotFound);
    }
}
