#include "timelinecollector.h"

#include <algorithm>

namespace whintack::entry::Internal {

static constexpr Duration PeerAnswerTimeout = std::chrono::seconds(1);
static constexpr size_t MaxEventsPerAnswer = 2000;

TimelineCollector::TimelineCollector(std::vector<EntryName> Peers,
                                     SendHook SendToPeer, EventJournal &Journal)
    : Peers(std::move(Peers)), SendToPeer(std::move(SendToPeer)),
      Journal(Journal) {}

MergedTimeline TimelineCollector::collect(const EventFilter &Filter,
                                          size_t Limit) {
  peers::TimelineRequest Request;
  Request.Filter = Filter;
  Request.Limit = Limit;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Request.Id = ++this->LastCall;
    this->Calls[Request.Id];
  }
  size_t Expected = 0;
  for (const EntryName &Peer : this->Peers)
    if (this->SendToPeer(Peer, Request))
      ++Expected;
  Call Ended;
  {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    Call &Pending = this->Calls[Request.Id];
    this->Answered.wait_for(Lock, PeerAnswerTimeout,
                            [&] { return Pending.Answers.size() >= Expected; });
    Ended = std::move(Pending);
    this->Calls.erase(Request.Id);
  }
  MergedTimeline Merged;
  std::vector<std::vector<Event>> Journals;
  Journals.push_back(this->Journal.events(Filter, Limit));
  for (const EntryName &Peer : this->Peers) {
    const auto Answer = Ended.Answers.find(Peer);
    if (Answer == Ended.Answers.end())
      Merged.Missing.push_back(Peer);
    else
      Journals.push_back(std::move(Answer->second));
  }
  Merged.Events = mergeEvents(std::move(Journals));
  if (Merged.Events.size() > Limit)
    Merged.Events.erase(Merged.Events.begin(),
                        Merged.Events.end() - static_cast<int64_t>(Limit));
  return Merged;
}

bool TimelineCollector::handleMessage(const EntryName &Peer,
                                      const peers::Message &Received) {
  if (const auto *Request = std::get_if<peers::TimelineRequest>(&Received)) {
    peers::TimelineAnswer Answer;
    Answer.Id = Request->Id;
    Answer.Events = this->Journal.events(
        Request->Filter, std::min(Request->Limit, MaxEventsPerAnswer));
    this->SendToPeer(Peer, Answer);
    return true;
  }
  const auto *Answer = std::get_if<peers::TimelineAnswer>(&Received);
  if (!Answer)
    return false;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Calls.find(Answer->Id);
  if (Found != this->Calls.end()) {
    Found->second.Answers[Peer] = Answer->Events;
    this->Answered.notify_all();
  }
  return true;
}

} // namespace whintack::entry::Internal
