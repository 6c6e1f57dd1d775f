#include "busyfleet.h"

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A busy fleet in which the first task of some jobs crashes each executor that
/// starts it.
class CrashingFleet : public BusyFleet {
public:
  CrashingFleet() : BusyFleet("quotes", milliseconds(100)) {
    this->Platform.setCrashingTasks([this](const jobs::TaskKey &Task) {
      return this->Crashing.contains(Task.Step.Job) && Task.Index == 0;
    });
  }

  /// Submits a job whose first task crashes its executors.
  std::string submitCrashingJob() {
    const std::string Path = this->submit("quotes", "short");
    this->Crashing.insert(jobs::JobId(Path.substr(Path.rfind('/') + 1)));
    this->CrashingPaths.insert(Path);
    return Path;
  }

  void finishAndCheck() {
    this->BusyFleet::finishAndCheck(this->CrashingPaths);
  }

private:
  std::set<jobs::JobId> Crashing;
  std::set<std::string> CrashingPaths;
};

} // namespace

// Guards against a task that crashes its executor being started on one executor
// after the other without a bound.
TEST_CASE("a task that crashes its executors is given up, and only its job") {
  CrashingFleet Fleet;
  Fleet.submitJobs(seconds(2));
  Fleet.submitCrashingJob();
  Fleet.submitJobs(seconds(4));
  Fleet.finishAndCheck();
  CHECK(Fleet.Platform.runChecker().crashes() == 3);
}

// Guards against a count of crashes that is lost with the planner.
TEST_CASE("a task that crashes its executors is given up across take-overs") {
  CrashingFleet Fleet;
  Fleet.submitJobs(seconds(1));
  Fleet.submitCrashingJob();
  for (int Count = 0; Count < 4; ++Count) {
    Fleet.submitJobs(milliseconds(400));
    Fleet.replacePlanner();
    Fleet.submitJobs(seconds(6));
  }
  Fleet.finishAndCheck();
}

// Guards against a pool that stays down because many tasks crash its executors.
TEST_CASE("several jobs that crash executors do not take their pool along") {
  CrashingFleet Fleet;
  for (int Count = 0; Count < 4; ++Count) {
    Fleet.submitCrashingJob();
    Fleet.submitJobs(seconds(1));
  }
  Fleet.finishAndCheck();
  CHECK(Fleet.Platform.runChecker().crashes() <= 4 * 3);
}

// Guards against a job that is given up because its executors crash for other
// reasons.
TEST_CASE("jobs whose executors crash by themselves are not given up") {
  CrashingFleet Fleet;
  for (int Count = 0; Count < 20; ++Count) {
    Fleet.submitJobs(milliseconds(300));
    const auto Names = Fleet.Platform.machineNames();
    Fleet.Platform.crashExecutor(Names[Fleet.source()() % Names.size()],
                                 seconds(1));
  }
  Fleet.finishAndCheck();
}
