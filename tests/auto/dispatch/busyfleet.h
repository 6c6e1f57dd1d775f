#ifndef WHINTACK_TESTS_BUSYFLEET_H
#define WHINTACK_TESTS_BUSYFLEET_H

#include "simulatedfleet.h"

#include <catch2/catch.hpp>

namespace whintack::tests {

/// A fleet of which one queue is kept busy with short jobs.
class BusyFleet : public SimulatedFleet {
public:
  /// \p Pause is the time between two jobs.
  BusyFleet(std::string Queue, Duration Pause, uint64_t Seed = 1)
      : SimulatedFleet(Seed), Queue(std::move(Queue)), Pause(Pause) {
    this->startAll();
  }

  /// Submits jobs for \p Length.
  void submitJobs(Duration Length) {
    for (Duration Elapsed = Duration::zero(); Elapsed < Length;
         Elapsed += this->Pause) {
      this->submit(this->Queue, "short");
      this->runFor(this->Pause);
    }
  }

  /// Kills the planner of the busy queue, and starts the VM again at once.
  void replacePlanner() {
    const std::string Planner = this->plannerOf(this->Queue);
    if (Planner.empty())
      return;
    this->killNode(Planner);
    this->restartNode(Planner);
  }

  /// Lets everything end and checks the guarantees of the product. The jobs in
  /// \p Failing must have failed, and all others must be completed; those for
  /// which \p MayHaveFailed is true may have failed instead.
  void finishAndCheck(const std::set<std::string> &Failing = {},
                      const std::function<bool(const std::string &Path)>
                          &MayHaveFailed = nullptr) {
    this->runFor(std::chrono::seconds(30));
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
    for (const std::string &Path : this->Accepted) {
      INFO(Path);
      const std::string State = this->stateOf(Path);
      if (State == "failed" && MayHaveFailed && MayHaveFailed(Path))
        continue;
      CHECK(State == (Failing.contains(Path) ? "failed" : "completed"));
    }
  }

private:
  std::string Queue;
  Duration Pause;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_BUSYFLEET_H
