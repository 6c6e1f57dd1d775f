#include "loadqueue.h"

namespace whintack::dispatch::Internal {

void LoadQueue::enter(std::function<void(Turn)> Start) {
  this->Waiting.push_back(std::move(Start));
  this->startNext();
}

void LoadQueue::startNext() {
  if (this->IsTaken || this->Waiting.empty())
    return;
  this->IsTaken = true;
  const auto Start = std::move(this->Waiting.front());
  this->Waiting.pop_front();
  const Turn Taken(nullptr, [Weak = this->weak_from_this()](void *) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->IsTaken = false;
    Self->Loop.post([Weak] {
      if (const auto Alive = Weak.lock())
        Alive->startNext();
    });
  });
  this->Loop.post([Start, Taken] { Start(Taken); });
}

} // namespace whintack::dispatch::Internal
