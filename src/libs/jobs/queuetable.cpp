#include "whintack/jobs/configuration.h"

#include <algorithm>

namespace whintack::jobs {

QueueTable::QueueTable(FleetConfiguration Given)
    : Configuration(std::move(Given)), Tenants(this->Configuration.Tenants) {
  const std::vector<Queue> &Queues = this->Configuration.Queues;
  for (size_t Index = 0; Index < Queues.size(); ++Index)
    this->ByHost[Queues[Index].Host].push_back(Index);
  for (auto &[Host, Indices] : this->ByHost)
    std::sort(
        Indices.begin(), Indices.end(), [&Queues](size_t First, size_t Second) {
          return Queues[First].Prefix.size() > Queues[Second].Prefix.size();
        });
}

const Queue *QueueTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto Found = this->ByHost.find(Host);
  if (Found == this->ByHost.end())
    return nullptr;
  for (const size_t Index : Found->second)
    if (Path.starts_with(this->Configuration.Queues[Index].Prefix))
      return &this->Configuration.Queues[Index];
  return nullptr;
}

const Queue *QueueTable::named(std::string_view Name) const {
  for (const Queue &Candidate : this->Configuration.Queues)
    if (Candidate.Name == Name)
      return &Candidate;
  return nullptr;
}

const Queue *QueueTable::named(std::string_view Name,
                               const ServiceName &Service) const {
  const Queue *Found = this->named(Name);
  return Found && Found->Service == Service ? Found : nullptr;
}

const ServicePolicy *QueueTable::service(const ServiceName &Name) const {
  for (const ServicePolicy &Candidate : this->Configuration.Services)
    if (Candidate.Name == Name)
      return &Candidate;
  return nullptr;
}

} // namespace whintack::jobs
