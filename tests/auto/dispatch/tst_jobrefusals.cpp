#include "lonehandler.h"
#include "storekeys.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store::StoreErrorCode;

namespace {

const std::string Id = "00000000000000a1";
constexpr Duration CallTimeout = milliseconds(1500);

/// A choice and a time. What they mean depends on what is chosen.
using Step = std::pair<uint8_t, uint16_t>;

/// How the store handles a commit.
enum CommitChoice : uint8_t {
  Served,
  Refused,
  AnswerLost,
  CarriedOutLate,
  NeverCarriedOut,
  UnexplainedConflict,
  CommitChoices,
};

/// What the store holds before the first request.
enum StoredChoice : uint8_t {
  Nothing,
  SameService,
  OtherService,
  OtherServiceWithoutRecord,
  StoredChoices,
};

/// A request handler and a store that handles each commit and each read as the
/// test says; what comes after the last step goes well.
class Fixture {
public:
  Fixture() {
    store::AsyncStore Store = this->Platform.store().interface(EntryName("e1"));
    Store.Commit = [this, Direct = Store.Commit](
                       const store::StoreTransaction &Change,
                       const store::StoreCallback<store::CommitAnswer> &Done) {
      this->commit(Direct, Change, Done);
    };
    Store.Range = [this, Direct = Store.Range](
                      const std::string &Prefix, const std::string &After,
                      store::ReadKind Read,
                      const store::StoreCallback<store::StorePage> &Done) {
      if (this->ReadsDone++ < this->FailedReads)
        this->after(milliseconds(100), [Done] {
          Done(failure(
              store::StoreError{StoreErrorCode::Unreachable, "refused"}));
        });
      else
        Direct(Prefix, After, Read, Done);
    };
    this->Handler = makeLoneHandler(this->Loop, this->Platform, {Store});
  }

  void prepare(uint8_t Stored) {
    const std::string Service =
        Stored == StoredChoice::SameService ? "quotes" : "payouts";
    if (Stored == StoredChoice::Nothing)
      return;
    this->Platform.store().put(keys::jobService(jobs::JobId(Id)), Service);
    if (Stored != StoredChoice::OtherServiceWithoutRecord)
      this->Platform.store().put(
          keys::jobs(ServiceName(Service)) + Id,
          encodeStoredJob({"quotes", this->Loop.Time.clock().WallNow(), "short",
                           std::nullopt}));
  }

  /// Submits the job; the status of the answer is filled in when it arrives.
  std::shared_ptr<int> submit(Duration Within = seconds(5)) {
    http::HttpRequest Request;
    Request.Method = "POST";
    Request.Target = "/quotes/" + Id;
    Request.Headers.set("Host", simulation::ExampleHost);
    Request.Headers.set("Deadline-Ms", std::to_string(toMilliseconds(Within)));
    Request.Body = "short";
    const auto Status = std::make_shared<int>(0);
    this->Handler->handle(Request, [Status](const http::HttpResponse &Answer) {
      *Status = Answer.Status;
    });
    return Status;
  }

  SteppedLoop Loop;
  simulation::SimulatedPlatform Platform{this->Loop.Time.clock(),
                                         this->Loop.Queue, seededRandom(1)};
  std::shared_ptr<JobRequestHandler> Handler;
  /// How the store handles the commits, in the order in which they are sent.
  std::vector<Step> CommitSteps;
  /// Commits that stored the job.
  unsigned Executions = 0;
  unsigned FailedReads = 0;

private:
  using CommitCallback = store::StoreCallback<store::CommitAnswer>;
  using CommitCall =
      std::function<void(const store::StoreTransaction &, CommitCallback)>;

  void after(Duration Delay, std::function<void()> Call) {
    this->Loop.Queue.schedule(this->Loop.Time.now() + Delay, std::move(Call));
  }

  void commit(const CommitCall &Direct, const store::StoreTransaction &Change,
              const CommitCallback &Done) {
    const auto [Choice, Time] = this->CommitsSent < this->CommitSteps.size()
                                    ? this->CommitSteps[this->CommitsSent]
                                    : Step{CommitChoice::Served, 0};
    ++this->CommitsSent;
    const Duration Within = milliseconds(Time) % CallTimeout;
    const auto Execute = [this, Direct, Change](const CommitCallback &Then) {
      Direct(Change, [this, Then](
                         const store::StoreResult<store::CommitAnswer> &Found) {
        if (Found && Found.value().IsCommitted)
          ++this->Executions;
        if (Then)
          Then(Found);
      });
    };
    switch (Choice % CommitChoice::CommitChoices) {
    case CommitChoice::Served:
      this->after(Within, [Execute, Done] { Execute(Done); });
      return;
    case CommitChoice::Refused:
      this->after(Within, [Done] {
        Done(
            failure(store::StoreError{StoreErrorCode::Unreachable, "refused"}));
      });
      return;
    case CommitChoice::UnexplainedConflict:
      this->after(Within, [Done] { Done(store::CommitAnswer()); });
      return;
    case CommitChoice::AnswerLost:
      this->after(Within, [Execute] { Execute(nullptr); });
      break;
    case CommitChoice::CarriedOutLate:
      this->after(CallTimeout + milliseconds(Time % 6000),
                  [Execute] { Execute(nullptr); });
      break;
    default:
      break;
    }
    this->after(CallTimeout, [Done] {
      Done(failure(store::StoreError{StoreErrorCode::Ambiguous, "no answer"}));
    });
  }

  size_t CommitsSent = 0;
  unsigned ReadsDone = 0;
};

constexpr int Ok = 200;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

} // namespace

// Guards against a refusal of a request one of whose commits is open, or was or
// will be carried out (issue 55).
TEST_CASE("a request is refused only if none of its commits stores the job") {
  std::map<int, unsigned> Answers;
  const bool Holds =
      rc::check([&Answers](const std::vector<Step> &Commits, uint8_t Stored,
                           uint8_t FailedReads, uint16_t DeadlineMs) {
        Fixture Entry;
        Entry.CommitSteps = Commits;
        Entry.FailedReads = FailedReads % 40;
        const uint8_t Before = Stored % StoredChoice::StoredChoices;
        Entry.prepare(Before);
        const auto Status = Entry.submit(milliseconds(1 + DeadlineMs % 6000));
        Entry.Loop.runFor(seconds(30));
        ++Answers[*Status];
        RC_ASSERT(*Status != 0);
        if (*Status == Ok)
          RC_ASSERT(Entry.Executions > 0U || Before != StoredChoice::Nothing);
        else if (*Status != GatewayTimeout)
          RC_ASSERT(Entry.Executions == 0U);
      });
  CHECK(Holds);
  for (const int Status : {Ok, ServiceUnavailable, GatewayTimeout})
    CHECK(Answers[Status] > 0);
}

// Guards against a refusal of one of two requests for the same job, while a
// commit of the other one may still be carried out (issue 55).
TEST_CASE("a request for a job whose other request has no outcome is not "
          "refused") {
  Fixture Entry;
  Entry.CommitSteps = {{CommitChoice::CarriedOutLate, 3000}};
  for (int Count = 0; Count < 100; ++Count)
    Entry.CommitSteps.push_back({CommitChoice::Refused, 0});
  const auto First = Entry.submit();
  std::shared_ptr<int> Second;
  SECTION("because its commit is open") {
    Entry.Loop.runFor(milliseconds(100));
    Second = Entry.submit(seconds(1));
  }
  SECTION("because its commit was not answered") {
    Entry.Loop.runFor(milliseconds(2000));
    Second = Entry.submit(seconds(1));
  }
  SECTION("because it was answered as one of unknown outcome") {
    Entry.CommitSteps[0].second = 5900;
    Entry.Loop.runFor(milliseconds(5500));
    REQUIRE(*First == GatewayTimeout);
    Second = Entry.submit(seconds(1));
  }
  Entry.Loop.runFor(seconds(10));
  REQUIRE(Entry.Executions == 1);
  CHECK(*Second == GatewayTimeout);
}
