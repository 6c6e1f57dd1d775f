#ifndef WHINTACK_SIMULATION_SHAREDLINK_H
#define WHINTACK_SIMULATION_SHAREDLINK_H

#include "whintack/base/timerqueue.h"

#include <functional>
#include <map>

namespace whintack::simulation {

/// A network link whose rate all current transfers share equally.
class SharedLink {
public:
  SharedLink(Clock Time, TimerQueue &Loop, double BytesPerSecond);

  using TransferId = uint64_t;
  /// Starts a transfer; \p Done is called when its last byte has arrived.
  TransferId start(size_t Bytes, std::function<void()> Done);
  /// Aborts a transfer. Returns false if it has ended already.
  bool abort(TransferId Id);

private:
  struct Transfer {
    double BytesLeft = 0;
    std::function<void()> Done;
  };

  /// Accounts for the time since the last change.
  void advance();
  void scheduleNextEnd();
  void endTransfers();

  Clock Time;
  TimerQueue &Loop;
  double BytesPerSecond;
  TransferId LastId = 0;
  std::map<TransferId, Transfer> Transfers;
  TimePoint LastChange = TimePoint::min();
  /// Distinguishes the current timer from those that a change made obsolete.
  uint64_t TimerNumber = 0;
};

} // namespace whintack::simulation

#endif // WHINTACK_SIMULATION_SHAREDLINK_H
