#include "whintack/routing/executortable.h"

#include <catch2/catch.hpp>
#include <map>

using namespace whintack;
using namespace whintack::routing;

static const ServiceName Shop("shop");

static ExecutorInfo executorInfo(const std::string &Name,
                                 uint64_t Incarnation = 1,
                                 bool IsLeaving = false) {
  return {VmName(Name), Shop, DataCentreName("near"), Incarnation, IsLeaving};
}

static ExecutorTable makeTable(ChoicePolicy Policy = ChoicePolicy::TwoChoices) {
  return {DataCentreName("near"), Policy, seededRandom(1)};
}

static void giveSlots(ExecutorTable &Table, int64_t Slots) {
  Table.forEach([&](ExecutorIndex Index, Executor &Known) {
    Known.Slots.setOwned(Slots);
    Table.refresh(Index, {});
  });
}

TEST_CASE("a stale list does not revive a leaving executor") {
  ExecutorTable Table = makeTable();
  Table.update({executorInfo("a"), executorInfo("b")});
  giveSlots(Table, 2);
  REQUIRE(Table.markLeaving(VmName("a"), 1));
  REQUIRE_FALSE(Table.markLeaving(VmName("a"), 1));
  Table.refresh(*Table.find(VmName("a")), {});
  Table.update({executorInfo("a"), executorInfo("b")});
  giveSlots(Table, 2);
  for (int Number = 0; Number < 50; ++Number)
    REQUIRE(Table.at(*Table.choose(Shop, {})).Info.Name == VmName("b"));
  Table.update({executorInfo("a", 2), executorInfo("b")});
  REQUIRE(Table.at(*Table.find(VmName("a"))).State == ExecutorState::Live);
}

TEST_CASE("news of an older incarnation does not affect a newer one") {
  ExecutorTable Table = makeTable();
  Table.update({executorInfo("a", 5)});
  REQUIRE_FALSE(Table.markLeaving(VmName("a"), 4));
  Table.update({executorInfo("a", 4, true)});
  REQUIRE(Table.at(*Table.find(VmName("a"))).State == ExecutorState::Live);
}

TEST_CASE("an executor that is not listed any more is removed when idle") {
  ExecutorTable Table = makeTable();
  Table.update({executorInfo("a"), executorInfo("b")});
  giveSlots(Table, 1);
  Executor &Busy = Table.at(*Table.find(VmName("a")));
  const auto Permit = Busy.Slots.take({});
  REQUIRE(Table.update({executorInfo("b")}).size() == 1);
  Table.removeIdleUnlisted();
  REQUIRE(Table.find(VmName("a")));
  Busy.Slots.release(*Permit, {});
  Table.removeIdleUnlisted();
  REQUIRE_FALSE(Table.find(VmName("a")));
  REQUIRE(Table.executorsOf(Shop).All.size() == 1);
}

TEST_CASE("local executors are preferred and remote ones take the overflow") {
  ExecutorTable Table = makeTable();
  ExecutorInfo Far = executorInfo("far");
  Far.DataCentre = DataCentreName("far");
  Table.update({executorInfo("near"), Far});
  giveSlots(Table, 1);
  const ExecutorIndex First = *Table.choose(Shop, {});
  REQUIRE(Table.at(First).Info.Name == VmName("near"));
  Table.at(First).Slots.take({});
  Table.refresh(First, {});
  REQUIRE(Table.at(*Table.choose(Shop, {})).Info.Name == VmName("far"));
}

TEST_CASE("an executor to avoid is chosen only if there is no other") {
  ExecutorTable Table = makeTable();
  Table.update({executorInfo("a"), executorInfo("b")});
  giveSlots(Table, 8);
  for (int Number = 0; Number < 50; ++Number)
    REQUIRE(Table.at(*Table.choose(Shop, {VmName("a")})).Info.Name ==
            VmName("b"));
  REQUIRE(Table.choose(Shop, {VmName("a"), VmName("b")}));
}

TEST_CASE("every policy uses all slots before it finds none left") {
  for (const auto Policy : {ChoicePolicy::RoundRobin, ChoicePolicy::LeastLoaded,
                            ChoicePolicy::TwoChoices}) {
    ExecutorTable Table = makeTable(Policy);
    Table.update({executorInfo("a"), executorInfo("b"), executorInfo("c")});
    giveSlots(Table, 8);
    for (int Number = 0; Number < 24; ++Number) {
      const auto Index = Table.choose(Shop, {});
      REQUIRE(Index);
      REQUIRE(Table.at(*Index).Slots.take({}));
      Table.refresh(*Index, {});
    }
    REQUIRE_FALSE(Table.choose(Shop, {}));
  }
}
