#include "machineorders.h"
#include "nodelease.h"
#include "storekeys.h"

#include "steppedloop.h"

#include "whintack/simulation/memorystore.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using simulation::StoreFaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Grace = seconds(4);
/// Last time at which a predecessor may order, after the claim of its
/// successor: the lease was ended early, just after its renewal.
constexpr Duration LastOrder = milliseconds(1800) + Grace;

/// Successive holders of the claim on the machines, each on its own VM.
class Fixture {
public:
  struct Holder {
    std::shared_ptr<MachineOrders> Orders;
    ClaimPhase Phase = ClaimPhase::Valid;
  };

  /// Lets the VM claim the machines; the claim of its predecessor is over.
  std::shared_ptr<Holder> claim(const char *Vm) {
    this->Store.put("claim", Vm);
    auto Opened = std::make_shared<Holder>();
    MachineOrdersHooks Hooks;
    Hooks.WrittenBy = [this](uint64_t) { return this->Loop.Time.now(); };
    Hooks.HasEnded = [this](const OrderingProcess &Process) {
      return Process == this->Ended;
    };
    Hooks.OnLost = [](const std::string &) {};
    Hooks.Phase = [Weak = std::weak_ptr(Opened)] {
      const auto Alive = Weak.lock();
      return Alive ? Alive->Phase : ClaimPhase::Over;
    };
    const Context Shared{this->Loop.Time.clock(), seededRandom(1),
                         this->Loop.Queue,
                         this->Store.interface(EntryName(Vm))};
    const uint64_t Revision = this->claimRevision();
    Opened->Orders = std::make_shared<MachineOrders>(
        Shared, OrderingProcess{EntryName(Vm), 1},
        store::ExpectedRevision{"claim", Revision}, Hooks,
        HolderGrace{Grace, NodeLease::Length, this->Loop.Time.now()});
    Opened->Orders->load();
    this->Loop.runFor(milliseconds(100));
    return Opened;
  }

  /// Whether the order for the machine is sent within \p Wait.
  bool isSent(Holder &By, const char *Machine, Duration Wait) {
    auto IsSent = std::make_shared<bool>(false);
    By.Orders->recordAndSend(
        jobs::MachineName(Machine), this->Loop.Time.now() + Wait,
        [IsSent] { *IsSent = true; }, [] {});
    this->Loop.runFor(Wait);
    return *IsSent;
  }

  tests::SteppedLoop Loop;
  simulation::MemoryStore Store{this->Loop.Time.clock(), this->Loop.Queue};
  OrderingProcess Ended;

private:
  uint64_t claimRevision() {
    uint64_t Revision = 0;
    this->Store.interface(EntryName("reader"))
        .Range("claim", "", store::ReadKind::Current,
               [&Revision](const store::StoreResult<store::StorePage> &Answer) {
                 Revision = Answer.value().Items.front().Revision;
               });
    this->Loop.runFor(milliseconds(10));
    return Revision;
  }
};

} // namespace

// Guards against a pool that waits for machines until the store is back.
TEST_CASE("orders are sent without a record in the grace, and recorded after "
          "it") {
  Fixture Test;
  const auto First = Test.claim("e1");
  Test.Store.setFaultModeForAll(StoreFaultMode::Refused);
  CHECK_FALSE(Test.isSent(*First, "m1", milliseconds(400)));
  First->Phase = ClaimPhase::Grace;
  CHECK(Test.isSent(*First, "m2", milliseconds(1)));
  First->Phase = ClaimPhase::Valid;
  Test.Store.setFaultModeForAll(StoreFaultMode::Served);
  Test.Loop.runFor(seconds(1));
  const auto Record = Test.Store.value(keys::MachineOrders);
  REQUIRE(Record);
  CHECK(Record->find("m2") != std::string::npos);
}

// Guards against a holder that nobody knows of and that goes on all the same.
TEST_CASE("a holder whose row is not stored sends nothing in the grace") {
  Fixture Test;
  Test.Store.setFaultMode(EntryName("e1"), StoreFaultMode::Refused);
  const auto First = Test.claim("e1");
  First->Phase = ClaimPhase::Grace;
  CHECK_FALSE(First->Orders->mayOrderInGrace());
  CHECK_FALSE(Test.isSent(*First, "m1", seconds(1)));
}

// Guards against two holders that order a machine within 3 s, when the store
// ended the lease of the first one early.
TEST_CASE("a successor orders nothing until its predecessor's grace is over") {
  Fixture Test;
  const auto First = Test.claim("e1");
  const TimePoint ClaimedAt = Test.Loop.Time.now();
  const auto Second = Test.claim("e2");
  First->Phase = ClaimPhase::Grace;
  Test.Loop.runFor(LastOrder - milliseconds(200));
  CHECK(Test.isSent(*First, "m1", milliseconds(1)));
  const TimePoint OrderedAt = Test.Loop.Time.now();
  while (Second->Orders->isHeld(jobs::MachineName("m1")))
    Test.Loop.runFor(milliseconds(10));
  CHECK(Test.Loop.Time.now() >= OrderedAt + seconds(3));
  CHECK(Test.Loop.Time.now() <= ClaimedAt + seconds(10));
  CHECK(Test.isSent(*Second, "m1", milliseconds(100)));
}

// Guards against pools that wait although nobody else orders machines.
TEST_CASE("a successor does not wait for a predecessor that has ended or "
          "released the claim") {
  Fixture Test;
  const auto First = Test.claim("e1");
  SECTION("ended") {
    Test.Ended = {EntryName("e1"), 1};
    CHECK_FALSE(Test.claim("e2")->Orders->mustWait());
  }
  SECTION("released") {
    First->Orders->stop();
    Test.Loop.runFor(milliseconds(100));
    CHECK_FALSE(Test.claim("e2")->Orders->mustWait());
  }
  SECTION("released later, after an order that was not recorded") {
    const auto Second = Test.claim("e2");
    First->Phase = ClaimPhase::Grace;
    CHECK(Test.isSent(*First, "m1", milliseconds(1)));
    First->Orders->stop();
    Test.Loop.runFor(seconds(3));
    CHECK(Second->Orders->mustWait());
    Test.Loop.runFor(seconds(1));
    CHECK_FALSE(Second->Orders->mustWait());
  }
}

// Guards against a third holder that knows only the second one, which has
// ended, while the first one still is in its grace.
TEST_CASE("a third holder waits for the first one") {
  Fixture Test;
  const auto First = Test.claim("e1");
  auto Second = Test.claim("e2");
  CHECK(Second->Orders->mustWait());
  Second.reset();
  Test.Ended = {EntryName("e2"), 1};
  const auto Third = Test.claim("e3");
  CHECK(Third->Orders->mustWait());
  Test.Loop.runFor(seconds(10));
  CHECK_FALSE(Third->Orders->mustWait());
}
