#ifndef WHINTACK_ROUTING_REQUESTQUEUE_H
#define WHINTACK_ROUTING_REQUESTQUEUE_H

#include "whintack/base/identifier.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace whintack::routing {

/// Identifies a request within one router.
using RequestHandle = uint64_t;

/// Waiting requests of one service. The queue serves callers round-robin, so
/// that a caller with many requests does not starve the others. Not
/// thread-safe.
class RequestQueue {
public:
  /// Appends a request to those of the caller.
  void push(const CallerName &Caller, RequestHandle Request);
  /// Puts a request in front of the caller's other requests. A caller that had
  /// none waiting is served next.
  void pushFront(const CallerName &Caller, RequestHandle Request);
  /// Removes and returns the next request, if there is one.
  std::optional<RequestHandle> pop();
  /// Removes a request. Returns false if it is not in the queue.
  bool remove(const CallerName &Caller, RequestHandle Request);

  size_t size() const { return this->Count; }
  bool isEmpty() const { return this->Count == 0; }
  /// Number of waiting requests of \p Caller.
  size_t waiting(const CallerName &Caller) const;
  /// Number of callers with waiting requests.
  size_t callers() const { return this->CallerOrder.size(); }

private:
  std::unordered_map<CallerName, std::deque<RequestHandle>> Waiting;
  std::deque<CallerName> CallerOrder;
  size_t Count = 0;
};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_REQUESTQUEUE_H
