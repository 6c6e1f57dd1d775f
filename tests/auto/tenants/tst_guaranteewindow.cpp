#include "whintack/tenants/guaranteewindow.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tenants;
using std::chrono::milliseconds;

static TimePoint at(int64_t Milliseconds) {
  return TimePoint(milliseconds(100'000 + Milliseconds));
}

TEST_CASE("jobs beyond the weight within one second have no guarantee") {
  GuaranteeWindow Window;
  CHECK(Window.admit(at(0), 2));
  CHECK(Window.admit(at(500), 2));
  CHECK_FALSE(Window.admit(at(999), 2));
  CHECK(Window.admit(at(1000), 2));
  CHECK_FALSE(Window.admit(at(1499), 2));
  CHECK(Window.admit(at(1500), 2));
}

// Guards against a tenant that loses the guarantee for all jobs because it
// submits too many all the time.
TEST_CASE("a tenant with ten times its weight keeps the guarantee for its "
          "weight") {
  GuaranteeWindow Window;
  int Admitted = 0;
  for (int Time = 0; Time < 10'000; Time += 20)
    Admitted += Window.admit(at(Time), 5) ? 1 : 0;
  CHECK(Admitted == 50);
}

// Guards against extra guarantees after a take-over, which restores jobs in the
// order of their names.
TEST_CASE("the order in which jobs are passed grants no more than the weight") {
  GuaranteeWindow Window;
  CHECK(Window.admit(at(900), 2));
  CHECK(Window.admit(at(1500), 2));
  // Would be the third within (500, 1500].
  CHECK_FALSE(Window.admit(at(600), 2));
  CHECK(Window.admit(at(400), 2));
  CHECK_FALSE(Window.admit(at(450), 2));
}

TEST_CASE("a weight below one admits one job per second, and 0 none") {
  GuaranteeWindow Window;
  CHECK(Window.admit(at(0), 0.5));
  CHECK_FALSE(Window.admit(at(100), 0.5));
  CHECK(Window.admit(at(1000), 0.5));
  CHECK_FALSE(Window.admit(at(9000), 0));
}
