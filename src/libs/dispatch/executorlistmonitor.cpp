#include "executorlistmonitor.h"

namespace whintack::dispatch::Internal {

/// Interval between two reads of the list. A draining executor must be noticed
/// well within the 2 s for which it still serves, and a busy pool waits for the
/// executors that are moved to it.
static constexpr Duration ReadInterval = std::chrono::milliseconds(400);

ExecutorListMonitor::ExecutorListMonitor(
    Context Shared, std::string Prefix,
    decltype(jobs::PlatformCodec::DecodeExecutor) Decode,
    std::function<bool()> IsNeeded, ListHook OnList)
    : Shared(std::move(Shared)), Prefix(std::move(Prefix)),
      Decode(std::move(Decode)), IsNeeded(std::move(IsNeeded)),
      OnList(std::move(OnList)) {}

void ExecutorListMonitor::start() { this->scheduleNext(); }

void ExecutorListMonitor::refresh() {
  if (this->IsStopped)
    return;
  if (this->IsReading) {
    // The list being read may predate what the caller needs to see.
    this->IsRefreshRequested = true;
    return;
  }
  this->IsReading = true;
  this->NewList.clear();
  this->readPage("");
}

void ExecutorListMonitor::scheduleNext() {
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + ReadInterval, [](ExecutorListMonitor &Self) {
                if (Self.IsStopped)
                  return;
                if (Self.IsNeeded())
                  Self.refresh();
                Self.scheduleNext();
              });
}

void ExecutorListMonitor::readPage(const std::string &After) {
  this->Shared.Store.Range(
      this->Prefix, After, store::ReadKind::Current,
      onLoop<ExecutorListMonitor, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](ExecutorListMonitor &Self,
             store::StoreResult<store::StorePage> Answer) {
            Self.handlePage(std::move(Answer));
          }));
}

void ExecutorListMonitor::handlePage(
    store::StoreResult<store::StorePage> Answer) {
  if (!Answer) {
    this->IsReading = false;
    return;
  }
  std::string Last;
  for (const store::StoreItem &Item : Answer.value().Items) {
    Last = Item.Key;
    auto Info = this->Decode(Item.Key, Item.Value);
    if (Info) {
      this->Unreadable.erase(Item.Key);
      this->NewList.push_back(std::move(Info).value());
    } else if (this->Unreadable.insert(Item.Key).second) {
      logEvent(LogLevel::Warning, "executor-unreadable",
               {{"key", Item.Key}, {"cause", Info.error().Message}});
    }
  }
  if (Answer.value().HasMore && !Last.empty()) {
    this->readPage(Last);
    return;
  }
  this->IsReading = false;
  if (std::exchange(this->IsRefreshRequested, false)) {
    this->refresh();
    return;
  }
  this->OnList(this->NewList);
}

} // namespace whintack::dispatch::Internal
