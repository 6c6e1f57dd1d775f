#include "loadmonitor.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

static jobs::DecisionLog countInto(size_t &Lines) {
  return
      [&Lines](std::string_view, std::initializer_list<LogField>) { ++Lines; };
}

TEST_CASE("a VM is reported as saturated by its own share of a core") {
  size_t Lines = 0;
  Duration Used = Duration::zero();
  ProcessorMonitor Monitor(
      0.5, [&Used] { return Used; }, countInto(Lines));
  TimePoint Now = TimePoint(seconds(5));
  Monitor.update(Now);
  const auto Pass = [&](Duration Length, Duration Use) {
    Used += Use;
    Now += Length;
    Monitor.update(Now);
  };
  Pass(seconds(1), milliseconds(300));
  CHECK(Lines == 0);
  Pass(seconds(1), milliseconds(450));
  CHECK(Lines == 1);
  // Two looks within a second are one.
  Pass(milliseconds(500), milliseconds(250));
  CHECK(Lines == 1);
  Pass(milliseconds(500), milliseconds(250));
  CHECK(Lines == 2);
}

TEST_CASE("a VM whose processor time is not known is not reported") {
  size_t Lines = 0;
  ProcessorMonitor Monitor(0.1, nullptr, countInto(Lines));
  for (int Second = 0; Second < 3; ++Second)
    Monitor.update(TimePoint(seconds(Second)));
  CHECK(Lines == 0);
}

TEST_CASE("slow orders are reported once a second, fast ones never") {
  size_t Lines = 0;
  OrderMonitor Monitor(ServiceName("quotes"), countInto(Lines));
  const TimePoint Start = TimePoint(seconds(5));
  Monitor.noteAnswered(Start, Start, Start + milliseconds(20));
  CHECK(Lines == 0);
  for (int Count = 0; Count < 10; ++Count)
    Monitor.noteAnswered(Start, Start + milliseconds(300),
                         Start + milliseconds(400));
  CHECK(Lines == 0);
  Monitor.noteAnswered(Start, Start, Start + milliseconds(1100));
  CHECK(Lines == 1);
}
