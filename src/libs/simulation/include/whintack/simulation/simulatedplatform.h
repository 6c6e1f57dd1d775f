#ifndef WHINTACK_SIMULATION_SIMULATEDPLATFORM_H
#define WHINTACK_SIMULATION_SIMULATEDPLATFORM_H

#include "whintack/simulation/memorystore.h"
#include "whintack/simulation/runledger.h"

#include "whintack/base/random.h"
#include "whintack/jobs/gateways.h"

#include <memory>

namespace whintack::simulation {

/// A machine as it is set up.
struct MachineSetup {
  jobs::MachineName Name;
  ServiceName Pool;
  std::string Rack;
  DataCentreName DataCentre;
  jobs::Room Capacity;
};

/// Chances with which calls to executors go wrong.
struct CallTrouble {
  /// The call is carried out and not answered.
  double AnswerLost = 0;
  /// The call is carried out 1 to 6 s late and not answered.
  double CarriedOutLate = 0;
};

/// The users' platform in memory: store, machines with their executors, and
/// the words in which it speaks. It injects faults and checks with a ledger
/// what executors are told. Jobs are handed in by the name of a template.
/// Everything runs on the loop's thread. Gangs and paces are not simulated.
class SimulatedPlatform {
public:
  SimulatedPlatform(Clock Time, TimerQueue &Loop, Random Source);
  ~SimulatedPlatform();

  MemoryStore &store() { return this->Store; }
  const MemoryStore &store() const { return this->Store; }
  RunLedger &ledger() { return this->Ledger; }

  /// Puts a configuration in force.
  void configure(const jobs::FleetConfiguration &Newest);
  void addTemplate(const std::string &Name, const jobs::JobSpec &Spec);
  void addMachine(const MachineSetup &Setup);
  void requestWave(const jobs::WaveRequest &Wave);

  /// What an entry VM is connected to.
  jobs::ExecutorGateway executors(const EntryName &Vm);
  jobs::MachineGateway machines(const EntryName &Vm);
  jobs::PlatformWords words();

  /// The machine loses power, and comes back after \p DownFor.
  void crash(const jobs::MachineName &Machine, Duration DownFor);
  /// Cuts, or heals, the path between a VM and the machines of a data centre.
  void setCut(const EntryName &Vm, const DataCentreName &DataCentre,
              bool IsCut);
  void setTrouble(CallTrouble Trouble) { this->Trouble = Trouble; }
  /// Decides which runs fail by their own fault.
  void setFailures(std::function<bool(const jobs::TaskKey &, uint64_t)> Fails);

  std::vector<jobs::MachineName> machineNames() const;
  std::vector<jobs::MachineInfo> machineList() const;

private:
  class Machine;

  void join(const jobs::MachineName &Name);
  void leave(Machine &Of, jobs::MachineState Into, Duration For,
             const ServiceName &Pool);
  Machine *machineOf(const jobs::ExecutorId &Id);
  void carryOut(const EntryName &Vm, const jobs::ExecutorAddress &To,
                const std::function<void(Machine &, bool IsAnswered)> &Work);
  template <typename Answer>
  std::function<void(Answer)> answeredBy(TimePoint Deadline,
                                         std::function<void(Answer)> Done,
                                         const Answer &Silence);
  jobs::GatewayResult<void> order(const jobs::MachineOrderer &By, Machine &Of);

  Clock Time;
  TimerQueue &Loop;
  Random Source;
  MemoryStore Store;
  RunLedger Ledger;
  std::map<jobs::MachineName, std::unique_ptr<Machine>> Machines;
  std::map<std::string, jobs::JobSpec> Templates;
  std::map<uint64_t, jobs::FleetConfiguration> Configurations;
  std::map<uint64_t, jobs::WaveRequest> Waves;
  std::set<std::pair<EntryName, DataCentreName>> Cuts;
  CallTrouble Trouble;
  std::function<bool(const jobs::TaskKey &, uint64_t)> Fails;
  uint64_t LastExecutor = 0;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_SIMULATEDPLATFORM_H
