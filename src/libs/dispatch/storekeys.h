#ifndef WHINTACK_DISPATCH_STOREKEYS_H
#define WHINTACK_DISPATCH_STOREKEYS_H

#include "shardid.h"

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

inline std::string claim(const ShardId &Shard) { return Claims + Shard.text(); }
inline std::string generation(const ShardId &Shard) {
  return Generations + Shard.text();
}
/// Records of all accepted jobs of the service, by job id.
inline std::string jobs(const ServiceName &Service) {
  return "whintack/job/" + Service.text() + "/";
}
/// Whether the key, which begins with one of the prefixes of a service, is that
/// of a record of the service. The names of other services may begin with its
/// name and "/", and so may their keys. Job ids have no "/".
inline bool isRecordOf(const std::string &Key, const std::string &Prefix) {
  return Key.find('/', Prefix.size()) == std::string::npos;
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
