#include "demandtracker.h"

namespace whintack::dispatch::Internal {

/// How long a reported demand is used. A queue's turn lasts 4 s; longer, and
/// machines would go to work that is done.
static constexpr Duration DemandRetention = std::chrono::milliseconds(2500);

void DemandTracker::noteRequestEnd(const ServiceName &Pool) {
  const auto Found = this->OpenRequests.find(Pool);
  if (Found != this->OpenRequests.end() && --Found->second == 0)
    this->OpenRequests.erase(Found);
}

bool DemandTracker::isRequestOpen(const ServiceName &Pool) const {
  return this->OpenRequests.contains(Pool);
}

void DemandTracker::note(jobs::PoolDemand Demand, TimePoint Now) {
  const ServiceName Pool = Demand.Pool;
  this->Reports[Pool] = {std::move(Demand), Now + DemandRetention};
}

void DemandTracker::noteArrival(const ServiceName &Pool, double Cores) {
  const auto Found = this->Reports.find(Pool);
  if (Found != this->Reports.end())
    Found->second.Demand.Cores += Cores;
}

bool DemandTracker::isVacant(const ServiceName &Pool,
                             const jobs::ExecutorId &Executor,
                             TimePoint Now) const {
  const auto Found = this->Reports.find(Pool);
  return Found != this->Reports.end() && Now < Found->second.ValidUntil &&
         Found->second.Demand.Vacant.contains(Executor);
}

std::vector<jobs::PoolDemand> DemandTracker::current(TimePoint Now) const {
  std::vector<jobs::PoolDemand> Valid;
  for (const auto &[Pool, Known] : this->Reports)
    if (Now < Known.ValidUntil)
      Valid.push_back(Known.Demand);
  return Valid;
}

} // namespace whintack::dispatch::Internal
