#include "machineorders.h"
#include "revisionclock.h"
#include "storekeys.h"

#include "steppedloop.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;

namespace {

/// A store that holds the record of orders. The test decides whether the claim
/// still holds.
class OrderStore {
public:
  store::AsyncStore interface() {
    store::AsyncStore Store;
    Store.Range = [this](const std::string &, const std::string &,
                         store::ReadKind,
                         const store::StoreCallback<store::StorePage> &Done) {
      store::StorePage Page;
      if (!this->Record.empty())
        Page.Items.push_back(
            {keys::MachineOrders, this->Record, this->Revision, 0});
      Done(Page);
    };
    Store.Commit =
        [this](const store::StoreTransaction &Change,
               const store::StoreCallback<store::CommitAnswer> &Done) {
          if (this->IsAway) {
            Done(failure(
                store::StoreError{store::StoreErrorCode::Unreachable, "away"}));
            return;
          }
          if (this->IsSilent) {
            this->Unanswered.push_back(Change);
            Done(failure(store::StoreError{store::StoreErrorCode::Ambiguous,
                                           "no answer"}));
            return;
          }
          Done(this->apply(Change));
        };
    return Store;
  }

  /// Applies the transaction if all of its conditions hold.
  store::CommitAnswer apply(const store::StoreTransaction &Change) {
    store::CommitAnswer Answer;
    Answer.Current = {{"claim", "", this->ClaimRevision, 0}};
    if (!this->Record.empty())
      Answer.Current.push_back(
          {keys::MachineOrders, this->Record, this->Revision, 0});
    Answer.IsCommitted =
        std::all_of(Change.Expect.begin(), Change.Expect.end(),
                    [&Answer](const store::ExpectedRevision &Expected) {
                      return store::revisionOf(Answer.Current, Expected.Key) ==
                             Expected.Revision;
                    });
    if (Answer.IsCommitted) {
      this->Record = Change.Puts.front().Value;
      Answer.Revision = ++this->Revision;
    }
    return Answer;
  }

  std::string Record;
  uint64_t ClaimRevision = 7;
  uint64_t Revision = 100;
  bool IsAway = false;
  bool IsSilent = false;
  /// Transactions that were not answered, and not applied either.
  std::vector<store::StoreTransaction> Unanswered;
};

/// Runs the objects under test on a stepped loop.
class Fixture {
public:
  std::shared_ptr<MachineOrders> open(uint64_t Token, const char *Vm = "e1") {
    MachineOrdersHooks Hooks;
    Hooks.WrittenBy = [this](uint64_t Revision) {
      return this->Revisions.writtenBy(Revision, this->Loop.Time.now());
    };
    Hooks.HasEnded = [this](const OrderingProcess &Process) {
      return Process == this->Ended;
    };
    Hooks.OnLost = [this](const std::string &) { this->IsLost = true; };
    auto Orders = std::make_shared<MachineOrders>(
        this->Shared, OrderingProcess{EntryName(Vm), Token},
        store::ExpectedRevision{"claim", Token}, Hooks);
    Orders->load();
    this->Loop.settle();
    return Orders;
  }

  /// Records an order for the machine.
  void order(MachineOrders &Orders, const char *Machine) {
    Orders.recordAndSend(
        jobs::MachineName(Machine), TimePoint::max(), [] {}, [] {});
    this->Loop.settle();
  }

  OrderStore Store;
  tests::SteppedLoop Loop;
  Context Shared{this->Loop.Time.clock(), seededRandom(1), this->Loop.Queue,
                 Store.interface()};
  RevisionClock Revisions;
  OrderingProcess Ended;
  bool IsLost = false;
};

} // namespace

TEST_CASE("an order is sent once it is recorded, and a successor leaves just "
          "that machine alone") {
  Fixture Test;
  const auto First = Test.open(7);
  std::string RecordWhenSent;
  First->recordAndSend(
      jobs::MachineName("m1"), TimePoint::max(),
      [&] { RecordWhenSent = Test.Store.Record; }, [] {});
  Test.Loop.settle();
  CHECK(RecordWhenSent ==
        R"([{"machine":"m1","process":7,"revision":0,"vm":"e1"}])");

  Test.Store.ClaimRevision = 8;
  const auto Second = Test.open(8);
  CHECK(Second->isHeld(jobs::MachineName("m1")));
  CHECK_FALSE(Second->isHeld(jobs::MachineName("m2")));
}

// Guards against a successor that takes more machines of a wave down than the
// wave allows, because it does not count those that its predecessor has
// ordered.
TEST_CASE("a successor learns which machines are held for a wave") {
  Fixture Test;
  const auto First = Test.open(7);
  Test.order(*First, "moved");
  for (const uint64_t Wave : {1, 2}) {
    First->recordAndSend(
        jobs::MachineName("m" + std::to_string(Wave)), TimePoint::max(), [] {},
        [] {}, Wave);
    Test.Loop.settle();
  }
  Test.Revisions.note(Test.Store.Revision, Test.Loop.Time.now());
  CHECK(First->heldFor(1).empty());

  Test.Store.ClaimRevision = 8;
  const auto Second = Test.open(8, "e2");
  CHECK(Second->heldFor(1) == std::set{jobs::MachineName("m1")});
  CHECK(Second->heldFor(2) == std::set{jobs::MachineName("m2")});
  Test.order(*Second, "m3");

  Test.Store.ClaimRevision = 9;
  const auto Third = Test.open(9, "e3");
  CHECK(Third->heldFor(2) == std::set{jobs::MachineName("m2")});
  Test.Loop.runFor(std::chrono::seconds(5));
  CHECK(Third->heldFor(2).empty());
}

TEST_CASE("a holder that lost its claim sends no order") {
  Fixture Test;
  const auto First = Test.open(7);
  Test.Store.ClaimRevision = 8;
  bool IsSent = false;
  First->recordAndSend(
      jobs::MachineName("m1"), TimePoint::max(), [&IsSent] { IsSent = true; },
      [] {});
  Test.Loop.settle();
  CHECK(Test.IsLost);
  CHECK_FALSE(IsSent);
  CHECK(Test.Store.Record.empty());
}

// Guards against two holders that order one machine within seconds, because a
// write that the store carries out late removes an order from the record.
TEST_CASE("a write that is carried out late leaves later orders recorded") {
  Fixture Test;
  const auto Orders = Test.open(7);
  Test.Store.IsSilent = true;
  Test.order(*Orders, "m1");
  Test.Store.IsSilent = false;
  Test.Loop.runFor(std::chrono::seconds(1));
  Test.order(*Orders, "m2");
  REQUIRE(Test.Store.Unanswered.size() == 1);
  CHECK_FALSE(Test.Store.apply(Test.Store.Unanswered.front()).IsCommitted);
  CHECK(Test.Store.Record.find("m2") != std::string::npos);
}

// Guards against a holder that gives its claim up, or sends an order twice,
// because the answer to its write was lost.
TEST_CASE("a write whose answer was lost is repeated under the same claim") {
  Fixture Test;
  const auto Orders = Test.open(7);
  Test.Store.IsSilent = true;
  int Sent = 0;
  Orders->recordAndSend(
      jobs::MachineName("m1"), TimePoint::max(), [&Sent] { ++Sent; }, [] {});
  Test.Loop.settle();
  REQUIRE(Test.Store.Unanswered.size() == 1);
  CHECK(Test.Store.apply(Test.Store.Unanswered.front()).IsCommitted);
  Test.Store.IsSilent = false;
  Test.Loop.runFor(std::chrono::seconds(1));
  CHECK(Sent == 1);
  CHECK_FALSE(Test.IsLost);
}

TEST_CASE("an order that waits for the store is given up after its deadline") {
  Fixture Test;
  const auto Orders = Test.open(7);
  Test.Store.IsAway = true;
  bool IsSent = false;
  bool IsGivenUp = false;
  Orders->recordAndSend(
      jobs::MachineName("m1"), Test.Loop.Time.now() + std::chrono::seconds(1),
      [&IsSent] { IsSent = true; }, [&IsGivenUp] { IsGivenUp = true; });
  Test.Loop.runFor(std::chrono::seconds(2));
  CHECK(IsGivenUp);
  Test.Store.IsAway = false;
  Test.Loop.runFor(std::chrono::seconds(2));
  CHECK_FALSE(IsSent);
}

TEST_CASE("a machine is held for a while after its order was recorded, however "
          "late the successor starts") {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  Fixture Test;
  const auto First = Test.open(7);
  const auto Order = [&](const char *Name) {
    Test.order(*First, Name);
    Test.Revisions.note(Test.Store.Revision, Test.Loop.Time.now());
  };
  Order("early");
  Test.Loop.runFor(seconds(3));
  Order("late");
  Test.Loop.runFor(seconds(2));
  const auto Second = Test.open(7);
  CHECK_FALSE(Second->isHeld(jobs::MachineName("early")));
  CHECK(Second->isHeld(jobs::MachineName("late")));
  Test.Loop.runFor(milliseconds(2400));
  CHECK_FALSE(Second->isHeld(jobs::MachineName("late")));
}

TEST_CASE(
    "machines ordered by a process that has ended can be ordered at once") {
  Fixture Test;
  const auto First = Test.open(7);
  Test.order(*First, "m1");
  Test.Store.ClaimRevision = 8;
  const auto Second = Test.open(8, "e2");
  CHECK(Second->isHeld(jobs::MachineName("m1")));
  Test.Ended = {EntryName("e1"), 7};
  CHECK_FALSE(Second->isHeld(jobs::MachineName("m1")));
}

TEST_CASE("a third holder still knows the orders of the first one") {
  Fixture Test;
  Test.Store.ClaimRevision = 7;
  const auto First = Test.open(7);
  Test.order(*First, "m1");
  Test.Store.ClaimRevision = 8;
  const auto Second = Test.open(8, "e2");
  Test.order(*Second, "m2");
  Test.Store.ClaimRevision = 9;
  const auto Third = Test.open(9, "e3");
  CHECK(Third->isHeld(jobs::MachineName("m1")));
  CHECK(Third->isHeld(jobs::MachineName("m2")));
}

TEST_CASE("an unreadable record holds every machine for a while") {
  Fixture Test;
  Test.Store.Record = "[\"m1\"";
  const auto Orders = Test.open(7);
  CHECK(Orders->isHeld(jobs::MachineName("m2")));
  Test.Loop.runFor(std::chrono::seconds(5));
  CHECK_FALSE(Orders->isHeld(jobs::MachineName("m2")));
}

TEST_CASE("a revision that the store has not reported yet may be new") {
  RevisionClock Clock;
  const TimePoint Start{std::chrono::seconds(100)};
  CHECK(Clock.writtenBy(5, Start) == Start);
  Clock.note(10, Start);
  Clock.note(20, Start + std::chrono::seconds(1));
  const TimePoint Now = Start + std::chrono::seconds(2);
  CHECK(Clock.writtenBy(7, Now) == Start);
  CHECK(Clock.writtenBy(11, Now) == Start + std::chrono::seconds(1));
  CHECK(Clock.writtenBy(21, Now) == Now);
}
