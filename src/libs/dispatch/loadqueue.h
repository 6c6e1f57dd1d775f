#ifndef WHINTACK_DISPATCH_LOADQUEUE_H
#define WHINTACK_DISPATCH_LOADQUEUE_H

#include "context.h"

#include <deque>

namespace whintack::dispatch::Internal {

/// Lets the shards of this process read their records one after the other, so
/// that they do not share the link of the VM.
class LoadQueue : public std::enable_shared_from_this<LoadQueue> {
public:
  explicit LoadQueue(TimerQueue &Loop) : Loop(Loop) {}

  /// Keeps the turn as long as a copy exists.
  using Turn = std::shared_ptr<void>;
  /// Calls \p Start on the loop once it is its turn.
  void enter(std::function<void(Turn)> Start);

private:
  void startNext();

  TimerQueue &Loop;
  std::deque<std::function<void(Turn)>> Waiting;
  bool IsTaken = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_LOADQUEUE_H
