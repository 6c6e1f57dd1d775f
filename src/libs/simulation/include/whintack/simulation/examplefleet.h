#ifndef WHINTACK_SIMULATION_EXAMPLEFLEET_H
#define WHINTACK_SIMULATION_EXAMPLEFLEET_H

#include "whintack/simulation/simulatedplatform.h"

namespace whintack::simulation {

/// Host of the example's queues.
inline constexpr const char *ExampleHost = "fleet.example";
/// Failed runs of a task after which its job has failed.
inline constexpr int64_t ExampleMostAttempts = 3;

/// Sets up a small fleet: the services "quotes" and "payouts" with a queue
/// each, five machines for each and two spare ones in two data centres; the
/// templates "short" (one step), "chain" (two steps) and "lasting" (runs until
/// it is cancelled). The executors of "payouts" admit everything.
void addExampleFleet(SimulatedPlatform &Platform);

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_EXAMPLEFLEET_H
