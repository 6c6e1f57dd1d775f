#include "executorrelay.h"
#include "relayedcallhandler.h"
#include "steppedloop.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EntryName Planner("planner");
const EntryName RelayVm("relay");

/// The calls that one VM made.
struct RecordedCalls {
  size_t Reports = 0;
  size_t Starts = 0;
  /// Calls are not answered.
  bool IsSilent = false;

  jobs::ExecutorGateway gateway() {
    jobs::ExecutorGateway Gateway;
    Gateway.Report =
        [this](const jobs::ExecutorAddress &, const jobs::ReportRequest &,
               TimePoint,
               const jobs::GatewayCallback<jobs::ExecutorReport> &Done) {
          ++this->Reports;
          jobs::ExecutorReport Report;
          Report.At = 7;
          if (!this->IsSilent)
            Done(Report);
        };
    Gateway.Start = [this](const jobs::ExecutorAddress &,
                           const jobs::StartOrder &, uint64_t,
                           jobs::ExecutorTime, TimePoint,
                           const std::function<void(jobs::StartAnswer)> &Done) {
      ++this->Starts;
      if (!this->IsSilent)
        Done({jobs::StartOutcome::Started, 8, 0});
    };
    return Gateway;
  }
};

/// A planner's VM that calls no executor itself, and one relay.
class RelayPair {
public:
  RelayPair() {
    const Context Shared{this->Loop.Time.clock(), seededRandom(1),
                         this->Loop.Queue, store::AsyncStore()};
    ExecutorRelayHooks Hooks;
    Hooks.Relays = [this] {
      return this->HasRelay ? std::vector<ShardCandidate>{{RelayVm, 0.5}}
                            : std::vector<ShardCandidate>();
    };
    Hooks.Send = [this](const EntryName &, const peers::Message &Sent) {
      ++this->Messages;
      this->deliver([this, Sent] {
        if (!this->IsRelayDead)
          this->Handler->handle(Planner, std::get<peers::ExecutorCalls>(Sent));
      });
      return this->IsLinked;
    };
    this->Relay = std::make_shared<ExecutorRelay>(
        Shared, 100, 0, this->Own.gateway(), std::move(Hooks));
    this->Handler = std::make_shared<RelayedCallHandler>(
        Shared, this->Relayed.gateway(),
        [this](const EntryName &, const peers::Message &Sent) {
          this->deliver([this, Sent] {
            if (!this->IsRelayDead)
              this->Relay->handle(RelayVm,
                                  std::get<peers::ExecutorAnswers>(Sent));
          });
          return true;
        });
  }

  void report() {
    this->Relay->gateway().Report(
        this->Executor, jobs::ReportRequest(),
        this->Loop.Time.now() + milliseconds(1700),
        [this](const jobs::GatewayResult<jobs::ExecutorReport> &Answer) {
          ++(Answer ? this->Reported : this->Failed);
        });
  }
  void start() {
    this->Relay->gateway().Start(this->Executor, jobs::StartOrder(), 1, 1000,
                                 this->Loop.Time.now() + milliseconds(800),
                                 [this](const jobs::StartAnswer &Answer) {
                                   this->Outcomes.push_back(Answer.Outcome);
                                 });
  }

  SteppedLoop Loop;
  jobs::ExecutorAddress Executor{jobs::ExecutorId("x1"), {"127.0.0.1", 9}};
  bool HasRelay = true;
  bool IsLinked = true;
  bool IsRelayDead = false;
  Duration Delay = milliseconds(1);
  RecordedCalls Own;
  RecordedCalls Relayed;
  size_t Messages = 0;
  size_t Reported = 0;
  size_t Failed = 0;
  std::vector<jobs::StartOutcome> Outcomes;
  std::shared_ptr<ExecutorRelay> Relay;
  std::shared_ptr<RelayedCallHandler> Handler;

private:
  void deliver(std::function<void()> Call) {
    this->Loop.Queue.schedule(this->Loop.Time.now() + this->Delay,
                              std::move(Call));
  }
};

} // namespace

TEST_CASE("calls of the same moment reach a relay in one message") {
  RelayPair Pair;
  for (int Count = 0; Count < 10; ++Count)
    Pair.start();
  Pair.report();
  Pair.Loop.runFor(milliseconds(50));
  CHECK(Pair.Messages == 1);
  CHECK(Pair.Relayed.Starts == 10);
  CHECK(Pair.Own.Starts == 0);
  CHECK(Pair.Reported == 1);
  CHECK(Pair.Outcomes ==
        std::vector<jobs::StartOutcome>(10, jobs::StartOutcome::Started));
}

TEST_CASE("without a relay, calls are made directly") {
  RelayPair Pair;
  Pair.HasRelay = false;
  Pair.start();
  Pair.report();
  Pair.Loop.runFor(milliseconds(50));
  CHECK(Pair.Own.Starts == 1);
  CHECK(Pair.Reported == 1);
  CHECK(Pair.Messages == 0);
}

// Guards against executors that count as silent, and orders that are given
// twice, because a relay has died.
TEST_CASE("of the calls of a dead relay, only start orders are not repeated") {
  RelayPair Pair;
  Pair.Relayed.IsSilent = true;
  Pair.report();
  Pair.start();
  Pair.Loop.runFor(milliseconds(300));
  CHECK(Pair.Relayed.Starts == 1);
  Pair.IsRelayDead = true;
  Pair.Loop.runFor(milliseconds(900));
  CHECK(Pair.Reported == 1);
  CHECK(Pair.Failed == 0);
  CHECK(Pair.Own.Starts == 0);
  CHECK(Pair.Outcomes == std::vector{jobs::StartOutcome::Unknown});
  // Further calls are made directly.
  Pair.start();
  Pair.Loop.runFor(milliseconds(10));
  CHECK(Pair.Own.Starts == 1);
}

TEST_CASE("calls to a relay without a link are made directly") {
  RelayPair Pair;
  Pair.IsLinked = false;
  Pair.IsRelayDead = true;
  Pair.report();
  Pair.Loop.runFor(milliseconds(10));
  CHECK(Pair.Reported == 1);
  CHECK(Pair.Own.Reports == 1);
}

// A relay that is alive and waits for the executor must not be given up.
TEST_CASE("a relay with a call that takes long stays in use") {
  RelayPair Pair;
  Pair.Relayed.IsSilent = true;
  Pair.report();
  Pair.Loop.runFor(milliseconds(1500));
  CHECK(Pair.Own.Reports == 0);
  CHECK(Pair.Failed == 0);
  Pair.Loop.runFor(milliseconds(500));
  CHECK(Pair.Failed == 1);
  // The executor may be reachable from here.
  Pair.report();
  Pair.Loop.runFor(milliseconds(10));
  CHECK(Pair.Own.Reports == 1);
}

// Guards against orders of a sender that has lost the right to give them while
// they were under way, or while the relay was suspended.
TEST_CASE("start orders that reach a relay late are refused as not sent") {
  RelayPair Pair;
  Pair.start();
  Pair.Loop.runFor(milliseconds(50));
  REQUIRE(Pair.Outcomes.size() == 1);
  Pair.Delay = milliseconds(350);
  Pair.start();
  Pair.Loop.runFor(milliseconds(10));
  Pair.Delay = milliseconds(1);
  Pair.Loop.runFor(milliseconds(400));
  CHECK(Pair.Relayed.Starts == 1);
  REQUIRE(Pair.Outcomes.size() == 2);
  CHECK(Pair.Outcomes.back() == jobs::StartOutcome::Late);
}

TEST_CASE("lateness is measured against the fastest recent message") {
  LatenessMeter Meter;
  const TimePoint Sent = TimePoint(seconds(1000));
  TimePoint Arrived = TimePoint(seconds(5));
  CHECK(Meter.note(Sent, Arrived) == Duration::zero());
  CHECK(Meter.note(Sent + milliseconds(100), Arrived + milliseconds(350)) ==
        milliseconds(250));
  // A pause of any length does not hide the delay of the first message after
  // it.
  CHECK(Meter.note(Sent + seconds(1), Arrived + seconds(9)) == seconds(8));
  // The sender's clock is 1 % slow.
  LatenessMeter Drifting;
  Duration Largest = Duration::zero();
  for (int Second = 0; Second < 600; ++Second)
    Largest = std::max(Largest, Drifting.note(Sent + milliseconds(990) * Second,
                                              Arrived + seconds(1) * Second));
  CHECK(Largest <= milliseconds(110));
}

TEST_CASE("relays are VMs without a shard that are no weaker than half") {
  ShardLayout Layout;
  Layout.Candidates = {{EntryName("a"), 0.5},
                       {EntryName("b"), 0.5},
                       {EntryName("c"), 0.25},
                       {EntryName("d"), 0.12},
                       {EntryName("e"), 0.5}};
  Layout.Holders = {{ShardId::fromText("quotes"), EntryName("a")},
                    {ShardId::fromText("payouts"), EntryName("e")}};
  const std::vector<ShardCandidate> Relays = chooseRelays(
      Layout, EntryName("a"),
      {EntryName("b"), EntryName("c"), EntryName("d"), EntryName("e")});
  REQUIRE(Relays.size() == 2);
  CHECK(Relays.front().Name == EntryName("b"));
  CHECK(Relays.back().Name == EntryName("c"));
  CHECK(chooseRelays(Layout, EntryName("a"), {}).empty());
  CHECK(assignRelay("x", {}).isEmpty());
}

TEST_CASE("executors are spread by the shares, and stay where they are if a "
          "relay leaves") {
  const std::vector<ShardCandidate> Relays = {
      {EntryName("a"), 0.5}, {EntryName("b"), 0.25}, {EntryName("c"), 0.25}};
  const std::vector<ShardCandidate> Left = {Relays[0], Relays[1]};
  std::map<EntryName, size_t> Counts;
  for (int Number = 0; Number < 4000; ++Number) {
    const std::string Key = "x" + std::to_string(Number);
    const EntryName Chosen = assignRelay(Key, Relays);
    ++Counts[Chosen];
    if (Chosen != EntryName("c"))
      CHECK(assignRelay(Key, Left) == Chosen);
  }
  CHECK(Counts[EntryName("a")] > 1800);
  CHECK(Counts[EntryName("a")] < 2200);
  CHECK(Counts[EntryName("b")] > 850);
}
