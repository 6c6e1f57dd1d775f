#ifndef WHINTACK_SIMULATION_SIMULATEDPLATFORM_P_H
#define WHINTACK_SIMULATION_SIMULATEDPLATFORM_P_H

#include "simulatedexecutor.h"
#include "whintack/simulation/simulatedplatform.h"

namespace whintack::simulation {

namespace Internal {

/// One-way network delay between an entry VM and a machine or the platform.
inline constexpr Duration NetworkDelay = std::chrono::milliseconds(1);

inline const std::string ConfigurationKey = "declared/configuration";
inline const std::string WavePrefix = "declared/wave/";
inline const std::string ExecutorPrefix = "executors/";

/// The registration of an executor on a machine.
jobs::ExecutorInfo makeExecutorInfo(const MachineSetup &Setup,
                                    const jobs::ExecutorId &Id);

} // namespace Internal

/// A machine and the executor that runs on it.
class SimulatedPlatform::Machine {
public:
  MachineSetup Setup;
  jobs::MachineState State = jobs::MachineState::Down;
  bool IsTakenAway = false;
  std::shared_ptr<Internal::SimulatedExecutor> Executor;
  /// The executor that starts again under its id; null if the next one has
  /// another id.
  std::shared_ptr<Internal::SimulatedExecutor> Restarting;
  ExecutorRestart Restart;
  uint64_t HighestToken = 0;
  std::string LastHolder;
  TimePoint LastOrder = TimePoint::min();
  /// Waves for which the maintenance has begun.
  std::set<uint64_t> BegunWaves;
  /// The wave of the last maintenance.
  uint64_t LastWave = 0;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_SIMULATEDPLATFORM_P_H
