#ifndef WHINTACK_DISPATCH_QUOTACOORDINATOR_H
#define WHINTACK_DISPATCH_QUOTACOORDINATOR_H

#include "quotarecordwriter.h"
#include "servicecalls.h"
#include "shardclaimer.h"

#include "whintack/jobs/configuration.h"

namespace whintack::dispatch::Internal {

/// What QuotaCoordinator needs from its process.
struct QuotaEnvironment {
  /// Calls the planner of a service.
  std::function<void(const peers::ServiceCall &, Duration Timeout,
                     ResultCallback Done)>
      Call;
  std::function<TimePoint()> ClaimValidUntil;
  std::function<void(const ShardId &Shard, const std::string &Cause)> OnLost;
};

/// Divides the tenants' quotas among the services, under the claim of the fleet
/// shard: asks the planners what is in use and waits, stores the shares, and
/// tells the planners. Does nothing while no tenant has a maximum.
class QuotaCoordinator : public std::enable_shared_from_this<QuotaCoordinator> {
public:
  QuotaCoordinator(Context Shared, QuotaEnvironment Environment,
                   HeldClaim OwnClaim);

  void stop();
  /// Adopts the tenants and services of a configuration.
  void setTenants(const jobs::FleetConfiguration &Configuration);

private:
  /// Calls to planners that a decision waits for.
  struct Round {
    size_t OpenCalls = 0;
    bool IsDecided = false;
  };

  void load();
  void handleRecords(const std::vector<store::StoreItem> &Items);
  void openWriter();
  void checkPlanners(uint64_t OfActivation);
  void callPlanner(const ServiceName &Service,
                   const std::shared_ptr<Round> &Current);
  void callPlanners(const std::set<ServiceName> &Called);
  /// Calls the planners that have not been told their current shares.
  void callUntold();
  void handleAnswer(const ServiceName &Service, const CallResult &Result);
  void finishRound(Round &Current);
  void decide();
  bool canDecide() const;

  Context Shared;
  QuotaEnvironment Environment;
  HeldClaim OwnClaim;
  tenants::QuotaAllocator Allocator;
  std::shared_ptr<QuotaRecordWriter> Writer;
  std::shared_ptr<QuotaRecordReader> Reading;
  std::map<TenantName, ComputeResources> Maximums;
  /// Services whose planner has not answered the last call.
  std::set<ServiceName> OpenCalls;
  /// Number of the shares that each planner was last told.
  std::map<ServiceName, uint64_t> ToldPlans;
  /// Number of calls of callUntold() in this interval that called planners.
  unsigned ExtraCalls = 0;
  /// Number of times that the first tenant got a maximum.
  uint64_t Activation = 0;
  bool IsActive = false;
  bool IsLoaded = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_QUOTACOORDINATOR_H
