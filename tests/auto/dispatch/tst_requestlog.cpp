#include "logcapture.h"
#include "lonehandler.h"
#include "storekeys.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using peers::ServiceCallKind;
using peers::ServiceOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store::StoreError;
using store::StoreErrorCode;
using store::StorePath;

namespace {

const std::string Id = "00000000000000a1";
const std::string Path = "/quotes/" + Id;
constexpr size_t MaxLines = 20;

/// A request handler whose store and planner answer as the test says, and the
/// lines that it logs.
class Fixture {
public:
  Fixture() {
    this->Known = simulation::exampleConfiguration(1);
    this->Known.MaxBodyBytes = 100;
    store::AsyncStore Store = this->Platform.store().interface(EntryName("e1"));
    Store.Commit = [this, Direct = Store.Commit](
                       const store::StoreTransaction &Change,
                       const store::StoreCallback<store::CommitAnswer> &Done) {
      if (this->CommitErrors.empty()) {
        Direct(Change, Done);
        return;
      }
      const StoreError Error = this->CommitErrors.front();
      if (this->CommitErrors.size() > 1)
        this->CommitErrors.pop_front();
      Done(failure(StoreError(Error)));
    };
    Store.Range = [this, Direct = Store.Range](
                      const std::string &Prefix, const std::string &After,
                      store::ReadKind Kind,
                      const store::StoreCallback<store::StorePage> &Done) {
      if (this->AreReadsRefused)
        Done(failure(StoreError{StoreErrorCode::Unreachable, "no store"}));
      else
        Direct(Prefix, After, Kind, Done);
    };
    LoneHandlerHooks Hooks{Store};
    Hooks.CallPlanner = [this](const peers::ServiceCall &Call) {
      const bool IsNew = Call.Kind == ServiceCallKind::SubmitJob;
      return IsNew ? ServiceOutcome::Done : this->PlannerOutcome;
    };
    Hooks.Queues = [this]() -> std::shared_ptr<const jobs::QueueTable> {
      if (!this->IsConfigured)
        return nullptr;
      return std::make_shared<const jobs::QueueTable>(
          jobs::FleetConfiguration(this->Known));
    };
    this->Handler =
        makeLoneHandler(this->Loop, this->Platform, std::move(Hooks));
  }

  /// Sends a request and returns the status of its answer after \p Wait; 0 if
  /// there was none.
  int send(const std::string &Method, const std::string &Target = Path,
           const std::string &Body = "short", Duration Wait = seconds(6)) {
    http::HttpRequest Request;
    Request.Method = Method;
    Request.Target = Target;
    Request.Headers.set("Host", simulation::ExampleHost);
    Request.Body = Body;
    const auto Status = std::make_shared<int>(0);
    this->Handler->handle(Request, [Status](const http::HttpResponse &Answer) {
      *Status = Answer.Status;
    });
    this->Loop.runFor(Wait);
    return *Status;
  }

  void store() {
    this->Platform.store().put(
        keys::jobs(ServiceName("quotes")) + Id,
        encodeStoredJob({"quotes", this->Loop.Time.clock().WallNow(), "short",
                         std::nullopt}));
  }

  /// A field of the only line of the event; "(N lines)" unless there is one.
  std::string field(const std::string &Key,
                    const std::string &Event = "request-refused") const {
    const std::vector<std::string> Lines = this->Log.lines(Event);
    return Lines.size() == 1 ? LogCapture::field(Lines[0], Key)
                             : "(" + std::to_string(Lines.size()) + " lines)";
  }

  LogCapture Log;
  SteppedLoop Loop;
  simulation::SimulatedPlatform Platform{this->Loop.Time.clock(),
                                         this->Loop.Queue, seededRandom(1)};
  jobs::FleetConfiguration Known;
  bool IsConfigured = true;
  std::shared_ptr<JobRequestHandler> Handler;
  /// How the next commits fail; the last one stands for all later ones. If
  /// empty, commits are carried out.
  std::deque<StoreError> CommitErrors;
  bool AreReadsRefused = false;
  ServiceOutcome PlannerOutcome = ServiceOutcome::Unknown;
};

} // namespace

// Guards against refusals whose cause cannot be told, because the log does not
// name the commits that were made (issue 55).
TEST_CASE("the refusal of a submission names the commits and how they ended") {
  Fixture Entry;
  Entry.CommitErrors = {
      {StoreErrorCode::Ambiguous, "no answer", StorePath::Several},
      {StoreErrorCode::Unreachable, "refused", StorePath::Direct}};
  REQUIRE(Entry.send("POST") == 504);
  CHECK(Entry.field("job") == Id);
  CHECK(Entry.field("method") == "POST");
  CHECK(Entry.field("status") == "504");
  CHECK(Entry.field("reason") == "refused");
  const int Commits = std::stoi(Entry.field("commits"));
  CHECK(Commits > 10);
  CHECK(Entry.field("outcomes") ==
        "ambiguous:1,unreachable:" + std::to_string(Commits - 1));
  CHECK(std::stoi(Entry.field("first-ms")) > 2000);
  CHECK(std::stoi(Entry.field("last-ms")) < 120);
  CHECK(Entry.field("last-path") == "direct");
}

// Guards against refusals that are not logged, or without the job's id (issue
// 55).
TEST_CASE("every refusal of a request that names a job is logged") {
  Fixture Entry;
  std::string Method = "POST";
  std::string Body = "short";
  int Status = 0;
  SECTION("an unknown job") {
    Method = "GET";
    Status = 410;
  }
  SECTION("a job whose record cannot be read") {
    Method = GENERATE("GET", "DELETE");
    Entry.AreReadsRefused = true;
    Status = 503;
  }
  SECTION("a cancellation that cannot be stored") {
    Method = "DELETE";
    Entry.store();
    Entry.CommitErrors = {{StoreErrorCode::Ambiguous, "no answer"}};
    Status = 504;
  }
  SECTION("a body that is not a job") {
    Body = "nonsense";
    Status = 400;
  }
  SECTION("a body that is too large") {
    Body = std::string(101, 'x');
    Status = 413;
  }
  SECTION("a method that is not allowed") {
    Method = "PATCH";
    Status = 405;
  }
  SECTION("a VM without a configuration") {
    Entry.IsConfigured = false;
    Status = 503;
  }
  REQUIRE(Entry.send(Method, Path, Body) == Status);
  CHECK(Entry.field("job") == Id);
  CHECK(Entry.field("method") == Method);
  CHECK(Entry.field("status") == std::to_string(Status));
  CHECK_FALSE(Entry.field("reason").empty());
}

// Guards against a cancelled job of which the log does not tell that it had no
// record.
TEST_CASE("the cancellation of an unknown job is logged") {
  Fixture Entry;
  REQUIRE(Entry.send("DELETE") == 200);
  CHECK(Entry.field("job", "cancelled-unsubmitted") == Id);
  CHECK(Entry.field("commits", "cancelled-unsubmitted") == "1");
}

// Guards against an answer that a job does not exist or never runs of which the
// log does not tell who was asked (issue 61).
TEST_CASE("a refusal tells what the VMs say of other submissions") {
  Fixture Entry;
  SECTION("no such job") {
    REQUIRE(Entry.send("GET") == 410);
    CHECK(Entry.field("submissions") == "not-stored");
  }
  SECTION("a commit of an earlier request is not settled") {
    Entry.CommitErrors = {{StoreErrorCode::Ambiguous, "no answer"}};
    REQUIRE(Entry.send("POST") == 504);
    REQUIRE(Entry.send("GET") == 503);
    const auto Lines = Entry.Log.lines("request-refused");
    CHECK(LogCapture::field(Lines.back(), "submissions") == "may-be-stored");
    CHECK(LogCapture::field(Lines.back(), "asked") == "0");
  }
  SECTION("an unknown queue") {
    REQUIRE(Entry.send("POST", "/nothing/" + Id) == 404);
    CHECK(Entry.field("submissions", "queue-unknown") == "not-stored");
  }
}

TEST_CASE("a refusal by the path or the key names the job in the path") {
  Fixture Entry;
  SECTION("no such queue") {
    REQUIRE(Entry.send("POST", "/nothing/" + Id + "?a=b") == 404);
    CHECK(Entry.field("job", "queue-unknown") == Id);
    CHECK(Entry.field("method", "queue-unknown") == "POST");
    CHECK(Entry.field("status", "queue-unknown") == "404");
  }
  SECTION("no valid key") {
    Entry.Known.Tenants = simulation::exampleTenants();
    REQUIRE(Entry.send("DELETE") == 401);
    CHECK(Entry.field("job", "key-refused") == Id);
    CHECK(Entry.field("method", "key-refused") == "DELETE");
  }
  SECTION("no job in the path") {
    REQUIRE(Entry.send("POST", "/quotes/a1") == 404);
    CHECK(Entry.field("job").empty());
    CHECK(Entry.field("path") == "/quotes/a1");
  }
}

// Guards against a log that is filled by clients (issue 55).
TEST_CASE("refusals that any client can cause are logged up to a limit") {
  Fixture Entry;
  std::string Event = "request-refused";
  std::string Target = Path;
  SECTION("no configuration") { Entry.IsConfigured = false; }
  SECTION("no job in the path") { Target = "/quotes/a1"; }
  SECTION("no such queue") {
    Target = "/nothing/" + Id;
    Event = "queue-unknown";
  }
  SECTION("no valid key") {
    Entry.Known.Tenants = simulation::exampleTenants();
    Event = "key-refused";
  }
  for (size_t Request = 0; Request < MaxLines + 5; ++Request)
    Entry.send("POST", Target, "short", Duration::zero());
  CHECK(Entry.Log.lines(Event).size() == MaxLines);
  Entry.Loop.runFor(seconds(1));
  Entry.send("POST", Target, "short", Duration::zero());
  REQUIRE(Entry.Log.lines(Event).size() == MaxLines + 1);
  CHECK(LogCapture::field(Entry.Log.lines(Event).back(), "not-logged") == "5");
}

// Guards against an acceptance that does not tell whether an earlier try had
// stored the job (issue 55).
TEST_CASE("the acceptance of a stored job tells since when it is stored") {
  Fixture Entry;
  SECTION("one commit that finds the job") {
    Entry.store();
    Entry.Loop.runFor(seconds(7));
    REQUIRE(Entry.send("POST") == 200);
    CHECK(Entry.field("again", "job-accepted") == "yes");
    const int StoredFor = std::stoi(Entry.field("stored-ms", "job-accepted"));
    CHECK(StoredFor >= 7000);
    CHECK(StoredFor < 7200);
    CHECK(Entry.field("commits", "job-accepted") == "1");
    CHECK(Entry.field("outcomes", "job-accepted") == "conflict:1");
  }
  SECTION("several commits") {
    Entry.CommitErrors = {{StoreErrorCode::Unreachable, "refused"}};
    Entry.Loop.Queue.schedule(Entry.Loop.Time.now() + milliseconds(1),
                              [&Entry] { Entry.CommitErrors.clear(); });
    REQUIRE(Entry.send("POST") == 200);
    CHECK(Entry.field("again", "job-accepted") == "no");
    CHECK(Entry.field("stored-ms", "job-accepted").empty());
    CHECK(Entry.field("commits", "job-accepted") == "2");
    CHECK(Entry.field("outcomes", "job-accepted") ==
          "committed:1,unreachable:1");
  }
  SECTION("one commit that stores the job") {
    REQUIRE(Entry.send("POST") == 200);
    CHECK(Entry.field("again", "job-accepted") == "no");
    CHECK(Entry.field("commits", "job-accepted").empty());
  }
}

// Guards against a planner that starts a job while no line tells who has told
// it (issue 55).
TEST_CASE("a job that its planner does not know is announced with a cause") {
  Fixture Entry;
  Entry.store();
  SECTION("by a question for its state") {
    REQUIRE(Entry.send("GET") == 200);
    CHECK(Entry.field("job", "job-announced") == Id);
    CHECK(Entry.field("cause", "job-announced") == "state-asked");
  }
  SECTION("by its cancelling") {
    REQUIRE(Entry.send("DELETE") == 200);
    CHECK(Entry.field("cause", "job-announced") == "cancel-asked");
  }
}
