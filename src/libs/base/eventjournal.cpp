#include "whintack/base/eventjournal.h"

#include "whintack/base/log.h"

#include <algorithm>
#include <utility>

namespace whintack {

bool EventFilter::matches(const Event &Candidate) const {
  if (!this->Vm.isEmpty() && Candidate.Vm != this->Vm)
    return false;
  if (!this->Service.isEmpty() && Candidate.Service != this->Service)
    return false;
  if (!this->Request.isEmpty() && Candidate.Request != this->Request)
    return false;
  if (!this->Operator.isEmpty() && Candidate.Operator != this->Operator)
    return false;
  return this->Revision == 0 || Candidate.Revision == this->Revision;
}

EventJournal::EventJournal(EntryName Node, HybridClock &Stamps, size_t Capacity)
    : Node(std::move(Node)), Stamps(Stamps), Capacity(Capacity) {}

static std::string revisionText(uint64_t Revision) {
  return Revision == 0 ? std::string() : std::to_string(Revision);
}

void EventJournal::record(Event Recorded) {
  Recorded.Stamp = this->Stamps.tick();
  Recorded.Node = this->Node;
  logEvent(LogLevel::Info, eventKindName(Recorded.Kind),
           {{"node", Recorded.Node},
            {"vm", Recorded.Vm},
            {"service", Recorded.Service},
            {"request", Recorded.Request},
            {"operator", Recorded.Operator},
            {"revision", revisionText(Recorded.Revision)},
            {"text", Recorded.Text}});
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Retained.push_back(std::move(Recorded));
  if (this->Retained.size() > this->Capacity)
    this->Retained.pop_front();
}

std::vector<Event> EventJournal::events(const EventFilter &Filter,
                                        size_t Limit) const {
  std::vector<Event> Selected;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto It = this->Retained.rbegin(); It != this->Retained.rend(); ++It) {
    if (Selected.size() == Limit)
      break;
    if (Filter.matches(*It))
      Selected.push_back(*It);
  }
  std::reverse(Selected.begin(), Selected.end());
  return Selected;
}

std::vector<Event> mergeEvents(std::vector<std::vector<Event>> Journals) {
  std::vector<Event> Merged;
  for (std::vector<Event> &Journal : Journals)
    std::move(Journal.begin(), Journal.end(), std::back_inserter(Merged));
  std::stable_sort(Merged.begin(), Merged.end(),
                   [](const Event &Left, const Event &Right) {
                     if (Left.Stamp != Right.Stamp)
                       return Left.Stamp < Right.Stamp;
                     return Left.Node < Right.Node;
                   });
  return Merged;
}

} // namespace whintack
