#ifndef WHINTACK_COMMANDS_STOPREQUEST_H
#define WHINTACK_COMMANDS_STOPREQUEST_H

#include "whintack/base/time.h"

namespace whintack::commands::Internal {

/// What a signal asks of the process.
enum class ProcessRequest { Stop, Reload };

/// Waits for SIGTERM, SIGINT or SIGHUP. Create it before any other thread
/// starts, so that all threads leave the signals to it. Further signals change
/// nothing.
class StopRequest {
public:
  StopRequest();

  /// Blocks until the process is asked to do something.
  ProcessRequest next() const;
  /// Blocks until the process is asked to stop.
  void wait() const;
  /// Waits for at most \p Length. Returns true if asked to stop.
  bool waitFor(Duration Length) const;
};

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_STOPREQUEST_H
