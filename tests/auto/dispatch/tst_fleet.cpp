#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using simulation::StorePath;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet with some jobs under way.
class BusyFleet : public SimulatedFleet {
public:
  explicit BusyFleet(uint64_t Seed = 1) : SimulatedFleet(Seed) {
    this->startAll();
  }

  /// Hands in a job each 100 ms for \p Length.
  void work(Duration Length) {
    constexpr Duration Pause = milliseconds(100);
    for (Duration Gone = Duration::zero(); Gone < Length; Gone += Pause) {
      const uint64_t Drawn = this->Source();
      this->submit(Drawn % 2 == 0 ? "quotes" : "payouts",
                   Drawn % 3 == 0 ? "chain" : "short");
      this->runFor(Pause);
    }
  }

  /// Lets everything end and checks what was promised.
  void finish(Duration Rest = seconds(25)) {
    this->runFor(Rest);
    for (const std::string &Text : this->Platform.ledger().violations())
      FAIL_CHECK(Text);
    for (const std::string &Path : this->Accepted)
      if (!this->Cancelled.contains(Path)) {
        INFO(Path);
        CHECK(this->stateOf(Path) == "completed");
      }
  }
};

} // namespace

TEST_CASE("a calm fleet completes what it accepts") {
  BusyFleet Fleet;
  Fleet.work(seconds(3));
  Fleet.runFor(seconds(5));
  CHECK(Fleet.Accepted.size() == 30);
  Fleet.finish(seconds(1));
}

TEST_CASE("a job that was cancelled starts no more, and stays cancelled") {
  BusyFleet Fleet;
  const std::string Job = Fleet.submit("quotes", "lasting");
  Fleet.runFor(seconds(4));
  CHECK(Fleet.stateOf(Job) == "running");
  Fleet.cancel(Job);
  CHECK(Fleet.stateOf(Job) == "cancelled");
  Fleet.finish(seconds(5));
}

TEST_CASE("the same job handed in again, at another VM, is one job") {
  BusyFleet Fleet;
  const std::string Job = Fleet.submit("quotes", "short");
  Fleet.runFor(seconds(1));
  for (const std::string &Name : Fleet.nodeNames()) {
    const auto Again = Fleet.send(Name, "POST", Job, "short");
    Fleet.runFor(seconds(1));
    CHECK(Again->Status == 200);
  }
  Fleet.runFor(seconds(3));
  CHECK(Fleet.Platform.ledger().starts() == 4);
  Fleet.finish(seconds(1));
}

TEST_CASE("bad input is refused at once and nothing comes of it") {
  BusyFleet Fleet;
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
  CHECK(Fleet.Platform.ledger().starts() == 0);
}

TEST_CASE("another VM plans on when a planner is killed") {
  BusyFleet Fleet;
  Fleet.work(seconds(2));
  const std::string Planner = Fleet.plannerOf("quotes");
  REQUIRE_FALSE(Planner.empty());
  Fleet.killNode(Planner);
  // The claim lapses after 2 s; claiming takes less than one more.
  Fleet.work(seconds(3));
  CHECK(Fleet.plannerOf("quotes") != Planner);
  CHECK_FALSE(Fleet.plannerOf("quotes").empty());
  Fleet.restartNode(Planner);
  Fleet.work(seconds(2));
  Fleet.finish();
}

TEST_CASE("a VM that stops hands its services over without a gap") {
  BusyFleet Fleet;
  Fleet.work(seconds(1));
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.stopNode(Planner);
  const std::string Successor = Fleet.plannerOf("quotes");
  CHECK(Successor != Planner);
  CHECK_FALSE(Successor.empty());
  Fleet.work(seconds(1));
  Fleet.finish();
}

TEST_CASE("a planner that the store turns away goes on through a peer") {
  BusyFleet Fleet;
  Fleet.work(seconds(1));
  const std::string Planner = Fleet.plannerOf("quotes");
  const StorePath Path = GENERATE(StorePath::Refused, StorePath::Silent);
  Fleet.Platform.store().setPath(EntryName(Planner), Path);
  Fleet.work(seconds(6));
  CHECK(Fleet.plannerOf("quotes") == Planner);
  Fleet.Platform.store().setPath(EntryName(Planner), StorePath::Served);
  Fleet.work(seconds(2));
  Fleet.finish();
}

TEST_CASE("a planner that is cut off is replaced and does no harm") {
  BusyFleet Fleet;
  Fleet.work(seconds(1));
  const std::string Planner = Fleet.plannerOf("payouts");
  Fleet.setCut(Planner, true);
  Fleet.work(seconds(6));
  CHECK(Fleet.plannerOf("payouts") != Planner);
  Fleet.setCut(Planner, false);
  Fleet.work(seconds(2));
  Fleet.finish();
}

TEST_CASE("jobs that were accepted survive the loss of every process") {
  BusyFleet Fleet;
  Fleet.work(seconds(3));
  Fleet.runFor(seconds(1));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.killNode(Name);
  Fleet.runFor(seconds(4));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.restartNode(Name);
  Fleet.finish();
}

TEST_CASE("nothing is lost or run twice while the store is away") {
  BusyFleet Fleet;
  Fleet.work(seconds(2));
  const StorePath Path =
      GENERATE(StorePath::Refused, StorePath::Silent, StorePath::AnswersLost);
  Fleet.Platform.store().setPathOfAll(Path);
  Fleet.work(seconds(5));
  Fleet.Platform.store().setPathOfAll(StorePath::Served);
  Fleet.work(seconds(2));
  Fleet.finish();
}

TEST_CASE("the store is away while a planner is killed") {
  BusyFleet Fleet;
  Fleet.work(seconds(2));
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.Platform.store().setPathOfAll(StorePath::Silent);
  Fleet.runFor(milliseconds(300));
  Fleet.killNode(Planner);
  Fleet.work(seconds(4));
  Fleet.Platform.store().setPathOfAll(StorePath::Served);
  Fleet.restartNode(Planner);
  Fleet.work(seconds(2));
  Fleet.finish();
}

TEST_CASE("the store drops its history and takes leases away") {
  BusyFleet Fleet;
  Fleet.work(seconds(2));
  Fleet.Platform.store().dropHistory();
  Fleet.Platform.store().revokeLeases(EntryName(Fleet.plannerOf("quotes")));
  Fleet.work(seconds(3));
  Fleet.finish();
}

TEST_CASE("answers are lost and orders carried out late, also over a "
          "take-over") {
  BusyFleet Fleet(GENERATE(1, 2, 3, 4));
  Fleet.Platform.setTrouble({0.1, 0.1});
  Fleet.work(seconds(3));
  Fleet.killNode(Fleet.plannerOf("payouts"));
  Fleet.work(seconds(5));
  Fleet.Platform.setTrouble({});
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.restartNode(Name);
  Fleet.finish();
}

TEST_CASE("tasks of a machine that crashes are run elsewhere") {
  BusyFleet Fleet;
  Fleet.work(seconds(2));
  Fleet.Platform.crash(jobs::MachineName("m0"), seconds(4));
  Fleet.Platform.crash(jobs::MachineName("m5"), seconds(3));
  Fleet.work(seconds(3));
  Fleet.finish();
}

TEST_CASE("a wave ends in time and at most so many machines are down") {
  BusyFleet Fleet;
  jobs::WaveRequest Wave;
  Wave.Number = 1;
  Wave.Machines = Fleet.Platform.machineNames();
  Wave.MostAtOnce = 3;
  Wave.Length = seconds(30);
  Fleet.Platform.requestWave(Wave);
  Fleet.work(seconds(5));
  Fleet.killNode(Fleet.plannerOf("fleet"));
  Fleet.work(seconds(5));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.restartNode(Name);
  Fleet.runFor(seconds(20));
  CHECK(Fleet.Platform.store().value("reported/wave/1") == "completed");
  Fleet.finish();
}

TEST_CASE("runs that fail are repeated as often as the queue allows") {
  BusyFleet Fleet;
  Fleet.Platform.setFailures(
      [](const jobs::TaskKey &Task, uint64_t) { return Task.Index == 0; });
  const std::string Job = Fleet.submit("quotes", "short");
  Fleet.runFor(seconds(6));
  CHECK(Fleet.stateOf(Job) == "failed");
  // Three attempts of one task, one of each other.
  CHECK(Fleet.Platform.ledger().starts() == 6);
}
