#include "manualclock.h"
#include "whintack/standin/memoryplatform.h"
#include "whintack/steward/poolsteward.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::steward;
using namespace whintack::fleet;

namespace {

constexpr int64_t ManyCalls = 1000000;

/// One pool of three VMs with a running wave, and stewards that look after it
/// under epochs of their own.
class Fixture {
public:
  Fixture() {
    RackRecord Rack;
    Rack.Rack = RackName("rack");
    for (const char *Name : {"vm1", "vm2", "vm3"}) {
      VmRecord Vm;
      Vm.Name = VmName(Name);
      Vm.Pool = PoolName("shop");
      Rack.Vms.push_back(Vm);
    }
    this->write(rackKey(Rack.Rack), toJson(Rack));
  }

  void write(const std::string &Key, const web::json::value &Body) {
    REQUIRE(this->Records.update(
        Key, OperationId(randomIdentifier(this->Source)),
        [&Body](const store::Record &) { return std::optional(Body); }));
  }

  PoolView view() {
    PoolView View;
    View.Pool.Name = PoolName("shop");
    View.Pool.WavePercent = 100;
    View.Target = 3;
    declaration::Service Service;
    Service.Name = ServiceName("shop");
    Service.BudgetPercent = 60;
    View.Services = {Service};
    for (const VmRecord &Record : this->rack().Vms) {
      VmView Vm;
      Vm.Record = Record;
      Vm.Rack = RackName("rack");
      Vm.IsLive = true;
      Vm.IsListed = true;
      Vm.Incarnation = 1;
      Vm.RunsPool = PoolName("shop");
      View.Vms.push_back(Vm);
    }
    View.Budgets[Service.Name] = this->budget();
    WaveRecord Wave;
    Wave.State = WaveState::Running;
    Wave.StartedAt = this->Time.clock().WallNow();
    View.Wave = Wave;
    return View;
  }

  RackRecord rack() {
    return *rackFromJson(this->Records.read("whintack/vm/rack").value().Body);
  }

  BudgetRecord budget() {
    return budgetFromJson(
               this->Records.read("whintack/budget/shop").value().Body)
        .value_or(BudgetRecord());
  }

  /// A steward whose epoch is read from \p Epoch; \p BeforePut is called
  /// before each of its writes.
  PoolSteward steward(store::RecordClient &Client, const uint64_t &Epoch) {
    store::WorkerControl Workers;
    Workers.Drain = [this](const VmName &Vm, uint64_t) {
      this->Drained.push_back(Vm);
      return store::StoreResult<void>(success());
    };
    Workers.Reboot = [](const VmName &, uint64_t, uint64_t) {
      return store::StoreResult<void>(success());
    };
    DrainHooks Drains;
    Drains.Ask = [](const VmName &, uint64_t) {};
    Drains.Requests = [](const VmName &) { return std::optional<int64_t>(); };
    Drains.Forget = [](const VmName &) {};
    return {Client,
            Workers,
            Drains,
            [&Epoch] { return Epoch; },
            this->Time.clock(),
            this->Source,
            this->Journal};
  }

  store::RecordClient
  clientWith(const std::function<void(const std::string &Key)> &BeforePut) {
    store::KeyValueStore Hooked = this->Store.store();
    const auto Put = Hooked.Put;
    Hooked.Put = [Put, BeforePut](const store::ConditionalPut &Given) {
      BeforePut(Given.Key);
      return Put(Given);
    };
    return {Hooked, ManyCalls, this->Time.clock(), this->Source};
  }

  tests::ManualClock Time;
  Random Source = seededRandom(1);
  HybridClock Stamps{Time.clock().WallNow};
  EventJournal Journal{EntryName("e"), Stamps, 1000};
  standin::MemoryPlatform Store{Time.clock()};
  store::RecordClient Records{Store.store(), ManyCalls, Time.clock(), Source};
  std::vector<VmName> Drained;
};

} // namespace

TEST_CASE("a VM drains only with a ticket and gives it back at its return") {
  Fixture Test;
  const uint64_t Epoch = 1;
  PoolSteward Only = Test.steward(Test.Records, Epoch);
  Only.pass(Test.view(), WaveLimits(), 1);
  REQUIRE(Test.Drained.size() == 1);
  REQUIRE(Test.budget().holds(Test.Drained[0]));
  RackRecord Rack = Test.rack();
  Rack.find(Test.Drained[0])->Phase = VmPhase::Verifying;
  Test.write("whintack/vm/rack", toJson(Rack));
  PoolView View = Test.view();
  for (VmView &Vm : View.Vms)
    Vm.IsAnswering = true;
  View.Wave->State = WaveState::Paused;
  Only.pass(View, WaveLimits(), 2);
  REQUIRE(Test.rack().find(Test.Drained[0])->Phase == VmPhase::InService);
  REQUIRE(Test.budget().Tickets.empty());
}

TEST_CASE("a holder that stood still does not drain on a ticket freed since") {
  Fixture Test;
  const uint64_t OldEpoch = 1;
  const uint64_t NewEpoch = 2;
  store::RecordClient Later = Test.clientWith([](const std::string &) {});
  PoolSteward New = Test.steward(Later, NewEpoch);
  bool HasStoodStill = false;
  store::RecordClient Slow = Test.clientWith([&](const std::string &Key) {
    if (Key != "whintack/vm/rack" || HasStoodStill)
      return;
    // The old holder has its ticket and is about to write the VM down as
    // draining. Meanwhile a new holder finds a ticket whose VM serves.
    HasStoodStill = true;
    PoolView View = Test.view();
    View.Wave->State = WaveState::Paused;
    New.pass(View, WaveLimits(), 1);
    REQUIRE(Test.budget().Tickets.empty());
  });
  PoolSteward Old = Test.steward(Slow, OldEpoch);
  Old.pass(Test.view(), WaveLimits(), 1);
  REQUIRE(HasStoodStill);
  REQUIRE(Test.Drained.empty());
  for (const VmRecord &Vm : Test.rack().Vms)
    REQUIRE(Vm.Phase == VmPhase::InService);
  REQUIRE(Test.budget().Tickets.empty());
}

TEST_CASE("a holder that has lost its shard writes nothing") {
  Fixture Test;
  const uint64_t Lost = 0;
  const uint64_t Before = Test.Store.calls().Writes;
  PoolSteward Former = Test.steward(Test.Records, Lost);
  REQUIRE_FALSE(Former.pass(Test.view(), WaveLimits(), 1));
  REQUIRE(Test.Store.calls().Writes == Before);
}

TEST_CASE("two holders that race for the last room take one ticket") {
  Fixture Test;
  const uint64_t Epoch = 1;
  bool HasRaced = false;
  store::RecordClient Other = Test.clientWith([](const std::string &) {});
  PoolSteward Second = Test.steward(Other, Epoch);
  store::RecordClient Raced = Test.clientWith([&](const std::string &Key) {
    if (Key != "whintack/budget/shop" || HasRaced)
      return;
    HasRaced = true;
    Second.pass(Test.view(), WaveLimits(), 1);
  });
  PoolSteward First = Test.steward(Raced, Epoch);
  First.pass(Test.view(), WaveLimits(), 1);
  REQUIRE(HasRaced);
  REQUIRE(Test.budget().Tickets.size() == 1);
  REQUIRE(Test.Drained.size() == 1);
}
