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
/// Number of tasks of the template "short".
constexpr size_t ShortTasks = 4;
const std::string Job = "/quotes/00000000000000a1";
/// Longest time until a request is answered.
constexpr Duration AnswerTime = seconds(3);
/// Longer than VMs remember submissions.
constexpr Duration LongUptime = seconds(70);
/// Longest time after which the store carries out a call.
constexpr Duration Settling = seconds(15);

/// A fleet in which e1 has sent a commit that is carried out \p LateBy later,
/// and all other commits of jobs are refused.
class LateCommitFleet : public UnansweredCommitsFleet {
public:
  explicit LateCommitFleet(Duration LateBy) {
    this->runFor(LongUptime);
    this->Decide = [LateBy, IsFirst = std::make_shared<bool>(true)] {
      return std::exchange(*IsFirst, false)
                 ? CommitFate{CommitFate::Kind::CarriedOut, LateBy}
                 : CommitFate{CommitFate::Kind::Refused};
    };
    this->post("e1", Job);
    this->runFor(milliseconds(50));
  }

  int ask(const std::string &Node, const std::string &Method) {
    const auto Answer = this->send(Node, Method, Job);
    this->runFor(milliseconds(700));
    return Answer->Status;
  }
};

} // namespace

// Guards against 410 for a job that runs afterwards, because another VM's
// commit is carried out after the read that found no record (issue 61).
TEST_CASE("a job with an open commit of another VM is not called unknown") {
  const int LateBy = GENERATE(2, 6, 12);
  LateCommitFleet Fleet{seconds(LateBy)};
  SECTION("while its request is open") {}
  SECTION("after its request was answered") { Fleet.runFor(AnswerTime / 2); }
  SECTION("after the other VM has died") { Fleet.killNode("e1"); }
  SECTION("after the other VM has started again") {
    Fleet.killNode("e1");
    Fleet.restartNode("e1");
  }
  INFO("carried out " << LateBy << " s late");
  CHECK(Fleet.ask("e2", "GET") == ServiceUnavailable);
  Fleet.Decide = nullptr;
  Fleet.runFor(seconds(13));
  CHECK(Fleet.ask("e3", "GET") == Ok);
  Fleet.runFor(seconds(10));
  CHECK(Fleet.Platform.runChecker().starts() == ShortTasks);
}

// Guards against a cancelled job that runs, because another VM's commit is
// carried out after the cancellation was answered (issue 61).
TEST_CASE("a job is cancelled before its commit is carried out") {
  const int LateBy = GENERATE(2, 6, 12);
  LateCommitFleet Fleet{seconds(LateBy)};
  SECTION("while its request is open") {}
  SECTION("after its request was answered") { Fleet.runFor(AnswerTime / 2); }
  SECTION("after the other VM has died") { Fleet.killNode("e1"); }
  SECTION("after all VMs have started again") {
    for (const std::string &Node : Fleet.nodeNames()) {
      Fleet.killNode(Node);
      Fleet.restartNode(Node);
    }
    Fleet.runFor(milliseconds(1500));
  }
  INFO("carried out " << LateBy << " s late");
  REQUIRE(Fleet.ask("e2", "DELETE") == Ok);
  Fleet.Decide = nullptr;
  Fleet.runFor(seconds(13));
  CHECK(Fleet.stateOf(Job) == "cancelled");
  Fleet.runFor(seconds(10));
  CHECK(Fleet.Platform.runChecker().starts() == 0);
  // A repeated submission finds the job as it is.
  const auto Again = Fleet.post("e3", Job);
  Fleet.runFor(seconds(10));
  CHECK(Again->Status == Ok);
  CHECK(Fleet.Platform.runChecker().starts() == 0);
}

// Guards against doubt about jobs that nobody has submitted.
TEST_CASE("a job that was never submitted is unknown") {
  UnansweredCommitsFleet Fleet;
  SECTION("on VMs that have been up for long") { Fleet.runFor(LongUptime); }
  SECTION("soon after another VM has started again") {
    Fleet.runFor(LongUptime);
    Fleet.killNode("e1");
    Fleet.restartNode("e1");
    Fleet.runFor(Settling + seconds(3));
  }
  const auto Answer = Fleet.send("e2", "GET", Job);
  Fleet.runFor(seconds(1));
  CHECK(Answer->Status == Gone);
}
