#ifndef WHINTACK_DISPATCH_RELAYEDCALLHANDLER_H
#define WHINTACK_DISPATCH_RELAYEDCALLHANDLER_H

#include "context.h"
#include "executorcall.h"

#include "whintack/peers/message.h"

#include <map>

namespace whintack::dispatch::Internal {

/// Measures how late the messages of one sender arrive, from the sender's clock
/// and that of this VM, which have nothing in common but their pace.
class LatenessMeter {
public:
  /// Returns by how much more than the fastest recent message one was delayed
  /// that was sent at \p SentAt, by the sender's clock.
  Duration note(TimePoint SentAt, TimePoint ArrivedAt);

private:
  /// Least difference between the clocks in the present and in the previous
  /// interval. The clocks drift, so earlier ones are forgotten.
  Duration Least = Duration::max();
  Duration EarlierLeast = Duration::max();
  TimePoint IntervalEnd = TimePoint::min();
};

/// Makes calls to executors for other entry VMs. A call that arrives late is
/// not made: its sender may no longer have the right to it.
class RelayedCallHandler
    : public std::enable_shared_from_this<RelayedCallHandler> {
public:
  RelayedCallHandler(
      Context Shared, jobs::ExecutorGateway Direct,
      std::function<bool(const EntryName &, const peers::Message &)> Send);

  void handle(const EntryName &From, const peers::ExecutorCalls &Received);

private:
  /// State of a VM for which calls are made.
  struct Sender {
    uint64_t Session = 0;
    LatenessMeter Lateness;
    /// Answers that have not been sent.
    std::vector<peers::ExecutorAnswer> Queued;
    size_t OpenCalls = 0;
    /// The next message is sent at this time, or earlier; TimePoint::max() if
    /// none is scheduled.
    TimePoint FlushAt = TimePoint::max();
    TimePoint LastFlush = TimePoint::min();
  };

  void noteResult(const EntryName &To, uint64_t Session,
                  peers::ExecutorAnswer Answer);
  void scheduleFlush(const EntryName &To, TimePoint At);
  void flush(const EntryName &To);

  Context Shared;
  jobs::ExecutorGateway Direct;
  std::function<bool(const EntryName &, const peers::Message &)> Send;
  std::map<EntryName, Sender> Senders;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_RELAYEDCALLHANDLER_H
