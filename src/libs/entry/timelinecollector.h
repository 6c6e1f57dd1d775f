#ifndef WHINTACK_ENTRY_TIMELINECOLLECTOR_H
#define WHINTACK_ENTRY_TIMELINECOLLECTOR_H

#include "whintack/base/eventjournal.h"
#include "whintack/base/time.h"
#include "whintack/peers/message.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace whintack::entry::Internal {

/// The merged time lines of all entry VMs that answered.
struct MergedTimeline {
  std::vector<Event> Events;
  /// Entry VMs that did not answer.
  std::vector<EntryName> Missing;
};

/// Collects the time lines of all entry VMs. Thread-safe.
class TimelineCollector {
public:
  using SendHook =
      std::function<bool(const EntryName &Peer, const peers::Message &Sent)>;

  TimelineCollector(std::vector<EntryName> Peers, SendHook SendToPeer,
                    EventJournal &Journal);

  /// Asks all peers for their events and waits at most one second for the
  /// answers. Returns the last \p Limit events that match \p Filter.
  MergedTimeline collect(const EventFilter &Filter, size_t Limit);
  /// Handles a peer's message. Returns false if it does not concern the time
  /// line.
  bool handleMessage(const EntryName &Peer, const peers::Message &Received);

private:
  /// A call of collect() that waits for the answers of peers.
  struct Call {
    std::map<EntryName, std::vector<Event>> Answers;
  };

  std::vector<EntryName> Peers;
  SendHook SendToPeer;
  EventJournal &Journal;
  std::mutex Mutex;
  std::condition_variable Answered;
  std::map<peers::CallId, Call> Calls;
  peers::CallId LastCall = 0;
};

} // namespace whintack::entry::Internal

#endif // WHINTACK_ENTRY_TIMELINECOLLECTOR_H
