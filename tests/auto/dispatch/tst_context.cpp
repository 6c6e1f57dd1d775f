#include "context.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::dispatch::Internal;

// An answer of the store or of an executor that arrived after the event loop
// was gone was posted to it all the same.
TEST_CASE("an answer after the end of the loop is dropped") {
  using Answer = std::shared_ptr<int>;
  const auto Part = std::make_shared<int>(0);
  std::function<void(Answer)> Receive;
  {
    TimerQueue Loop(systemClock(), TimerThread::Caller);
    Receive = onLoop<int, Answer>(
        Loop, Part, [](int &Received, const Answer &) { ++Received; });
    Receive(std::make_shared<int>());
    CHECK(Loop.runNext());
    CHECK(*Part == 1);
  }
  const Answer Late = std::make_shared<int>();
  Receive(Late);
  CHECK(Late.use_count() == 1);
  CHECK(*Part == 1);
}
