#ifndef WHINTACK_BASE_SUPERVISOR_H
#define WHINTACK_BASE_SUPERVISOR_H

#include "whintack/base/eventjournal.h"
#include "whintack/base/random.h"
#include "whintack/base/time.h"

#include <functional>
#include <memory>
#include <string>

namespace whintack {

/// Tells a supervised part that it must stop, and lets it wait for that.
class StopSignal {
public:
  StopSignal();
  ~StopSignal();

  /// Requests the stop and wakes all waiting threads.
  void request();
  bool isRequested() const;

  /// Waits for at most \p Length. Returns whether the stop was requested.
  bool waitFor(Duration Length) const;

private:
  class Private;
  std::unique_ptr<Private> D;
};

/// One part of the process that runs on its own thread. Run returns when asked
/// to stop; if it returns earlier or throws, the supervisor runs it again after
/// a back-off.
struct SupervisedPart {
  std::string Name;
  std::function<void(const StopSignal &)> Run;
};

/// Runs each part on its own thread and restarts those that fail; the others
/// are not affected.
class Supervisor {
public:
  Supervisor(EventJournal &Journal, Random Source);
  ~Supervisor();

  /// Adds a part and starts its thread.
  void start(SupervisedPart Part);

  /// Asks the parts to stop in the reverse order of their start and waits for
  /// each.
  void stop();

  /// Returns how often the part named \p Name was restarted.
  unsigned restarts(const std::string &Name) const;

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack

#endif // WHINTACK_BASE_SUPERVISOR_H
