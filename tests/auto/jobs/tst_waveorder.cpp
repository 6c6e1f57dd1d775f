// Guards against waves that take machines in use while others stand idle, and
// more of them at once than the end of the wave requires: half of a fleet may
// be due while a queue asks for all the room there is.

#include "whintack/jobs/wavescheduler.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::jobs;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Since) { return TimePoint(1000s) + Since; }

/// Machines of which the first ones, by name, are in use.
class WaveFixture {
public:
  WaveFixture(int InUse, int Unused) {
    this->add("a", ServiceName("busy"), InUse);
    this->add("z", ServiceName("spare"), Unused);
  }

  WaveScheduler scheduler(Duration Length, size_t MaxConcurrent) const {
    WaveRequest Request;
    Request.MaxConcurrent = MaxConcurrent;
    for (const MachineInfo &Each : this->Machines)
      Request.Machines.push_back(Each.Name);
    WaveScheduler Scheduler(Request, at(Length), {});
    Scheduler.noteMachines(this->Machines, at(0s));
    return Scheduler;
  }

  static MachineUse useOf(const MachineInfo &Machine) {
    return Machine.Pool == ServiceName("spare") ? MachineUse::Unused
                                                : MachineUse::Busy;
  }

private:
  void add(const std::string &Prefix, const ServiceName &Pool, int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      MachineInfo Info;
      Info.Name = MachineName(Prefix + std::to_string(Number));
      Info.Pool = Pool;
      Info.State = MachineState::Up;
      Info.Executor = ExecutorId("e-" + Info.Name.text());
      this->Machines.push_back(Info);
    }
  }

  std::vector<MachineInfo> Machines;
};

} // namespace

TEST_CASE("a wave begins with the machines that nobody uses") {
  const WaveFixture Fixture(40, 10);
  WaveScheduler Scheduler = Fixture.scheduler(30s, 10);
  const auto First = Scheduler.machinesToEvacuate(at(0s), WaveFixture::useOf);
  CHECK(First.size() == 10);
  for (const MachineInfo &Each : First)
    CHECK(WaveFixture::useOf(Each) == MachineUse::Unused);
}

TEST_CASE("a wave takes no more machines in use than its end requires") {
  const WaveFixture Fixture(40, 0);
  WaveScheduler Scheduler = Fixture.scheduler(60s, 30);
  // 40 machines of 5.5 s each within 60 s.
  CHECK(Scheduler.machinesToEvacuate(at(0s), WaveFixture::useOf).size() == 4);
  // None has been ordered yet, and the same work remains for half the time.
  CHECK(Scheduler.machinesToEvacuate(at(30s), WaveFixture::useOf).size() == 8);
  // Near the end all that the request allows are taken.
  CHECK(Scheduler.machinesToEvacuate(at(56s), WaveFixture::useOf).size() == 30);
}
