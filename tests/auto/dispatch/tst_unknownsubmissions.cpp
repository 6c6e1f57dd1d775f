#include "unansweredcommits.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Ok = 200;
constexpr int Gone = 410;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
/// Number of tasks of the template "short".
constexpr size_t ShortTasks = 4;
const std::string Job = "/quotes/00000000000000a1";
/// Longest time until a submission is answered.
constexpr Duration AnswerTime = seconds(3);
/// Longer than VMs remember submissions.
constexpr Duration LongUptime = seconds(70);

/// Gives the first commit \p First and refuses all others.
std::function<CommitFate()> refuseAllBut(CommitFate First) {
  return [First, IsFirst = std::make_shared<bool>(true)] {
    return std::exchange(*IsFirst, false)
               ? First
               : CommitFate{CommitFate::Kind::Refused};
  };
}

/// Checks that the job, which is not announced by the VM that stored it, runs
/// once a client asks for it.
void checkRuns(UnansweredCommitsFleet &Fleet) {
  Fleet.Decide = nullptr;
  Fleet.runFor(seconds(7));
  REQUIRE(Fleet.isStored(Job));
  const auto Shown = Fleet.send("e3", "GET", Job);
  Fleet.runFor(seconds(10));
  CHECK(Shown->Status == Ok);
  CHECK(Fleet.Platform.runChecker().starts() == ShortTasks);
}

} // namespace

// Guards against a job that runs after the last answer to its client was 503,
// because another VM's commit is carried out late (issue 55).
TEST_CASE("a job with an open commit of another VM is not refused") {
  const int LateBy = GENERATE(2, 4, 6);
  UnansweredCommitsFleet Fleet;
  Fleet.runFor(LongUptime);
  Fleet.Decide = refuseAllBut({CommitFate::Kind::CarriedOut, seconds(LateBy)});
  const auto First = Fleet.post("e1", Job);
  SECTION("after 504") {
    Fleet.runFor(AnswerTime);
    REQUIRE(First->Status == GatewayTimeout);
  }
  SECTION("after no answer") { Fleet.runFor(milliseconds(50)); }
  SECTION("after the other VM has died") {
    Fleet.runFor(milliseconds(50));
    Fleet.killNode("e1");
  }
  SECTION("after the other VM has started again") {
    Fleet.runFor(milliseconds(50));
    Fleet.killNode("e1");
    Fleet.restartNode("e1");
  }
  const auto Second = Fleet.post("e2", Job);
  Fleet.runFor(AnswerTime);
  INFO("carried out " << LateBy << " s late");
  CHECK(Second->Status == GatewayTimeout);
  checkRuns(Fleet);
}

// Guards against 503 for a job whose acceptance did not reach its client
// (issue 55).
TEST_CASE("a job that another VM has accepted is not refused") {
  UnansweredCommitsFleet Fleet;
  Fleet.runFor(LongUptime);
  Fleet.Decide = refuseAllBut({CommitFate::Kind::Served});
  const auto First = Fleet.post("e1", Job);
  Fleet.runFor(milliseconds(500));
  REQUIRE(First->Status == Ok);
  const auto Second = Fleet.post("e2", Job);
  Fleet.runFor(AnswerTime);
  CHECK(Second->Status == GatewayTimeout);
  checkRuns(Fleet);
}

// Guards against unknown outcomes that are reported although each commit was
// refused, which keeps clients from going elsewhere.
TEST_CASE("a job whose commits were all refused is refused and never runs") {
  UnansweredCommitsFleet Fleet;
  Fleet.runFor(LongUptime);
  Fleet.Decide = [] { return CommitFate{CommitFate::Kind::Refused}; };
  for (const std::string &Node : Fleet.nodeNames()) {
    const auto Answer = Fleet.post(Node, Job);
    Fleet.runFor(AnswerTime);
    INFO(Node);
    CHECK(Answer->Status == ServiceUnavailable);
    CHECK(Answer->RetryAfter == "1");
  }
  Fleet.Decide = nullptr;
  Fleet.runFor(seconds(10));
  const auto Shown = Fleet.send("e3", "GET", Job);
  Fleet.runFor(seconds(5));
  CHECK(Shown->Status == Gone);
  CHECK(Fleet.Platform.runChecker().starts() == 0);
}
