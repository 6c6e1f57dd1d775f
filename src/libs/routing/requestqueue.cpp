#include "whintack/routing/requestqueue.h"

#include <algorithm>

namespace whintack::routing {

void RequestQueue::push(const CallerName &Caller, RequestHandle Request) {
  auto &Requests = this->Waiting[Caller];
  if (Requests.empty())
    this->CallerOrder.push_back(Caller);
  Requests.push_back(Request);
  ++this->Count;
}

void RequestQueue::pushFront(const CallerName &Caller, RequestHandle Request) {
  auto &Requests = this->Waiting[Caller];
  if (Requests.empty())
    this->CallerOrder.push_front(Caller);
  Requests.push_front(Request);
  ++this->Count;
}

std::optional<RequestHandle> RequestQueue::pop() {
  if (this->CallerOrder.empty())
    return std::nullopt;
  const CallerName Caller = std::move(this->CallerOrder.front());
  this->CallerOrder.pop_front();
  const auto Requests = this->Waiting.find(Caller);
  const RequestHandle Next = Requests->second.front();
  Requests->second.pop_front();
  --this->Count;
  if (Requests->second.empty())
    this->Waiting.erase(Requests);
  else
    this->CallerOrder.push_back(Caller);
  return Next;
}

bool RequestQueue::remove(const CallerName &Caller, RequestHandle Request) {
  const auto Requests = this->Waiting.find(Caller);
  if (Requests == this->Waiting.end())
    return false;
  const auto Place =
      std::find(Requests->second.begin(), Requests->second.end(), Request);
  if (Place == Requests->second.end())
    return false;
  Requests->second.erase(Place);
  --this->Count;
  if (!Requests->second.empty())
    return true;
  this->Waiting.erase(Requests);
  std::erase(this->CallerOrder, Caller);
  return true;
}

size_t RequestQueue::waiting(const CallerName &Caller) const {
  const auto Requests = this->Waiting.find(Caller);
  return Requests == this->Waiting.end() ? 0 : Requests->second.size();
}

} // namespace whintack::routing
