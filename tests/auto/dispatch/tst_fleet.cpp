#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using simulation::StoreFaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet that can be kept busy with jobs.
class BusyFleet : public SimulatedFleet {
public:
  explicit BusyFleet(uint64_t Seed = 1) : SimulatedFleet(Seed) {
    this->startAll();
  }

  /// Submits a job every 100 ms for \p Length.
  void submitJobs(Duration Length) {
    constexpr Duration Pause = milliseconds(100);
    for (Duration Elapsed = Duration::zero(); Elapsed < Length;
         Elapsed += Pause) {
      const uint64_t Drawn = this->Source();
      this->submit(Drawn % 2 == 0 ? "quotes" : "payouts",
                   Drawn % 3 == 0 ? "chain" : "short");
      this->runFor(Pause);
    }
  }

  /// Lets everything end and checks the guarantees of the product.
  void finishAndCheck(Duration SettleTime = seconds(25)) {
    this->runFor(SettleTime);
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
    for (const std::string &Path : this->Accepted)
      if (!this->Cancelled.contains(Path)) {
        INFO(Path);
        CHECK(this->stateOf(Path) == "completed");
      }
  }
};

} // namespace

TEST_CASE("a fleet without faults completes all accepted jobs") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(3));
  Fleet.runFor(seconds(5));
  CHECK(Fleet.Accepted.size() == 30);
  Fleet.finishAndCheck(seconds(1));
}

TEST_CASE("a cancelled job is not started again and stays cancelled") {
  BusyFleet Fleet;
  const std::string Job = Fleet.submit("quotes", "lasting");
  Fleet.runFor(seconds(4));
  CHECK(Fleet.stateOf(Job) == "running");
  Fleet.cancel(Job);
  CHECK(Fleet.stateOf(Job) == "cancelled");
  Fleet.finishAndCheck(seconds(5));
}

TEST_CASE("a job submitted again at another VM is run once") {
  BusyFleet Fleet;
  const std::string Job = Fleet.submit("quotes", "short");
  Fleet.runFor(seconds(1));
  for (const std::string &Name : Fleet.nodeNames()) {
    const auto Repeated = Fleet.send(Name, "POST", Job, "short");
    Fleet.runFor(seconds(1));
    CHECK(Repeated->Status == 200);
  }
  Fleet.runFor(seconds(3));
  CHECK(Fleet.Platform.runChecker().starts() == 4);
  Fleet.finishAndCheck(seconds(1));
}

TEST_CASE("invalid requests are rejected at once and start nothing") {
  BusyFleet Fleet;
  // A commit of an earlier process may still be carried out.
  const auto Early = Fleet.send("e1", "GET", "/quotes/00000000000000aa");
  Fleet.runFor(seconds(1));
  CHECK(Early->Status == 503);
  Fleet.runFor(seconds(15));
  const auto Body = Fleet.send("e1", "POST", "/quotes/00000000000000aa", "odd");
  const auto Id = Fleet.send("e1", "POST", "/quotes/zz", "short");
  const auto Queue =
      Fleet.send("e1", "POST", "/none/00000000000000aa", "short");
  const auto Unknown = Fleet.send("e1", "GET", "/quotes/00000000000000aa");
  Fleet.runFor(seconds(1));
  CHECK(Body->Status == 400);
  CHECK(Id->Status == 404);
  CHECK(Queue->Status == 404);
  CHECK(Unknown->Status == 410);
  CHECK(Fleet.Platform.runChecker().starts() == 0);
}

TEST_CASE("another VM takes over when a planner is killed") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(2));
  const std::string Planner = Fleet.plannerOf("quotes");
  REQUIRE_FALSE(Planner.empty());
  Fleet.killNode(Planner);
  // The claim expires after 2 s; claiming it takes less than one more.
  Fleet.submitJobs(seconds(3));
  CHECK(Fleet.plannerOf("quotes") != Planner);
  CHECK_FALSE(Fleet.plannerOf("quotes").empty());
  Fleet.restartNode(Planner);
  Fleet.submitJobs(seconds(2));
  Fleet.finishAndCheck();
}

TEST_CASE("a VM that stops hands its services over without an interruption") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(1));
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.stopNode(Planner);
  const std::string Successor = Fleet.plannerOf("quotes");
  CHECK(Successor != Planner);
  CHECK_FALSE(Successor.empty());
  Fleet.submitJobs(seconds(1));
  Fleet.finishAndCheck();
}

TEST_CASE("a planner that the store rejects continues through a peer") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(1));
  const std::string Planner = Fleet.plannerOf("quotes");
  const StoreFaultMode Mode =
      GENERATE(StoreFaultMode::Refused, StoreFaultMode::Silent);
  Fleet.Platform.store().setFaultMode(EntryName(Planner), Mode);
  Fleet.submitJobs(seconds(6));
  CHECK(Fleet.plannerOf("quotes") == Planner);
  Fleet.Platform.store().setFaultMode(EntryName(Planner),
                                      StoreFaultMode::Served);
  Fleet.submitJobs(seconds(2));
  Fleet.finishAndCheck();
}

TEST_CASE("a planner that is cut off is replaced and violates no guarantee") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(1));
  const std::string Planner = Fleet.plannerOf("payouts");
  Fleet.setCut(Planner, true);
  Fleet.submitJobs(seconds(6));
  CHECK(Fleet.plannerOf("payouts") != Planner);
  Fleet.setCut(Planner, false);
  Fleet.submitJobs(seconds(2));
  Fleet.finishAndCheck();
}

TEST_CASE("accepted jobs survive the loss of all processes") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(3));
  Fleet.runFor(seconds(1));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.killNode(Name);
  Fleet.runFor(seconds(4));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.restartNode(Name);
  Fleet.finishAndCheck();
}

TEST_CASE("nothing is lost or run twice during an outage of the store") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(2));
  const StoreFaultMode Mode =
      GENERATE(StoreFaultMode::Refused, StoreFaultMode::Silent,
               StoreFaultMode::AnswersLost);
  Fleet.Platform.store().setFaultModeForAll(Mode);
  Fleet.submitJobs(seconds(5));
  Fleet.Platform.store().setFaultModeForAll(StoreFaultMode::Served);
  Fleet.submitJobs(seconds(2));
  Fleet.finishAndCheck();
}

TEST_CASE("a planner is killed during an outage of the store") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(2));
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.Platform.store().setFaultModeForAll(StoreFaultMode::Silent);
  Fleet.runFor(milliseconds(300));
  Fleet.killNode(Planner);
  Fleet.submitJobs(seconds(4));
  Fleet.Platform.store().setFaultModeForAll(StoreFaultMode::Served);
  Fleet.restartNode(Planner);
  Fleet.submitJobs(seconds(2));
  Fleet.finishAndCheck();
}

TEST_CASE("the store drops its history and revokes leases") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(2));
  Fleet.Platform.store().dropHistory();
  Fleet.Platform.store().revokeLeases(EntryName(Fleet.plannerOf("quotes")));
  Fleet.submitJobs(seconds(3));
  Fleet.finishAndCheck();
}

TEST_CASE("answers are lost and orders carried out late, also across a "
          "take-over") {
  BusyFleet Fleet(GENERATE(1, 2, 3, 4));
  Fleet.Platform.setCallFaults({0.1, 0.1});
  Fleet.submitJobs(seconds(3));
  Fleet.killNode(Fleet.plannerOf("payouts"));
  Fleet.submitJobs(seconds(5));
  Fleet.Platform.setCallFaults({});
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.restartNode(Name);
  Fleet.finishAndCheck();
}

TEST_CASE("tasks of a crashed machine are run elsewhere") {
  BusyFleet Fleet;
  Fleet.submitJobs(seconds(2));
  Fleet.Platform.crash(jobs::MachineName("m0"), seconds(4));
  Fleet.Platform.crash(jobs::MachineName("m5"), seconds(3));
  Fleet.submitJobs(seconds(3));
  Fleet.finishAndCheck();
}

// Guards against a record that ends the process of each VM that takes the
// machines over.
TEST_CASE("a damaged key of a wave does not stop maintenance") {
  BusyFleet Fleet;
  Fleet.Platform.store().put("whintack/wave/one", "{}");
  Fleet.Platform.store().put("whintack/wave/", "{}");
  Fleet.Platform.store().put("whintack/wave/99999999999999999999", "{}");
  const std::string Holder = Fleet.plannerOf("fleet");
  REQUIRE_FALSE(Holder.empty());
  Fleet.killNode(Holder);
  Fleet.restartNode(Holder);
  REQUIRE_NOTHROW(Fleet.runFor(seconds(10)));
  CHECK_FALSE(Fleet.plannerOf("fleet").empty());
  Fleet.finishAndCheck(seconds(1));
}

TEST_CASE("a wave ends in time and keeps its limit of machines down") {
  BusyFleet Fleet;
  jobs::WaveRequest Wave;
  Wave.Number = 1;
  Wave.Machines = Fleet.Platform.machineNames();
  Wave.MaxConcurrent = 3;
  Wave.Length = seconds(30);
  Fleet.Platform.requestWave(Wave);
  Fleet.submitJobs(seconds(5));
  Fleet.killNode(Fleet.plannerOf("fleet"));
  Fleet.submitJobs(seconds(5));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.restartNode(Name);
  Fleet.runFor(seconds(20));
  CHECK(Fleet.Platform.store().value("reported/wave/1") == "completed");
  Fleet.finishAndCheck();
}

TEST_CASE("failed runs are repeated as often as the queue allows") {
  BusyFleet Fleet;
  Fleet.Platform.setFailures(
      [](const jobs::TaskKey &Task, uint64_t) { return Task.Index == 0; });
  const std::string Job = Fleet.submit("quotes", "short");
  Fleet.runFor(seconds(6));
  CHECK(Fleet.stateOf(Job) == "failed");
  // Three attempts of the failing task, one of each other task.
  CHECK(Fleet.Platform.runChecker().starts() == 6);
}
