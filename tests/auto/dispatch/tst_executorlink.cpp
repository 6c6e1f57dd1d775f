#include "executorlink.h"

#include "logcapture.h"
#include "steppedloop.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration MaxLease = seconds(6);
const jobs::ExecutorId Id("a");

/// A link to one executor. The test decides whether the link may send orders,
/// whether the executor answers, and how fast its clock runs.
class LinkFixture {
public:
  explicit LinkFixture(Duration EarlierLeases = Duration::zero()) {
    jobs::ExecutorGateway Gateway;
    Gateway.Report =
        [this](const jobs::ExecutorAddress &,
               const jobs::ReportRequest &Request, TimePoint Deadline,
               const jobs::GatewayCallback<jobs::ExecutorReport> &Done) {
          this->receive(Request, Deadline, Done);
        };
    LinkHooks Hooks;
    Hooks.CanOrder = [this] { return this->CanOrder; };
    Hooks.LastDiscardableEnd = [this](const jobs::ExecutorId &) {
      return this->Discardable;
    };
    Hooks.OnStartSent = [](const jobs::StartOrder &) {};
    Hooks.OnAcknowledged = [this](const jobs::ExecutorId &, uint64_t Through) {
      this->Acknowledged.push_back(Through);
    };
    Hooks.OnReport = [this](const jobs::ExecutorId &,
                            const jobs::ExecutorReport &) {
      this->CanOrder = this->CanOrder && !this->LosesStore;
    };
    Hooks.OnReachable = [](const jobs::ExecutorId &, bool) {};
    Hooks.OnEmpty = [](const jobs::ExecutorId &, jobs::ExecutorLoss) {};
    this->Link = std::make_shared<ExecutorLink>(
        Context{this->Loop.Time.clock(), seededRandom(1), this->Loop.Queue,
                store::AsyncStore()},
        Gateway,
        LinkSetup{{Id, {"10.0.0.1", 80}},
                  1,
                  MaxLease,
                  this->Loop.Time.now() + EarlierLeases},
        Hooks);
  }

  /// The executor falls silent until the link has given it up. Its clock goes
  /// on at the given rate.
  void fallSilent(double Rate) {
    this->IsSilent = true;
    this->setClockRate(Rate);
    this->Loop.runFor(seconds(9));
    REQUIRE(this->Log.lines("leases-expired").size() == 1);
    this->IsSilent = false;
  }

  /// The only line about the executor's return.
  std::string backLine() const {
    const auto Lines = this->Log.lines("executor-back");
    REQUIRE(Lines.size() == 1);
    return Lines.front();
  }

  bool isBackAnError() const {
    return !this->Log.lines("executor-back", "error").empty();
  }

  std::string field(const std::string &Key) const {
    return LogCapture::field(this->backLine(), Key);
  }

  LogCapture Log;
  SteppedLoop Loop;
  bool CanOrder = true;
  /// The link may send no more orders once the executor has reported.
  bool LosesStore = false;
  bool IsSilent = false;
  uint64_t Discardable = 0;
  /// The ends that the executor reports until it may discard them.
  std::vector<jobs::EndReport> Ended;
  /// What the link has said of acknowledged ends.
  std::vector<uint64_t> Acknowledged;
  jobs::ExecutorIncarnation Incarnation = 1;
  jobs::ExecutorTime ClockBase = 50000;
  std::shared_ptr<ExecutorLink> Link;

private:
  jobs::ExecutorTime clock() const {
    const auto Passed = toMilliseconds(this->Loop.Time.now() - this->RateSince);
    return this->ClockBase +
           static_cast<int64_t>(static_cast<double>(Passed) * this->Rate);
  }

  void setClockRate(double NewRate) {
    this->ClockBase = this->clock();
    this->RateSince = this->Loop.Time.now();
    this->Rate = NewRate;
  }

  void receive(const jobs::ReportRequest &Request, TimePoint Deadline,
               const jobs::GatewayCallback<jobs::ExecutorReport> &Done) {
    std::erase_if(this->Ended, [&Request](const jobs::EndReport &Each) {
      return Each.Number <= Request.DiscardThrough;
    });
    this->Loop.Queue.schedule(
        this->Loop.Time.now() + Request.Wait, [this, Deadline, Done] {
          if (!this->IsSilent) {
            jobs::ExecutorReport Report;
            Report.Incarnation = this->Incarnation;
            Report.At = this->clock();
            Report.Ended = this->Ended;
            Done(Report);
            return;
          }
          this->Loop.Queue.schedule(Deadline, [Done] {
            Done(failure(jobs::GatewayError{jobs::GatewayErrorCode::NoAnswer,
                                            "timed out"}));
          });
        });
  }

  TimePoint RateSince = this->Loop.Time.now();
  double Rate = 1;
};

} // namespace

// Guards against errors that are logged for a lease that was sent only after
// the executor had been given up.
TEST_CASE("an executor whose lease had expired is back without an error") {
  LinkFixture Test;
  Test.Link->open();
  Test.Loop.runFor(seconds(5));
  Test.CanOrder = false;
  Test.Loop.runFor(seconds(9));
  REQUIRE(Test.Log.lines("leases-expired").size() == 1);
  Test.CanOrder = true;
  Test.Loop.runFor(seconds(3));
  CHECK_FALSE(Test.isBackAnError());
  CHECK(Test.field("bound") == "own-lease");
  CHECK(
      Test.field("lease-end") ==
      LogCapture::field(Test.Log.lines("leases-expired").front(), "lease-end"));
  CHECK(std::stoll(Test.field("lease-left-ms")) < 0);
  CHECK(std::stoll(Test.field("given-up-ms")) > 0);
}

// Guards against an executor that is given up while its lease is valid by its
// own clock, and of which the log says nothing.
TEST_CASE("an executor that is back within its lease is an error") {
  LinkFixture Test;
  Test.Link->open();
  Test.Loop.runFor(seconds(5));
  Test.fallSilent(0.25);
  Test.Loop.runFor(seconds(2));
  CHECK(Test.isBackAnError());
  CHECK(Test.field("bound") == "own-lease");
  CHECK(std::stoll(Test.field("lease-left-ms")) > 0);
}

// Guards against errors about leases of an earlier planner, whose ends are not
// known by the executor's clock.
TEST_CASE("leases of an earlier planner are not compared by the executor's "
          "clock") {
  LinkFixture Test(seconds(3));
  Test.LosesStore = true;
  Test.Link->open();
  Test.Loop.runFor(seconds(5));
  REQUIRE(Test.Log.lines("leases-expired").size() == 1);
  CHECK(LogCapture::field(Test.Log.lines("leases-expired").front(), "bound") ==
        "other-leases");
  Test.LosesStore = false;
  Test.CanOrder = true;
  Test.Loop.runFor(seconds(3));
  CHECK_FALSE(Test.isBackAnError());
  CHECK(Test.field("bound") == "other-leases");
  CHECK(Test.field("lease-left-ms") == "unknown");
}

// Guards against a lease that is compared with the clock of another
// incarnation, which starts anew.
TEST_CASE("the clock of another incarnation says nothing about a lease") {
  LinkFixture Test;
  Test.Link->open();
  Test.Loop.runFor(seconds(5));
  Test.fallSilent(1);
  Test.Incarnation = 2;
  Test.ClockBase = 0;
  Test.Loop.runFor(seconds(2));
  CHECK_FALSE(Test.isBackAnError());
  CHECK(Test.field("same-incarnation") == "no");
  CHECK(Test.field("incarnation") == "2");
  CHECK(Test.field("lease-left-ms") == "unknown");
}

// Guards against an end of which the log tells when it might have been
// acknowledged, and not when it was.
TEST_CASE("an acknowledgement is told once, when it is sent") {
  LinkFixture Test;
  jobs::EndReport End;
  End.Number = 1;
  Test.Ended.push_back(End);
  End.Number = 2;
  Test.Ended.push_back(End);
  Test.Link->open();
  Test.Loop.runFor(seconds(3));
  CHECK(Test.Acknowledged.empty());
  Test.Discardable = 1;
  Test.Loop.runFor(seconds(5));
  CHECK(Test.Acknowledged == std::vector<uint64_t>{1});
  Test.IsSilent = true;
  Test.Loop.runFor(seconds(3));
  Test.Discardable = 2;
  Test.Loop.runFor(seconds(3));
  CHECK(Test.Acknowledged == std::vector<uint64_t>{1});
  Test.IsSilent = false;
  Test.Loop.runFor(seconds(3));
  CHECK(Test.Acknowledged == std::vector<uint64_t>{1, 2});
}
