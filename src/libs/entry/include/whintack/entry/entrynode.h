#ifndef WHINTACK_ENTRY_ENTRYNODE_H
#define WHINTACK_ENTRY_ENTRYNODE_H

#include "whintack/base/random.h"
#include "whintack/base/result.h"
#include "whintack/base/time.h"
#include "whintack/base/timerqueue.h"
#include "whintack/routing/executortable.h"
#include "whintack/routing/router.h"
#include "whintack/settings/settings.h"

#include <memory>
#include <string>

namespace whintack::entry {

/// Why an entry VM could not start.
struct EntryError {
  std::string Message;
};

/// Result of a graceful stop.
struct StopReport {
  /// Requests that had not ended at the stop time-out.
  size_t CutOff = 0;
};

/// One entry VM: the servers for callers and operators, the links to the peers,
/// and this process's share of the fleet control, run by one supervisor.
class EntryNode {
public:
  EntryNode(settings::EntrySettings Settings, Clock Time, Random Source,
            TimerQueue &Timers);
  ~EntryNode();

  /// Opens the listeners and starts the threads.
  Result<void, EntryError> start();

  /// Stops gracefully within the stop time-out of the settings: fails the
  /// readiness check, waits for the requests in flight, gives up its slots, and
  /// stops the threads, which release the shards. Blocks until all is done.
  StopReport stop();

  /// Whether a configuration and a list of VMs are known and no stop is under
  /// way.
  bool isReady() const;
  /// Revision of the configuration in force; 0 if there is none.
  uint64_t revision() const;
  /// Name of the preset in force; empty if there is none.
  std::string preset() const;
  /// Request counters since the start.
  routing::RouterCounts counts() const;
  /// Number of peers that can be reached and answer.
  size_t usablePeers() const;

private:
  class Private;
  std::unique_ptr<Private> D;
};

} // namespace whintack::entry

#endif // WHINTACK_ENTRY_ENTRYNODE_H
