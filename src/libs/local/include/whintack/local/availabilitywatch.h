#ifndef WHINTACK_LOCAL_AVAILABILITYWATCH_H
#define WHINTACK_LOCAL_AVAILABILITYWATCH_H

#include "whintack/base/supervisor.h"
#include "whintack/local/localfleet.h"

#include <map>
#include <mutex>
#include <thread>

namespace whintack::local {

/// Lowest number of live executors seen in a pool, and the number required.
struct AvailabilityLow {
  int64_t Lowest = 0;
  int64_t Required = 0;
};

/// Samples on its own thread how many VMs of each pool are live, without the
/// lag of the platform's list.
class AvailabilityWatch {
public:
  explicit AvailabilityWatch(standin::VmSimulator &Machines);
  ~AvailabilityWatch();

  /// Starts sampling the pools in \p Required, and resets their lows.
  void start(const std::map<PoolName, int64_t> &Required);
  /// Stops sampling and returns the lows.
  std::map<PoolName, AvailabilityLow> stop();

private:
  void sample();

  standin::VmSimulator &Machines;
  StopSignal Stop;
  std::map<PoolName, AvailabilityLow> Lows;
  std::thread Thread;
};

} // namespace whintack::local

#endif // WHINTACK_LOCAL_AVAILABILITYWATCH_H
