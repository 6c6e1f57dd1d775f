#include "executorlink.h"
#include "steppedloop.h"

#include "whintack/simulation/examplefleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const jobs::MachineName Machine("m0");
const jobs::ExecutorId Restarting("x1");
const jobs::ExecutorId Other("x2");
const jobs::TaskKey Task{{jobs::JobId("00000000000000a1"), 0, 0}, 0};
constexpr uint64_t Token = 1;
constexpr Duration MaxLease = seconds(6);
constexpr Duration Step = milliseconds(10);

/// A link to an executor that starts again under its id. Once the link takes
/// all leases as expired, the task is started on another executor.
class Fixture {
public:
  Fixture() {
    simulation::addExampleFleet(this->Platform);
    const jobs::JobSpec Job =
        this->Platform.codec().DecodeJob(Task.Step.Job, "lasting").value();
    this->Platform.runChecker().noteSubmitted(Job,
                                              simulation::ExampleMaxAttempts);
    this->Direct = this->Platform.executors(EntryName("v1"));
    LinkSetup Setup;
    Setup.Executor.Id = Restarting;
    Setup.Token = Token;
    Setup.MaxLease = MaxLease;
    this->Link = std::make_shared<ExecutorLink>(
        Context{this->Loop.Time.clock(), seededRandom(3), this->Loop.Queue, {}},
        this->gateway(), Setup, this->hooks());
    this->Link->open();
    this->Loop.runFor(seconds(1));
  }

  void startTask() { this->Link->start(makeOrder(Restarting, 1)); }

  /// Runs until the next report call with a lease is under way and remains so.
  void holdNextReport() {
    this->DoesHoldReports = true;
    this->awaitEvent([this] { return !this->HeldCalls.empty(); });
    this->DoesHoldReports = false;
  }

  /// Sends a start order that remains under way.
  void holdStart() {
    this->DoesHoldStarts = true;
    this->startTask();
    this->DoesHoldStarts = false;
    REQUIRE(this->HeldCalls.size() == 1);
  }

  /// Ends the executor, and runs until the next incarnation has reported.
  void restart() {
    simulation::ExecutorRestart How;
    How.DownFor = milliseconds(100);
    this->Platform.restartExecutor(Machine, How);
    const jobs::ExecutorIncarnation Earlier = this->LastReport.Incarnation;
    this->awaitEvent(
        [this, Earlier] { return this->LastReport.Incarnation != Earlier; });
  }

  /// The executor carries out the calls that have been under way for \p Age.
  void carryOutHeld(Duration Age) {
    this->Loop.runFor(this->HeldSince + Age - this->Loop.Time.now());
    this->CarriedOutAt = this->Loop.Time.now();
    for (const auto &CarryOut : std::exchange(this->HeldCalls, {}))
      CarryOut();
  }

  /// Number of runs on the executor, which the link does not learn.
  size_t runs() {
    auto Count = std::make_shared<size_t>(0);
    jobs::ReportRequest Request;
    Request.Token = Token;
    this->Direct.Report(
        {Restarting, {}}, Request, this->Loop.Time.now() + seconds(1),
        [Count](const jobs::GatewayResult<jobs::ExecutorReport> &Answer) {
          if (Answer)
            *Count = Answer.value().Running.size();
        });
    this->Loop.runFor(milliseconds(5));
    return *Count;
  }

  /// Runs until the link has taken all leases as expired.
  void awaitLoss() {
    this->awaitEvent([this] { return this->LostAt != TimePoint::min(); });
  }

  /// Checks that the calls that were carried out late have no lease left, also
  /// by a slow clock, when the link takes all leases as expired.
  void checkLoss() {
    this->awaitLoss();
    CHECK(toMilliseconds(this->LostAt - this->CarriedOutAt) >=
          toMilliseconds(jobs::longestLease(MaxLease)));
    CHECK(this->runs() == 0);
    this->checkRuns();
  }

  void checkRuns() {
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
  }

  SteppedLoop Loop;
  /// No answer arrives, and only the calls that are under way are carried out.
  bool IsCut = false;
  /// Held report calls are made again without a lease, and then answered.
  bool IsMadeAgain = false;
  /// The executor refuses all report calls.
  bool IsBusy = false;
  TimePoint HeldSince = TimePoint::min();
  TimePoint CarriedOutAt = TimePoint::min();
  TimePoint LostAt = TimePoint::min();

private:
  static jobs::StartOrder makeOrder(const jobs::ExecutorId &Executor,
                                    uint64_t Run) {
    jobs::StartOrder Order;
    Order.Executor = Executor;
    Order.Task = Task;
    Order.Run = Run;
    return Order;
  }

  template <typename Predicate> void awaitEvent(Predicate HasHappened) {
    const TimePoint End = this->Loop.Time.now() + seconds(40);
    while (!HasHappened()) {
      REQUIRE(this->Loop.Time.now() < End);
      this->Loop.runFor(Step);
    }
  }

  void hold(std::function<void()> CarryOut) {
    this->HeldSince = this->Loop.Time.now();
    this->HeldCalls.push_back(std::move(CarryOut));
  }

  jobs::ExecutorGateway gateway() {
    jobs::ExecutorGateway Gateway = this->Direct;
    Gateway.Report =
        [this](const jobs::ExecutorAddress &To,
               const jobs::ReportRequest &Request, TimePoint Deadline,
               const jobs::GatewayCallback<jobs::ExecutorReport> &Done) {
          const bool IsHeld = this->DoesHoldReports && Request.LeaseUntil;
          if (this->IsBusy) {
            Done(failure(
                jobs::GatewayError{jobs::GatewayErrorCode::Busy, "refused"}));
            return;
          }
          const auto Fail = [Done] {
            Done(failure(jobs::GatewayError{jobs::GatewayErrorCode::NoAnswer,
                                            "no answer"}));
          };
          if (this->IsCut) {
            this->Loop.Queue.schedule(this->Loop.Time.now() + milliseconds(1),
                                      Fail);
            return;
          }
          if (IsHeld) {
            this->hold([this, To, Request, Deadline] {
              this->Direct.Report(To, Request, Deadline + seconds(30),
                                  [](const auto &) {});
            });
            if (!this->IsMadeAgain) {
              this->Loop.Queue.schedule(Deadline, Fail);
              return;
            }
            const jobs::ReportRequest Inquiry{Request.Token, 0, std::nullopt,
                                              Duration::zero()};
            this->Loop.Queue.schedule(this->Loop.Time.now() + milliseconds(300),
                                      [this, To, Inquiry, Deadline, Done] {
                                        this->Direct.Report(To, Inquiry,
                                                            Deadline, Done);
                                      });
            return;
          }
          const auto HasEnded = std::make_shared<bool>(false);
          this->Direct.Report(
              To, Request, Deadline,
              [this, HasEnded,
               Done](const jobs::GatewayResult<jobs::ExecutorReport> &Answer) {
                if (!this->IsCut && !std::exchange(*HasEnded, true))
                  Done(Answer);
              });
          this->Loop.Queue.schedule(Deadline, [HasEnded, Fail] {
            if (!std::exchange(*HasEnded, true))
              Fail();
          });
        };
    Gateway.Start = [this](const jobs::ExecutorAddress &To,
                           const jobs::StartOrder &Order, uint64_t Fence,
                           jobs::ExecutorTime LeaseUntil, TimePoint Deadline,
                           const std::function<void(jobs::StartAnswer)> &Done) {
      if (!this->DoesHoldStarts) {
        this->Direct.Start(To, Order, Fence, LeaseUntil, Deadline, Done);
        return;
      }
      this->hold([this, To, Order, Fence, LeaseUntil, Deadline] {
        this->Direct.Start(To, Order, Fence, LeaseUntil, Deadline + seconds(30),
                           [](const auto &) {});
      });
      this->Loop.Queue.schedule(Deadline, [Done] { Done({}); });
    };
    return Gateway;
  }

  LinkHooks hooks() {
    LinkHooks Hooks;
    Hooks.CanOrder = [] { return true; };
    Hooks.CanStart = [] { return true; };
    Hooks.IsCurrent = [](const jobs::StartOrder &) { return true; };
    Hooks.LastDiscardableEnd = [](const jobs::ExecutorId &) -> uint64_t {
      return 0;
    };
    Hooks.OnReport = [this](const jobs::ExecutorId &,
                            const jobs::ExecutorReport &Report) {
      this->LastReport = Report;
    };
    Hooks.OnAcknowledged = [](const jobs::ExecutorId &, uint64_t) {};
    Hooks.OnStartSent = [](const jobs::StartOrder &) {};
    Hooks.OnStartAnswered = [](TimePoint, TimePoint) {};
    Hooks.OnStart = [](const jobs::StartOrder &, jobs::StartOutcome,
                       jobs::ExecutorTime) {};
    Hooks.OnStop = [](const jobs::StopOrder &,
                      std::optional<jobs::ExecutorTime>) {};
    Hooks.OnReachable = [](const jobs::ExecutorId &, bool) {};
    Hooks.OnEmpty = [this](const jobs::ExecutorId &, jobs::ExecutorLoss Cause) {
      CHECK(Cause == jobs::ExecutorLoss::LeasesExpired);
      this->LostAt = this->Loop.Time.now();
      constexpr jobs::ExecutorTime LongLease = int64_t(1) << 40;
      this->Direct.Start({Other, {}}, makeOrder(Other, 2), Token, LongLease,
                         this->LostAt + seconds(1),
                         [](const jobs::StartAnswer &) {});
    };
    Hooks.OnFenced = [] { FAIL_CHECK("fenced"); };
    return Hooks;
  }

  simulation::SimulatedPlatform Platform{this->Loop.Time.clock(),
                                         this->Loop.Queue, seededRandom(1)};
  jobs::ExecutorGateway Direct;
  bool DoesHoldReports = false;
  bool DoesHoldStarts = false;
  std::vector<std::function<void()>> HeldCalls;
  jobs::ExecutorReport LastReport;
  std::shared_ptr<ExecutorLink> Link;
};

} // namespace

// Guards against a second run while an executor that has started again works
// under the lease of a report call that is carried out seconds late.
TEST_CASE("a late call to an earlier incarnation extends the wait for leases") {
  Fixture Fleet;
  SECTION("after one restart") { Fleet.holdNextReport(); }
  SECTION("if another copy of the call is answered") {
    Fleet.IsMadeAgain = true;
    Fleet.holdNextReport();
  }
  SECTION("after two restarts") {
    Fleet.holdNextReport();
    Fleet.restart();
    Fleet.Loop.runFor(seconds(1));
  }
  Fleet.restart();
  Fleet.startTask();
  Fleet.Loop.runFor(Fleet.HeldSince + seconds(7) - Fleet.Loop.Time.now());
  REQUIRE(Fleet.runs() == 1);
  Fleet.IsCut = true;
  Fleet.carryOutHeld(seconds(12));
  Fleet.Loop.runFor(MaxLease - milliseconds(100));
  REQUIRE(Fleet.runs() == 1);
  Fleet.checkLoss();
}

// Guards against the same for a call that is only a little late, when a lease
// has been sent to the new incarnation since.
TEST_CASE("a lease sent to a new incarnation ends no longer wait") {
  Fixture Fleet;
  Fleet.holdNextReport();
  Fleet.restart();
  const TimePoint RestartedAt = Fleet.Loop.Time.now();
  Fleet.startTask();
  Fleet.Loop.runFor(milliseconds(50));
  REQUIRE(Fleet.runs() == 1);
  Fleet.IsCut = true;
  Fleet.carryOutHeld(RestartedAt + milliseconds(750) - Fleet.HeldSince);
  Fleet.checkLoss();
}

// Guards against a second run while a start order of before the restart may
// still be carried out.
TEST_CASE("a late start order to an earlier incarnation is waited for") {
  Fixture Fleet;
  Duration Delay = seconds(12);
  Fleet.holdStart();
  SECTION("if it has failed before the restart is seen") {
    Fleet.Loop.runFor(seconds(1));
    Fleet.restart();
  }
  SECTION("if it fails after the restart is seen") {
    Fleet.restart();
    Delay = jobs::MaxCallDelay - milliseconds(100);
  }
  Fleet.IsCut = true;
  Fleet.carryOutHeld(Delay);
  Fleet.Loop.runFor(seconds(1));
  REQUIRE(Fleet.runs() == 1);
  Fleet.checkLoss();
}

// Guards against a longer wait after a restart if each call was answered.
TEST_CASE("no late call is waited for if all were answered") {
  Fixture Fleet;
  Fleet.IsBusy = true;
  Fleet.Loop.runFor(seconds(3));
  Fleet.IsBusy = false;
  Fleet.restart();
  Fleet.startTask();
  Fleet.Loop.runFor(milliseconds(50));
  Fleet.IsCut = true;
  const TimePoint CutAt = Fleet.Loop.Time.now();
  Fleet.awaitLoss();
  CHECK(Fleet.LostAt < CutAt + MaxLease + seconds(4));
  Fleet.checkRuns();
}
