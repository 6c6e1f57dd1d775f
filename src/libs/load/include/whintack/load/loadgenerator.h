#ifndef WHINTACK_LOAD_LOADGENERATOR_H
#define WHINTACK_LOAD_LOADGENERATOR_H

#include "whintack/base/address.h"
#include "whintack/base/random.h"
#include "whintack/base/timerqueue.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace whintack::load {

/// Parameters of a load run.
struct LoadPlan {
  /// Addresses of entry VMs, or of backend servers if IsDirect.
  std::vector<Address> Targets;
  std::vector<std::string> Services;
  /// Number of requests kept in flight.
  unsigned Concurrency = 8;
  /// Percentage of requests that are orders, which must not run twice.
  unsigned OrderPercent = 20;
  /// How long each request runs at the backend server.
  Duration Work = std::chrono::milliseconds(2);
  /// Deadline that callers set for each request; zero for the service's
  /// default.
  Duration Deadline = Duration::zero();
  /// Maximum number of requests to send; stop() ends the load earlier.
  uint64_t MaxRequests = 1000000;
  /// Whether the targets are backend servers.
  bool IsDirect = false;
  /// Whether an order whose outcome is unknown is sent again with the same
  /// idempotency key; after a failed call through the next target.
  bool RepeatsOrders = true;
};

/// Result of a load run.
struct LoadReport {
  uint64_t Sent = 0;
  uint64_t Done = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  /// Requests without a valid outcome in their answer, or without an answer.
  uint64_t Failed = 0;
  /// Answers that do not match their request.
  uint64_t MismatchedAnswers = 0;
  uint64_t Repeated = 0;
  /// Order identifiers that were reported as not run.
  std::vector<std::string> OrdersNotRun;
  Duration Elapsed = Duration::zero();
  /// Latencies of completed requests, in ascending order.
  std::vector<Duration> Latencies;

  /// The latency that \p Percent of the completed requests did not exceed.
  Duration percentile(double Percent) const;
  /// Completed requests per second.
  double perSecond() const;
};

/// Sends requests at a fixed concurrency and checks that each answer belongs to
/// its request.
class LoadGenerator {
public:
  LoadGenerator(LoadPlan Plan, Clock Time, Random Source, TimerQueue &Timers);
  ~LoadGenerator();

  /// Starts all callers.
  void start();
  /// Sends no new requests, waits for those in flight and returns the report.
  LoadReport stop();
  /// Waits until all requests of the plan have ended, and returns the report.
  LoadReport finish();
  /// Number of requests sent so far, without repeats.
  uint64_t sent() const;

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::load

#endif // WHINTACK_LOAD_LOADGENERATOR_H
