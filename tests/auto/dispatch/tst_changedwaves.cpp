// Guards against a wave that is still reported as completed, or is never
// completed, after the operator has changed its request.

#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t Number = 1;

class WaveFleet : public SimulatedFleet {
public:
  WaveFleet() { this->startAll(); }

  void request(const std::vector<std::string> &Names) {
    jobs::WaveRequest Wave;
    Wave.Number = Number;
    for (const std::string &Name : Names)
      Wave.Machines.emplace_back(Name);
    Wave.Length = seconds(60);
    this->Platform.requestWave(Wave);
  }

  std::string status() const {
    return this->Platform.store()
        .value("reported/wave/" + std::to_string(Number))
        .value_or("");
  }

  bool hasBegun(const std::string &Name) const {
    return this->Platform.hasBegunMaintenance(jobs::MachineName(Name), Number);
  }
};

} // namespace

TEST_CASE("a machine that is added to a completed wave gets its maintenance") {
  WaveFleet Fleet;
  Fleet.request({"m10"});
  Fleet.runFor(seconds(10));
  REQUIRE(Fleet.status() == "completed");

  // The new holder finds the status that the earlier one has written.
  if (GENERATE(false, true)) {
    const std::string Holder = Fleet.plannerOf("fleet");
    Fleet.killNode(Holder);
    Fleet.request({"m10", "m11"});
    Fleet.restartNode(Holder);
    for (int Tick = 0; Tick < 100 && Fleet.plannerOf("fleet").empty(); ++Tick)
      Fleet.runFor(milliseconds(100));
  } else {
    Fleet.request({"m10", "m11"});
  }
  Fleet.runFor(seconds(1));
  CHECK((Fleet.status() != "completed" || Fleet.hasBegun("m11")));
  Fleet.runFor(seconds(10));
  CHECK(Fleet.status() == "completed");
  CHECK(Fleet.hasBegun("m11"));
}

TEST_CASE("a machine that is added to an open wave gets its maintenance, also "
          "by a successor") {
  WaveFleet Fleet;
  Fleet.request({"m0", "m10"});
  Fleet.runFor(seconds(2));
  REQUIRE(Fleet.status() != "completed");
  Fleet.request({"m0", "m10", "m11"});
  Fleet.runFor(seconds(1));
  if (GENERATE(false, true)) {
    const std::string Holder = Fleet.plannerOf("fleet");
    REQUIRE_FALSE(Holder.empty());
    Fleet.killNode(Holder);
    Fleet.restartNode(Holder);
  }
  for (int Tick = 0; Tick < 300; ++Tick) {
    Fleet.runFor(milliseconds(100));
    if (Fleet.status() == "completed")
      CHECK((Fleet.hasBegun("m0") && Fleet.hasBegun("m10") &&
             Fleet.hasBegun("m11")));
  }
  CHECK(Fleet.status() == "completed");
}

TEST_CASE("a wave does not wait for machines that it no longer names") {
  WaveFleet Fleet;
  Fleet.request({"m10", "m11"});
  Fleet.runFor(seconds(1));
  REQUIRE(Fleet.status() != "completed");
  Fleet.request({"m10"});
  Fleet.runFor(seconds(15));
  CHECK(Fleet.status() == "completed");
  CHECK(Fleet.hasBegun("m10"));
  CHECK_FALSE(Fleet.hasBegun("m11"));
}
