#ifndef WHINTACK_ENTRY_METRICS_H
#define WHINTACK_ENTRY_METRICS_H

#include "whintack/peers/peernetwork.h"
#include "whintack/routing/router.h"

#include <memory>
#include <string>

namespace whintack::entry::Internal {

/// Values that the metrics are rendered from.
struct MetricsInput {
  routing::RouterCounts Requests;
  std::vector<routing::ExecutorReport> Executors;
  peers::PeerTraffic Traffic;
  std::vector<peers::PeerStatus> Peers;
  uint64_t PlatformCalls = 0;
  uint64_t Revision = 0;
  bool IsPlatformReachable = false;
  size_t Pending = 0;
};

/// Renders the metrics in the Prometheus text format. Labels name services and
/// states only, so that the number of time series does not grow with the fleet.
/// Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  std::string render(const MetricsInput &Input);

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_METRICS_H
