#include "manualclock.h"
#include "whintack/controller/poolcontroller.h"
#include "whintack/standin/memorykeyvaluestore.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::controller;
using namespace whintack::fleet;

namespace {

constexpr int64_t ManyCalls = 1000000;

/// One pool of three VMs with a running wave, and a factory for controllers of
/// this pool under given epochs.
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
      Vm.ReportedPool = PoolName("shop");
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

  /// Returns a controller that writes through \p Client and reads its epoch
  /// from \p Epoch.
  PoolController makeController(store::RecordClient &Client,
                                const uint64_t &Epoch) {
    store::WorkerControl Workers;
    Workers.Drain = [this](const VmName &Vm, uint64_t) {
      this->Drained.push_back(Vm);
      return store::StoreResult<void>(success());
    };
    Workers.Reboot = [](const VmName &, uint64_t, uint64_t) {
      return store::StoreResult<void>(success());
    };
    DrainHooks Drains;
    Drains.RequestReport = [](const VmName &, uint64_t) {};
    Drains.Requests = [](const VmName &) { return std::optional<int64_t>(); };
    Drains.StopTracking = [](const VmName &) {};
    return {Client,
            Workers,
            Drains,
            [&Epoch] { return Epoch; },
            this->Time.clock(),
            this->Source,
            this->Journal};
  }

  /// A client of the store that calls \p BeforePut before each write.
  store::RecordClient
  clientWith(const std::function<void(const std::string &Key)> &BeforePut) {
    store::KeyValueStore Hooked = this->Store.store();
    const auto Put = Hooked.Put;
    Hooked.Put = [Put, BeforePut](const store::ConditionalPut &Request) {
      BeforePut(Request.Key);
      return Put(Request);
    };
    return {Hooked, ManyCalls, this->Time.clock(), this->Source};
  }

  tests::ManualClock Time;
  Random Source = seededRandom(1);
  HybridClock Stamps{Time.clock().WallNow};
  EventJournal Journal{EntryName("e"), Stamps, 1000};
  standin::MemoryKeyValueStore Store{Time.clock()};
  store::RecordClient Records{Store.store(), ManyCalls, Time.clock(), Source};
  std::vector<VmName> Drained;
};

} // namespace

TEST_CASE(
    "a VM drains only with a ticket and releases it on return to service") {
  Fixture Test;
  const uint64_t Epoch = 1;
  PoolController Controller = Test.makeController(Test.Records, Epoch);
  Controller.pass(Test.view(), WaveLimits(), 1);
  REQUIRE(Test.Drained.size() == 1);
  REQUIRE(Test.budget().holds(Test.Drained[0]));
  RackRecord Rack = Test.rack();
  Rack.find(Test.Drained[0])->Phase = VmPhase::Verifying;
  Test.write("whintack/vm/rack", toJson(Rack));
  PoolView View = Test.view();
  for (VmView &Vm : View.Vms)
    Vm.IsAnswering = true;
  View.Wave->State = WaveState::Paused;
  Controller.pass(View, WaveLimits(), 2);
  REQUIRE(Test.rack().find(Test.Drained[0])->Phase == VmPhase::InService);
  REQUIRE(Test.budget().Tickets.empty());
}

TEST_CASE("a delayed holder does not drain on a ticket released meanwhile") {
  Fixture Test;
  const uint64_t OldEpoch = 1;
  const uint64_t NewEpoch = 2;
  store::RecordClient NewClient = Test.clientWith([](const std::string &) {});
  PoolController New = Test.makeController(NewClient, NewEpoch);
  bool HasTakenOver = false;
  store::RecordClient OldClient = Test.clientWith([&](const std::string &Key) {
    if (Key != "whintack/vm/rack" || HasTakenOver)
      return;
    // The old holder has its ticket and is about to record the VM as draining.
    // Meanwhile a new holder finds the ticket of a VM that is still in service
    // and releases it.
    HasTakenOver = true;
    PoolView View = Test.view();
    View.Wave->State = WaveState::Paused;
    New.pass(View, WaveLimits(), 1);
    REQUIRE(Test.budget().Tickets.empty());
  });
  PoolController Old = Test.makeController(OldClient, OldEpoch);
  Old.pass(Test.view(), WaveLimits(), 1);
  REQUIRE(HasTakenOver);
  REQUIRE(Test.Drained.empty());
  for (const VmRecord &Vm : Test.rack().Vms)
    REQUIRE(Vm.Phase == VmPhase::InService);
  REQUIRE(Test.budget().Tickets.empty());
}

TEST_CASE("a holder that lost its shard writes nothing") {
  Fixture Test;
  const uint64_t LostEpoch = 0;
  const uint64_t Before = Test.Store.calls().Writes;
  PoolController Former = Test.makeController(Test.Records, LostEpoch);
  REQUIRE_FALSE(Former.pass(Test.view(), WaveLimits(), 1));
  REQUIRE(Test.Store.calls().Writes == Before);
}

TEST_CASE("two holders racing for the last ticket of a budget take only one") {
  Fixture Test;
  const uint64_t Epoch = 1;
  bool HasRaced = false;
  store::RecordClient SecondClient =
      Test.clientWith([](const std::string &) {});
  PoolController Second = Test.makeController(SecondClient, Epoch);
  store::RecordClient FirstClient =
      Test.clientWith([&](const std::string &Key) {
        if (Key != "whintack/budget/shop" || HasRaced)
          return;
        HasRaced = true;
        Second.pass(Test.view(), WaveLimits(), 1);
      });
  PoolController First = Test.makeController(FirstClient, Epoch);
  First.pass(Test.view(), WaveLimits(), 1);
  REQUIRE(HasRaced);
  REQUIRE(Test.budget().Tickets.size() == 1);
  REQUIRE(Test.Drained.size() == 1);
}
