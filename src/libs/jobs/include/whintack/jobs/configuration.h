#ifndef WHINTACK_JOBS_CONFIGURATION_H
#define WHINTACK_JOBS_CONFIGURATION_H

#include "whintack/base/identifier.h"
#include "whintack/base/time.h"
#include "whintack/tenants/tenanttable.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whintack::jobs {

/// Rules for requesting advice on which executors may run a step, before the
/// step starts. BaseTime and TimePerExecutor are the declared response time;
/// Validity is how long the granted tickets are valid.
struct AdvicePolicy {
  Duration BaseTime = Duration::zero();
  Duration TimePerExecutor = Duration::zero();
  Duration Validity = Duration::zero();

  Duration responseTime(size_t Executors) const {
    return this->BaseTime +
           static_cast<int64_t>(Executors) * this->TimePerExecutor;
  }
};

/// A queue that clients submit jobs to.
struct Queue {
  std::string Name;
  /// Value of the Host header that selects the queue.
  std::string Host;
  /// Path prefix that selects the queue.
  std::string Prefix;
  ServiceName Service;
  /// 0 is the highest priority and may preempt others.
  int64_t Priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int64_t MaxAttempts = 1;
  /// Maximum time for an answer that the configuration allows.
  Duration Timeout = Duration::zero();
  /// A job is on time if it ends within Stretch times the duration of its
  /// critical path, plus Objective.
  double Stretch = 1;
  Duration Objective = Duration::zero();
  std::optional<AdvicePolicy> Advice;
  /// Clients need no key.
  bool IsPublic = false;
};

/// A service: a pool of machines whose executors run the tasks of its queues.
struct ServicePolicy {
  ServiceName Name;
  /// Whether executors refuse tasks that do not fit. If they do not, only the
  /// planner enforces their capacity.
  bool ExecutorsCheckAdmission = true;
  /// Spare pool: its machines are switched off and cost nothing.
  bool IsSpare = false;
  /// Path of the executors' health check.
  std::string HealthPath;
};

/// Configuration that the operator has declared on the platform.
struct FleetConfiguration {
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<ServicePolicy> Services;
  std::vector<tenants::Tenant> Tenants;
  /// The configuration has a list of tenants, which may be empty. Without one,
  /// clients need no key for any queue.
  bool RequiresKeys = false;
  size_t MaxHeaderBytes = 0;
  size_t MaxBodyBytes = 0;
};

/// Finds queues by host and path. Immutable.
class QueueTable {
public:
  explicit QueueTable(FleetConfiguration Configuration);

  /// The queue whose host is \p Host and whose prefix is the longest that
  /// \p Path begins with; null if there is none.
  const Queue *find(std::string_view Host, std::string_view Path) const;
  /// The queue with this name; null if there is none.
  const Queue *named(std::string_view Name) const;
  /// The queue with this name if its jobs go to \p Service; null otherwise.
  const Queue *named(std::string_view Name, const ServiceName &Service) const;
  const ServicePolicy *service(const ServiceName &Name) const;
  const tenants::TenantTable &tenants() const { return this->Tenants; }
  const FleetConfiguration &configuration() const {
    return this->Configuration;
  }

private:
  FleetConfiguration Configuration;
  tenants::TenantTable Tenants;
  /// Indices of queues by host, longest prefix first.
  std::map<std::string, std::vector<size_t>, std::less<>> ByHost;
};

} // namespace whintack::jobs

#endif // WHINTACK_JOBS_CONFIGURATION_H
