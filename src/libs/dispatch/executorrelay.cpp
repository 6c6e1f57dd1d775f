#include "executorrelay.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

using peers::ExecutorCall;
using peers::ExecutorResult;

/// Number of executors per core of processor that a VM calls itself.
static constexpr double DirectExecutorsPerCore = 100;
static constexpr Duration UpdateInterval = std::chrono::milliseconds(500);
static constexpr Duration WatchInterval = std::chrono::milliseconds(100);
/// Time without a message from a relay with open calls after which these are
/// made in another way. Relays send several messages in that time.
static constexpr Duration SilenceTimeout = std::chrono::milliseconds(500);
/// How long a relay that was silent gets no calls.
static constexpr Duration RelayRetryDelay = std::chrono::seconds(5);
/// How long an executor is called directly after a call through a relay was not
/// answered.
static constexpr Duration DirectTime = std::chrono::seconds(5);
/// Time after which an executor that is not called any more does not count.
static constexpr Duration RouteRetention = std::chrono::seconds(5);

ExecutorRelay::ExecutorRelay(Context Shared, uint64_t Session,
                             double ProcessorShare,
                             jobs::ExecutorGateway Direct,
                             ExecutorRelayHooks Hooks)
    : Shared(std::move(Shared)), Session(Session),
      MaxDirectExecutors(
          static_cast<size_t>(DirectExecutorsPerCore * ProcessorShare)),
      Direct(std::move(Direct)), Hooks(std::move(Hooks)), LastId(Session) {}

jobs::ExecutorGateway ExecutorRelay::gateway() {
  return makeCallingGateway([Weak = this->weak_from_this()](
                                ExecutorCall Call, ExecutorCallback Done) {
    if (const auto Self = Weak.lock())
      Self->call(std::move(Call), std::move(Done));
  });
}

void ExecutorRelay::call(ExecutorCall Call, ExecutorCallback Done) {
  const EntryName Relay = this->relayFor(Call.To.Id);
  if (Relay.isEmpty()) {
    this->callDirectly(Call, std::move(Done));
    return;
  }
  Call.Id = ++this->LastId;
  this->enqueue(Relay, Call);
  const uint64_t Id = Call.Id;
  this->OpenCalls.emplace(Id,
                          PendingCall{std::move(Call), std::move(Done), Relay});
  this->watchRelays();
}

void ExecutorRelay::callDirectly(const ExecutorCall &Call,
                                 ExecutorCallback Done) {
  makeExecutorCall(this->Direct, Call, Call.Deadline, std::move(Done));
}

EntryName ExecutorRelay::relayFor(const jobs::ExecutorId &Executor) {
  const TimePoint Now = this->Shared.now();
  Route &Known = this->Routes[Executor];
  Known.LastCall = Now;
  if (Now >= this->NextUpdate)
    this->updateRelays();
  if (this->Routes.size() <= this->MaxDirectExecutors ||
      Now < Known.DirectUntil)
    return EntryName();
  if (Known.Choice != this->Choice) {
    Known.Choice = this->Choice;
    Known.Relay = assignRelay(Executor.text(), this->Relays);
  }
  return Known.Relay;
}

void ExecutorRelay::updateRelays() {
  const TimePoint Now = this->Shared.now();
  this->NextUpdate = Now + UpdateInterval;
  std::erase_if(this->Routes, [Now](const auto &Entry) {
    return Entry.second.LastCall + RouteRetention < Now;
  });
  std::vector<ShardCandidate> Usable = this->Hooks.Relays();
  std::erase_if(Usable, [this, Now](const ShardCandidate &Each) {
    return Now < this->States[Each.Name].BlockedUntil;
  });
  const auto IsSame = [](const ShardCandidate &One,
                         const ShardCandidate &Other) {
    return One.Name == Other.Name;
  };
  if (this->Choice != 0 &&
      std::equal(Usable.begin(), Usable.end(), this->Relays.begin(),
                 this->Relays.end(), IsSame))
    return;
  this->Relays = std::move(Usable);
  ++this->Choice;
}

void ExecutorRelay::enqueue(const EntryName &Name, const ExecutorCall &Call) {
  RelayState &State = this->States[Name];
  if (State.OpenCalls++ == 0)
    State.HeardAt = this->Shared.now();
  State.Queued.push_back(Call);
  if (std::exchange(State.IsFlushScheduled, true))
    return;
  // Calls that the same event leads to are queued before the flush.
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              std::max(State.NextFlush, this->Shared.now()),
              [Name](ExecutorRelay &Self) { Self.flush(Name); });
}

void ExecutorRelay::flush(const EntryName &Name) {
  RelayState &State = this->States[Name];
  State.IsFlushScheduled = false;
  if (State.Queued.empty())
    return;
  const TimePoint Now = this->Shared.now();
  State.NextFlush = Now + CallBatchInterval;
  const bool IsSent = this->Hooks.Send(
      Name, peers::ExecutorCalls{this->Session, Now,
                                 std::exchange(State.Queued, {})});
  if (!IsSent)
    this->giveUpRelay(Name);
}

ExecutorRelay::PendingCall ExecutorRelay::take(uint64_t Id) {
  auto Found = this->OpenCalls.extract(Id);
  --this->States[Found.mapped().Relay].OpenCalls;
  return std::move(Found.mapped());
}

void ExecutorRelay::finish(uint64_t Id, ExecutorResult Result) {
  const PendingCall Ended = this->take(Id);
  if (isUnanswered(Result))
    this->Routes[Ended.Call.To.Id].DirectUntil =
        this->Shared.now() + DirectTime;
  if (std::holds_alternative<peers::NotSent>(Result))
    this->repeatDirectly(Ended, jobs::StartOutcome::Late);
  else
    Ended.Done(std::move(Result));
}

void ExecutorRelay::repeatDirectly(const PendingCall &Ended,
                                   jobs::StartOutcome IfStart) {
  if (std::holds_alternative<peers::LeasedStart>(Ended.Call.Content))
    Ended.Done(jobs::StartAnswer{IfStart, std::nullopt});
  else
    this->callDirectly(Ended.Call, Ended.Done);
}

void ExecutorRelay::handle(const EntryName &From,
                           const peers::ExecutorAnswers &Received) {
  this->States[From].HeardAt = this->Shared.now();
  for (const peers::ExecutorAnswer &Answer : Received.Answers) {
    const auto Found = this->OpenCalls.find(Answer.Id);
    if (Found != this->OpenCalls.end() && Found->second.Relay == From &&
        isResultOf(Found->second.Call, Answer.Result))
      this->finish(Answer.Id, Answer.Result);
  }
}

void ExecutorRelay::watchRelays() {
  if (std::exchange(this->IsWatching, true))
    return;
  this->NextWatch = this->Shared.now() + WatchInterval;
  scheduleFor(this->Shared.Loop, this->shared_from_this(), this->NextWatch,
              [](ExecutorRelay &Self) { Self.checkRelays(); });
}

void ExecutorRelay::checkRelays() {
  const TimePoint Now = this->Shared.now();
  // While this process stood still, messages may have arrived that it has not
  // handled yet.
  const bool WasDelayed = Now > this->NextWatch + WatchInterval;
  std::vector<EntryName> Silent;
  for (auto &[Name, State] : this->States) {
    if (WasDelayed)
      State.HeardAt = Now;
    if (State.OpenCalls > 0 && State.HeardAt + SilenceTimeout < Now)
      Silent.push_back(Name);
  }
  for (const EntryName &Name : Silent)
    this->giveUpRelay(Name);
  std::vector<uint64_t> Overdue;
  for (const auto &[Id, Pending] : this->OpenCalls)
    if (Pending.Call.Deadline <= Now)
      Overdue.push_back(Id);
  for (const uint64_t Id : Overdue)
    this->finish(Id, noAnswerTo(this->OpenCalls.at(Id).Call));
  this->IsWatching = false;
  if (!this->OpenCalls.empty())
    this->watchRelays();
}

void ExecutorRelay::giveUpRelay(const EntryName &Name) {
  RelayState &State = this->States[Name];
  logEvent(LogLevel::Warning, "relay-silent",
           {{"relay", Name}, {"calls", State.OpenCalls}});
  State.BlockedUntil = this->Shared.now() + RelayRetryDelay;
  State.Queued.clear();
  this->updateRelays();
  std::vector<uint64_t> Open;
  for (const auto &[Id, Pending] : this->OpenCalls)
    if (Pending.Relay == Name)
      Open.push_back(Id);
  for (const uint64_t Id : Open)
    this->repeatDirectly(this->take(Id), jobs::StartOutcome::Unknown);
}

} // namespace whintack::dispatch::Internal
