#include "jobrequesthandler.h"
#include "steppedloop.h"
#include "storekeys.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using peers::ServiceCallKind;
using peers::ServiceOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Id = "00000000000000a1";
const std::string Path = "/quotes/" + Id;

/// The response to a client; a status of 0 means none yet.
struct Answer {
  int Status = 0;
  std::string Body;
  std::string RetryAfter;
};

/// A request handler with a configuration of any age and a planner that answers
/// as the test says. The queue "payouts" is public.
class Fixture {
public:
  explicit Fixture(const tenants::AccessBounds &Bounds = {seconds(2),
                                                          seconds(5)}) {
    simulation::addExampleFleet(this->Platform);
    this->adopt(simulation::exampleTenants());
    store::AsyncStore Store = this->Platform.store().interface(EntryName("e1"));
    Store.Commit = [this, Direct = Store.Commit](
                       const store::StoreTransaction &Change,
                       const store::StoreCallback<store::CommitAnswer> &Done) {
      ++this->Commits;
      this->Loop.Queue.schedule(
          this->Loop.Time.now() + this->CommitDelay,
          [Direct, Change, Done] { Direct(Change, Done); });
    };
    Context Shared{this->Loop.Time.clock(), seededRandom(3), this->Loop.Queue,
                   Store};
    const auto Calls = std::make_shared<ServiceCalls>(
        Shared, EntryName("e1"), 0, nullptr,
        [](const EntryName &, const peers::Message &) { return false; },
        [this](const peers::ServiceCall &Call, const AnswerCallback &Respond) {
          this->Calls.push_back(Call);
          const bool IsNew = Call.Kind == ServiceCallKind::SubmitJob;
          Respond({Call.Id, IsNew ? ServiceOutcome::Done : this->PlannerOutcome,
                   this->PlannerContent});
          return true;
        });
    ConfigurationHooks Configuration;
    Configuration.Queues = [this] { return this->Queues; };
    Configuration.KnownThrough = [this] { return this->KnownThrough; };
    Configuration.IsOutdated = [this] { return this->IsOutdated; };
    Configuration.Refresh = [this](std::function<void()> Done) {
      ++this->Refreshes;
      this->Loop.Queue.schedule(this->Loop.Time.now() + this->RefreshDelay,
                                [this, Done] {
                                  if (this->OnRefresh)
                                    this->OnRefresh();
                                  Done();
                                });
    };
    // A VM that has been up for long knows what it has stored.
    const auto Submissions = std::make_shared<SubmissionTracker>(Shared, Calls);
    Submissions->setPeers({});
    this->Loop.runFor(std::chrono::minutes(2));
    this->KnownThrough = this->Loop.Time.now();
    this->Handler = std::make_shared<JobRequestHandler>(
        Shared, this->Platform.codec(), Calls, Submissions, Configuration,
        Bounds);
  }

  /// Makes a configuration with these tenants current. It is known as of now.
  void adopt(std::vector<tenants::Tenant> Tenants) {
    jobs::FleetConfiguration Next =
        simulation::exampleConfiguration(++this->LastVersion);
    Next.Tenants = std::move(Tenants);
    Next.Queues[1].IsPublic = !Next.Tenants.empty();
    this->Queues = std::make_shared<const jobs::QueueTable>(std::move(Next));
    this->KnownThrough = this->Loop.Time.now();
  }

  void setAge(Duration Age) {
    this->KnownThrough = this->Loop.Time.now() - Age;
    this->IsAgeSet = true;
  }

  std::shared_ptr<Answer> send(const std::string &Method,
                               const std::string &Target,
                               const std::string &Key) {
    http::HttpRequest Request;
    Request.Method = Method;
    Request.Target = Target;
    Request.Headers.set("Host", simulation::ExampleHost);
    if (!Key.empty())
      Request.Headers.set("Key", Key);
    Request.Body = "short";
    const auto Got = std::make_shared<Answer>();
    this->Handler->handle(Request, [Got](const http::HttpResponse &Response) {
      *Got = {Response.Status, Response.Body,
              Response.Headers.find("Retry-After").value_or("")};
    });
    return Got;
  }

  /// Sends a request and returns the status of its answer. While no test sets
  /// its age, the configuration is known as of the request.
  int statusOf(const std::string &Method, const std::string &Target,
               const std::string &Key) {
    if (!this->IsAgeSet)
      this->KnownThrough = this->Loop.Time.now();
    const auto Got = this->send(Method, Target, Key);
    this->Loop.runFor(milliseconds(900));
    return Got->Status;
  }

  void store(const std::string &Tenant, std::optional<jobs::JobState> End,
             const std::string &Queue = "quotes") {
    this->Platform.store().put(
        this->key(), encodeStoredJob({Queue, this->Loop.Time.clock().WallNow(),
                                      "short", End, TenantName(Tenant)}));
  }
  std::string key() const { return keys::jobs(ServiceName("quotes")) + Id; }
  std::optional<std::string> stored() const {
    return this->Platform.store().value(this->key());
  }
  bool hasCancellation() const {
    return this->Platform.store()
        .value(keys::cancellations(ServiceName("quotes")) + Id)
        .has_value();
  }
  size_t countCalls(ServiceCallKind Kind) const {
    return static_cast<size_t>(
        std::count_if(this->Calls.begin(), this->Calls.end(),
                      [Kind](const auto &Each) { return Each.Kind == Kind; }));
  }

  SteppedLoop Loop;
  simulation::SimulatedPlatform Platform{this->Loop.Time.clock(),
                                         this->Loop.Queue, seededRandom(1)};
  std::shared_ptr<JobRequestHandler> Handler;
  std::shared_ptr<const jobs::QueueTable> Queues;
  TimePoint KnownThrough;
  std::vector<peers::ServiceCall> Calls;
  ServiceOutcome PlannerOutcome = ServiceOutcome::Done;
  std::string PlannerContent = "running";
  Duration CommitDelay = Duration::zero();
  Duration RefreshDelay = milliseconds(700);
  /// What a read of the configuration finds; null if it fails.
  std::function<void()> OnRefresh;
  size_t Refreshes = 0;
  size_t Commits = 0;
  bool IsOutdated = false;

private:
  uint64_t LastVersion = 0;
  bool IsAgeSet = false;
};

} // namespace

// Guards against calls that pass without a valid key, and against effects of
// calls that are refused.
TEST_CASE("calls with an unknown or missing key are refused with 401") {
  Fixture Entry;
  for (const char *Key : {"", "cedar-key", "alder", "alder-key2"})
    for (const char *Method : {"POST", "GET", "DELETE"}) {
      INFO(Method << " with '" << Key << "'");
      CHECK(Entry.statusOf(Method, Path, Key) == 401);
    }
  CHECK(Entry.statusOf("GET", "/quotes/", "cedar-key") == 401);
  CHECK(Entry.statusOf("GET", "/quotes/", "") == 401);
  CHECK(Entry.Calls.empty());
  CHECK(Entry.Commits == 0);
}

TEST_CASE("calls with a tenant's key proceed") {
  Fixture Entry;
  CHECK(Entry.statusOf("POST", Path, "alder-key") == 200);
  CHECK(Entry.statusOf("POST", Path, "alder-key") == 200);
  CHECK(Entry.statusOf("GET", Path, "alder-key") == 200);
  CHECK(Entry.statusOf("DELETE", Path, "alder-key") == 200);
  Entry.PlannerContent = "3";
  CHECK(Entry.statusOf("GET", "/quotes/", "birch-key") == 200);
}

// Guards against jobs whose tenant is lost before their runs are counted.
TEST_CASE("the tenant is stored with the job and sent to the planner") {
  Fixture Entry;
  REQUIRE(Entry.statusOf("POST", Path, "alder-key") == 200);
  CHECK(decodeStoredJob(*Entry.stored()).value().Tenant == TenantName("alder"));
  REQUIRE(Entry.Calls.size() == 1);
  CHECK(Entry.Calls[0].Content == *Entry.stored());
  Entry.statusOf("GET", Path, "alder-key");
  Entry.statusOf("DELETE", Path, "birch-key");
  REQUIRE(Entry.Calls.size() == 3);
  CHECK(Entry.Calls[1].Content == "alder");
  CHECK(Entry.Calls[2].Content == "birch");
}

TEST_CASE("a public queue ignores keys") {
  Fixture Entry;
  for (const char *Key : {"", "cedar-key", "alder-key"})
    CHECK(Entry.statusOf("GET", "/payouts/" + Id, Key) == 200);
  CHECK(Entry.statusOf("POST", "/payouts/" + Id, "alder-key") == 200);
  const std::string Record =
      *Entry.Platform.store().value(keys::jobs(ServiceName("payouts")) + Id);
  CHECK(Record.find("tenant") == std::string::npos);
}

// Guards against changes for deployments without tenants.
TEST_CASE("without tenants no key is needed and none has an effect") {
  Fixture Entry;
  Entry.adopt({});
  for (const char *Key : {"", "alder-key"}) {
    CHECK(Entry.statusOf("POST", Path, Key) == 200);
    CHECK(Entry.statusOf("GET", Path, Key) == 200);
    CHECK(Entry.statusOf("DELETE", Path, Key) == 200);
  }
  CHECK(Entry.stored()->find("tenant") == std::string::npos);
  for (const peers::ServiceCall &Call : Entry.Calls)
    if (Call.Kind != ServiceCallKind::SubmitJob)
      CHECK(Call.Content.empty());
  Entry.setAge(seconds(60));
  Entry.RefreshDelay = Duration::zero();
  CHECK(Entry.statusOf("GET", Path, "") == 200);
}

// Guards against requests that are handled by a configuration which the VM
// knows to have been replaced, and which wait although a transfer does not end.
TEST_CASE("an old configuration that is known to be replaced is not used") {
  Fixture Entry;
  Entry.setAge(milliseconds(1600));
  Entry.IsOutdated = true;
  SECTION("if the newer one does not come") {
    const auto Got = Entry.send("GET", Path, "alder-key");
    Entry.Loop.runFor(milliseconds(700));
    CHECK(Got->Status == 503);
    CHECK(Got->RetryAfter == "1");
  }
  SECTION("once the newer one has come") {
    Entry.OnRefresh = [&Entry] {
      Entry.adopt(simulation::exampleTenants());
      Entry.IsOutdated = false;
    };
    CHECK(Entry.statusOf("GET", Path, "alder-key") == 200);
  }
}

// Guards against a key that is refused although a newer version has it, or that
// is accepted although a newer version lacks it.
TEST_CASE("an old configuration is read again before the decision") {
  Fixture Entry;
  Entry.setAge(milliseconds(1600));
  SECTION("and an added key is accepted") {
    Entry.OnRefresh = [&Entry] {
      auto Tenants = simulation::exampleTenants();
      Tenants[0].Keys.emplace_back("alder-new");
      Entry.adopt(Tenants);
    };
    CHECK(Entry.statusOf("GET", Path, "alder-new") == 200);
  }
  SECTION("and a removed key is refused") {
    Entry.OnRefresh = [&Entry] {
      auto Tenants = simulation::exampleTenants();
      Tenants[0].Keys = {"alder-new"};
      Entry.adopt(Tenants);
    };
    CHECK(Entry.statusOf("GET", Path, "alder-key") == 401);
  }
  SECTION("and if that fails, unknown keys are refused with 503") {
    const auto Got = Entry.send("GET", Path, "alder-new");
    Entry.Loop.runFor(seconds(1));
    CHECK(Got->Status == 503);
    CHECK(Got->RetryAfter == "1");
    CHECK(Entry.statusOf("GET", Path, "") == 503);
    CHECK(Entry.statusOf("GET", Path, "alder-key") == 200);
  }
  CHECK(Entry.Refreshes >= 1);
}

// Guards against a removed key that works on a VM that is cut off from the
// store for longer than the bound.
TEST_CASE("known keys are refused once the configuration is too old") {
  Fixture Entry;
  Entry.setAge(milliseconds(4790));
  CHECK(Entry.statusOf("GET", Path, "alder-key") == 200);
  Entry.setAge(milliseconds(4810));
  const auto Got = Entry.send("POST", Path, "alder-key");
  Entry.Loop.runFor(milliseconds(701));
  CHECK(Got->Status == 503);
  CHECK(Got->RetryAfter == "1");
  CHECK(Entry.Commits == 0);
  CHECK(Entry.Refreshes == 2);
  Entry.OnRefresh = [&Entry] { Entry.KnownThrough = Entry.Loop.Time.now(); };
  CHECK(Entry.statusOf("GET", Path, "alder-key") == 200);
}

// Guards against a bound shorter than the age that counts as confirmed, which
// would let a call pass without a further read.
TEST_CASE("a short bound leads to a read of the configuration") {
  Fixture Entry({seconds(2), seconds(1)});
  Entry.setAge(milliseconds(900));
  CHECK(Entry.statusOf("GET", Path, "alder-key") == 503);
  CHECK(Entry.Refreshes == 1);
}

TEST_CASE("without a bound known keys are served from an old configuration") {
  Fixture Entry({seconds(2), std::nullopt});
  Entry.setAge(seconds(60));
  CHECK(Entry.statusOf("GET", Path, "alder-key") == 200);
}

// Guards against an accepted job that is reported as refused, because its key
// was removed while the store was slow.
TEST_CASE("a key that is removed during a slow store call was valid") {
  Fixture Entry;
  Entry.CommitDelay = seconds(2);
  const auto Got = Entry.send("POST", Path, "alder-key");
  Entry.Loop.runFor(seconds(1));
  Entry.adopt({simulation::exampleTenants()[1]});
  Entry.Loop.runFor(seconds(2));
  CHECK(Got->Status == 200);
  Entry.CommitDelay = Duration::zero();
  CHECK(Entry.statusOf("GET", Path, "alder-key") == 401);
}

// Guards against a tenant that reads, cancels or takes over another's job.
TEST_CASE("a job of another tenant is refused with 403 and not changed") {
  Fixture Entry;
  SECTION("by the planner") {
    Entry.PlannerOutcome = ServiceOutcome::OtherTenant;
    CHECK(Entry.statusOf("GET", Path, "birch-key") == 403);
    CHECK(Entry.statusOf("DELETE", Path, "birch-key") == 403);
    CHECK_FALSE(Entry.hasCancellation());
  }
  for (const auto Outcome : {ServiceOutcome::Unknown, ServiceOutcome::Failed})
    for (const auto End : {std::optional<jobs::JobState>(),
                           std::optional(jobs::JobState::Completed)})
      DYNAMIC_SECTION("by the store "
                      << nameOf(peers::ServiceOutcomeNames, Outcome) << " "
                      << End.has_value()) {
        Entry.PlannerOutcome = Outcome;
        Entry.store("alder", End);
        const std::string Before = *Entry.stored();
        CHECK(Entry.statusOf("GET", Path, "birch-key") == 403);
        CHECK(Entry.statusOf("DELETE", Path, "birch-key") == 403);
        CHECK(Entry.statusOf("POST", Path, "birch-key") == 403);
        CHECK(Entry.stored() == Before);
        CHECK_FALSE(Entry.hasCancellation());
        CHECK(Entry.countCalls(ServiceCallKind::SubmitJob) == 0);
        CHECK(Entry.statusOf("GET", Path, "alder-key") == 200);
        CHECK(Entry.statusOf("POST", Path, "alder-key") == 200);
        CHECK(Entry.statusOf("DELETE", Path, "alder-key") == 200);
        CHECK(Entry.hasCancellation() == !End.has_value());
      }
}

TEST_CASE("a job without a tenant is open to every valid key") {
  Fixture Entry;
  Entry.PlannerOutcome = ServiceOutcome::Unknown;
  Entry.store("", std::nullopt);
  CHECK(Entry.statusOf("GET", Path, "birch-key") == 200);
  CHECK(Entry.statusOf("DELETE", Path, "alder-key") == 200);
  CHECK(Entry.hasCancellation());
}

// Guards against a public queue that gives access to jobs of other queues of
// its service, whose records have the same keys.
TEST_CASE("a public queue gives no access to a tenant's job of another queue") {
  Fixture Entry;
  jobs::FleetConfiguration Next = Entry.Queues->configuration();
  Next.Queues[1].Service = ServiceName("quotes");
  Entry.Queues = std::make_shared<const jobs::QueueTable>(Next);
  Entry.PlannerOutcome = ServiceOutcome::Unknown;
  Entry.store("alder", std::nullopt);
  for (const char *Method : {"GET", "DELETE", "POST"})
    CHECK(Entry.statusOf(Method, "/payouts/" + Id, "") == 403);
  CHECK_FALSE(Entry.hasCancellation());
  // A queue that has become public gives access to its earlier jobs.
  Entry.store("alder", std::nullopt, "payouts");
  CHECK(Entry.statusOf("GET", "/payouts/" + Id, "") == 200);
}

TEST_CASE("job records keep the tenant and leave it out if there is none") {
  const StoredJob With{"quotes", WallTime(), "short", std::nullopt,
                       TenantName("alder")};
  CHECK(decodeStoredJob(encodeStoredJob(With)).value().Tenant == With.Tenant);
  const StoredJob Without{"quotes", WallTime(), "short", std::nullopt};
  CHECK(encodeStoredJob(Without).find("tenant") == std::string::npos);
  CHECK(decodeStoredJob(encodeStoredJob(Without)).value().Tenant.isEmpty());
}
