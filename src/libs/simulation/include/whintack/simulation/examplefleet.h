#ifndef WHINTACK_SIMULATION_EXAMPLEFLEET_H
#define WHINTACK_SIMULATION_EXAMPLEFLEET_H

#include "whintack/simulation/simulatedplatform.h"

namespace whintack::simulation {

/// Host name of the example fleet's queues.
inline constexpr const char *ExampleHost = "fleet.example";
/// Number of failed runs of a task after which its job fails.
inline constexpr int64_t ExampleMaxAttempts = 3;

/// A configuration with the queues and services of the example fleet, which has
/// no tenants.
jobs::FleetConfiguration exampleConfiguration(uint64_t Version);
/// The tenants "alder" and "birch" with the keys "alder-key" and "birch-key",
/// and no maximum.
std::vector<tenants::Tenant> exampleTenants();

/// Sets up a small fleet in two data centres: the services "quotes" and
/// "payouts" with a queue and five machines each, and two spare machines. Adds
/// the job templates "short" (one step), "chain" (two steps) and "lasting"
/// (runs until it is cancelled). The executors of "payouts" do not enforce
/// their capacity.
void addExampleFleet(SimulatedPlatform &Platform);

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_EXAMPLEFLEET_H
