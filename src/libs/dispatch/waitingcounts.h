#ifndef WHINTACK_DISPATCH_WAITINGCOUNTS_H
#define WHINTACK_DISPATCH_WAITINGCOUNTS_H

#include "servicecalls.h"

#include "whintack/jobs/configuration.h"

#include <optional>

namespace whintack::dispatch::Internal {

/// Counts the jobs of a queue that wait. These belong to the service of the
/// queue and, if it had another one or another name before, to further services
/// as well.
class WaitingCounts : public std::enable_shared_from_this<WaitingCounts> {
public:
  WaitingCounts(Context Shared, std::shared_ptr<ServiceCalls> Calls);

  using CountCallback = std::function<void(std::optional<size_t>)>;
  /// Passes the number of waiting jobs of the queue \p Name of \p Queues; no
  /// number if it is not known how many wait in the queue's own service.
  void count(const jobs::QueueTable &Queues, const std::string &Name,
             const CountCallback &Done);

private:
  /// A queue, and a service in which its jobs are counted.
  using Source = std::pair<std::string, ServiceName>;
  /// The last answer of a service's planner.
  struct Answered {
    size_t Waiting = 0;
    TimePoint ValidUntil = TimePoint::min();
  };
  /// A count whose calls have not all ended.
  struct OpenCount {
    std::string Queue;
    ServiceName Own;
    std::vector<ServiceName> Services;
    size_t OpenCalls = 0;
    CountCallback Done;
  };

  void call(const std::shared_ptr<OpenCount> &Current,
            const ServiceName &Service);
  /// Whether the last answer is recent enough to be used instead of a call.
  bool isKnown(const Source &Counted, TimePoint Now) const;
  void finish(const OpenCount &Current) const;
  /// Forgets the answers for queues that nobody asks for any more.
  void removeOutdated();

  Context Shared;
  std::shared_ptr<ServiceCalls> Calls;
  std::map<Source, Answered> Known;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_WAITINGCOUNTS_H
