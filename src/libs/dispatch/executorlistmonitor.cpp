#include "executorlistmonitor.h"

namespace whintack::dispatch::Internal {

/// Interval between two reads of the list. A draining executor must be noticed
/// well within the 2 s for which it still serves, and a busy pool waits for the
/// executors that are moved to it.
static constexpr Duration ReadInterval = std::chrono::milliseconds(400);

/// Changes are read up to now, without waiting for further ones.
static constexpr Duration ChangesWait = std::chrono::milliseconds(1);
/// Number of failed reads of changes after which the list is read whole: the
/// changes may have become more than the list.
static constexpr unsigned MaxChangeFailures = 3;

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
  this->ReadBegan = this->Shared.now();
  if (this->AsOf != 0) {
    this->readChanges();
    return;
  }
  this->NewEntries.clear();
  this->NewEntriesAsOf = 0;
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
      this->Prefix, After, store::ReadKind::Bulk,
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
  const store::StorePage &Page = Answer.value();
  // Pages are not one snapshot: changes are read from the revision of the
  // first.
  if (this->NewEntriesAsOf == 0)
    this->NewEntriesAsOf = Page.AsOf;
  for (const store::StoreItem &Item : Page.Items)
    this->adopt(this->NewEntries, Item);
  if (Page.HasMore && !Page.Items.empty()) {
    this->readPage(Page.Items.back().Key);
    return;
  }
  this->Entries = std::move(this->NewEntries);
  this->AsOf = this->NewEntriesAsOf;
  this->ChangeFailures = 0;
  this->finishRead();
}

void ExecutorListMonitor::readChanges() {
  this->Shared.Store.Watch(
      this->Prefix, this->AsOf, ChangesWait,
      onLoop<ExecutorListMonitor, store::StoreResult<store::WatchAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [](ExecutorListMonitor &Self,
             store::StoreResult<store::WatchAnswer> Answer) {
            Self.handleChanges(std::move(Answer));
          }));
}

void ExecutorListMonitor::handleChanges(
    store::StoreResult<store::WatchAnswer> Answer) {
  if (!Answer) {
    this->IsReading = false;
    const bool IsLost =
        Answer.error().Code == store::StoreErrorCode::HistoryLost;
    if (IsLost || ++this->ChangeFailures >= MaxChangeFailures)
      this->AsOf = 0;
    if (IsLost)
      this->refresh();
    return;
  }
  this->ChangeFailures = 0;
  for (const store::StoreChange &Change : Answer.value().Changes) {
    const auto Known = this->Entries.find(Change.Key);
    if (Known != this->Entries.end() &&
        Known->second.Revision >= Change.Revision)
      continue;
    if (Change.Item)
      this->adopt(this->Entries, *Change.Item);
    else
      this->Entries.erase(Change.Key);
  }
  this->AsOf = std::max(this->AsOf, Answer.value().AsOf);
  this->finishRead();
}

void ExecutorListMonitor::adopt(EntryMap &Target,
                                const store::StoreItem &Item) {
  Entry &Adopted = Target[Item.Key];
  Adopted.Revision = Item.Revision;
  Adopted.Info.reset();
  auto Info = this->Decode(Item.Key, Item.Value);
  if (Info) {
    this->Unreadable.erase(Item.Key);
    Adopted.Info = std::move(Info).value();
  } else if (this->Unreadable.insert(Item.Key).second) {
    logEvent(LogLevel::Warning, "executor-unreadable",
             {{"key", Item.Key}, {"cause", Info.error().Message}});
  }
}

void ExecutorListMonitor::finishRead() {
  this->IsReading = false;
  this->KnownThrough = this->ReadBegan;
  std::vector<jobs::ExecutorInfo> Listed;
  Listed.reserve(this->Entries.size());
  for (const auto &[Key, Each] : this->Entries)
    if (Each.Info)
      Listed.push_back(*Each.Info);
  this->OnList(Listed);
  if (std::exchange(this->IsRefreshRequested, false))
    this->refresh();
}

} // namespace whintack::dispatch::Internal
