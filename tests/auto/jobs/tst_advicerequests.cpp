#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A planner with a job whose queue takes advice.
class AdvisedFixture : public PlannerFixture {
public:
  AdvisedFixture(const AdvicePolicy &Policy, Duration Objective,
                 const StepSpec &Step) {
    AcceptedJob Advised = job("1", {Step});
    Advised.Accepted = this->Time.now();
    Advised.Policy.Advice = Policy;
    Advised.Policy.Objective = Objective;
    this->Planner.addJob(Advised);
  }

  void listNumbered(size_t Count) {
    std::vector<ExecutorInfo> Infos;
    for (size_t Number = 0; Number < Count; ++Number)
      Infos.push_back(executor("x" + std::to_string(Number)));
    this->list(Infos);
  }
  std::vector<AdviceOrder> requests() {
    this->Planner.plan(this->Time.now(), WallTime());
    return this->takeOrders<AdviceOrder>();
  }
  /// Grants a ticket for each executor that was asked about.
  void grantAll(const AdviceOrder &Request, Duration Validity) {
    std::vector<Ticket> Tickets;
    for (const ExecutorId &Each : Request.Candidates)
      Tickets.push_back({Each, "ticket"});
    this->Planner.noteAdvice(Request, Tickets, this->Time.now() + Validity);
  }
};

} // namespace

// Guards against an answer that comes when its tickets, or the time of the job,
// would have run out.
TEST_CASE("advice is requested on as many executors as there is time for") {
  const AdvicePolicy Policy{milliseconds(200), milliseconds(100), seconds(10)};
  SECTION("all that one request may name") {
    AdvisedFixture Fixture(Policy, seconds(60), step(1));
    Fixture.listNumbered(40);
    const auto Requests = Fixture.requests();
    REQUIRE(Requests.size() == 1);
    CHECK(Requests[0].Candidates.size() == 30);
    CHECK(Requests[0].ResponseTime == milliseconds(3200));
  }
  SECTION("within the validity of a ticket") {
    AdvicePolicy Brief = Policy;
    Brief.Validity = seconds(1);
    AdvisedFixture Fixture(Brief, seconds(60), step(1));
    Fixture.listNumbered(40);
    const auto Requests = Fixture.requests();
    REQUIRE(Requests.size() == 1);
    CHECK(Requests[0].Candidates.size() == 8);
  }
  SECTION("before the objective of the job") {
    StepSpec Brief = step(1);
    Brief.Estimate = milliseconds(1);
    AdvisedFixture Fixture(Policy, milliseconds(800), Brief);
    Fixture.listNumbered(40);
    const auto Requests = Fixture.requests();
    REQUIRE(Requests.size() == 1);
    CHECK(Requests[0].ResponseTime <= milliseconds(802));
    CHECK(Requests[0].Candidates.size() >= 5);
  }
  SECTION("at least some once the objective has passed") {
    AdvisedFixture Fixture(Policy, milliseconds(1), step(1));
    Fixture.Time.advance(seconds(60));
    Fixture.listNumbered(40);
    const auto Requests = Fixture.requests();
    REQUIRE(Requests.size() == 1);
    CHECK(Requests[0].Candidates.size() == 2);
  }
}

// Guards against executors that are never asked about because those of the
// first request are not good.
TEST_CASE("executors that were not named are asked about next") {
  AdvicePolicy Brief{milliseconds(200), milliseconds(100), seconds(1)};
  AdvisedFixture Fixture(Brief, seconds(60), step(1));
  Fixture.listNumbered(20);
  std::set<ExecutorId> Asked;
  for (int Round = 0; Round < 3; ++Round) {
    const auto Requests = Fixture.requests();
    REQUIRE(Requests.size() == 1);
    Asked.insert(Requests[0].Candidates.begin(), Requests[0].Candidates.end());
    Fixture.Planner.noteAdvice(Requests[0], {},
                               Fixture.Time.now() + seconds(1));
  }
  CHECK(Asked.size() == 20);
  CHECK(Fixture.requests().empty());
}

// Guards against a ticket that is used after its validity because another one
// of the step was granted later.
TEST_CASE("each ticket is valid for its own time") {
  const AdvicePolicy Policy{milliseconds(10), milliseconds(10), seconds(3)};
  AdvisedFixture Fixture(Policy, seconds(60), step(1, 8000));
  Fixture.list({executor("a", 4000)});
  const auto First = Fixture.requests();
  REQUIRE(First.size() == 1);
  Fixture.grantAll(First[0], seconds(3));
  CHECK(Fixture.starts().empty());
  Fixture.Time.advance(milliseconds(2900));
  Fixture.list({executor("b", 4000)});
  const auto Second = Fixture.requests();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Candidates == std::vector<ExecutorId>{ExecutorId("b")});
  Fixture.grantAll(Second[0], seconds(3));
  Fixture.Time.advance(milliseconds(200));
  Fixture.list({executor("a", 8000)});
  CHECK(Fixture.starts().empty());
}

// Guards against the loss of all tickets of a step, and of the answer that it
// waits for, when an executor rejects one ticket.
TEST_CASE("a rejected ticket is requested anew and the others are used") {
  const AdvicePolicy Policy{milliseconds(10), milliseconds(10), seconds(10)};
  AdvisedFixture Fixture(Policy, seconds(60), step(3, 8000));
  Fixture.list({executor("a"), executor("b")});
  const auto Requests = Fixture.requests();
  REQUIRE(Requests.size() == 1);
  Fixture.grantAll(Requests[0], seconds(10));
  const auto Starts = Fixture.starts();
  REQUIRE(Starts.size() == 2);
  Fixture.confirm(Starts[1]);
  Fixture.Planner.noteStart(Starts[0], StartOutcome::NoTicket,
                            ++Fixture.ExecutorNow, Fixture.Time.now());
  Fixture.endRun(Starts[1], RunEnd::Done);
  const auto Next = Fixture.starts();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Executor == Starts[1].Executor);
  CHECK(Next[0].Ticket == "ticket");
  Fixture.Time.advance(seconds(1));
  CHECK(Fixture.requests().size() == 1);
}

// Guards against tasks that wait although executors that were not asked about
// have room, because other executors have a ticket.
TEST_CASE(
    "advice is requested on more executors while tickets do not suffice") {
  const AdvicePolicy Policy{milliseconds(200), milliseconds(100), seconds(1)};
  StepSpec Gang = step(12, 8000);
  Gang.IsGang = true;
  AdvisedFixture Fixture(Policy, seconds(60), Gang);
  Fixture.listNumbered(20);
  const auto First = Fixture.requests();
  REQUIRE(First.size() == 1);
  Fixture.grantAll(First[0], seconds(10));
  const auto Second = Fixture.requests();
  REQUIRE(Second.size() == 1);
  Fixture.grantAll(Second[0], seconds(10));
  CHECK(Fixture.starts().size() == 12);
}
