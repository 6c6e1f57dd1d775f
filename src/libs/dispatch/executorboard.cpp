#include "executorboard.h"

namespace whintack::dispatch::Internal {

/// Time between two looks: an executor that drains has to be noticed well
/// within the 2 s in which it serves on, and one that has been moved to a busy
/// pool is waited for.
static constexpr Duration LookInterval = std::chrono::milliseconds(400);

ExecutorBoard::ExecutorBoard(
    Context Shared, std::string Prefix,
    decltype(jobs::PlatformWords::DecodeExecutor) Decode,
    std::function<bool()> IsNeeded, Hook OnList)
    : Shared(std::move(Shared)), Prefix(std::move(Prefix)),
      Decode(std::move(Decode)), IsNeeded(std::move(IsNeeded)),
      OnList(std::move(OnList)) {}

void ExecutorBoard::start() { this->later(); }

void ExecutorBoard::lookNow() {
  if (this->IsStopped)
    return;
  if (this->IsLooking) {
    // The list being read may be older than what the caller asks for.
    this->LooksAgain = true;
    return;
  }
  this->IsLooking = true;
  this->Reading.clear();
  this->look("");
}

void ExecutorBoard::later() {
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + LookInterval, [](ExecutorBoard &Self) {
                if (Self.IsStopped)
                  return;
                if (Self.IsNeeded())
                  Self.lookNow();
                Self.later();
              });
}

void ExecutorBoard::look(const std::string &After) {
  this->Shared.Store.Range(
      this->Prefix, After, store::ReadKind::Current,
      onLoop<ExecutorBoard, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](ExecutorBoard &Self, store::StoreResult<store::StorePage> Answer) {
            Self.take(std::move(Answer));
          }));
}

void ExecutorBoard::take(store::StoreResult<store::StorePage> Answer) {
  if (!Answer) {
    this->IsLooking = false;
    return;
  }
  std::string Last;
  for (const store::StoreItem &Item : Answer.value().Items) {
    Last = Item.Key;
    auto Info = this->Decode(Item.Key, Item.Value);
    if (Info) {
      this->Unreadable.erase(Item.Key);
      this->Reading.push_back(std::move(Info).value());
    } else if (this->Unreadable.insert(Item.Key).second) {
      logEvent(LogLevel::Warning, "executor-unreadable",
               {{"key", Item.Key}, {"cause", Info.error().Message}});
    }
  }
  if (Answer.value().HasMore && !Last.empty()) {
    this->look(Last);
    return;
  }
  this->IsLooking = false;
  if (std::exchange(this->LooksAgain, false)) {
    this->lookNow();
    return;
  }
  this->OnList(this->Reading);
}

} // namespace whintack::dispatch::Internal
