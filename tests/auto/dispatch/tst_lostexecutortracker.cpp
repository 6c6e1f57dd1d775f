#include "lostexecutortracker.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using jobs::ExecutorId;
using jobs::ExecutorLoss;
using jobs::MachineState;

namespace {

const ServiceName Pool("quotes");
const ExecutorId First("x1");
const ExecutorId Second("x2");
const std::string None;

using List = std::vector<jobs::MachineInfo>;

jobs::MachineInfo row(const std::string &Name, MachineState State,
                      const std::string &Executor,
                      const ServiceName &In = Pool) {
  jobs::MachineInfo Info;
  Info.Name = jobs::MachineName(Name);
  Info.Pool = In;
  Info.State = State;
  Info.Executor = ExecutorId(Executor);
  return Info;
}

/// Rows that say nothing about the first executor.
const List Others = {row("m2", MachineState::Up, "x2"),
                     row("m3", MachineState::Down, None)};

List withOthers(const jobs::MachineInfo &Row) {
  List Rows = Others;
  Rows.push_back(Row);
  return Rows;
}

/// A tracker that has seen the first executor on the machine "m1".
LostExecutorTracker knowingTracker() {
  LostExecutorTracker Tracker(Pool);
  Tracker.learnMachines(withOthers(row("m1", MachineState::Up, "x1")),
                        [](const ExecutorId &) { return true; });
  return Tracker;
}

} // namespace

// Guards against tasks that are started again while their executor runs them.
TEST_CASE("an executor is not lost because the list leaves out its machine") {
  const std::vector<List> Lists = {
      Others, withOthers(row("m1", MachineState::Up, None)),
      withOthers(row("m1", MachineState::Up, "x1")),
      withOthers(row("m4", MachineState::Up, "x1"))};
  for (const List &Found : Lists) {
    LostExecutorTracker Tracker = knowingTracker();
    for (int Read = 0; Read < 10; ++Read) {
      CHECK(Tracker.findLost(Found, {First}).empty());
      Tracker.learnMachines(Found, [](const ExecutorId &) { return true; });
    }
  }
}

// Guards against tasks of a crashed executor that wait for the end of a lease.
TEST_CASE("an executor is lost at once if its machine is not up or runs "
          "another one") {
  using Case = std::pair<jobs::MachineInfo, LostExecutor>;
  const std::vector<Case> Cases = {
      Case{row("m1", MachineState::Down, None),
           {First, ExecutorLoss::MachineLost, "down"}},
      Case{row("m1", MachineState::Down, "x1"),
           {First, ExecutorLoss::MachineLost, "down"}},
      Case{row("m1", MachineState::Maintenance, None),
           {First, ExecutorLoss::MachineLost, "maintenance"}},
      Case{row("m1", MachineState::Moving, None, ServiceName("payouts")),
           {First, ExecutorLoss::MachineLost, "moving"}},
      Case{row("m1", MachineState::Up, "x9"),
           {First, ExecutorLoss::Replaced, "other-executor"}},
      Case{row("m1", MachineState::Up, "x9", ServiceName("payouts")),
           {First, ExecutorLoss::Replaced, "other-executor"}}};
  for (const auto &[Row, Expected] : Cases) {
    LostExecutorTracker Tracker = knowingTracker();
    CHECK(Tracker.findLost(withOthers(Row), {First, Second}) ==
          std::vector{Expected});
  }
}

TEST_CASE("an executor on an unknown machine is lost if two successive lists "
          "do not name it") {
  LostExecutorTracker Tracker(Pool);
  const List Named = withOthers(row("m1", MachineState::Up, "x1"));
  CHECK(Tracker.findLost(Others, {First}).empty());
  SECTION("and it is absent from both") {
    CHECK(
        Tracker.findLost(Others, {First}) ==
        std::vector{LostExecutor{First, ExecutorLoss::MachineLost, "absent"}});
  }
  SECTION("but not if it has answered between them") {
    Tracker.noteAnswer(First);
    CHECK(Tracker.findLost(Others, {First}).empty());
  }
  SECTION("but not if the list between them has named it") {
    CHECK(Tracker.findLost(Named, {First}).empty());
    CHECK(Tracker.findLost(Others, {First}).empty());
  }
  SECTION("but not if it was not silent at the list between them") {
    CHECK(Tracker.findLost(Others, {}).empty());
    CHECK(Tracker.findLost(Others, {First}).empty());
  }
  SECTION("but not while a machine of the pool is up without an executor") {
    const List Unnamed = withOthers(row("m1", MachineState::Up, None));
    CHECK(Tracker.findLost(Unnamed, {First}).empty());
    CHECK(Tracker.findLost(Others, {First}).empty());
    CHECK(Tracker.findLost(Unnamed, {First}).empty());
  }
}

TEST_CASE("an executor is lost if its own row is not up") {
  LostExecutorTracker Tracker(Pool);
  CHECK(Tracker.findLost(withOthers(row("m1", MachineState::Down, "x1")),
                         {First}) ==
        std::vector{LostExecutor{First, ExecutorLoss::MachineLost, "down"}});
}

// Guards against machines that are remembered for ever.
TEST_CASE("the machine of an executor is forgotten once nobody needs it") {
  LostExecutorTracker Tracker = knowingTracker();
  Tracker.learnMachines(Others,
                        [](const ExecutorId &Id) { return Id != First; });
  const List Replaced = withOthers(row("m1", MachineState::Up, "x9"));
  CHECK(Tracker.findLost(Replaced, {First}).empty());
  CHECK(Tracker.findLost(Replaced, {First}).size() == 1);
}

// Guards against long-running tasks that wait for the end of leases because
// their executor was taken away together with its machine.
TEST_CASE("an executor that was taken away with its machine is lost") {
  bool IsRegistered = false;
  LostExecutorTracker Tracker(
      Pool, [&IsRegistered](const ExecutorId &) { return IsRegistered; });
  Tracker.learnMachines(withOthers(row("m1", MachineState::Up, "x1")),
                        [](const ExecutorId &) { return true; });
  const std::vector<LostExecutor> Lost = {
      {First, ExecutorLoss::MachineLost, "absent"}};
  const auto IsLostAfter = [&](int Lists) {
    for (int Read = 1; Read < Lists; ++Read)
      if (!Tracker.findLost(Others, {First}).empty())
        return false;
    return Tracker.findLost(Others, {First}) == Lost;
  };
  SECTION("once five lists do not name it") { CHECK(IsLostAfter(5)); }
  SECTION("but not while it is registered") {
    IsRegistered = true;
    for (int Read = 0; Read < 10; ++Read)
      CHECK(Tracker.findLost(Others, {First}).empty());
    IsRegistered = false;
    CHECK(IsLostAfter(5));
  }
  SECTION("but not if a list has named its machine") {
    for (int Read = 0; Read < 4; ++Read)
      CHECK(Tracker.findLost(Others, {First}).empty());
    CHECK(
        Tracker.findLost(withOthers(row("m1", MachineState::Up, None)), {First})
            .empty());
    CHECK(IsLostAfter(5));
  }
  SECTION("but not if it has answered meanwhile") {
    for (int Read = 0; Read < 4; ++Read)
      CHECK(Tracker.findLost(Others, {First}).empty());
    Tracker.noteAnswer(First);
    CHECK(IsLostAfter(5));
  }
}
