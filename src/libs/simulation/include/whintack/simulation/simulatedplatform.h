#ifndef WHINTACK_SIMULATION_SIMULATEDPLATFORM_H
#define WHINTACK_SIMULATION_SIMULATEDPLATFORM_H

#include "whintack/simulation/memorystore.h"
#include "whintack/simulation/runchecker.h"

#include "whintack/base/random.h"
#include "whintack/jobs/gateways.h"

#include <memory>
#include <optional>

namespace whintack::simulation {

/// Initial properties of a simulated machine.
struct MachineSetup {
  jobs::MachineName Name;
  ServiceName Pool;
  std::string Rack;
  DataCentreName DataCentre;
  jobs::ComputeResources Capacity;
};

/// How an executor ends and starts again under its id.
struct ExecutorRestart {
  /// Time from its end to the start of the next incarnation.
  Duration DownFor = Duration::zero();
  /// Its connections are reset and further ones refused, as at the end of a
  /// process; otherwise it is silent, as after a loss of power.
  bool ResetsConnections = true;
  /// Time from the start of the next incarnation until it writes its entry in
  /// the list of executors. Until then the earlier entry stays, if it does not
  /// expire.
  Duration RegistersAfter = Duration::zero();
  /// Capacity of the next incarnation; not set if it stays.
  std::optional<jobs::ComputeResources> Capacity;
  /// The next incarnation tells a lower value, as after its clock was set.
  bool IsClockSetBack = false;
};

/// Probabilities, 0 to 1, of faults in calls to executors.
struct CallFaults {
  /// The call is carried out, but its answer is lost.
  double AnswerLossProbability = 0;
  /// The call is carried out 1 to 6 s late, and its answer is lost.
  double LateCallProbability = 0;
};

/// In-memory simulation of the users' platform: its store, its machines with
/// their executors, and its message formats. It injects faults, and checks the
/// calls to executors with a RunChecker. Clients submit a job by the name of a
/// template. Everything runs on the thread of the timer queue \p Loop. Gangs
/// and the effect of a pace on run times are not simulated.
class SimulatedPlatform {
public:
  SimulatedPlatform(Clock Time, TimerQueue &Loop, Random Source);
  ~SimulatedPlatform();

  MemoryStore &store() { return this->Store; }
  const MemoryStore &store() const { return this->Store; }
  RunChecker &runChecker() { return this->Checker; }

  /// Makes \p Newest the current configuration.
  void configure(const jobs::FleetConfiguration &Newest);
  void addTemplate(const std::string &Name, const jobs::JobSpec &Spec);
  void addMachine(const MachineSetup &Setup);
  void requestWave(const jobs::WaveRequest &Wave);
  /// Whether the machine's maintenance for the wave has begun.
  bool hasBegunMaintenance(const jobs::MachineName &Machine,
                           uint64_t Wave) const;

  /// The calls to executors, those to machines, and the message formats, as an
  /// entry VM is given them.
  jobs::ExecutorGateway executors(const EntryName &Vm);
  jobs::MachineGateway machines(const EntryName &Vm);
  jobs::PlatformCodec codec();

  /// Lets the machine lose power; it comes back after \p DownFor.
  void crash(const jobs::MachineName &Machine, Duration DownFor);
  /// Empties the machine's executor and takes the machine away: the executor
  /// drains for \p DrainTime, then its entry is removed, it answers no more,
  /// and no list names the machine.
  void takeAway(const jobs::MachineName &Machine, Duration DrainTime);
  /// Ends the process of the machine's executor, so that its connections are
  /// reset and further ones refused; another one starts after \p DownFor.
  void crashExecutor(const jobs::MachineName &Machine, Duration DownFor);
  /// Ends the machine's executor, of which another incarnation starts under the
  /// same id. That one holds and knows nothing of before. Without effect if no
  /// executor is up there.
  void restartExecutor(const jobs::MachineName &Machine,
                       const ExecutorRestart &How);
  /// Sets whether executors that are crashed by tasks start again under their
  /// ids; otherwise they are replaced.
  void setCrashedExecutorsKeepIds(bool DoKeepIds) {
    this->DoCrashedKeepIds = DoKeepIds;
  }
  /// Sets whether executors that start from now on tell their incarnation.
  void setIncarnationsTold(bool AreTold) {
    this->AreIncarnationsTold = AreTold;
  }
  /// Sets whether answers to start orders tell the executor's incarnation.
  void setStartAnswersTellIncarnation(bool DoTell) {
    this->DoStartAnswersTellIncarnation = DoTell;
  }
  /// Sets the maximum lease of executors that start from now on.
  void setMaxLease(Duration Length) { this->MaxLease = Length; }
  /// Changes the capacity of the machine and of its executor.
  void setCapacity(const jobs::MachineName &Machine,
                   const jobs::ComputeResources &Capacity);
  /// Partitions a VM from the machines of a data centre, or ends the partition.
  void setCut(const EntryName &Vm, const DataCentreName &DataCentre,
              bool IsPartitioned);
  void setCallFaults(CallFaults Faults) { this->Faults = Faults; }
  /// Sets the function that decides which runs fail through their own fault.
  void setFailures(std::function<bool(const jobs::TaskKey &, uint64_t)> Fails);
  /// Sets the function that decides which tasks crash the executors that start
  /// them.
  void setCrashingTasks(std::function<bool(const jobs::TaskKey &)> Crashes) {
    this->CrashesExecutor = std::move(Crashes);
  }

  /// The process on a VM has ended, so that another one may give orders to the
  /// machines that it ordered last without waiting.
  void noteHolderEnded(const EntryName &Vm);

  std::vector<jobs::MachineName> machineNames() const;
  std::vector<jobs::MachineInfo> machineList() const;

private:
  class Machine;

  void bringUp(const jobs::MachineName &Name);
  const jobs::ServicePolicy *policyOf(const ServiceName &Service) const;
  jobs::ExecutorIncarnation wallTime() const;
  void startAgain(Machine &Target);
  void startExecutor(Machine &Target, const jobs::ExecutorInfo &Info,
                     uint64_t ClockOffset);
  void registerExecutor(const Machine &Target);
  void takeDown(Machine &Target, jobs::MachineState NewState, Duration DownTime,
                const ServiceName &Pool);
  Machine *machineOf(const jobs::ExecutorId &Id);
  void deliverCall(const EntryName &Vm, const jobs::ExecutorAddress &To,
                   const std::function<void(Machine &, bool IsAnswered)> &Work,
                   const std::function<void()> &Refuse);
  template <typename Answer>
  std::function<void(Answer)> withDeadline(TimePoint Deadline,
                                           std::function<void(Answer)> Done,
                                           const Answer &TimeoutAnswer);
  jobs::GatewayResult<void> admitOrder(const jobs::MachineOrderIssuer &By,
                                       Machine &Target);

  Clock Time;
  TimerQueue &Loop;
  Random Source;
  MemoryStore Store;
  RunChecker Checker;
  std::map<jobs::MachineName, std::unique_ptr<Machine>> Machines;
  std::map<std::string, jobs::JobSpec> Templates;
  std::map<uint64_t, jobs::FleetConfiguration> Configurations;
  std::map<uint64_t, jobs::WaveRequest> Waves;
  std::set<std::pair<EntryName, DataCentreName>> Partitions;
  CallFaults Faults;
  std::function<bool(const jobs::TaskKey &, uint64_t)> Fails;
  std::function<bool(const jobs::TaskKey &)> CrashesExecutor;
  /// Executors whose process has ended while their machine is up, so that it
  /// refuses connections.
  std::set<jobs::ExecutorId> EndedExecutors;
  /// What executors that have started again under their ids told of themselves.
  std::map<std::pair<jobs::ExecutorId, jobs::ExecutorIncarnation>,
           jobs::ExecutorInfo>
      EarlierIncarnations;
  Duration MaxLease = std::chrono::seconds(6);
  bool DoCrashedKeepIds = false;
  bool AreIncarnationsTold = true;
  bool DoStartAnswersTellIncarnation = false;
  uint64_t LastExecutor = 0;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_SIMULATEDPLATFORM_H
