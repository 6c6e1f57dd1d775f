#ifndef WHINTACK_DISPATCH_STOREKEYS_H
#define WHINTACK_DISPATCH_STOREKEYS_H

#include "whintack/base/identifier.h"
#include "whintack/jobs/taskkey.h"

#include <string>

/// Keys of this product's records in the platform's store.
namespace whintack::dispatch::Internal::keys {

/// The claim on each shard, under the lease of its holder.
inline const std::string Claims = "whintack/claim/";
/// Number of times that each shard has been claimed.
inline const std::string Generations = "whintack/generation/";
/// The entry VMs, each under its own lease.
inline const std::string Members = "whintack/member/";
/// The machines that have begun maintenance, by number of the wave.
inline const std::string Waves = "whintack/wave/";
/// The most recent machine orders of the holder of the fleet shard.
inline const std::string MachineOrders = "whintack/machine-orders";
/// Shares of the tenants' quotas, by quotaRecord().
inline const std::string Quotas = "whintack/quota/";
/// By VM: the claim of the fleet shard under which its process sends no more
/// orders.
inline const std::string MachineReleases = MachineOrders + "/released/";

/// The shard that maintains and moves machines.
inline const std::string FleetShard = "fleet";

/// Records of all accepted jobs of the service, by job id.
inline std::string jobs(const ServiceName &Service) {
  return "whintack/job/" + Service.text() + "/";
}
/// Name of the service that an accepted job belongs to. Makes the id unique
/// among the jobs of all services.
inline std::string jobService(const jobs::JobId &Id) {
  return "whintack/job-service/" + Id.text();
}
/// Progress of the jobs of the service that have not ended, by job id.
inline std::string progress(const ServiceName &Service) {
  return "whintack/progress/" + Service.text() + "/";
}
/// The last commit of each stream of writes of the service's planner.
inline std::string writeStreams(const ServiceName &Service) {
  return "whintack/write/" + Service.text() + "/";
}
/// New jobs and cancellations that could not be sent to the planner.
inline std::string notices(const ServiceName &Service) {
  return "whintack/notice/" + Service.text() + "/";
}
inline std::string newJobs(const ServiceName &Service) {
  return notices(Service) + "job/";
}
inline std::string cancellations(const ServiceName &Service) {
  return notices(Service) + "cancel/";
}

} // namespace whintack::dispatch::Internal::keys

#endif // WHINTACK_DISPATCH_STOREKEYS_H
