#include "whintack/simulation/examplefleet.h"

namespace whintack::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

static jobs::StepSpec makeStep(size_t Count, int64_t MilliCores,
                               Duration Estimate) {
  jobs::StepSpec Step;
  Step.Count = Count;
  Step.Need = {MilliCores, 256, 0};
  Step.Estimate = Estimate;
  return Step;
}

jobs::FleetConfiguration exampleConfiguration(uint64_t Version) {
  jobs::FleetConfiguration Configuration;
  Configuration.Version = Version;
  for (const char *Name : {"quotes", "payouts"}) {
    jobs::Queue Queue;
    Queue.Name = Name;
    Queue.Host = ExampleHost;
    Queue.Prefix = std::string("/") + Name + "/";
    Queue.Service = ServiceName(Name);
    Queue.MaxAttempts = ExampleMaxAttempts;
    Queue.Stretch = 2;
    Queue.Objective = milliseconds(600);
    Configuration.Queues.push_back(std::move(Queue));
    jobs::ServicePolicy Service;
    Service.Name = ServiceName(Name);
    Service.ExecutorsCheckAdmission = std::string(Name) == "quotes";
    Configuration.Services.push_back(std::move(Service));
  }
  jobs::ServicePolicy Spare;
  Spare.Name = ServiceName("spare");
  Spare.IsSpare = true;
  Configuration.Services.push_back(std::move(Spare));
  return Configuration;
}

std::vector<tenants::Tenant> exampleTenants() {
  std::vector<tenants::Tenant> Tenants;
  for (const std::string Name : {"alder", "birch"}) {
    tenants::Tenant Each;
    Each.Name = TenantName(Name);
    Each.Keys = {Name + "-key"};
    Tenants.push_back(std::move(Each));
  }
  return Tenants;
}

void addExampleFleet(SimulatedPlatform &Platform) {
  Platform.configure(exampleConfiguration(1));
  jobs::JobSpec Short;
  Short.Steps = {makeStep(4, 2000, milliseconds(400))};
  Platform.addTemplate("short", Short);
  jobs::JobSpec Chain;
  Chain.Steps = {makeStep(3, 2000, milliseconds(300)),
                 makeStep(2, 4000, milliseconds(500))};
  Chain.Steps[1].Dependencies = {0};
  Chain.Steps[1].IsCheckpointing = true;
  Platform.addTemplate("chain", Chain);
  jobs::JobSpec Lasting;
  Lasting.Steps = {makeStep(3, 1000, seconds(1))};
  Lasting.Steps[0].IsLongRunning = true;
  Platform.addTemplate("lasting", Lasting);
  for (int Number = 0; Number < 12; ++Number) {
    MachineSetup Machine;
    Machine.Name = jobs::MachineName("m" + std::to_string(Number));
    Machine.Pool = ServiceName(Number < 5    ? "quotes"
                               : Number < 10 ? "payouts"
                                             : "spare");
    Machine.Rack = "r" + std::to_string(Number % 4);
    Machine.DataCentre = DataCentreName(Number % 2 == 0 ? "d1" : "d2");
    Machine.Capacity = {16000, 64000, 0};
    Platform.addMachine(Machine);
  }
}

} // namespace whintack::simulation
