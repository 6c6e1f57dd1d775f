// Guards against a wave that is reported as completed although a machine has
// had no maintenance for it: an order gets no answer, and the list shows the
// machine in maintenance for another wave.

#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace whintack;
using namespace whintack::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What becomes of the orders of the second wave while there are faults.
enum class OrderFault { NotCarriedOut, AnswerLost };

constexpr std::array<uint64_t, 2> WaveNumbers = {1, 2};

/// A fleet of which two waves maintain the same machines. Orders of the second
/// wave get no answer for a while after the first maintenance has begun.
class WaveFleet : public SimulatedFleet {
public:
  WaveFleet(uint64_t Seed, OrderFault Fault)
      : SimulatedFleet(Seed), Fault(Fault) {
    this->WrapMachines = [this](jobs::MachineGateway Direct) {
      Direct.Maintain = [this, Maintain = Direct.Maintain](
                            const jobs::MachineOrderIssuer &By,
                            const jobs::MachineName &Machine, uint64_t Wave,
                            TimePoint Deadline,
                            const jobs::GatewayCallback<void> &Done) {
        this->handleOrder(By, Machine, Wave, Deadline, Done, Maintain);
      };
      return Direct;
    };
    this->startAll();
  }

  void requestWaves(const std::vector<jobs::MachineName> &Machines) {
    this->Machines = Machines;
    for (const uint64_t Number : WaveNumbers) {
      jobs::WaveRequest Wave;
      Wave.Number = Number;
      Wave.Machines = Machines;
      Wave.Length = seconds(60);
      this->Platform.requestWave(Wave);
    }
  }

  bool isCompleted(uint64_t Wave) const {
    return this->Platform.store().value("reported/wave/" +
                                        std::to_string(Wave)) == "completed";
  }

  void checkCompletedWaves() const {
    for (const uint64_t Wave : WaveNumbers)
      if (this->isCompleted(Wave))
        for (const jobs::MachineName &Machine : this->Machines) {
          INFO("wave " << Wave << ", machine " << Machine.text());
          CHECK(this->Platform.hasBegunMaintenance(Machine, Wave));
        }
  }

  size_t unansweredOrders() const { return this->UnansweredOrders; }

private:
  void handleOrder(const jobs::MachineOrderIssuer &By,
                   const jobs::MachineName &Machine, uint64_t Wave,
                   TimePoint Deadline, const jobs::GatewayCallback<void> &Done,
                   const decltype(jobs::MachineGateway::Maintain) &Maintain) {
    const TimePoint Now = this->Loop.Time.now();
    if (this->FaultsUntil == TimePoint::max() && Wave == WaveNumbers[0])
      this->FaultsUntil = Now + seconds(2);
    const bool IsFaulty = Wave == WaveNumbers[1] &&
                          this->FaultsUntil != TimePoint::max() &&
                          Now < this->FaultsUntil;
    if (!IsFaulty) {
      Maintain(By, Machine, Wave, Deadline, Done);
      return;
    }
    ++this->UnansweredOrders;
    if (this->Fault == OrderFault::AnswerLost)
      Maintain(By, Machine, Wave, Deadline,
               [](const jobs::GatewayResult<void> &) {});
    this->Loop.Queue.schedule(Now + milliseconds(50), [Done] {
      Done(failure(jobs::GatewayError{jobs::GatewayErrorCode::NoAnswer,
                                      "the connection was reset"}));
    });
  }

  OrderFault Fault;
  std::vector<jobs::MachineName> Machines;
  TimePoint FaultsUntil = TimePoint::max();
  size_t UnansweredOrders = 0;
};

} // namespace

TEST_CASE("a wave does not count the maintenance of another wave") {
  const auto Fault =
      GENERATE(OrderFault::NotCarriedOut, OrderFault::AnswerLost);
  const bool AreSpare = GENERATE(true, false);
  WaveFleet Fleet(GENERATE(1, 2, 3), Fault);
  Fleet.requestWaves(
      AreSpare ? std::vector{jobs::MachineName("m10"), jobs::MachineName("m11")}
               : std::vector{jobs::MachineName("m0"), jobs::MachineName("m1"),
                             jobs::MachineName("m6")});
  for (int Tick = 0; Tick < 400; ++Tick) {
    Fleet.runFor(milliseconds(100));
    Fleet.checkCompletedWaves();
  }
  for (const uint64_t Wave : WaveNumbers)
    CHECK(Fleet.isCompleted(Wave));
  for (const std::string &Text : Fleet.Platform.runChecker().violations())
    FAIL_CHECK(Text);
  CHECK(Fleet.unansweredOrders() > 0);
}
