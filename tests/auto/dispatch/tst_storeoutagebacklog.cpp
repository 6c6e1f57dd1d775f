#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

jobs::StepSpec makeStep(size_t Count, Duration Estimate) {
  jobs::StepSpec Step;
  Step.Count = Count;
  Step.Need = {2000, 256, 0};
  Step.Estimate = Estimate;
  return Step;
}

} // namespace

// Guards against a commit without an answer that is carried out after a later
// commit of the same job and undoes it: the next planner then starts tasks
// again whose ends were acknowledged.
TEST_CASE("a commit that is carried out late undoes no later progress") {
  SimulatedFleet Fleet;
  Fleet.startAll();
  jobs::JobSpec Chain;
  Chain.Steps = {makeStep(1, milliseconds(300)), makeStep(1, milliseconds(300)),
                 makeStep(1, seconds(20))};
  Chain.Steps[1].Dependencies = {0};
  Chain.Steps[2].Dependencies = {1};
  Fleet.Platform.addTemplate("three-steps", Chain);
  const std::string Planner = Fleet.plannerOf("quotes");
  const std::string Other = Planner == "e1" ? "e2" : "e1";
  auto Spec = Fleet.Platform.codec().DecodeJob(jobs::JobId("1000000000000001"),
                                               "three-steps");
  Fleet.Platform.runChecker().noteSubmitted(Spec.value(), 3);
  const auto Answer =
      Fleet.send(Other, "POST", "/quotes/1000000000000001", "three-steps");
  Fleet.runFor(milliseconds(200));
  constexpr int Ok = 200;
  REQUIRE(Answer->Status == Ok);

  // The end of the first step is committed late, that of the second in time.
  bool IsFirst = true;
  Fleet.setCommitFaults(Planner, [&IsFirst] {
    return std::exchange(IsFirst, false) ? CommitFault::CarriedOutLate
                                         : CommitFault::None;
  });
  Fleet.runFor(seconds(6));
  REQUIRE_FALSE(IsFirst);
  REQUIRE(Fleet.Platform.runChecker().starts() == 3);
  Fleet.killNode(Planner);
  Fleet.runFor(seconds(12));
  REQUIRE(Fleet.plannerOf("quotes") != Planner);
  CHECK(Fleet.Platform.runChecker().starts() == 3);
  for (const std::string &Violation : Fleet.Platform.runChecker().violations())
    FAIL_CHECK(Violation);
}
