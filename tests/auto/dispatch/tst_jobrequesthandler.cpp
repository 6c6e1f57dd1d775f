#include "jobrequesthandler.h"
#include "steppedloop.h"
#include "storekeys.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Id = "00000000000000a1";

/// A request handler whose planner takes every job that is announced to it.
class Fixture {
public:
  Fixture() {
    simulation::addExampleFleet(this->Platform);
    const auto Queues = std::make_shared<const jobs::QueueTable>(
        this->Platform.codec().DecodeConfiguration("1").value());
    store::AsyncStore Store = this->Platform.store().interface(EntryName("e1"));
    Store.Commit = [this, Direct = Store.Commit](
                       const store::StoreTransaction &Change,
                       const store::StoreCallback<store::CommitAnswer> &Done) {
      ++this->Commits;
      if (this->UnexplainedConflicts == 0) {
        Direct(Change, Done);
        return;
      }
      --this->UnexplainedConflicts;
      Done(store::CommitAnswer());
    };
    Context Shared{this->Loop.Time.clock(), seededRandom(3), this->Loop.Queue,
                   Store};
    const auto Calls = std::make_shared<ServiceCalls>(
        Shared, EntryName("e1"), 0, nullptr,
        [](const EntryName &, const peers::Message &) { return false; },
        [this](const peers::ServiceCall &Call, const AnswerCallback &Respond) {
          if (Call.Kind == peers::ServiceCallKind::SubmitJob)
            this->Announced.push_back(Call.Content);
          Respond({Call.Id, peers::ServiceOutcome::Done, ""});
          return true;
        });
    ConfigurationHooks Configuration;
    Configuration.Queues = [Queues] { return Queues; };
    Configuration.KnownThrough = [this] { return this->Loop.Time.now(); };
    Configuration.IsOutdated = [] { return false; };
    this->Handler = std::make_shared<JobRequestHandler>(
        Shared, this->Platform.codec(), Calls,
        std::make_shared<SubmissionTracker>(Shared, Calls), Configuration,
        tenants::AccessBounds{seconds(2), std::nullopt});
  }

  /// Submits the job and returns the status of the answer; 0 if there was none.
  int submit() {
    http::HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/quotes/" + Id;
    Request.Headers.set("Host", simulation::ExampleHost);
    Request.Body = "short";
    const auto Status = std::make_shared<int>(0);
    this->Handler->handle(Request, [Status](const http::HttpResponse &Answer) {
      *Status = Answer.Status;
    });
    this->Loop.runFor(seconds(5));
    return *Status;
  }

  std::string key() const { return keys::jobs(ServiceName("quotes")) + Id; }

  SteppedLoop Loop;
  simulation::SimulatedPlatform Platform{this->Loop.Time.clock(),
                                         this->Loop.Queue, seededRandom(1)};
  std::shared_ptr<JobRequestHandler> Handler;
  /// What was announced to the planner.
  std::vector<std::string> Announced;
  size_t Commits = 0;
  /// Number of commits to answer with a conflict that shows no item.
  unsigned UnexplainedConflicts = 0;
};

} // namespace

// Guards against a job that is announced with the time of a later submission
// instead of the one that was accepted (issue 34).
TEST_CASE("a job that is submitted again is announced as it is stored") {
  Fixture Entry;
  REQUIRE(Entry.submit() == 200);
  const std::string Stored = Entry.Platform.store().value(Entry.key()).value();
  Entry.Loop.runFor(seconds(3));
  CHECK(Entry.submit() == 200);
  CHECK(Entry.Announced == std::vector<std::string>{Stored, Stored});
  CHECK(Entry.Platform.store().value(Entry.key()) == Stored);
}

// Guards against a job that has ended and is announced as a new one.
TEST_CASE("a job that has ended is accepted again and not announced") {
  Fixture Entry;
  Entry.Platform.store().put(
      Entry.key(), encodeStoredJob({"quotes", Entry.Loop.Time.clock().WallNow(),
                                    "", jobs::JobState::Completed}));
  CHECK(Entry.submit() == 200);
  CHECK(Entry.Announced.empty());
}

// Guards against an announcement of a record that may not be the stored one.
TEST_CASE("a conflict that shows no record is looked into again") {
  Fixture Entry;
  SECTION("and the job accepted once the record is known") {
    Entry.UnexplainedConflicts = 1;
    CHECK(Entry.submit() == 200);
    CHECK(Entry.Commits == 2);
    CHECK(Entry.Announced.size() == 1);
  }
  SECTION("and the outcome called unknown if it stays so") {
    Entry.UnexplainedConflicts = 1000;
    CHECK(Entry.submit() == 504);
    CHECK(Entry.Announced.empty());
  }
}
