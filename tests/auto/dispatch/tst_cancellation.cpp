#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Ok = 200;

/// A fleet whose VMs can cancel many jobs at once.
class CancellingFleet : public SimulatedFleet {
public:
  CancellingFleet() { this->startAll(); }

  std::vector<std::string> submitMany(size_t Count, const char *Template) {
    std::vector<std::string> Paths;
    for (size_t Index = 0; Index < Count; ++Index)
      Paths.push_back(this->submit("quotes", Template));
    return Paths;
  }

  void killAll() {
    for (const std::string &Name : this->nodeNames())
      this->killNode(Name);
  }

  void restartAll() {
    for (const std::string &Name : this->nodeNames())
      this->restartNode(Name);
  }

  /// Cancels the jobs at \p Node and returns how many cancellations it
  /// acknowledged within \p Length.
  size_t cancelAt(const std::string &Node, const std::vector<std::string> &Jobs,
                  Duration Length) {
    std::map<std::string, std::shared_ptr<ClientAnswer>> Answers;
    for (const std::string &Path : Jobs)
      Answers[Path] = this->send(Node, "DELETE", Path);
    this->runFor(Length);
    size_t Acknowledged = 0;
    for (const auto &[Path, Answer] : Answers)
      if (Answer->Status == Ok) {
        ++Acknowledged;
        this->Cancelled.insert(Path);
        this->Platform.runChecker().noteCancelled(
            jobs::JobId(Path.substr(Path.rfind('/') + 1)),
            this->Loop.Time.now());
      }
    return Acknowledged;
  }

  std::string nodeBeside(const std::string &Planner) const {
    for (const std::string &Name : this->nodeNames())
      if (Name != Planner)
        return Name;
    return {};
  }

  void checkViolations() {
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
  }
};

} // namespace

// Guards against a planner that starts tasks of a cancelled job because its
// watch of the cancellations in the store has failed for seconds (issue 20).
TEST_CASE("a planner that cannot read new cancellations starts nothing") {
  CancellingFleet Fleet;
  const std::string Job = Fleet.submit("quotes", "lasting");
  Fleet.runFor(seconds(4));
  REQUIRE(Fleet.stateOf(Job) == "running");
  const std::string Planner = Fleet.plannerOf("quotes");
  Fleet.breakWatches(Planner);
  // A watch call that is open is still answered.
  Fleet.runFor(seconds(2));
  REQUIRE(Fleet.cancelAt(Fleet.nodeBeside(Planner), {Job}, seconds(2)) == 1);
  Fleet.runFor(seconds(3));
  // Its tasks would be started again on the machines that are left.
  for (const char *Machine : {"m0", "m1", "m2"})
    Fleet.Platform.crash(jobs::MachineName(Machine), seconds(30));
  Fleet.runFor(seconds(15));
  CHECK(Fleet.plannerOf("quotes") == Planner);
  Fleet.checkViolations();
}
