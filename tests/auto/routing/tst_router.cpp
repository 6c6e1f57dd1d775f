#include "whintack/routing/router.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::routing;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
const ServiceName Shop("shop");

/// A router that owns all slots of its executors.
struct Fixture {
  explicit Fixture(size_t Executors = 1, int64_t Slots = 1) {
    this->Limits.Name = Shop;
    this->Limits.Slots = Slots;
    this->Limits.QueueLength = 4;
    this->TestedRouter.setServices({this->Limits}, this->Now);
    SharePlan Plan = withMember({}, this->Self);
    Plan = withAcknowledgement(Plan, this->Self);
    this->TestedRouter.setSharePlan(Plan, this->Now);
    for (size_t Number = 1; Number <= Executors; ++Number)
      this->Listed.push_back({VmName("vm" + std::to_string(Number)), Shop,
                              DataCentreName("dc"), 1, false});
    this->list();
  }

  RouterActions list() {
    return this->TestedRouter.setExecutors(this->Listed, this->Now);
  }

  RouterActions submit(RequestHandle Handle, bool IsIdempotent = true,
                       Duration Wanted = std::chrono::seconds(1),
                       const std::string &Caller = "c") {
    return this->TestedRouter.submit(
        Handle, {Shop, CallerName(Caller), IsIdempotent, Wanted}, this->Now);
  }

  RouterActions finish(RequestHandle Handle, AttemptResult Result,
                       bool IsLeaving = false) {
    return this->TestedRouter.finish({Handle, Result, IsLeaving}, this->Now);
  }

  RouterActions wait(Duration Length) {
    this->Now += Length;
    return this->TestedRouter.tick(this->Now);
  }

  ShareMember Self{EntryName("e1"), 1};
  ServiceLimits Limits;
  TimePoint Now{std::chrono::seconds(100)};
  std::vector<ExecutorInfo> Listed;
  Router TestedRouter{
      {Self, DataCentreName("dc")}, ChoicePolicy::TwoChoices, seededRandom(1)};
};

} // namespace

TEST_CASE("the end of a request frees its slot for the next one") {
  Fixture Test;
  REQUIRE(Test.submit(1).Sends.size() == 1);
  REQUIRE(Test.submit(2).Sends.empty());
  const RouterActions After = Test.finish(1, AttemptResult::Answered);
  REQUIRE(After.Sends.size() == 1);
  REQUIRE(After.Sends[0].Request == 2);
}

TEST_CASE("a request that is not idempotent is sent on a fresh connection") {
  Fixture Test;
  REQUIRE(Test.submit(1, false).Sends[0].NeedsFreshConnection);
}

TEST_CASE("a request that may have run is not sent again unless idempotent") {
  for (const auto Result : {AttemptResult::Broken, AttemptResult::TimedOut}) {
    Fixture Test(2);
    Test.submit(1, false);
    const RouterActions After = Test.finish(1, Result);
    REQUIRE(After.Sends.empty());
    REQUIRE(After.Answers.size() == 1);
    REQUIRE(After.Answers[0].Outcome == RequestOutcome::Unknown);
  }
}

TEST_CASE("a request certainly not run is retried on another executor") {
  for (const auto Result :
       {AttemptResult::NeverSent, AttemptResult::RefusedByServer}) {
    Fixture Test(2);
    const RouterActions First = Test.submit(1, false);
    const RouterActions After = Test.finish(1, Result);
    REQUIRE(After.Sends.size() == 1);
    REQUIRE(After.Sends[0].Executor != First.Sends[0].Executor);
  }
}

TEST_CASE("a broken attempt leaves the outcome unknown when all retries fail") {
  Fixture Test(4);
  Test.submit(1, true);
  for (int Attempt = 0; Attempt < 3; ++Attempt)
    REQUIRE(Test.finish(1, AttemptResult::Broken).Sends.size() == 1);
  const RouterActions Last = Test.finish(1, AttemptResult::NeverSent);
  REQUIRE(Last.Sends.empty());
  REQUIRE(Last.Answers[0].Outcome == RequestOutcome::Unknown);
}

TEST_CASE("a request whose deadline passes in the queue is never sent") {
  Fixture Test;
  Test.submit(1, true, std::chrono::seconds(5));
  Test.submit(2, true, 50 * Millisecond);
  const RouterActions Late = Test.wait(60 * Millisecond);
  REQUIRE(Late.Answers.size() == 1);
  REQUIRE(Late.Answers[0].Request == 2);
  REQUIRE(Late.Answers[0].Outcome == RequestOutcome::NotRun);
  REQUIRE(Test.finish(1, AttemptResult::Answered).Sends.empty());
}

TEST_CASE("a full queue refuses at once and tells when to retry") {
  Fixture Test;
  Test.submit(1);
  for (RequestHandle Handle = 2; Handle <= 4; ++Handle)
    REQUIRE(Test.submit(Handle, true, std::chrono::seconds(1),
                        "c" + std::to_string(Handle))
                .Answers.empty());
  Test.submit(5, true, std::chrono::seconds(1), "c5");
  const RouterActions Full =
      Test.submit(6, true, std::chrono::seconds(1), "c6");
  REQUIRE(Full.Answers.size() == 1);
  REQUIRE(Full.Answers[0].Reason == OutcomeReason::QueueFull);
  REQUIRE(Full.Answers[0].RetryAfter > Duration::zero());
}

TEST_CASE("one caller cannot fill the whole queue") {
  Fixture Test;
  Test.submit(1);
  for (RequestHandle Handle = 2; Handle <= 4; ++Handle)
    REQUIRE(Test.submit(Handle).Answers.empty());
  REQUIRE(Test.submit(5).Answers[0].Reason == OutcomeReason::QueueFull);
  REQUIRE(
      Test.submit(6, true, std::chrono::seconds(1), "other").Answers.empty());
}

TEST_CASE("a request that would wait past its deadline is refused early") {
  Fixture Test;
  Test.submit(1);
  Test.Now += 400 * Millisecond;
  Test.finish(1, AttemptResult::Answered);
  Test.submit(2);
  const RouterActions Refused = Test.submit(3, true, 300 * Millisecond);
  REQUIRE(Refused.Answers[0].Reason == OutcomeReason::Overloaded);
}

TEST_CASE("a slot stays taken after a time-out until the request must end") {
  Fixture Test;
  Test.submit(1, false, std::chrono::seconds(1));
  Test.Now += std::chrono::seconds(1);
  const RouterActions Late = Test.finish(1, AttemptResult::TimedOut);
  REQUIRE(Late.Probes.size() == 1);
  Test.TestedRouter.finishProbe(VmName("vm1"), true, Test.Now);
  REQUIRE(Test.submit(2, true, std::chrono::seconds(60)).Sends.empty());
  REQUIRE(Test.TestedRouter.running(VmName("vm1")) == 1);
  // The maximum duration of the service is 30 s, counted from the send.
  REQUIRE(Test.wait(std::chrono::seconds(28)).Sends.empty());
  REQUIRE(Test.wait(std::chrono::seconds(1)).Sends.size() == 1);
}

TEST_CASE("an executor is ejected after a time-out only if its probe fails") {
  Fixture Test(2, 8);
  const RouterActions Sent = Test.submit(1, false);
  const VmName TimedOutExecutor = Sent.Sends[0].Executor;
  const RouterActions Late = Test.finish(1, AttemptResult::TimedOut);
  REQUIRE(Late.DroppedConnections == std::vector<VmName>{TimedOutExecutor});
  REQUIRE(Late.Probes[0].Executor == TimedOutExecutor);
  REQUIRE(Late.Events.empty());
  const RouterActions Failed =
      Test.TestedRouter.finishProbe(TimedOutExecutor, false, Test.Now);
  REQUIRE(Failed.Events[0].Kind == EventKind::ExecutorEjected);
  for (RequestHandle Handle = 10; Handle < 16; ++Handle)
    REQUIRE(Test.submit(Handle).Sends[0].Executor != TimedOutExecutor);
}

TEST_CASE("a time-out starts no probe if a later request was answered") {
  Fixture Test(1, 8);
  Test.submit(1, false);
  Test.Now += Millisecond;
  Test.submit(2);
  Test.finish(2, AttemptResult::Answered);
  REQUIRE(Test.finish(1, AttemptResult::TimedOut).Probes.empty());
}

TEST_CASE("an executor that always fails is ejected, probed and returns") {
  Fixture Test(2, 8);
  RequestHandle Handle = 0;
  RouterActions After;
  while (After.Events.empty()) {
    ++Handle;
    const RouterActions Sent = Test.submit(Handle, false);
    const bool IsBad = Sent.Sends[0].Executor == VmName("vm1");
    After = Test.finish(Handle, IsBad ? AttemptResult::AnsweredWithFailure
                                      : AttemptResult::Answered);
    REQUIRE(Handle < 100);
  }
  REQUIRE(After.Events[0].Kind == EventKind::ExecutorEjected);
  const RouterActions Probe = Test.wait(std::chrono::seconds(2));
  REQUIRE(Probe.Probes.size() == 1);
  const RouterActions Returned =
      Test.TestedRouter.finishProbe(VmName("vm1"), true, Test.Now);
  REQUIRE(Returned.Events[0].Kind == EventKind::ExecutorReturned);
}

TEST_CASE("at most half of the executors are ejected") {
  Fixture Test(2, 8);
  size_t Ejected = 0;
  for (RequestHandle Handle = 1; Handle <= 200; ++Handle) {
    const RouterActions Sent = Test.submit(Handle, false);
    REQUIRE(Sent.Sends.size() == 1);
    const RouterActions After =
        Test.finish(Handle, AttemptResult::AnsweredWithFailure);
    Ejected += After.Events.size();
  }
  REQUIRE(Ejected == 1);
}

TEST_CASE("a leaving executor gets no new requests and peers are notified") {
  Fixture Test(2, 8);
  const VmName First = Test.submit(1).Sends[0].Executor;
  const RouterActions After = Test.finish(1, AttemptResult::Answered, true);
  REQUIRE(After.Notices.size() == 1);
  REQUIRE(After.Notices[0].Executor == First);
  Test.list();
  for (RequestHandle Handle = 10; Handle < 18; ++Handle)
    REQUIRE(Test.submit(Handle).Sends[0].Executor != First);
}

TEST_CASE("retries stop when their budget is spent") {
  Fixture Test(3, 8);
  size_t Retries = 0;
  for (RequestHandle Handle = 1; Handle <= 300; ++Handle) {
    RouterActions After = Test.submit(Handle, true);
    while (!After.Sends.empty()) {
      After = Test.finish(Handle, AttemptResult::RefusedByServer);
      Retries += After.Sends.size();
    }
  }
  // 20 percent of 300 and the reserve of 10.
  REQUIRE(Retries <= 70);
  REQUIRE(Retries >= 60);
}

TEST_CASE("a refusal names an unknown service, stopping or no configuration") {
  Fixture Test;
  REQUIRE(
      Test.TestedRouter
          .submit(1, {ServiceName("no"), CallerName("c"), true, {}}, Test.Now)
          .Answers[0]
          .Reason == OutcomeReason::UnknownService);
  Test.TestedRouter.stop(Test.Now);
  REQUIRE(Test.submit(2).Answers[0].Reason == OutcomeReason::Stopping);
  Router Unconfigured({Test.Self, DataCentreName("dc")},
                      ChoicePolicy::TwoChoices, seededRandom(1));
  REQUIRE(Unconfigured.submit(1, {Shop, CallerName("c"), true, {}}, Test.Now)
              .Answers[0]
              .Reason == OutcomeReason::NotConfigured);
}

TEST_CASE("queued requests of a removed service end as not run") {
  Fixture Test;
  Test.submit(1);
  Test.submit(2);
  const RouterActions Removed = Test.TestedRouter.setServices({}, Test.Now);
  REQUIRE(Removed.Answers.size() == 1);
  REQUIRE(Removed.Answers[0].Outcome == RequestOutcome::NotRun);
  REQUIRE(Test.finish(1, AttemptResult::Answered).Sends.empty());
  REQUIRE(Test.TestedRouter.pending() == 0);
}

TEST_CASE("an idempotent request keeps half of its time for a retry") {
  Fixture Test(2, 8);
  Test.submit(1);
  Test.Now += Millisecond;
  Test.finish(1, AttemptResult::Answered);
  const RouterActions Sent = Test.submit(2, true, std::chrono::seconds(1));
  REQUIRE(Sent.Sends[0].Deadline == Test.Now + 500 * Millisecond);
  Test.Now += 500 * Millisecond;
  REQUIRE(Test.finish(2, AttemptResult::TimedOut).Sends.size() == 1);
  const RouterActions NonIdempotent =
      Test.submit(3, false, std::chrono::seconds(1));
  REQUIRE(NonIdempotent.Sends[0].Deadline ==
          Test.Now + std::chrono::seconds(1));
}

TEST_CASE("the connection allowance follows from the slots") {
  Fixture Test(1, 8);
  REQUIRE(Test.TestedRouter.connectionAllowance(VmName("vm1")) == 64);
  REQUIRE(Test.TestedRouter.connectionAllowance(VmName("other")) == 0);
}
