#ifndef WHINTACK_DECLARATION_DECLARATION_H
#define WHINTACK_DECLARATION_DECLARATION_H

#include "whintack/base/identifier.h"
#include "whintack/base/result.h"
#include "whintack/base/time.h"
#include "whintack/declaration/resources.h"
#include "whintack/document/document.h"

#include <map>
#include <string>
#include <vector>

namespace whintack::declaration {

/// Relative weights of the two costs that planning trades off.
struct Weights {
  /// Weight of one VM kept as a spare.
  int64_t BufferCost = 1;
  /// Weight of one VM or job moved.
  int64_t Moves = 1;

  bool operator==(const Weights &) const = default;
};

/// Fleet-wide properties: name, cost weights and data centres.
struct Fleet {
  std::string Name;
  Weights Cost;
  std::vector<DataCentreName> DataCentres;

  bool operator==(const Fleet &) const = default;
};

/// A team and the resources that its jobs may use at the same time.
struct Team {
  TeamName Name;
  Resources Quota;

  bool operator==(const Team &) const = default;
};

/// A pool of VMs and how its VMs are maintained.
struct Pool {
  PoolName Name;
  /// Maximum time between two maintenances of a VM.
  Duration MaintenanceInterval = std::chrono::hours(21 * 24);
  /// Time that a draining VM has to finish its running work.
  Duration DrainTimeout = std::chrono::minutes(5);
  /// Time within which a VM must be back after a reboot.
  Duration RebootTimeout = std::chrono::minutes(10);
  /// Maximum share of the pool's VMs that a wave takes out of service at once,
  /// in percent.
  int64_t WavePercent = 20;

  bool operator==(const Pool &) const = default;
};

/// A service that callers send requests to. The VMs of one pool run it.
struct Service {
  ServiceName Name;
  PoolName HostPool;
  /// Minimum share of the executors that must stay available, in percent.
  int64_t BudgetPercent = 90;
  /// Requests that one executor runs concurrently.
  int64_t Slots = 8;
  /// Connections that one executor accepts from all entry VMs together.
  int64_t Connections = 64;
  /// Maximum and default time that a request may take.
  Duration MaxDuration = std::chrono::seconds(30);
  Duration DefaultDuration = std::chrono::seconds(5);
  /// Requests that may be queued at one entry VM.
  int64_t QueueLength = 200;
  /// Maximum number of retries as a share of the requests, in percent.
  int64_t RetryPercent = 20;

  bool operator==(const Service &) const = default;
};

/// Scheduling priority of a job, highest first.
enum class Priority { Urgent, Normal, Batch };

inline constexpr EnumNames<Priority, 3> PriorityNames = {{
    {Priority::Urgent, "urgent"},
    {Priority::Normal, "normal"},
    {Priority::Batch, "batch"},
}};

/// A job, which consists of a number of identical tasks.
struct Job {
  JobName Name;
  TeamName Owner;
  PoolName HostPool;
  int64_t Tasks = 1;
  /// Declared size of one task. The actual size may differ considerably.
  Resources Size;
  /// Declared run time of one task. The actual time may differ considerably.
  Duration RunTime = std::chrono::minutes(10);
  Priority PriorityLevel = Priority::Normal;
  /// Whether a task may run more than once.
  bool IsIdempotent = true;
  /// Whether a task can be checkpointed and resumed on another VM.
  bool IsCheckpointable = false;

  bool operator==(const Job &) const = default;
};

/// Number of VMs of each pool while the preset is in force.
struct Preset {
  PresetName Name;
  std::map<PoolName, int64_t> Vms;
  /// Whether maintenance waves may start.
  bool AllowsWaves = false;

  bool operator==(const Preset &) const = default;
};

/// The declared state of the whole fleet, as kept in version control.
struct Declaration {
  Fleet FleetItem;
  std::map<TeamName, Team> Teams;
  std::map<PoolName, Pool> Pools;
  std::map<ServiceName, Service> Services;
  std::map<JobName, Job> Jobs;
  std::map<PresetName, Preset> Presets;

  /// Each of the following returns nullptr if there is no item of that name.
  const Service *service(const ServiceName &Name) const;
  const Pool *pool(const PoolName &Name) const;
  const Preset *preset(const PresetName &Name) const;

  bool operator==(const Declaration &) const = default;
};

/// Parses and validates a declaration. Errors refer to it as \p File.
Result<Declaration, document::DocumentError>
parseDeclaration(const std::string &File, const std::string &Content);

} // namespace whintack::declaration

#endif // WHINTACK_DECLARATION_DECLARATION_H
