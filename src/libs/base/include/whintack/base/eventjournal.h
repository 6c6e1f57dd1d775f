#ifndef WHINTACK_BASE_EVENTJOURNAL_H
#define WHINTACK_BASE_EVENTJOURNAL_H

#include "whintack/base/event.h"

#include <deque>
#include <mutex>
#include <vector>

namespace whintack {

/// Selects events of the time line; an empty field matches every event.
struct EventFilter {
  VmName Vm;
  ServiceName Service;
  RequestId Request;
  OperatorName Operator;
  uint64_t Revision = 0;

  /// Returns whether \p Candidate matches all fields that are set.
  bool matches(const Event &Candidate) const;
};

/// The bounded time line of one process. Each recorded event is also logged.
/// Safe for several threads.
class EventJournal {
public:
  /// \p Capacity is the maximum number of events kept; the oldest are removed
  /// first.
  EventJournal(EntryName Node, HybridClock &Stamps, size_t Capacity);

  /// Sets the stamp and node of \p Recorded, keeps the event and logs it.
  void record(Event Recorded);

  /// Returns the newest \p Limit events that \p Filter selects, oldest first.
  std::vector<Event> events(const EventFilter &Filter, size_t Limit) const;

private:
  EntryName Node;
  HybridClock &Stamps;
  size_t Capacity;
  mutable std::mutex Mutex;
  std::deque<Event> Retained;
};

/// Merges the time lines of several processes, ordered by stamp and then by
/// node.
std::vector<Event> mergeEvents(std::vector<std::vector<Event>> Journals);

} // namespace whintack

#endif // WHINTACK_BASE_EVENTJOURNAL_H
