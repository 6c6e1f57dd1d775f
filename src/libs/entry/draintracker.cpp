#include "draintracker.h"

namespace whintack::entry::Internal {

/// How long a peer's count of running requests stays valid.
static constexpr Duration AnswerRetention = std::chrono::seconds(3);

DrainTracker::DrainTracker(uint64_t Incarnation, std::vector<EntryName> Peers,
                           DrainTrackerHooks Hooks, Forwarder &Forwarding,
                           Clock Time)
    : Peers(std::move(Peers)), Hooks(std::move(Hooks)), Forwarding(Forwarding),
      Time(std::move(Time)), LastQueryId(Incarnation) {}

void DrainTracker::queryPeers(const routing::LeavingNotice &Leaving) {
  this->Forwarding.handleLeavingNotice(Leaving, false);
  peers::RunningRequest Message;
  Message.Leaving = Leaving;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    QueryState &Query = this->Queries[Leaving.Executor];
    if (Query.Id == 0)
      Query.Id = ++this->LastQueryId;
    Message.Id = Query.Id;
  }
  for (const EntryName &Peer : this->Peers)
    this->Hooks.SendToPeer(Peer, Message);
}

std::optional<int64_t> DrainTracker::runningRequests(const VmName &Vm) const {
  int64_t Total = this->Forwarding.running(Vm);
  const TimePoint Now = this->Time.Now();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Query = this->Queries.find(Vm);
  if (Query == this->Queries.end())
    return std::nullopt;
  for (const EntryName &Peer : this->Peers) {
    const auto Known = Query->second.Answers.find(Peer);
    if (Known == Query->second.Answers.end() ||
        Known->second.ValidUntil <= Now || !this->Hooks.IsUsable(Peer))
      return std::nullopt;
    Total += Known->second.Running;
  }
  return Total;
}

bool DrainTracker::handleMessage(const EntryName &Peer,
                                 const peers::Message &Received) {
  if (const auto *Request = std::get_if<peers::RunningRequest>(&Received)) {
    this->Forwarding.handleLeavingNotice(Request->Leaving, false);
    peers::RunningAnswer Reply;
    Reply.Id = Request->Id;
    Reply.Running = this->Forwarding.running(Request->Leaving.Executor);
    this->Hooks.SendToPeer(Peer, Reply);
    return true;
  }
  const auto *Reply = std::get_if<peers::RunningAnswer>(&Received);
  if (!Reply)
    return false;
  const TimePoint ValidUntil = this->Time.Now() + AnswerRetention;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Vm, Query] : this->Queries)
    if (Query.Id == Reply->Id)
      Query.Answers[Peer] = {Reply->Running, ValidUntil};
  return true;
}

void DrainTracker::forget(const VmName &Vm) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Queries.erase(Vm);
}

} // namespace whintack::entry::Internal
