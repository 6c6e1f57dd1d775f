#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Ok = 200;

/// A fleet whose VMs can cancel many jobs at once.
class CancellingFleet : public SimulatedFleet {
public:
  CancellingFleet() { this->startAll(); }

  std::vector<std::string> submitMany(size_t Count, const char *Template) {
    std::vector<std::string> Paths;
    for (size_t Index = 0; Index < Count; ++Index)
      Paths.push_back(this->submit("quotes", Template));
    return Paths;
  }

  void killAll() {
    for (const std::string &Name : this->nodeNames())
      this->killNode(Name);
  }

  void restartAll() {
    for (const std::string &Name : this->nodeNames())
      this->restartNode(Name);
  }

  /// Cancels the jobs at \p Node and returns how many cancellations it
  /// acknowledged within \p Length.
  size_t cancelAt(const std::string &Node, const std::vector<std::string> &Jobs,
                  Duration Length) {
    std::map<std::string, std::shared_ptr<ClientAnswer>> Answers;
    for (const std::string &Path : Jobs)
      Answers[Path] = this->send(Node, "DELETE", Path);
    this->runFor(Length);
    size_t Acknowledged = 0;
    for (const auto &[Path, Answer] : Answers)
      if (Answer->Status == Ok) {
        ++Acknowledged;
        this->Cancelled.insert(Path);
        this->Platform.runChecker().noteCancelled(
            jobs::JobId(Path.substr(Path.rfind('/') + 1)),
            this->Loop.Time.now());
      }
    return Acknowledged;
  }

  std::string nodeBeside(const std::string &Planner) const {
    for (const std::string &Name : this->nodeNames())
      if (Name != Planner)
        return Name;
    return {};
  }

  void checkViolations() {
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
  }
};

} // namespace

// Guards against a planner that starts tasks of a cancelled job because its
// watch of the cancellations in the store has failed for seconds (issue 20).
TEST_CASE("a planner that cannot read new cancellations starts nothing") {
  CancellingFleet Fleet;
  const std::string Job = Fleet.submit("quotes", "lasting");
  Fleet.runFor(seconds(4));
  REQUIRE(Fleet.stateOf(Job) == "running");
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.breakWatches(Planner);
  // A watch call that is open is still answered.
  Fleet.runFor(seconds(2));
  REQUIRE(Fleet.cancelAt(Fleet.nodeBeside(Planner), {Job}, seconds(2)) == 1);
  Fleet.runFor(seconds(3));
  // Its tasks would be started again on the machines that are left.
  for (const char *Machine : {"m0", "m1", "m2"})
    Fleet.Platform.crash(jobs::MachineName(Machine), seconds(30));
  Fleet.runFor(seconds(15));
  CHECK(Fleet.plannerOf("quotes") == Planner);
  Fleet.checkViolations();
}

// Guards against tasks of cancelled jobs that a planner starts because it has
// handled only the first of the notices in the store (issue 20).
TEST_CASE("cancellations acknowledged without a planner are all handled before "
          "the next planner starts anything") {
  constexpr size_t JobCount = 120;
  CancellingFleet Fleet;
  const auto Jobs = Fleet.submitMany(JobCount, "lasting");
  Fleet.runFor(seconds(4));
  const std::string Planner = Fleet.plannerOf("quotes");
  const std::string Other = Fleet.nodeBeside(Planner);
  Fleet.killNode(Planner);
  CHECK(Fleet.cancelAt(Other, Jobs, milliseconds(1000)) == JobCount);
  Fleet.killAll();
  Fleet.runFor(seconds(6));
  Fleet.Platform.store().setDelay(milliseconds(150));
  Fleet.restartAll();
  Fleet.runFor(seconds(15));
  Fleet.checkViolations();
}

// Guards against a cancellation that stays in the store unhandled, because its
// notice reaches the planner before the job itself.
TEST_CASE("a cancellation that reaches the planner before its job is carried "
          "out once the job is known") {
  CancellingFleet Fleet;
  Fleet.Platform.store().put("whintack/notice/quotes/cancel/1000000000000001",
                             "{}");
  Fleet.runFor(seconds(1));
  const std::string Job = Fleet.submit("quotes", "lasting");
  Fleet.runFor(seconds(4));
  CHECK(Fleet.stateOf(Job) == "cancelled");
}

// Guards against accepted jobs that wait for seconds in the store because a
// planner handles a few notices for each call to the store (issue 20).
TEST_CASE("a planner knows hundreds of jobs within 3 s after it can read their "
          "notices") {
  constexpr size_t JobCount = 1200;
  // Each of the 192 cores of the fleet may run a task of another job.
  constexpr size_t MaxStarted = 192;
  CancellingFleet Fleet;
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.breakWatches(Planner);
  Fleet.runFor(seconds(2));
  Fleet.submitMany(JobCount, "lasting");
  Fleet.runFor(seconds(8));
  REQUIRE(Fleet.Accepted.size() == JobCount);
  Fleet.Platform.store().setDelay(milliseconds(150));
  Fleet.Platform.store().setFaultModeForAll(simulation::StoreFaultMode::Served);
  Fleet.runFor(seconds(3));
  const auto Waiting = Fleet.send(Planner, "GET", "/quotes/");
  Fleet.runFor(seconds(1));
  REQUIRE(Waiting->Status == Ok);
  INFO(Waiting->Body);
  CHECK(std::stoul(Waiting->Body) >= JobCount - MaxStarted);
}

// Guards against a planner that starts nothing for good because its watch for
// notices fails.
TEST_CASE("a planner whose watch for notices fails starts accepted jobs") {
  CancellingFleet Fleet;
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.breakWatches(Planner);
  Fleet.runFor(seconds(3));
  const std::string Path = "/quotes/00000000000000aa";
  Fleet.Platform.runChecker().noteSubmitted(
      Fleet.Platform.codec()
          .DecodeJob(jobs::JobId("00000000000000aa"), "short")
          .value(),
      3);
  const auto Answer =
      Fleet.send(Fleet.nodeBeside(Planner), "POST", Path, "short");
  Fleet.runFor(seconds(20));
  CHECK(Answer->Status == Ok);
  CHECK(Fleet.Platform.runChecker().starts() == 4);
  Fleet.checkViolations();
}

// Guards against starts that pause although nothing is wrong, because the calls
// that watch for notices follow each other too slowly.
TEST_CASE("a quiet planner on a slow store starts tasks without a pause") {
  CancellingFleet Fleet;
  Fleet.Platform.store().setDelay(milliseconds(300));
  Fleet.runFor(seconds(5));
  size_t Expected = 0;
  for (int Count = 0; Count < 30; ++Count) {
    Fleet.submit("quotes", "short");
    Fleet.runFor(milliseconds(730));
    Expected += 4;
    INFO(Count);
    CHECK(Fleet.Platform.runChecker().starts() == Expected);
  }
}
