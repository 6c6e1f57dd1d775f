#ifndef WHINTACK_DISPATCH_FLEETNODE_H
#define WHINTACK_DISPATCH_FLEETNODE_H

#include "whintack/base/random.h"
#include "whintack/base/result.h"
#include "whintack/base/timerqueue.h"
#include "whintack/jobs/gateways.h"
#include "whintack/settings/settings.h"
#include "whintack/store/asyncstore.h"

#include <memory>
#include <string>

namespace whintack::dispatch {

/// Interfaces to everything outside this process.
struct NodeConnections {
  store::AsyncStore Store;
  jobs::ExecutorGateway Executors;
  jobs::MachineGateway Machines;
  jobs::AdviceGateway Advice;
  jobs::PlatformCodec Codec;
  /// Returns the processor time that this process has used; null if that is not
  /// known.
  std::function<Duration()> ProcessorTime;
};

/// Error that prevents a node from starting.
struct NodeError {
  std::string Message;
};

/// An entry VM on the users' platform. Accepts jobs and, for the shards that it
/// has claimed, plans services and maintains machines.
class FleetNode {
public:
  /// \p Loop runs all parts of the node; \p Timers runs the deadlines of the
  /// HTTP servers.
  FleetNode(settings::EntrySettings Settings, NodeConnections Connections,
            Clock Time, Random Source, TimerQueue &Loop, TimerQueue &Timers);
  ~FleetNode();

  Result<void, NodeError> start();
  /// Hands over all claims, answers the requests already accepted, and closes
  /// the listeners. Returns the number of requests that were cut off.
  size_t stop();

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::dispatch

#endif // WHINTACK_DISPATCH_FLEETNODE_H
