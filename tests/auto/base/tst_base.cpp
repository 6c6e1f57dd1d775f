#include "manualclock.h"
#include "whintack/base/address.h"
#include "whintack/base/backoff.h"
#include "whintack/base/digest.h"
#include "whintack/base/event.h"
#include "whintack/base/eventjournal.h"
#include "whintack/base/log.h"
#include "whintack/base/loglimiter.h"
#include "whintack/base/supervisor.h"
#include "whintack/base/timerqueue.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <stdexcept>

using namespace whintack;

TEST_CASE("a hybrid clock orders an effect after its cause") {
  WallTime Ahead(std::chrono::seconds(100));
  WallTime Behind(std::chrono::seconds(10));
  HybridClock Sender([&] { return Ahead; });
  HybridClock Receiver([&] { return Behind; });
  const HybridStamp Cause = Sender.tick();
  Receiver.observe(Cause);
  const HybridStamp Effect = Receiver.tick();
  REQUIRE(Effect > Cause);
  REQUIRE(Receiver.tick() > Effect);
}

TEST_CASE("a hybrid clock still rises when the wall clock jumps back") {
  WallTime Now(std::chrono::seconds(100));
  HybridClock Stamps([&] { return Now; });
  const HybridStamp Before = Stamps.tick();
  Now -= std::chrono::seconds(50);
  REQUIRE(Stamps.tick() > Before);
}

TEST_CASE("the journal keeps the newest events and filters them") {
  setLogLevel(LogLevel::Error);
  const tests::ManualClock Time;
  HybridClock Stamps(Time.clock().WallNow);
  EventJournal Journal(EntryName("e1"), Stamps, 3);
  for (int Number = 0; Number < 5; ++Number) {
    Event Recorded;
    Recorded.Kind = EventKind::VmDraining;
    Recorded.Vm = VmName("vm-" + std::to_string(Number));
    Journal.record(Recorded);
  }
  REQUIRE(Journal.events({}, 10).size() == 3);
  EventFilter Filter;
  Filter.Vm = VmName("vm-4");
  REQUIRE(Journal.events(Filter, 10).size() == 1);
  Filter.Vm = VmName("vm-0");
  REQUIRE(Journal.events(Filter, 10).empty());
}

TEST_CASE("journals are merged in the order of their stamps") {
  Event First;
  First.Stamp = {WallTime(std::chrono::seconds(1)), 0};
  Event Second;
  Second.Stamp = {WallTime(std::chrono::seconds(1)), 1};
  Event Third;
  Third.Stamp = {WallTime(std::chrono::seconds(2)), 0};
  const auto Merged = mergeEvents({{First, Third}, {Second}});
  REQUIRE(Merged.size() == 3);
  REQUIRE(Merged[1].Stamp == Second.Stamp);
}

TEST_CASE("every event kind has a name that parses back") {
  for (int Number = 0;; ++Number) {
    const auto Kind = static_cast<EventKind>(Number);
    EventKind Read = EventKind::ProcessStarted;
    if (!parseEventKind(eventKindName(Kind), Read)) {
      REQUIRE(Number > static_cast<int>(EventKind::JobCondemned));
      break;
    }
    REQUIRE(Read == Kind);
  }
}

TEST_CASE("log values are quoted when necessary") {
  REQUIRE(quoteLogValue("plain") == "plain");
  REQUIRE(quoteLogValue("two words") == "\"two words\"");
  REQUIRE(quoteLogValue("a\"b") == "\"a\\\"b\"");
  REQUIRE(quoteLogValue("line\nbreak") == "\"line break\"");
}

TEST_CASE("addresses are parsed and malformed ones rejected") {
  REQUIRE(parseAddress("127.0.0.1:80")->text() == "127.0.0.1:80");
  for (const char *Wrong : {"127.0.0.1", "host:80", "127.0.0.1:0",
                            "127.0.0.1:99999", "127.0.0.1:80x", ""})
    REQUIRE_FALSE(parseAddress(Wrong));
}

TEST_CASE("rendezvous hashing moves only the keys of a lost node") {
  const std::vector<std::string> Nodes = {"a", "b", "c", "d"};
  const auto Owner = [&](const std::string &Key, size_t Count) {
    std::string Best;
    for (size_t Index = 0; Index < Count; ++Index)
      if (Best.empty() ||
          rendezvousWeight(Key, Nodes[Index]) > rendezvousWeight(Key, Best))
        Best = Nodes[Index];
    return Best;
  };
  for (int Number = 0; Number < 200; ++Number) {
    const std::string Key = "key" + std::to_string(Number);
    if (Owner(Key, 4) != "d")
      REQUIRE(Owner(Key, 4) == Owner(Key, 3));
  }
}

TEST_CASE("a back-off stays within its bound and can be reset") {
  Backoff Wait(Duration(100), Duration(1000), seededRandom(7));
  for (int Number = 0; Number < 50; ++Number)
    REQUIRE(Wait.next() <= Duration(1000));
  Wait.reset();
  REQUIRE(Wait.next() <= Duration(100));
}

TEST_CASE("a failed part is restarted and the others continue") {
  setLogLevel(LogLevel::Error);
  const Clock Time = systemClock();
  HybridClock Stamps(Time.WallNow);
  EventJournal Journal(EntryName("e1"), Stamps, 100);
  Supervisor Parts(Journal, [] { return uint64_t(0); });
  std::promise<void> Third;
  std::atomic<int> Starts{0};
  std::atomic<int> OtherStarts{0};
  Parts.start({"steady", [&](const StopSignal &Stop) {
                 ++OtherStarts;
                 Stop.waitFor(std::chrono::hours(1));
               }});
  Parts.start({"failing", [&](const StopSignal &Stop) {
                 if (++Starts < 3)
                   throw std::runtime_error("broken");
                 Third.set_value();
                 Stop.waitFor(std::chrono::hours(1));
               }});
  Third.get_future().wait();
  REQUIRE(Parts.restarts("failing") == 2);
  Parts.stop();
  REQUIRE(OtherStarts == 1);
  REQUIRE(Journal.events({}, 10).size() == 2);
}

TEST_CASE("a cancelled timer is not called") {
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  std::promise<void> Called;
  std::atomic<bool> WasCancelledCalled{false};
  const TimerId Cancelled =
      Timers.schedule(Time.Now() + std::chrono::milliseconds(20),
                      [&] { WasCancelledCalled = true; });
  Timers.cancel(Cancelled);
  Timers.schedule(Time.Now() + std::chrono::milliseconds(40),
                  [&] { Called.set_value(); });
  Called.get_future().wait();
  REQUIRE_FALSE(WasCancelledCalled);
}

// A callback of another thread cancelled its timer on a queue that was gone.
TEST_CASE("a reference to a timer queue that is gone does nothing") {
  TimerQueueRef Ref;
  const auto Token = std::make_shared<int>();
  TimerId Timer = 0;
  {
    TimerQueue Timers(systemClock(), TimerThread::Caller);
    Ref = Timers.ref();
    Timer = Timers.schedule(TimePoint::max(), [Token] {});
    Ref.cancel(Timer);
    CHECK_FALSE(Timers.nextDeadline());
    bool IsCalled = false;
    Ref.post([&IsCalled] { IsCalled = true; });
    CHECK(Timers.runNext());
    CHECK(IsCalled);
  }
  Ref.cancel(Timer);
  Ref.post([Token] {});
  CHECK(Token.use_count() == 1);
}

TEST_CASE("a limiter admits some lines a second and counts the others") {
  using std::chrono::milliseconds;
  LogLimiter Lines(2);
  const TimePoint Begin(std::chrono::seconds(10));
  CHECK(Lines.admit(Begin) == 0);
  CHECK(Lines.admit(Begin + milliseconds(500)) == 0);
  CHECK(Lines.admit(Begin + milliseconds(600)) == std::nullopt);
  CHECK(Lines.admit(Begin + milliseconds(999)) == std::nullopt);
  CHECK(Lines.admit(Begin + milliseconds(1000)) == 2);
  CHECK(Lines.admit(Begin + milliseconds(1001)) == 0);
  CHECK(Lines.admit(Begin + milliseconds(1002)) == std::nullopt);
}
