#include "servicecalls.h"

#include "logcapture.h"
#include "steppedloop.h"
#include "storekeys.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;

namespace {

/// The calls of one process, e1. The service is planned by e2, which answers
/// only what the test answers.
class Fixture {
public:
  Fixture() {
    this->Store.Range = [](const std::string &, const std::string &,
                           store::ReadKind,
                           const store::StoreCallback<store::StorePage> &Done) {
      const std::string Text = encodeClaim({EntryName("e2"), 0, "attempt"});
      Done(store::StorePage{{{keys::Claims + "s", Text, 4, 9}}, false, 5});
    };
    this->Store.Watch = [](const std::string &, uint64_t, Duration,
                           const store::StoreCallback<store::WatchAnswer> &) {};
    this->start();
  }

  /// Starts the process, again if it ran before, with a random source of its
  /// own.
  void start() {
    const Context Shared{this->Loop.Time.clock(), seededRandom(++this->Starts),
                         this->Loop.Queue, this->Store};
    this->Tracker = std::make_shared<ClaimTracker>(Shared, [] {});
    this->Tracker->start();
    this->Calls = std::make_shared<ServiceCalls>(
        Shared, EntryName("e1"), Shared.Source(), this->Tracker,
        [this](const EntryName &, const peers::Message &Sent) {
          this->LastSent = std::get<peers::ServiceCall>(Sent).Id;
          return true;
        },
        [](const peers::ServiceCall &, const AnswerCallback &) {
          return false;
        });
    this->Loop.settle();
  }

  /// Submits a job; returns the name of the outcome, "open" until there is one.
  std::shared_ptr<const std::string> submit() {
    auto Outcome = std::make_shared<std::string>("open");
    this->Calls->call({0, ServiceName("s"), peers::ServiceCallKind::SubmitJob,
                       "j", "content"},
                      milliseconds(500), [Outcome](const CallResult &Ended) {
                        *Outcome = nameOf(CallOutcomeNames, Ended.Outcome);
                      });
    this->Loop.settle();
    return Outcome;
  }

  void answer(const std::string &From, peers::CallId Id) {
    this->Calls->handle(
        EntryName(From),
        peers::ServiceAnswer{Id, peers::ServiceOutcome::Done, ""});
    this->Loop.settle();
  }

  tests::SteppedLoop Loop;
  store::AsyncStore Store;
  std::shared_ptr<ClaimTracker> Tracker;
  std::shared_ptr<ServiceCalls> Calls;
  /// Id of the call that was sent last.
  peers::CallId LastSent = 0;
  unsigned Starts = 0;
};

} // namespace

TEST_CASE("a call ends with the answer of the planner") {
  Fixture Test;
  const auto Outcome = Test.submit();
  CHECK(*Outcome == "open");
  Test.answer("e2", Test.LastSent);
  CHECK(*Outcome == "done");
}

TEST_CASE("a call without an answer ends at its time-out") {
  Fixture Test;
  const auto Outcome = Test.submit();
  Test.Loop.runFor(milliseconds(501));
  CHECK(*Outcome == "no-answer");
}

// Guards against jobs and cancellations that count as received by the planner
// although it never saw them (issue 34).
TEST_CASE("an answer to a call of an earlier process on the VM is not taken "
          "for that of a later call") {
  Fixture Test;
  Test.submit();
  const peers::CallId Earlier = Test.LastSent;
  Test.start();
  const auto Outcome = Test.submit();
  Test.answer("e2", Earlier);
  CHECK(*Outcome == "open");
}

// Guards against the same with an answer of a VM that was not asked.
TEST_CASE("a call is not ended by the answer of another VM") {
  Fixture Test;
  const auto Outcome = Test.submit();
  Test.answer("e3", Test.LastSent);
  CHECK(*Outcome == "open");
  Test.answer("e2", Test.LastSent);
  CHECK(*Outcome == "done");
}

// Guards against a service that nobody plans without a word in the log.
TEST_CASE("the log tells if calls for a service reach no planner for long") {
  const tests::LogCapture Log;
  Fixture Test;
  const auto Refuse = [&Test] {
    Test.submit();
    Test.Calls->handle(EntryName("e2"),
                       peers::ServiceAnswer{Test.LastSent,
                                            peers::ServiceOutcome::NotPlanner,
                                            ""});
    Test.Loop.runFor(std::chrono::seconds(1));
  };
  for (int Call = 0; Call < 4; ++Call)
    Refuse();
  CHECK(Log.lines("planner-absent").empty());
  SECTION("which is repeated while it lasts") {
    for (int Call = 0; Call < 8; ++Call)
      Refuse();
    const std::vector<std::string> Lines = Log.lines("planner-absent");
    REQUIRE(Lines.size() == 2);
    CHECK(tests::LogCapture::field(Lines[0], "service") == "s");
    CHECK(tests::LogCapture::field(Lines[0], "asked") == "e2");
    CHECK(tests::LogCapture::field(Lines[1], "calls") == "11");
  }
  SECTION("but not once a planner has answered") {
    Test.submit();
    Test.answer("e2", Test.LastSent);
    for (int Call = 0; Call < 4; ++Call)
      Refuse();
    CHECK(Log.lines("planner-absent").empty());
  }
}
