#include "steppedloop.h"
#include "submissiontracker.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using peers::ServiceOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const jobs::JobId Job("00000000000000a1");
/// How long a VM remembers a submission.
constexpr Duration Retention = seconds(60);
/// Longest time after which the store carries out a call.
constexpr Duration Settling = seconds(15);

peers::PeerEndpoint peer(const std::string &Name) {
  return {EntryName(Name), DataCentreName("d1"), Address()};
}

/// The tracker of a VM whose peers give prepared answers.
class Fixture {
public:
  Fixture() {
    Context Shared{this->Loop.Time.clock(), seededRandom(3), this->Loop.Queue,
                   store::AsyncStore()};
    this->Calls = std::make_shared<ServiceCalls>(
        Shared, EntryName("e1"), 0, nullptr,
        [this](const EntryName &To, const peers::Message &Sent) {
          return this->send(To, Sent);
        },
        [](const peers::ServiceCall &, const AnswerCallback &) {
          return false;
        });
    this->Tracker = std::make_shared<SubmissionTracker>(Shared, this->Calls);
  }

  SubmissionReport report(SubmissionScope Scope = SubmissionScope::Repeatable) {
    std::vector<SubmissionReport> Reports;
    this->Tracker->ask(Job, Scope, milliseconds(150),
                       [&Reports](const SubmissionReport &Report) {
                         Reports.push_back(Report);
                       });
    this->Loop.runFor(milliseconds(200));
    REQUIRE(Reports.size() == 1);
    return Reports.front();
  }

  SubmissionOutcome ask(SubmissionScope Scope = SubmissionScope::Repeatable) {
    return this->report(Scope).Outcome;
  }

  /// How this VM answers the question of another one.
  ServiceOutcome answer(const std::string &Scope) {
    std::optional<ServiceOutcome> Outcome;
    this->Tracker->answer(
        {1, ServiceName(), peers::ServiceCallKind::JobState, Job.text(), Scope},
        [&Outcome](const peers::ServiceAnswer &Answer) {
          Outcome = Answer.Outcome;
        });
    REQUIRE(Outcome);
    return *Outcome;
  }

  SteppedLoop Loop;
  std::shared_ptr<ServiceCalls> Calls;
  std::shared_ptr<SubmissionTracker> Tracker;
  /// Answers of the VMs that have a link; nothing for one that is silent.
  std::map<std::string, std::optional<ServiceOutcome>> Answers;
  size_t Questions = 0;

private:
  bool send(const EntryName &To, const peers::Message &Sent) {
    const auto Found = this->Answers.find(To.text());
    if (Found == this->Answers.end())
      return false;
    ++this->Questions;
    const auto &Call = std::get<peers::ServiceCall>(Sent);
    if (Found->second)
      this->Loop.Queue.post([this, To, Id = Call.Id, Outcome = *Found->second] {
        this->Calls->handle(To, peers::ServiceAnswer{Id, Outcome, ""});
      });
    return true;
  }
};

} // namespace

// Guards against a certain refusal although another VM cannot deny that it has
// stored the job (issue 55).
TEST_CASE("a job is not stored only if every VM denies it") {
  Fixture Vm;
  Vm.Tracker->setPeers({peer("e2"), peer("e3")});
  Vm.Loop.runFor(Retention);
  Vm.Answers = {{"e2", ServiceOutcome::Unknown},
                {"e3", ServiceOutcome::Unknown}};
  SECTION("all do") {
    CHECK(Vm.ask() == SubmissionOutcome::NotStored);
    CHECK(Vm.Questions == 2);
  }
  SECTION("one may have stored it") {
    Vm.Answers["e3"] = ServiceOutcome::Done;
    CHECK(Vm.ask() == SubmissionOutcome::MayBeStored);
  }
  SECTION("one does not remember") {
    Vm.Answers["e2"] = ServiceOutcome::Failed;
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
  }
  SECTION("one is of an earlier version") {
    Vm.Answers["e2"] = ServiceOutcome::NotPlanner;
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
  }
  SECTION("one is silent") {
    Vm.Answers["e2"] = std::nullopt;
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
  }
  SECTION("one has no link") {
    Vm.Answers.erase("e2");
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
  }
  SECTION("a request for it arrives here while they are asked") {
    SubmissionTracker::OpenSubmission Open;
    Vm.Loop.Queue.post([&] { Open = Vm.Tracker->open(Job); });
    CHECK(Vm.ask() == SubmissionOutcome::MayBeStored);
  }
  SECTION("one has left the fleet") {
    Vm.Answers.erase("e2");
    Vm.Tracker->setPeers({peer("e3")});
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
    Vm.Loop.runFor(Retention);
    CHECK(Vm.ask() == SubmissionOutcome::NotStored);
  }
}

// Guards against a process that denies what an earlier one on its VM, or one
// that it does not know of, may have stored.
TEST_CASE("a VM denies a job only if it remembers long enough") {
  Fixture Vm;
  SECTION("after its start") {
    Vm.Tracker->setPeers({});
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
    Vm.Loop.runFor(Retention);
    CHECK(Vm.ask() == SubmissionOutcome::NotStored);
  }
  SECTION("once it knows the members") {
    Vm.Loop.runFor(Retention);
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
    Vm.Tracker->setPeers({});
    CHECK(Vm.ask() == SubmissionOutcome::NotStored);
  }
  SECTION("after more jobs than it remembers") {
    Vm.Tracker->setPeers({});
    Vm.Loop.runFor(Retention);
    for (int Count = 0; Count < 30000; ++Count)
      Vm.Tracker->noteMayBeStored(jobs::JobId(std::to_string(Count)));
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
    Vm.Loop.runFor(Retention);
    CHECK(Vm.ask() == SubmissionOutcome::NotStored);
  }
}

// Guards against a submission that is forgotten while its commit may still be
// carried out, and against one that is remembered for good.
TEST_CASE("a VM remembers what it may have stored") {
  Fixture Vm;
  Vm.Tracker->setPeers({});
  Vm.Loop.runFor(Retention);
  auto Open = Vm.Tracker->open(Job);
  auto Second = Vm.Tracker->open(Job);
  Vm.Loop.runFor(2 * Retention);
  CHECK(Vm.ask() == SubmissionOutcome::MayBeStored);
  Open = nullptr;
  CHECK(Vm.ask() == SubmissionOutcome::MayBeStored);
  SECTION("until the last submission was refused") {
    Second = nullptr;
    CHECK(Vm.ask() == SubmissionOutcome::NotStored);
  }
  SECTION("for a minute after an unknown outcome") {
    Vm.Tracker->noteMayBeStored(Job);
    Second = nullptr;
    Vm.Loop.runFor(Retention - seconds(1));
    CHECK(Vm.ask() == SubmissionOutcome::MayBeStored);
    Vm.Loop.runFor(seconds(1));
    CHECK(Vm.ask() == SubmissionOutcome::NotStored);
  }
}

// Guards against a denial of a job whose commit may still be carried out, and
// against doubt about a job whose commits are all settled, for which a read of
// the store is enough.
TEST_CASE(
    "a commit is unsettled until the store cannot carry it out any more") {
  Fixture Vm;
  Vm.Tracker->setPeers({});
  SECTION("after a start") {
    CHECK(Vm.ask(SubmissionScope::Unsettled) == SubmissionOutcome::NotKnown);
    Vm.Loop.runFor(Settling);
    CHECK(Vm.ask(SubmissionScope::Unsettled) == SubmissionOutcome::NotStored);
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
    CHECK(Vm.answer("unsettled") == ServiceOutcome::Unknown);
    CHECK(Vm.answer("repeatable") == ServiceOutcome::Failed);
  }
  SECTION("after an unknown outcome") {
    Vm.Loop.runFor(Retention);
    auto Open = Vm.Tracker->open(Job);
    Vm.Loop.runFor(Settling);
    CHECK(Vm.ask(SubmissionScope::Unsettled) == SubmissionOutcome::MayBeStored);
    Vm.Tracker->noteMayBeStored(Job);
    Open = nullptr;
    Vm.Loop.runFor(Settling - seconds(1));
    CHECK(Vm.ask(SubmissionScope::Unsettled) == SubmissionOutcome::MayBeStored);
    CHECK(Vm.answer("unsettled") == ServiceOutcome::Done);
    Vm.Loop.runFor(seconds(1));
    CHECK(Vm.ask(SubmissionScope::Unsettled) == SubmissionOutcome::NotStored);
    CHECK(Vm.ask() == SubmissionOutcome::MayBeStored);
    CHECK(Vm.answer("unsettled") == ServiceOutcome::Unknown);
    // An earlier version names no scope.
    CHECK(Vm.answer("") == ServiceOutcome::Done);
  }
  SECTION("after another VM has left") {
    Vm.Loop.runFor(Retention);
    Vm.Tracker->setPeers({peer("e2")});
    Vm.Tracker->setPeers({});
    CHECK(Vm.ask(SubmissionScope::Unsettled) == SubmissionOutcome::NotKnown);
    Vm.Loop.runFor(Settling);
    CHECK(Vm.ask(SubmissionScope::Unsettled) == SubmissionOutcome::NotStored);
    CHECK(Vm.ask() == SubmissionOutcome::NotKnown);
  }
}

TEST_CASE("a report tells who was asked and who could not deny the job") {
  Fixture Vm;
  Vm.Tracker->setPeers({peer("e2"), peer("e3")});
  Vm.Loop.runFor(Retention);
  Vm.Answers = {{"e2", ServiceOutcome::Unknown}, {"e3", ServiceOutcome::Done}};
  const SubmissionReport Report = Vm.report();
  CHECK(Report.Asked == 2);
  CHECK(Report.Denied == 1);
  CHECK(Report.NotDeniedBy == EntryName("e3"));
}
