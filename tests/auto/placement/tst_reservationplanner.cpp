// Guards against reservations that later placements delay, in any of several
// resources, and against reservations where the task cannot run.

#include "whintack/placement/reservationplanner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace whintack;
using namespace whintack::placement;
using namespace std::chrono_literals;

namespace {

/// Executors with runs, and a planner in the middle of a pass.
struct Pool {
  explicit Pool(std::vector<ComputeResources> Free,
                ReservationPlanner::Limits Limits = {4, 10})
      : Free(std::move(Free)), Runs(this->Free.size()) {
    this->Planner.beginPass(this->Free.size(), Limits);
  }

  void addRun(size_t Place, Duration EndsIn, ComputeResources Need) {
    this->Runs[Place].push_back({this->Now + EndsIn, Need});
    std::sort(this->Runs[Place].begin(), this->Runs[Place].end(),
              [](const EndingRun &First, const EndingRun &Second) {
                return First.End < Second.End;
              });
  }

  const Reservation *reserve(const ComputeResources &Need,
                             Duration Latest = 1h) {
    return this->Planner.reserve(Need, this->Now + Latest,
                                 [this](size_t Place) {
                                   return std::optional<PlaceState>(
                                       {this->Free[Place], &this->Runs[Place]});
                                 });
  }

  bool admits(size_t Place, const ComputeResources &Need, Duration Length) {
    return this->Planner.admits(Place, Need, this->Now + Length);
  }

  TimePoint Now{1h};
  std::vector<ComputeResources> Free;
  std::vector<std::vector<EndingRun>> Runs;
  ReservationPlanner Planner;
};

} // namespace

TEST_CASE("the executor is reserved where the task can start soonest") {
  Pool Given({{4000, 1000, 0}, {1000, 1000, 0}, {0, 1000, 0}});
  Given.addRun(0, 9s, {8000, 0, 0});
  Given.addRun(1, 2s, {2000, 0, 0});
  Given.addRun(1, 4s, {7000, 0, 0});
  Given.addRun(2, 1s, {7000, 0, 0});
  const Reservation *Made = Given.reserve({8000, 500, 0});
  REQUIRE(Made);
  CHECK(Made->Place == 1);
  CHECK(Made->Start == Given.Now + 4s);
  CHECK(Made->Spare == ComputeResources{2000, 500, 0});
}

TEST_CASE("memory and accelerators are reserved like cores") {
  Pool Given({{8000, 100, 0}, {8000, 9000, 0}});
  Given.addRun(0, 1s, {1000, 300, 1});
  Given.addRun(1, 3s, {1000, 500, 2});
  const Reservation *Made = Given.reserve({1000, 1000, 1});
  REQUIRE(Made);
  CHECK(Made->Place == 1);
  CHECK(Made->Spare.Gpus == 1);
  CHECK(Given.admits(1, {1000, 0, 1}, 10s));
  CHECK_FALSE(Given.admits(1, {1000, 0, 2}, 10s));
  CHECK_FALSE(Given.admits(1, {1000, 8501, 0}, 10s));
}

TEST_CASE("a task is admitted if it ends in time or leaves enough") {
  Pool Given({{4000, 0, 0}});
  Given.addRun(0, 5s, {4000, 0, 0});
  REQUIRE(Given.reserve({6000, 0, 0}));
  CHECK(Given.admits(0, {4000, 0, 0}, 5s));
  CHECK_FALSE(Given.admits(0, {4000, 0, 0}, 5001ms));
  CHECK(Given.admits(0, {2000, 0, 0}, 1h));
  Given.Planner.notePlaced(0, {2000, 0, 0}, Given.Now + 1h);
  CHECK_FALSE(Given.admits(0, {1, 0, 0}, 1h));
  CHECK(Given.admits(0, {2000, 0, 0}, 1s));
}

TEST_CASE("no executor is reserved for a task that none can hold in time") {
  Pool Given({{4000, 0, 0}});
  Given.addRun(0, 5s, {4000, 0, 0});
  CHECK_FALSE(Given.reserve({9000, 0, 0}));
  CHECK_FALSE(Given.reserve({6000, 0, 0}, 4s));
  CHECK_FALSE(Given.Planner.hasReservations());
  CHECK(Given.admits(0, {4000, 0, 0}, 1h));
}

TEST_CASE("a later reservation does not delay an earlier one") {
  Pool Given({{0, 0, 0}});
  Given.addRun(0, 2s, {4000, 0, 0});
  Given.addRun(0, 5s, {4000, 0, 0});
  REQUIRE(Given.reserve({6000, 0, 0}));
  // It would fit at 2 s, and would then be in the way at 5 s.
  CHECK_FALSE(Given.reserve({4000, 0, 0}));
  const Reservation *Second = Given.reserve({2000, 0, 0});
  REQUIRE(Second);
  CHECK(Second->Start == Given.Now + 5s);
  CHECK_FALSE(Given.admits(0, {1000, 0, 0}, 6s));
}

TEST_CASE("the work of a pass is bounded") {
  Pool Given({{1000, 0, 0}}, {2, 3});
  Given.addRun(0, 2s, {8000, 0, 0});
  REQUIRE(Given.reserve({2000, 0, 0}));
  REQUIRE(Given.Planner.mayReserve());
  REQUIRE(Given.reserve({2000, 0, 0}));
  CHECK_FALSE(Given.Planner.mayReserve());
  CHECK_FALSE(Given.Planner.noteRefusal());
  CHECK_FALSE(Given.Planner.noteRefusal());
  CHECK(Given.Planner.noteRefusal());
  CHECK(Given.Planner.isClosed());
  CHECK(Given.Planner.unreserved(0, {8000, 0, 0}).MilliCores == 5000);
  CHECK(Given.Planner.unreserved(0, {1000, 0, 0}).MilliCores == 1000);
}

static ComputeResources anyNeed(int64_t Least, int64_t Most) {
  return {*rc::gen::inRange<int64_t>(Least, Most),
          *rc::gen::inRange<int64_t>(Least, Most),
          *rc::gen::inRange<int64_t>(0, 2)};
}

static Duration anyLength() {
  return std::chrono::milliseconds(*rc::gen::inRange<int64_t>(1, 10000));
}

TEST_CASE("no admitted task that ends within its bound delays a reservation") {
  // Guards against mistakes in the order of reservations on one executor, and
  // against spare resources that are counted twice.
  struct Placed {
    size_t Place;
    ComputeResources Need;
    TimePoint End;
  };
  const bool Holds = rc::check([] {
    const size_t Places = *rc::gen::inRange<size_t>(1, 3);
    std::vector<ComputeResources> Free;
    for (size_t Place = 0; Place < Places; ++Place)
      Free.push_back(anyNeed(0, 30));
    Pool Given(Free, {3, 1000});
    for (size_t Place = 0; Place < Places; ++Place)
      for (int Run = *rc::gen::inRange(0, 6); Run > 0; --Run)
        Given.addRun(Place, anyLength(), anyNeed(1, 20));
    std::vector<Placed> Others;
    for (int Task = *rc::gen::inRange(1, 40); Task > 0; --Task) {
      // Small tasks fill what is spare, large ones are reserved for.
      const bool IsLarge = *rc::gen::inRange(0, 5) == 0;
      const ComputeResources Need = IsLarge ? anyNeed(20, 40) : anyNeed(0, 8);
      const TimePoint End = Given.Now + anyLength();
      size_t Place = 0;
      while (Place < Places && !(Given.Free[Place].covers(Need) &&
                                 Given.Planner.admits(Place, Need, End)))
        ++Place;
      if (Place < Places) {
        Given.Planner.notePlaced(Place, Need, End);
        Given.Free[Place] -= Need;
        Given.addRun(Place, End - Given.Now, Need);
        Others.push_back({Place, Need, End});
      } else if (Given.Planner.mayReserve()) {
        Given.reserve(Need);
      }
    }
    const auto &Made = Given.Planner.reservations();
    for (size_t Index = 0; Index < Made.size(); ++Index) {
      // All reservations start on time and run for ever.
      ComputeResources AtStart = Given.Free[Made[Index].Place];
      for (const EndingRun &Run : Given.Runs[Made[Index].Place])
        if (Run.End <= Made[Index].Start)
          AtStart += Run.Need;
      for (size_t Earlier = 0; Earlier < Index; ++Earlier)
        if (Made[Earlier].Place == Made[Index].Place)
          AtStart -= Made[Earlier].Need;
      RC_ASSERT(AtStart.covers(Made[Index].Need));
    }
    RC_TAG((Made.empty() ? "no reservation" : "reservations"));
  });
  CHECK(Holds);
}
