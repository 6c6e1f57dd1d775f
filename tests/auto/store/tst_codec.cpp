#include "whintack/store/keyvaluecodec.h"
#include "whintack/store/vmcodec.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::store;

TEST_CASE("transactions survive encoding and decoding") {
  codec::Transaction Put;
  Put.Put = {"a/b", 17, std::string("\0x\n", 3), 9};
  const auto Read = codec::decodeTransaction(codec::encodeTransaction(Put));
  REQUIRE(Read.Put.Key == "a/b");
  REQUIRE(Read.Put.ExpectedVersion == 17);
  REQUIRE(Read.Put.Value == std::string("\0x\n", 3));
  REQUIRE(Read.Put.Lease == 9);
  REQUIRE_FALSE(Read.IsRemoval);
}

TEST_CASE("answers in the form that etcd sends are decoded") {
  const auto Items = codec::decodeRangeAnswer(
      R"({"header":{"revision":"5"},"kvs":[{"key":"YQ==","value":"Yg==",)"
      R"("mod_revision":"4","version":"1"}],"count":"1"})");
  REQUIRE(Items.size() == 1);
  REQUIRE(Items[0].Key == "a");
  REQUIRE(Items[0].Stored.Value == "b");
  REQUIRE(Items[0].Stored.Version == 4);
  REQUIRE(codec::decodeRangeAnswer(R"({"header":{"revision":"5"}})").empty());
  const auto Lease = codec::decodeLease(R"({"result":{"ID":"77","TTL":"6"}})");
  REQUIRE(Lease.Id == 77);
  REQUIRE(Lease.Seconds == 6);
  const auto Lapsed = codec::decodeLease(R"({"result":{"ID":"77"}})");
  REQUIRE(Lapsed.Seconds == 0);
}

TEST_CASE("VMs, orders and tasks survive encoding and decoding") {
  VmInfo Vm;
  Vm.Name = VmName("vm");
  Vm.State = VmState::Leaving;
  Vm.Incarnation = 3;
  Vm.Server = {"127.0.0.1", 9000};
  Vm.Capacity = {1000, 2, 3};
  Vm.Pool = PoolName("p");
  const auto Vms = codec::decodeVms(codec::encodeVms({Vm}));
  REQUIRE(Vms.size() == 1);
  REQUIRE(Vms[0].State == VmState::Leaving);
  REQUIRE(Vms[0].Server == Vm.Server);
  REQUIRE(Vms[0].Capacity == Vm.Capacity);
  codec::Order Reboot;
  Reboot.Kind = codec::OrderKind::Reboot;
  Reboot.Vm = Vm.Name;
  Reboot.Incarnation = 3;
  Reboot.Epoch = 12;
  const auto Order = codec::decodeOrder(codec::encodeOrder(Reboot));
  REQUIRE(Order.Kind == codec::OrderKind::Reboot);
  REQUIRE(Order.Incarnation == 3);
  REQUIRE(Order.Epoch == 12);
  TaskReport Task;
  Task.Task = TaskId("t");
  Task.State = TaskState::Checkpointed;
  const auto Tasks = codec::decodeTasks(codec::encodeTasks({Task}));
  REQUIRE(Tasks[0].State == TaskState::Checkpointed);
}
