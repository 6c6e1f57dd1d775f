#ifndef WHINTACK_DISPATCH_DEMANDTRACKER_H
#define WHINTACK_DISPATCH_DEMANDTRACKER_H

#include "whintack/jobs/poolpolicy.h"

#include <map>
#include <vector>

namespace whintack::dispatch::Internal {

/// The last demand that each pool's planner reported. A planner that is busy
/// answers late, and its pool is the one that needs machines most: its last
/// demand stays valid for a while. Does no I/O and reads no clock.
class DemandTracker {
public:
  /// A request for the pool's demand was sent.
  void noteRequest(const ServiceName &Pool) { ++this->OpenRequests[Pool]; }
  /// A request has ended, with or without an answer.
  void noteRequestEnd(const ServiceName &Pool);
  /// Whether a request for the pool's demand is still open.
  bool isRequestOpen(const ServiceName &Pool) const;

  void note(jobs::PoolDemand Demand, TimePoint Now);
  /// A machine has arrived in the pool. It counts until the planner reports
  /// again.
  void noteArrival(const ServiceName &Pool, double Cores);
  /// Whether the pool's planner reports that nothing runs on the executor.
  bool isVacant(const ServiceName &Pool, const jobs::ExecutorId &Executor,
                TimePoint Now) const;
  /// The demands that are still valid.
  std::vector<jobs::PoolDemand> current(TimePoint Now) const;

private:
  struct Report {
    jobs::PoolDemand Demand;
    TimePoint ValidUntil;
  };

  std::map<ServiceName, Report> Reports;
  std::map<ServiceName, size_t> OpenRequests;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_DEMANDTRACKER_H
