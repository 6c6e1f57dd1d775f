#ifndef WHINTACK_COMMANDS_SIGNALWAITER_H
#define WHINTACK_COMMANDS_SIGNALWAITER_H

#include "whintack/base/time.h"

namespace whintack::commands::Internal {

/// Action that a signal requests from the process.
enum class ProcessRequest { Stop, Reload };

/// Waits for SIGTERM, SIGINT or SIGHUP. The constructor blocks these signals in
/// the calling thread, so create the object before any other thread is started:
/// new threads inherit the signal mask. The signals stay blocked, so further
/// ones that arrive during the stop have no effect.
class SignalWaiter {
public:
  SignalWaiter();

  /// Blocks until one of the signals arrives.
  ProcessRequest waitForRequest() const;
  /// Blocks until SIGTERM or SIGINT arrives.
  void waitForStop() const;
  /// Waits for at most \p Timeout. Returns true if SIGTERM or SIGINT arrived.
  bool isStopRequestedWithin(Duration Timeout) const;
};

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_SIGNALWAITER_H
