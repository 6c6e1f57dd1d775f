#ifndef WHINTACK_JOBS_CONFIGURATION_H
#define WHINTACK_JOBS_CONFIGURATION_H

#include "whintack/base/identifier.h"
#include "whintack/base/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whintack::jobs {

/// Asking for advice on executors before a step starts.
struct AdvicePolicy {
  Duration BaseTime = Duration::zero();
  Duration TimePerExecutor = Duration::zero();
  Duration Validity = Duration::zero();
};

/// A queue that clients hand jobs in to.
struct Queue {
  std::string Name;
  /// Value of the Host header that selects it.
  std::string Host;
  /// Start of the paths that select it.
  std::string Prefix;
  ServiceName Service;
  /// 0 comes first and may take room from others.
  int64_t Priority = 0;
  /// Failed runs of a task after which its job has failed.
  int64_t MostAttempts = 1;
  /// Longest time that the configuration allows for an answer.
  Duration Timeout = Duration::zero();
  /// A job is on time within Stretch x its longest chain of work + Objective.
  double Stretch = 1;
  Duration Objective = Duration::zero();
  std::optional<AdvicePolicy> Advice;
};

/// A service: a pool of machines whose executors run its queues' tasks.
struct ServicePolicy {
  ServiceName Name;
  /// Executors refuse what does not fit; if not, the planner alone keeps to
  /// their room.
  bool ExecutorsRefuse = true;
  /// The pool's machines are switched off and cost nothing.
  bool IsSpare = false;
  /// Path of the executors' own health answers.
  std::string HealthPath;
};

/// What the operator has declared on the platform.
struct FleetConfiguration {
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<ServicePolicy> Services;
  size_t MostHeaderBytes = 0;
  size_t MostBodyBytes = 0;
};

/// Finds queues by host and path. Immutable.
class QueueTable {
public:
  explicit QueueTable(FleetConfiguration Configuration);

  /// The queue whose host is \p Host and whose prefix is the longest that
  /// \p Path begins with; null if there is none.
  const Queue *find(std::string_view Host, std::string_view Path) const;
  /// The queue called \p Name; null if there is none.
  const Queue *named(std::string_view Name) const;
  const ServicePolicy *service(const ServiceName &Name) const;
  const FleetConfiguration &configuration() const {
    return this->Configuration;
  }

private:
  FleetConfiguration Configuration;
  /// Indices of queues by host, longest prefix first.
  std::map<std::string, std::vector<size_t>, std::less<>> ByHost;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_CONFIGURATION_H
