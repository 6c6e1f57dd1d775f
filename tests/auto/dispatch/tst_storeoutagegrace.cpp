#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using simulation::StoreFaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Grace = seconds(4);
constexpr Duration Outage = milliseconds(4700);

jobs::StepSpec makeStep(size_t Count, Duration Estimate) {
  jobs::StepSpec Step;
  Step.Count = Count;
  Step.Need = {2000, 256, 0};
  Step.Estimate = Estimate;
  return Step;
}

/// A fleet whose holders go on for a while without the store.
class GraceFleet : public SimulatedFleet {
public:
  explicit GraceFleet(Duration Length = Grace, uint64_t Seed = 1)
      : GraceFleet(Length, Length, Seed) {}
  GraceFleet(Duration Length, Duration MachineLength, uint64_t Seed)
      : SimulatedFleet(Seed) {
    this->setStoreOutageGrace(Length);
    this->setMachineOrderGrace(MachineLength);
    this->startAll();
    jobs::JobSpec Slow;
    Slow.Steps = {makeStep(40, milliseconds(3500))};
    this->Platform.addTemplate("slow", Slow);
    jobs::JobSpec Growing;
    Growing.Steps = {makeStep(1, milliseconds(20200)),
                     makeStep(800, milliseconds(900))};
    Growing.Steps[1].Dependencies = {0};
    this->Platform.addTemplate("growing", Growing);
  }

  /// Gives the jobs of all queues enough time not to be late, and sets whether
  /// executors check admission.
  void relaxObjectives(bool CheckAdmission = true) {
    const jobs::PlatformCodec Codec = this->Platform.codec();
    const auto Text = this->Platform.store().value(Codec.ConfigurationKey);
    jobs::FleetConfiguration Newest =
        Codec.DecodeConfiguration(Text.value()).value();
    ++Newest.Version;
    for (jobs::Queue &Each : Newest.Queues)
      Each.Objective = seconds(30);
    for (jobs::ServicePolicy &Each : Newest.Services)
      Each.ExecutorsCheckAdmission = CheckAdmission;
    this->Platform.configure(Newest);
    this->runFor(seconds(1));
  }

  void submitMany(const char *Queue, const char *Template, size_t Count) {
    for (size_t Number = 0; Number < Count; ++Number)
      this->submit(Queue, Template);
  }

  void submitJobs(Duration Length) {
    constexpr Duration Pause = milliseconds(100);
    for (Duration Elapsed = Duration::zero(); Elapsed < Length;
         Elapsed += Pause) {
      const uint64_t Drawn = this->Source();
      this->submit(Drawn % 2 == 0 ? "quotes" : "payouts",
                   Drawn % 3 == 0 ? "chain" : "short");
      this->runFor(Pause);
    }
  }

  /// Runs for the time and returns how many tasks started in each half second.
  std::vector<size_t> countStarts(Duration Length) {
    std::vector<size_t> Counts;
    constexpr Duration Part = milliseconds(500);
    for (Duration Elapsed = Duration::zero(); Elapsed + Part <= Length;
         Elapsed += Part) {
      const size_t Before = this->Platform.runChecker().starts();
      this->runFor(Part);
      Counts.push_back(this->Platform.runChecker().starts() - Before);
    }
    return Counts;
  }

  void setStore(StoreFaultMode Mode) {
    this->Platform.store().setFaultModeForAll(Mode);
  }

  std::map<jobs::MachineName, ServiceName> pools() const {
    std::map<jobs::MachineName, ServiceName> Pools;
    for (const jobs::MachineInfo &Machine : this->Platform.machineList())
      Pools[Machine.Name] = Machine.Pool;
    return Pools;
  }

  /// Number of machines whose pool has changed since \p Before.
  size_t
  countMoved(const std::map<jobs::MachineName, ServiceName> &Before) const {
    size_t Moved = 0;
    for (const auto &[Name, Pool] : this->pools())
      Moved += Before.at(Name) != Pool ? 1 : 0;
    return Moved;
  }

  void checkSafety() {
    for (const std::string &Text : this->Platform.runChecker().violations())
      FAIL_CHECK(Text);
  }

  void finishAndCheck() {
    this->setStore(StoreFaultMode::Served);
    for (const std::string &Name : this->nodeNames()) {
      this->setCut(Name, false);
      this->restartNode(Name);
    }
    this->runFor(seconds(40));
    this->checkSafety();
    size_t NotCompleted = 0;
    for (const std::string &Path : this->Accepted)
      if (this->stateOf(Path) != "completed")
        ++NotCompleted;
    CHECK(NotCompleted == 0);
  }
};

std::string textOf(const std::vector<size_t> &Counts) {
  std::ostringstream Text;
  for (const size_t Count : Counts)
    Text << Count << " ";
  return Text.str();
}

/// The VM in "d1" that plans the service, or empty.
std::string plannerInD1(const SimulatedFleet &Fleet, const char *Service) {
  const std::string Planner = Fleet.plannerOf(Service);
  return Planner == "e2" ? std::string() : Planner;
}

} // namespace

// Guards against planners that stop 2 s after their last renewed lease although
// the store is away for all.
TEST_CASE("starts go on through an outage of the store that all VMs see") {
  const StoreFaultMode Mode =
      GENERATE(StoreFaultMode::Refused, StoreFaultMode::Silent,
               StoreFaultMode::AnswersLost);
  GraceFleet Fleet;
  Fleet.submitMany("quotes", "short", 250);
  Fleet.runFor(milliseconds(100));
  Fleet.setStore(Mode);
  const std::vector<size_t> Counts = Fleet.countStarts(Outage);
  INFO(textOf(Counts));
  for (size_t Part = 4; Part < Counts.size(); ++Part)
    CHECK(Counts[Part] > 0);
  Fleet.finishAndCheck();
}

// Guards against a change for those who did not ask for it.
TEST_CASE("without a grace, starts stop when the claim is over") {
  GraceFleet Fleet(Duration::zero());
  Fleet.submitMany("quotes", "short", 250);
  Fleet.runFor(milliseconds(100));
  Fleet.setStore(StoreFaultMode::Silent);
  const std::vector<size_t> Counts = Fleet.countStarts(Outage);
  INFO(textOf(Counts));
  for (size_t Part = 4; Part < Counts.size(); ++Part)
    CHECK(Counts[Part] == 0);
  Fleet.finishAndCheck();
}

// Guards against executors that are filled beyond their capacity because the
// planner does not hear that it has shrunk.
TEST_CASE("in the grace nothing starts where executors check no admission") {
  GraceFleet Fleet;
  Fleet.relaxObjectives(false);
  Fleet.submitMany("quotes", "short", 250);
  Fleet.runFor(milliseconds(100));
  Fleet.setStore(StoreFaultMode::Silent);
  const std::vector<size_t> Counts = Fleet.countStarts(Outage);
  INFO(textOf(Counts));
  for (size_t Part = 4; Part < Counts.size(); ++Part)
    CHECK(Counts[Part] == 0);
  Fleet.finishAndCheck();
}

// Guards against planners that stop because one data centre is cut off at the
// same time.
TEST_CASE("starts go on through an outage beside a data centre that is cut "
          "off") {
  GraceFleet Fleet;
  Fleet.submitMany("quotes", "short", 250);
  Fleet.runFor(milliseconds(100));
  Fleet.setCut("e2", true);
  for (const char *Name : {"e1", "e3"})
    Fleet.Platform.setCut(EntryName(Name), DataCentreName("d2"), true);
  Fleet.setStore(StoreFaultMode::Silent);
  const std::vector<size_t> Counts = Fleet.countStarts(Outage);
  INFO(textOf(Counts));
  for (size_t Part = 4; Part < Counts.size(); ++Part)
    CHECK(Counts[Part] > 0);
  for (const char *Name : {"e1", "e3"})
    Fleet.Platform.setCut(EntryName(Name), DataCentreName("d2"), false);
  Fleet.finishAndCheck();
}

// Guards against a pool that waits for machines until the store is back, and
// against steps that wait until the ends of the steps before are stored.
TEST_CASE("machines are moved during an outage of the store") {
  GraceFleet Fleet;
  Fleet.relaxObjectives();
  // The machines that the arrival of the jobs lets move are back in the spare
  // pool when the second step begins, 3 s after the store went away.
  Fleet.submitMany("quotes", "growing", 3);
  Fleet.runFor(milliseconds(17300));
  Fleet.setStore(StoreFaultMode::Silent);
  Fleet.runFor(milliseconds(2200));
  const auto Before = Fleet.pools();
  const size_t StartsBefore = Fleet.Platform.runChecker().starts();
  Fleet.runFor(Outage - milliseconds(2200));
  CHECK(Fleet.countMoved(Before) > 0);
  CHECK(Fleet.Platform.runChecker().starts() > StartsBefore);
  Fleet.finishAndCheck();
}

// Guards against a holder of the machines that goes on for as long as planners,
// although its successor waits only for its own, shorter grace.
TEST_CASE("no machine is moved in an outage without a grace for machines") {
  GraceFleet Fleet(Grace, Duration::zero(), 1);
  Fleet.relaxObjectives();
  Fleet.submitMany("quotes", "growing", 3);
  Fleet.runFor(milliseconds(17300));
  Fleet.setStore(StoreFaultMode::Silent);
  Fleet.runFor(milliseconds(2200));
  const auto Before = Fleet.pools();
  Fleet.runFor(Outage - milliseconds(2200));
  CHECK(Fleet.countMoved(Before) == 0);
  Fleet.finishAndCheck();
}

// Guards against a holder and its successor that both start a task, where each
// reaches executors that the other does not reach.
TEST_CASE("a holder that is cut off alone and its successor run no task "
          "twice") {
  const uint64_t Seed = GENERATE(range(1, 7));
  const bool IsLeaseEndedEarly = GENERATE(false, true);
  const bool IsSuccessorLimited = GENERATE(false, true);
  GraceFleet Fleet(Grace, Seed);
  Fleet.submitMany("quotes", "short", 60);
  Fleet.submitJobs(seconds(1));
  const std::string Planner = Fleet.plannerOf("quotes");
  const DataCentreName Own(Planner == "e2" ? "d2" : "d1");
  Fleet.setCut(Planner, true);
  for (const std::string &Name : Fleet.nodeNames())
    if (Name != Planner && IsSuccessorLimited)
      Fleet.Platform.setCut(EntryName(Name), Own, true);
  if (IsLeaseEndedEarly)
    Fleet.Platform.store().revokeLeases(EntryName(Planner));
  Fleet.submitJobs(seconds(8));
  for (const std::string &Name : Fleet.nodeNames())
    Fleet.Platform.setCut(EntryName(Name), Own, false);
  Fleet.submitJobs(seconds(2));
  Fleet.finishAndCheck();
}

// Guards against a holder in its grace that takes the leases of an executor as
// expired while its successor extends them.
TEST_CASE("leases are not taken as expired in the grace") {
  bool IsPlayed = false;
  for (uint64_t Seed = 1; Seed <= 6 && !IsPlayed; ++Seed) {
    GraceFleet Fleet(Grace, Seed);
    const std::string Planner = plannerInD1(Fleet, "quotes");
    if (Planner.empty())
      continue;
    IsPlayed = true;
    for (int Count = 0; Count < 6; ++Count)
      Fleet.submit("quotes", "lasting");
    Fleet.runFor(seconds(2));
    Fleet.Platform.setCut(EntryName(Planner), DataCentreName("d2"), true);
    Fleet.runFor(milliseconds(2600));
    Fleet.setCut(Planner, true);
    for (const std::string &Name : Fleet.nodeNames())
      if (Name != Planner)
        Fleet.Platform.setCut(EntryName(Name), DataCentreName("d1"), true);
    Fleet.runFor(seconds(15));
    Fleet.checkSafety();
  }
  CHECK(IsPlayed);
}

// Guards against a grace that has no end.
TEST_CASE("an outage longer than the grace stops the starts") {
  GraceFleet Fleet;
  Fleet.submitMany("quotes", "short", 400);
  Fleet.runFor(milliseconds(100));
  Fleet.setStore(StoreFaultMode::Silent);
  const std::vector<size_t> Counts = Fleet.countStarts(seconds(9));
  INFO(textOf(Counts));
  for (size_t Part = 12; Part < Counts.size(); ++Part)
    CHECK(Counts[Part] == 0);
  Fleet.finishAndCheck();
}

// Guards against holders that go on after the store has told them that their
// lease is over, and against two holders that order a machine.
TEST_CASE("the store ends leases early in the grace") {
  const uint64_t Seed = GENERATE(range(1, 7));
  GraceFleet Fleet(Grace, Seed);
  Fleet.submitMany("quotes", "short", 200);
  Fleet.submitMany("payouts", "slow", 1);
  Fleet.runFor(milliseconds(500));
  const std::string Holder = Fleet.plannerOf("fleet");
  Fleet.setCut(Holder, true);
  Fleet.runFor(milliseconds(100));
  Fleet.Platform.store().revokeLeases(EntryName(Holder));
  Fleet.submitJobs(seconds(4));
  Fleet.submitMany("payouts", "short", 200);
  Fleet.submitJobs(seconds(8));
  Fleet.finishAndCheck();
}

// Guards against a longer grace that delays the take-over of a killed planner.
TEST_CASE("a take-over after a kill takes as long with a grace as without") {
  const auto TakeOver = [](Duration Length) {
    GraceFleet Fleet(Length);
    Fleet.submitMany("quotes", "short", 250);
    Fleet.runFor(milliseconds(200));
    Fleet.killNode(Fleet.plannerOf("quotes"));
    Fleet.runFor(milliseconds(1000));
    const size_t Before = Fleet.Platform.runChecker().starts();
    Duration Taken = seconds(1);
    while (Fleet.Platform.runChecker().starts() == Before &&
           Taken < seconds(20)) {
      Fleet.runFor(milliseconds(10));
      Taken += milliseconds(10);
    }
    Fleet.finishAndCheck();
    return Taken;
  };
  const Duration Without = TakeOver(Duration::zero());
  const Duration With = TakeOver(Grace);
  INFO(toMilliseconds(Without) << " ms, " << toMilliseconds(With) << " ms");
  // The time to settle and to follow is drawn, by up to 0.5 s.
  CHECK(With <= Without + milliseconds(500));
}
