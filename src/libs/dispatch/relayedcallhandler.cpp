#include "relayedcallhandler.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Delay of a message above which its calls are not made. Together with the
/// time-out of an order, this is less than a planner waits for late orders.
static constexpr Duration MaxLateness = std::chrono::milliseconds(300);
/// Interval over which the fastest message is looked for.
static constexpr Duration LatenessInterval = std::chrono::seconds(5);
/// Maximum time between two messages to a VM with open calls.
static constexpr Duration AliveInterval = std::chrono::milliseconds(150);

Duration LatenessMeter::note(TimePoint SentAt, TimePoint ArrivedAt) {
  const Duration Difference = ArrivedAt - SentAt;
  if (ArrivedAt >= this->IntervalEnd) {
    this->EarlierLeast = this->Least;
    this->Least = Duration::max();
    this->IntervalEnd = ArrivedAt + LatenessInterval;
  }
  this->Least = std::min(this->Least, Difference);
  return Difference - std::min(this->Least, this->EarlierLeast);
}

RelayedCallHandler::RelayedCallHandler(
    Context Shared, jobs::ExecutorGateway Direct,
    std::function<bool(const EntryName &, const peers::Message &)> Send)
    : Shared(std::move(Shared)), Direct(std::move(Direct)),
      Send(std::move(Send)) {}

void RelayedCallHandler::handle(const EntryName &From,
                                const peers::ExecutorCalls &Received) {
  const TimePoint Now = this->Shared.now();
  Sender &Known = this->Senders[From];
  if (Known.Session != Received.Session) {
    Known.Session = Received.Session;
    Known.Lateness = LatenessMeter();
    Known.Queued.clear();
    Known.OpenCalls = 0;
  }
  const Duration Lateness = Known.Lateness.note(Received.SentAt, Now);
  const bool IsLate = Lateness > MaxLateness;
  if (IsLate)
    logEvent(LogLevel::Warning, "calls-late",
             {{"from", From},
              {"calls", Received.Calls.size()},
              {"late-ms", toMilliseconds(Lateness)}});
  Known.OpenCalls += Received.Calls.size();
  for (const peers::ExecutorCall &Call : Received.Calls) {
    const auto Respond = onLoop<RelayedCallHandler, peers::ExecutorResult>(
        this->Shared.Loop, this->shared_from_this(),
        [From, Session = Received.Session,
         Id = Call.Id](RelayedCallHandler &Self, peers::ExecutorResult Result) {
          Self.noteResult(From, Session, {Id, std::move(Result)});
        });
    if (IsLate)
      Respond(peers::NotSent());
    else
      makeExecutorCall(this->Direct, Call,
                       Now + (Call.Deadline - Received.SentAt), Respond);
  }
  this->scheduleFlush(From, std::max(Now, Known.LastFlush + AliveInterval));
}

void RelayedCallHandler::noteResult(const EntryName &To, uint64_t Session,
                                    peers::ExecutorAnswer Answer) {
  Sender &Known = this->Senders[To];
  // A later process of the VM does not know of the call.
  if (Known.Session != Session)
    return;
  --Known.OpenCalls;
  Known.Queued.push_back(std::move(Answer));
  this->scheduleFlush(
      To, std::max(this->Shared.now(), Known.LastFlush + CallBatchInterval));
}

void RelayedCallHandler::scheduleFlush(const EntryName &To, TimePoint At) {
  Sender &Known = this->Senders[To];
  if (Known.FlushAt <= At)
    return;
  Known.FlushAt = At;
  scheduleFor(this->Shared.Loop, this->shared_from_this(), At,
              [To, At](RelayedCallHandler &Self) {
                if (Self.Senders[To].FlushAt == At)
                  Self.flush(To);
              });
}

void RelayedCallHandler::flush(const EntryName &To) {
  Sender &Known = this->Senders[To];
  Known.LastFlush = this->Shared.now();
  Known.FlushAt = TimePoint::max();
  this->Send(To, peers::ExecutorAnswers{std::exchange(Known.Queued, {})});
  if (Known.OpenCalls > 0)
    this->scheduleFlush(To, Known.LastFlush + AliveInterval);
}

} // namespace whintack::dispatch::Internal
