#include "logcapture.h"
#include "lonehandler.h"
#include "storekeys.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using peers::ServiceCallKind;
using peers::ServiceOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Id = "00000000000000a1";
const std::string Key = keys::jobs(ServiceName("quotes")) + Id;
constexpr int Ok = 200;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

/// The answer to a request.
struct Answered {
  int Status = 0;
  /// Time from the request to the answer.
  Duration Within = Duration::max();
};

/// A request handler whose store holds calls back.
class Fixture {
public:
  Fixture() {
    store::AsyncStore Store = this->Platform.store().interface(EntryName("e1"));
    Store.Commit = [this, Direct = Store.Commit](
                       const store::StoreTransaction &Change,
                       const store::StoreCallback<store::CommitAnswer> &Done) {
      ++this->Commits;
      this->delay([Direct, Change, Done] { Direct(Change, Done); });
    };
    Store.Range = [this, Direct = Store.Range](
                      const std::string &Prefix, const std::string &After,
                      store::ReadKind Kind,
                      const store::StoreCallback<store::StorePage> &Done) {
      this->delay([this, Direct, Prefix, After, Kind, Done] {
        Direct(Prefix, After, Kind,
               [this, Done](store::StoreResult<store::StorePage> Page) {
                 Done(std::move(Page));
                 if (this->OnRead)
                   this->OnRead();
               });
      });
    };
    LoneHandlerHooks Hooks{Store};
    Hooks.CallPlanner = [this](const peers::ServiceCall &Call) {
      if (Call.Kind != ServiceCallKind::SubmitJob)
        return ServiceOutcome::Unknown;
      ++this->Announced;
      return ServiceOutcome::Done;
    };
    Hooks.Queues = [this, Queues = std::make_shared<const jobs::QueueTable>(
                              simulation::exampleConfiguration(1))]() {
      return this->IsConfigured ? Queues : nullptr;
    };
    Hooks.KnownThrough = [this] {
      return this->Loop.Time.now() - this->ConfigurationAge;
    };
    Hooks.Refresh = [this](const std::function<void()> &Done) {
      this->Loop.Queue.schedule(this->Loop.Time.now() + this->RefreshDelay,
                                Done);
    };
    this->Handler =
        makeLoneHandler(this->Loop, this->Platform, std::move(Hooks));
  }

  std::shared_ptr<Answered> send(const std::string &Method, Duration Deadline,
                                 const std::string &Queue = "/quotes/") {
    http::HttpRequest Request;
    Request.Method = Method;
    Request.Target = Queue + Id;
    Request.Headers.set("Host", simulation::ExampleHost);
    Request.Headers.set("Deadline-Ms",
                        std::to_string(toMilliseconds(Deadline)));
    Request.Body = "short";
    const auto Answer = std::make_shared<Answered>();
    this->Handler->handle(Request, [this, Answer, Sent = this->Loop.Time.now()](
                                       const http::HttpResponse &Response) {
      CHECK(Answer->Status == 0);
      *Answer = {Response.Status, this->Loop.Time.now() - Sent};
    });
    return Answer;
  }

  SteppedLoop Loop;
  simulation::SimulatedPlatform Platform{this->Loop.Time.clock(),
                                         this->Loop.Queue, seededRandom(1)};
  std::shared_ptr<JobRequestHandler> Handler;
  Duration StoreDelay = Duration::zero();
  Duration RefreshDelay = Duration::zero();
  bool IsConfigured = true;
  Duration ConfigurationAge = Duration::zero();
  /// Called after each read of the store.
  std::function<void()> OnRead;
  size_t Commits = 0;
  size_t Announced = 0;

private:
  void delay(std::function<void()> Call) {
    this->Loop.Queue.schedule(this->Loop.Time.now() + this->StoreDelay,
                              std::move(Call));
  }
};

} // namespace

// Guards against requests without an answer by their deadline, because the
// store is silent (issue 61).
TEST_CASE("a request is answered by its deadline while the store is silent") {
  const auto Deadline =
      milliseconds(GENERATE(100, 300, 500, 1000, 1500, 2500, 9000));
  Fixture Entry;
  Entry.StoreDelay = seconds(20);
  std::string Method;
  int Status = GatewayTimeout;
  SECTION("a submission") { Method = "POST"; }
  SECTION("a cancellation") { Method = "DELETE"; }
  SECTION("a question for the state") {
    Method = "GET";
    Status = ServiceUnavailable;
  }
  SECTION("a submission that waits for the configuration") {
    Method = "POST";
    Entry.ConfigurationAge = seconds(10);
    Entry.RefreshDelay = seconds(20);
  }
  INFO("within " << toMilliseconds(Deadline) << " ms");
  const auto Answer = Entry.send(Method, Deadline);
  Entry.Loop.runFor(seconds(60));
  CHECK(Answer->Status == Status);
  CHECK(Answer->Within < Deadline);
}

// Guards against an unknown outcome of a commit that the store answers shortly
// before the deadline.
TEST_CASE("an answer of the store before the deadline is passed on") {
  Fixture Entry;
  Entry.StoreDelay = milliseconds(300);
  const auto Answer = Entry.send("POST", milliseconds(500));
  Entry.Loop.runFor(seconds(3));
  CHECK(Answer->Status == Ok);
}

// Guards against a request that is answered as one that waits for the
// configuration although it has been routed.
TEST_CASE("a request that was routed is answered by its own outcome") {
  LogCapture Log;
  Fixture Entry;
  Entry.ConfigurationAge = seconds(10);
  Entry.StoreDelay = seconds(20);
  const auto Answer = Entry.send("POST", seconds(1));
  Entry.Loop.runFor(seconds(60));
  CHECK(Answer->Status == GatewayTimeout);
  const auto Lines = Log.lines("request-refused");
  REQUIRE(Lines.size() == 1);
  CHECK(LogCapture::field(Lines[0], "open") == "1");
}

// Guards against a job that is stored and waits, because its request had been
// answered before its commit.
TEST_CASE("a job that is stored after its request was answered is announced") {
  Fixture Entry;
  Entry.StoreDelay = seconds(2);
  const auto Answer = Entry.send("POST", seconds(1));
  Entry.Loop.runFor(seconds(10));
  CHECK(Answer->Status == GatewayTimeout);
  CHECK(Entry.Commits == 1);
  CHECK(Entry.Announced == 1);
}

// Guards against 503 for a job whose earlier submission is not settled, from a
// VM whose configuration is missing or cannot be confirmed (issue 61).
TEST_CASE("a job is not refused for want of a configuration while a submission "
          "is open") {
  Fixture Entry;
  bool HasEarlier = false;
  SECTION("an earlier submission has no outcome") {
    HasEarlier = true;
    Entry.StoreDelay = seconds(2);
    const auto First = Entry.send("POST", seconds(1));
    Entry.Loop.runFor(seconds(1));
    REQUIRE(First->Status == GatewayTimeout);
    Entry.StoreDelay = Duration::zero();
  }
  SECTION("there is none") {}
  Entry.IsConfigured = GENERATE(true, false);
  Entry.ConfigurationAge = seconds(10);
  const auto Answer = Entry.send("POST", seconds(1), "/unknown/");
  Entry.Loop.runFor(seconds(1));
  CHECK(Answer->Status == (HasEarlier ? GatewayTimeout : ServiceUnavailable));
}

// Guards against 410 for a job that is stored between the two reads that look
// for it (issue 61).
TEST_CASE("a job that is stored between two reads is found") {
  Fixture Entry;
  Entry.OnRead = [&Entry] {
    Entry.OnRead = nullptr;
    Entry.Platform.store().put(
        Key, encodeStoredJob({"quotes", Entry.Loop.Time.clock().WallNow(),
                              "short", std::nullopt}));
    Entry.Platform.store().put(keys::jobService(jobs::JobId(Id)), "quotes");
  };
  const std::string Method = GENERATE("GET", "DELETE");
  const auto Answer = Entry.send(Method, seconds(3));
  Entry.Loop.runFor(seconds(3));
  CHECK(Answer->Status == Ok);
  const auto Record =
      decodeStoredJob(Entry.Platform.store().value(Key).value());
  CHECK_FALSE(Record.value().End.has_value());
  const std::string Notice = keys::cancellations(ServiceName("quotes")) + Id;
  CHECK(Entry.Platform.store().value(Notice).has_value() ==
        (Method == "DELETE"));
}
