#ifndef WHINTACK_LOCAL_AVAILABILITYMONITOR_H
#define WHINTACK_LOCAL_AVAILABILITYMONITOR_H

#include "whintack/base/supervisor.h"
#include "whintack/local/localfleet.h"

#include <map>
#include <mutex>
#include <thread>

namespace whintack::local {

/// Lowest number of live executors seen in a pool, and the number required.
struct AvailabilityMinimum {
  int64_t Lowest = 0;
  int64_t Required = 0;
};

/// Samples on its own thread how many VMs of each pool are live, without the
/// lag of the platform's list.
class AvailabilityMonitor {
public:
  explicit AvailabilityMonitor(standin::VmSimulator &Machines);
  ~AvailabilityMonitor();

  /// Starts sampling the pools in \p Required, and resets their minimums.
  void start(const std::map<PoolName, int64_t> &Required);
  /// Stops sampling and returns the minimums.
  std::map<PoolName, AvailabilityMinimum> stop();

private:
  void sample();

  standin::VmSimulator &Machines;
  StopSignal Stop;
  std::map<PoolName, AvailabilityMinimum> Minimums;
  std::thread Thread;
};

} // namespace whintack::local

#endif // WHINTACK_LOCAL_AVAILABILITYMONITOR_H
