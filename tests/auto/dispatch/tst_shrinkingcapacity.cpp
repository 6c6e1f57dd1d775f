#include "busyfleet.h"

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet whose executors of "payouts", which admit everything, are kept busy.
class BusyPayouts : public BusyFleet {
public:
  BusyPayouts() : BusyFleet("payouts", milliseconds(60)) {}

  void setCapacities(int64_t MilliCores) {
    for (const jobs::MachineName &Name : this->Platform.machineNames())
      this->Platform.setCapacity(Name, {MilliCores, 64000, 0});
  }

  /// Loses the watches of the list of executors, on each path.
  void loseListWatches(unsigned Calls) {
    for (const std::string &Name : this->nodeNames())
      this->Platform.store().loseWatches(EntryName(Name), "executors/", Calls);
  }
};

} // namespace

// Guards against starts on an executor whose capacity has shrunk below what
// runs there.
TEST_CASE("no task starts on an executor that has less left than what runs") {
  BusyPayouts Fleet;
  Fleet.submitJobs(seconds(2));
  Fleet.setCapacities(4000);
  Fleet.submitJobs(seconds(6));
  Fleet.setCapacities(16000);
  Fleet.submitJobs(seconds(2));
  Fleet.finishAndCheck();
}

// Guards against starts on a list of executors of unknown age, when nothing but
// that list cannot be read.
TEST_CASE("no task starts on a capacity that is out of date") {
  BusyPayouts Fleet;
  Fleet.submitJobs(seconds(1));
  Fleet.loseListWatches(100);
  Fleet.setCapacities(4000);
  Fleet.submitJobs(seconds(8));
  Fleet.loseListWatches(0);
  Fleet.setCapacities(16000);
  Fleet.finishAndCheck();
}
