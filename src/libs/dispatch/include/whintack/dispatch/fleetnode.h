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

/// Everything outside this process that a node talks to.
struct NodeConnections {
  store::AsyncStore Store;
  jobs::ExecutorGateway Executors;
  jobs::MachineGateway Machines;
  jobs::AdviceGateway Advice;
  jobs::PlatformWords Words;
};

/// Error that keeps a node from starting.
struct NodeError {
  std::string Message;
};

/// An entry VM on the users' platform: takes jobs in and, as far as it holds
/// claims, plans services and maintains machines.
class FleetNode {
public:
  /// \p Loop runs all parts of the node; \p Timers its HTTP deadlines.
  FleetNode(settings::EntrySettings Settings, NodeConnections Connections,
            Clock Time, Random Source, TimerQueue &Loop, TimerQueue &Timers);
  ~FleetNode();

  Result<void, NodeError> start();
  /// Hands claims over, answers what was taken in, and closes. Returns the
  /// number of requests cut off.
  size_t stop();

private:
  class Private;
  std::shared_ptr<Private> D;
};

} // namespace whintack::dispatch

#endif // WHINTACK_DISPATCH_FLEETNODE_H
