#include "whintack/simulation/simulatedplatform.h"

#include "simulatedplatform_p.h"

#include <algorithm>

namespace whintack::simulation {

using jobs::GatewayError;
using jobs::GatewayErrorCode;
using jobs::MachineState;
using namespace Internal;

static constexpr Duration MoveTime = std::chrono::milliseconds(1500);
static constexpr Duration MaintenanceTime = std::chrono::seconds(2);
/// A holder must not give orders to a machine within this time after another
/// holder's order.
static constexpr Duration MinHolderChangeInterval = std::chrono::seconds(3);

bool SimulatedPlatform::hasBegunMaintenance(const jobs::MachineName &Machine,
                                            uint64_t Wave) const {
  return this->Machines.at(Machine)->BegunWaves.contains(Wave);
}

/// Reports a violation if the orderer is fenced or follows another holder too
/// soon, and fails if the machine is not up.
jobs::GatewayResult<void>
SimulatedPlatform::admitOrder(const jobs::MachineOrderIssuer &By,
                              Machine &Target) {
  const TimePoint Now = this->Time.Now();
  const std::string Name = Target.Setup.Name.text();
  if (By.Token < Target.HighestToken)
    this->Checker.noteViolation(
        "a lower fencing token after a higher one for " + Name);
  if (!Target.LastHolder.empty() && Target.LastHolder != By.Holder &&
      Now < Target.LastOrder + MinHolderChangeInterval)
    this->Checker.noteViolation("two holders gave orders within 3 s to " +
                                Name);
  Target.HighestToken = std::max(Target.HighestToken, By.Token);
  Target.LastHolder = By.Holder;
  Target.LastOrder = Now;
  if (Target.State != MachineState::Up)
    return failure(GatewayError{GatewayErrorCode::Busy, "it is not up"});
  return success();
}

jobs::MachineGateway SimulatedPlatform::machines(const EntryName &) {
  const auto After = [this](std::function<void()> Call) {
    this->Loop.schedule(this->Time.Now() + 2 * NetworkDelay, std::move(Call));
  };
  jobs::MachineGateway Gateway;
  Gateway.List =
      [this,
       After](TimePoint,
              jobs::GatewayCallback<std::vector<jobs::MachineInfo>> Done) {
        After([this, Done = std::move(Done)] { Done(this->machineList()); });
      };
  Gateway.Move = [this, After](const jobs::MachineOrderIssuer &By,
                               const jobs::MachineName &Name,
                               const ServiceName &Pool, TimePoint,
                               const jobs::GatewayCallback<void> &Done) {
    After([=, this] {
      Machine &Target = *this->Machines.at(Name);
      if (Target.State == MachineState::Up && Target.Setup.Pool == Pool) {
        Done(success());
        return;
      }
      const auto Checked = this->admitOrder(By, Target);
      if (Checked)
        this->takeDown(Target, MachineState::Moving, MoveTime, Pool);
      Done(Checked);
    });
  };
  Gateway.Maintain = [this, After](const jobs::MachineOrderIssuer &By,
                                   const jobs::MachineName &Name, uint64_t Wave,
                                   TimePoint,
                                   const jobs::GatewayCallback<void> &Done) {
    After([=, this] {
      Machine &Target = *this->Machines.at(Name);
      if (Target.BegunWaves.contains(Wave)) {
        Done(success());
        return;
      }
      const auto Checked = this->admitOrder(By, Target);
      if (Checked) {
        const auto Down = static_cast<size_t>(std::count_if(
            this->Machines.begin(), this->Machines.end(),
            [Wave](const auto &Entry) {
              return Entry.second->State == MachineState::Maintenance &&
                     Entry.second->LastWave == Wave;
            }));
        Target.BegunWaves.insert(Wave);
        Target.LastWave = Wave;
        if (Down >= this->Waves.at(Wave).MaxConcurrent)
          this->Checker.noteViolation(
              "more machines of a wave are in maintenance than it allows");
        this->takeDown(Target, MachineState::Maintenance, MaintenanceTime,
                       Target.Setup.Pool);
      }
      Done(Checked);
    });
  };
  return Gateway;
}

} // namespace whintack::simulation
