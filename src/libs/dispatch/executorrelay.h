#ifndef WHINTACK_DISPATCH_EXECUTORRELAY_H
#define WHINTACK_DISPATCH_EXECUTORRELAY_H

#include "context.h"
#include "executorcall.h"
#include "relayassignment.h"

#include "whintack/peers/message.h"

#include <unordered_map>

namespace whintack::dispatch::Internal {

/// How the relay reaches the other entry VMs.
struct ExecutorRelayHooks {
  /// Sends a message; returns false if there is no link to the peer.
  std::function<bool(const EntryName &, const peers::Message &)> Send;
  /// Returns the VMs that can make calls for this one at present.
  std::function<std::vector<ShardCandidate>()> Relays;
};

/// Spreads the calls of a VM to executors over other VMs: a call over HTTP
/// costs several times the processor of passing it on together with others. All
/// calls to an executor take the same way. Calls are made directly while this
/// VM calls only a few executors, and where a relay is silent.
class ExecutorRelay : public std::enable_shared_from_this<ExecutorRelay> {
public:
  /// \p Session is the random number of this process, \p ProcessorShare the
  /// share of a core that this VM may use.
  ExecutorRelay(Context Shared, uint64_t Session, double ProcessorShare,
                jobs::ExecutorGateway Direct, ExecutorRelayHooks Hooks);

  /// The calls for all other parts; must be made on the loop's thread.
  jobs::ExecutorGateway gateway();

  /// Handles a message from a peer.
  void handle(const EntryName &From, const peers::ExecutorAnswers &Received);

private:
  /// A call that a relay was asked to make and that has not ended.
  struct PendingCall {
    peers::ExecutorCall Call;
    ExecutorCallback Done;
    EntryName Relay;
  };

  /// State of a VM that makes calls for this one.
  struct RelayState {
    /// Calls that have not been sent.
    std::vector<peers::ExecutorCall> Queued;
    bool IsFlushScheduled = false;
    TimePoint NextFlush = TimePoint::min();
    size_t OpenCalls = 0;
    /// When the relay sent something last or, if later, got its first open
    /// call.
    TimePoint HeardAt = TimePoint::min();
    /// The relay gets no calls before this time.
    TimePoint BlockedUntil = TimePoint::min();
  };

  /// An executor that has been called.
  struct Route {
    EntryName Relay;
    /// The choice of relays for which Relay was determined.
    uint64_t Choice = 0;
    TimePoint LastCall = TimePoint::min();
    /// Calls are made directly until this time.
    TimePoint DirectUntil = TimePoint::min();
  };

  void call(peers::ExecutorCall Call, ExecutorCallback Done);
  void callDirectly(const peers::ExecutorCall &Call, ExecutorCallback Done);
  /// The relay for calls to the executor; empty if they are made directly.
  EntryName relayFor(const jobs::ExecutorId &Executor);
  void updateRelays();
  void enqueue(const EntryName &Name, const peers::ExecutorCall &Call);
  void flush(const EntryName &Name);
  void finish(uint64_t Id, peers::ExecutorResult Result);
  /// Takes the call out of those that are open.
  PendingCall take(uint64_t Id);
  /// Makes the call directly, unless it is a start order, which ends with \p
  /// IfStart: the next report tells whether it was carried out.
  void repeatDirectly(const PendingCall &Ended, jobs::StartOutcome IfStart);
  void watchRelays();
  void checkRelays();
  void giveUpRelay(const EntryName &Name);

  Context Shared;
  uint64_t Session;
  size_t MaxDirectExecutors;
  jobs::ExecutorGateway Direct;
  ExecutorRelayHooks Hooks;
  uint64_t LastId;
  std::unordered_map<uint64_t, PendingCall> OpenCalls;
  std::map<EntryName, RelayState> States;
  std::map<jobs::ExecutorId, Route> Routes;
  std::vector<ShardCandidate> Relays;
  /// Number of the present choice of relays.
  uint64_t Choice = 0;
  TimePoint NextUpdate = TimePoint::min();
  TimePoint NextWatch = TimePoint::min();
  bool IsWatching = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_EXECUTORRELAY_H
