#include "manualclock.h"
#include "storebacklogmonitor.h"

#include <catch2/catch.hpp>

#include <map>

using namespace whintack;
using namespace whintack::tests;
using namespace whintack::dispatch::Internal;

namespace {

/// A monitor, and the lines that it logs.
class MonitorFixture {
public:
  /// Advances the time and passes on a backlog whose oldest change has the
  /// given age.
  void update(Duration OldestAge) {
    this->Time.advance(std::chrono::milliseconds(100));
    BacklogSample Current;
    Current.IsClaimValid = true;
    Current.Planned.Jobs = 3;
    Current.Planned.OldestChangeAt = this->Time.now() - OldestAge;
    this->Monitor.update(Current, this->Time.now());
  }

  void updateCaughtUp() {
    this->Time.advance(std::chrono::milliseconds(100));
    this->Monitor.update({}, this->Time.now());
  }

  ManualClock Time;
  std::vector<std::map<std::string, std::string>> Lines;
  StoreBacklogMonitor Monitor{
      ServiceName("payouts"),
      [this](std::string_view, std::initializer_list<LogField> Fields) {
        auto &Line = this->Lines.emplace_back();
        for (const LogField &Field : Fields)
          Line[Field.Key] = Field.Value;
      }};
};

} // namespace

// Guards against a lag of the store that nobody can see in the log.
TEST_CASE("a lag of the store is logged once a second and when it ends") {
  MonitorFixture Fixture;
  for (int Count = 0; Count < 15; ++Count)
    Fixture.update(std::chrono::milliseconds(300));
  REQUIRE(Fixture.Lines.size() == 2);
  CHECK(Fixture.Lines[0]["state"] == "behind");
  CHECK(Fixture.Lines[0]["oldest-ms"] == "300");
  CHECK(Fixture.Lines[0]["claim"] == "valid");
  CHECK(Fixture.Lines[0]["jobs"] == "3");
  Fixture.updateCaughtUp();
  REQUIRE(Fixture.Lines.size() == 3);
  CHECK(Fixture.Lines[2]["state"] == "ended");
  CHECK(Fixture.Lines[2]["oldest-ms"] == "0");
}

// Guards against a line for each write of a service that keeps up.
TEST_CASE("changes that are stored in time are not logged") {
  MonitorFixture Fixture;
  for (int Count = 0; Count < 30; ++Count)
    Fixture.update(std::chrono::milliseconds(250));
  Fixture.updateCaughtUp();
  CHECK(Fixture.Lines.empty());
}

// Guards against a flood of lines while the lag is about as large as the
// threshold.
TEST_CASE("a lag that comes and goes is logged at most once a second") {
  MonitorFixture Fixture;
  for (int Count = 0; Count < 20; ++Count) {
    Fixture.update(std::chrono::milliseconds(300));
    Fixture.updateCaughtUp();
  }
  // Four seconds, each with a line for the lag and one for its end.
  CHECK(Fixture.Lines.size() == 8);
}
