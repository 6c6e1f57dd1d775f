#include "machineorders.h"
#include "storekeys.h"

#include <catch2/catch.hpp>
#include <future>

using namespace whintack;
using namespace whintack::dispatch::Internal;

namespace {

/// A store that holds the record of orders and lets the test decide whether
/// the claim still stands.
class OrderStore {
public:
  store::AsyncStore interface() {
    store::AsyncStore Store;
    Store.Range = [this](const std::string &, const std::string &,
                         store::ReadKind,
                         const store::StoreCallback<store::StorePage> &Done) {
      store::StorePage Page;
      if (!this->Record.empty())
        Page.Items.push_back({keys::MachineOrders, this->Record, 1, 0});
      Done(Page);
    };
    Store.Commit =
        [this](const store::StoreTransaction &Change,
               const store::StoreCallback<store::CommitAnswer> &Done) {
          store::CommitAnswer Answer;
          Answer.IsCommitted =
              Change.Expect.front().Revision == this->ClaimRevision;
          if (Answer.IsCommitted)
            this->Record = Change.Puts.front().Value;
          Done(Answer);
        };
    return Store;
  }

  std::string Record;
  uint64_t ClaimRevision = 7;
};

/// Runs the parts on a loop of their own.
class Fixture {
public:
  std::shared_ptr<MachineOrders> open(uint64_t Token) {
    auto Orders = std::make_shared<MachineOrders>(
        this->Shared, store::ExpectedRevision{"claim", Token},
        [this](const std::string &) { this->Lost.set_value(); });
    this->onLoop([&Orders] { Orders->load(); });
    this->onLoop([] {});
    return Orders;
  }

  void onLoop(const std::function<void()> &Call) {
    std::promise<void> Called;
    this->Loop.post([&] {
      Call();
      Called.set_value();
    });
    Called.get_future().get();
  }

  OrderStore Store;
  Clock Time = systemClock();
  TimerQueue Loop{Time};
  Context Shared{Time, seededRandom(1), Loop, Store.interface()};
  std::promise<void> Lost;
};

} // namespace

TEST_CASE("an order is sent once it is written, and a successor holds back "
          "just that machine") {
  Fixture Test;
  const auto First = Test.open(7);
  std::promise<std::string> Sent;
  Test.onLoop([&] {
    First->announce(jobs::MachineName("m1"),
                    [&] { Sent.set_value(Test.Store.Record); });
  });
  CHECK(Sent.get_future().get() == "[\"m1\"]");

  Test.Store.ClaimRevision = 8;
  const auto Second = Test.open(8);
  Test.onLoop([&] {
    CHECK(Second->isHeld(jobs::MachineName("m1")));
    CHECK_FALSE(Second->isHeld(jobs::MachineName("m2")));
  });
}

TEST_CASE("a holder whose claim is gone sends no order") {
  Fixture Test;
  const auto First = Test.open(7);
  Test.Store.ClaimRevision = 8;
  bool IsSent = false;
  Test.onLoop([&] {
    First->announce(jobs::MachineName("m1"), [&IsSent] { IsSent = true; });
  });
  Test.Lost.get_future().get();
  Test.onLoop([] {});
  CHECK_FALSE(IsSent);
  CHECK(Test.Store.Record.empty());
}
