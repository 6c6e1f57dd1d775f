#include "manualclock.h"
#include "whintack/standin/memorykeyvaluestore.h"
#include "whintack/store/recordclient.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::store;
using web::json::value;

namespace {

/// An in-memory store with a client, on a clock that the test advances.
struct Fixture {
  tests::ManualClock Time;
  standin::MemoryKeyValueStore Platform{Time.clock()};
  RecordClient Client{Platform.store(), 1000, Time.clock(), seededRandom(1)};

  StoreResult<UpdateResult> add(const char *Operation, int Amount) {
    return this->Client.update(
        "k", OperationId(Operation),
        [Amount](const Record &Before) -> std::optional<value> {
          const int Sum = Before.exists() ? Before.Body.as_integer() : 0;
          return value(Sum + Amount);
        });
  }

  int storedSum() { return this->Client.read("k").value().Body.as_integer(); }
};

} // namespace

TEST_CASE("an update recovers from a lost write and from a lost answer") {
  Fixture Test;
  REQUIRE(Test.add("a", 1));
  standin::StoreFaults Faults;
  Faults.LostWriteAnswers = 1;
  Test.Platform.setFaults(Faults);
  REQUIRE(Test.add("b", 10).value().Outcome == UpdateOutcome::Written);
  REQUIRE(Test.storedSum() == 11);
  Faults = {};
  Faults.LostWrites = 1;
  Test.Platform.setFaults(Faults);
  REQUIRE(Test.add("c", 100).value().Outcome == UpdateOutcome::Written);
  REQUIRE(Test.storedSum() == 111);
}

TEST_CASE("a repeated operation takes effect only once") {
  Fixture Test;
  REQUIRE(Test.add("a", 1).value().Outcome == UpdateOutcome::Written);
  REQUIRE(Test.add("a", 1).value().Outcome == UpdateOutcome::AlreadyWritten);
  for (int Number = 0; Number < 10; ++Number)
    REQUIRE(Test.add(("o" + std::to_string(Number)).c_str(), 1));
  REQUIRE(Test.add("a", 1).value().Outcome == UpdateOutcome::AlreadyWritten);
  REQUIRE(Test.storedSum() == 11);
}

TEST_CASE(
    "an outage after a lost answer is reported as ambiguous, not unreachable") {
  Fixture Test;
  KeyValueStore Store = Test.Platform.store();
  bool IsDown = false;
  const auto Get = Store.Get;
  Store.Get = [&](const std::string &Key) -> StoreResult<VersionedValue> {
    if (IsDown)
      return failure(StoreError{StoreErrorCode::Unreachable, "down"});
    return Get(Key);
  };
  Store.Put = [&](const ConditionalPut &) -> StoreResult<uint64_t> {
    IsDown = true;
    return failure(StoreError{StoreErrorCode::Ambiguous, "lost"});
  };
  RecordClient Client(Store, 1000, Test.Time.clock(), seededRandom(1));
  const auto Result = Client.update("k", OperationId("a"), [](const Record &) {
    return std::optional<value>(value(1));
  });
  REQUIRE_FALSE(Result);
  REQUIRE(Result.error().Code == StoreErrorCode::Ambiguous);
}

TEST_CASE("a change that returns nothing writes nothing") {
  Fixture Test;
  REQUIRE(Test.add("a", 1));
  const auto Declined = Test.Client.update(
      "k", OperationId("b"),
      [](const Record &) -> std::optional<value> { return std::nullopt; });
  REQUIRE(Declined.value().Outcome == UpdateOutcome::Declined);
  REQUIRE(Test.Platform.calls().Writes == 1);
}

TEST_CASE(
    "a change that conflicts with another is applied again to the new record") {
  Fixture Test;
  REQUIRE(Test.add("a", 1));
  bool HasConflicted = false;
  const auto Updated =
      Test.Client.update("k", OperationId("b"), [&](const Record &Before) {
        if (!HasConflicted) {
          HasConflicted = true;
          REQUIRE(Test.add("c", 100));
        }
        return std::optional<value>(value(Before.Body.as_integer() + 10));
      });
  REQUIRE(Updated.value().Outcome == UpdateOutcome::Written);
  REQUIRE(Test.storedSum() == 111);
}

TEST_CASE("calls stop while the platform is down, and resume after a probe") {
  Fixture Test;
  standin::StoreFaults Faults;
  Faults.IsDown = true;
  Test.Platform.setFaults(Faults);
  for (int Number = 0; Number < 1000; ++Number)
    REQUIRE_FALSE(Test.Client.read("k"));
  REQUIRE(Test.Platform.calls().Reads <= 4);
  REQUIRE(Test.Client.isCircuitOpen());
  Test.Platform.setFaults({});
  Test.Time.advance(std::chrono::seconds(6));
  REQUIRE(Test.Client.read("k"));
  REQUIRE_FALSE(Test.Client.isCircuitOpen());
}

TEST_CASE("the number of calls per second is limited") {
  tests::ManualClock Time;
  CallRateLimiter Limiter(10, Time.now());
  int Acquired = 0;
  for (int Number = 0; Number < 100; ++Number)
    Acquired += Limiter.tryAcquire(Time.now()) ? 1 : 0;
  REQUIRE(Acquired == 10);
  Time.advance(std::chrono::milliseconds(100));
  REQUIRE(Limiter.tryAcquire(Time.now()));
  REQUIRE_FALSE(Limiter.tryAcquire(Time.now()));
}

TEST_CASE("the keys of a lease are removed when the lease lapses") {
  Fixture Test;
  const LeaseId Lease = Test.Client.grantLease(std::chrono::seconds(5)).value();
  const auto Write = [](const Record &) {
    return std::optional<value>(value(1));
  };
  REQUIRE(Test.Client.update("held", OperationId("a"), Write, Lease));
  Test.Time.advance(std::chrono::seconds(4));
  REQUIRE(Test.Client.keepAlive(Lease));
  Test.Time.advance(std::chrono::seconds(4));
  REQUIRE(Test.Client.read("held").value().exists());
  Test.Time.advance(std::chrono::seconds(2));
  REQUIRE_FALSE(Test.Client.read("held").value().exists());
  REQUIRE(Test.Client.keepAlive(Lease).error().Code ==
          StoreErrorCode::LeaseExpired);
}

TEST_CASE("a value above the size limit is rejected before it is sent") {
  Fixture Test;
  const auto TooLarge =
      Test.Client.update("k", OperationId("a"), [](const Record &) {
        return std::optional<value>(value(std::string(MaxValueBytes, 'x')));
      });
  REQUIRE(TooLarge.error().Code == StoreErrorCode::TooLarge);
  REQUIRE(Test.Platform.calls().Writes == 0);
}
