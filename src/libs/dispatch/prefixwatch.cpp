#include "prefixwatch.h"

namespace whintack::dispatch::Internal {

/// Wait of the first watch call after a failure. Its answer tells at once that
/// the items are current again.
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(10);
/// Maximum delay before a failed call is retried.
static constexpr Duration RetryDelay = std::chrono::milliseconds(400);
/// Number of failed watches after which everything is read again if that is
/// done in portions: the changes may be too many for the link, and become more.
static constexpr unsigned MaxWatchFailures = 3;
/// Delay of a watch's answer after which the items are logged as stale. A watch
/// that finds no change is answered after the whole wait.
static constexpr Duration MaxAnswerDelay = std::chrono::milliseconds(250);
/// Interval at which items that stay stale are logged again.
static constexpr Duration StaleLogInterval = std::chrono::seconds(1);

PrefixWatch::PrefixWatch(Context Shared, std::string Prefix, ItemHook OnChange,
                         std::function<void(uint64_t Revision)> OnRevision)
    : Shared(std::move(Shared)), Prefix(std::move(Prefix)),
      OnChange(std::move(OnChange)), OnRevision(std::move(OnRevision)) {}

void PrefixWatch::start() {
  this->NewItems.clear();
  this->NewItemsAsOf = 0;
  this->NewItemsKnownThrough = this->Shared.now();
  this->WatchFailures = 0;
  if (this->PortionPrefixes.empty())
    this->readPage("");
  else
    this->readPortions(0);
}

void PrefixWatch::stop() {
  this->IsStopped = true;
  if (this->Portions)
    this->Portions->stop();
}

void PrefixWatch::readPortions(size_t Index) {
  if (Index == this->PortionPrefixes.size()) {
    if (this->OnRevision)
      this->OnRevision(this->NewItemsAsOf);
    this->replaceAll();
    if (!this->IsStopped)
      this->watch(this->CallWait);
    return;
  }
  this->Portions = std::make_shared<PortionedRead>(
      this->Shared, this->PortionPrefixes[Index],
      [this, Index](PortionedRead::Contents Found) {
        if (this->NewItemsAsOf == 0)
          this->NewItemsAsOf = Found.AsOf;
        for (store::StoreItem &Item : Found.Items)
          this->NewItems[Item.Key] = std::move(Item);
        this->readPortions(Index + 1);
      });
  this->Portions->start();
}

void PrefixWatch::readPage(const std::string &After) {
  this->Shared.Store.Range(
      this->Prefix, After, store::ReadKind::Current,
      onLoop<PrefixWatch, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [](PrefixWatch &Self, store::StoreResult<store::StorePage> Answer) {
            Self.handlePage(std::move(Answer));
          }));
}

void PrefixWatch::handlePage(store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    this->retry(Answer.error(), true);
    return;
  }
  store::StorePage &Page = Answer.value();
  if (this->OnRevision)
    this->OnRevision(Page.AsOf);
  // Pages are not one snapshot: the watch starts at the revision of the first
  // page to see what changed since.
  if (this->NewItemsAsOf == 0)
    this->NewItemsAsOf = Page.AsOf;
  this->LastReportVia = Page.Via;
  std::string Last;
  for (store::StoreItem &Item : Page.Items) {
    Last = Item.Key;
    this->NewItems[Item.Key] = std::move(Item);
  }
  if (Page.HasMore && !Last.empty()) {
    this->readPage(Last);
    return;
  }
  this->replaceAll();
  this->watch(this->CallWait);
}

void PrefixWatch::replaceAll() {
  std::set<std::string> Changed;
  for (const auto &[Key, Item] : this->Items)
    if (!this->NewItems.contains(Key))
      Changed.insert(Key);
  for (const auto &[Key, Item] : this->NewItems) {
    const auto Known = this->Items.find(Key);
    if (Known == this->Items.end() || Known->second.Revision != Item.Revision)
      Changed.insert(Key);
  }
  this->Items = std::move(this->NewItems);
  this->AsOf = this->NewItemsAsOf;
  this->KnownThrough = this->NewItemsKnownThrough;
  this->IsCurrent = true;
  this->LastReport = ReportKind::Read;
  this->LastAnswerAt = this->Shared.now();
  if (!std::exchange(this->IsAgeChecked, true))
    this->checkAge();
  this->OnChange(this->Items, Changed);
}

void PrefixWatch::checkAge() {
  if (this->IsStopped)
    return;
  const TimePoint Now = this->Shared.now();
  TimePoint Next = this->LastAnswerAt + this->CallWait + MaxAnswerDelay;
  if (Next <= Now) {
    logEvent(LogLevel::Warning, "watch-stale",
             {{"prefix", this->Prefix},
              {"as-of", this->AsOf},
              {"age-ms", toMilliseconds(Now - this->KnownThrough)},
              {"unanswered-ms", toMilliseconds(Now - this->LastAnswerAt)},
              {"broken", this->IsCurrent ? "no" : "yes"}});
    Next = Now + StaleLogInterval;
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(), Next,
              [](PrefixWatch &Self) { Self.checkAge(); });
}

void PrefixWatch::watch(Duration Wait) {
  const TimePoint Sent = this->Shared.now();
  this->Shared.Store.Watch(
      this->Prefix, this->AsOf, Wait,
      onLoop<PrefixWatch, store::StoreResult<store::WatchAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent](PrefixWatch &Self,
                 store::StoreResult<store::WatchAnswer> Answer) {
            Self.handleChanges(Sent, std::move(Answer));
          }));
}

void PrefixWatch::handleChanges(TimePoint Sent,
                                store::StoreResult<store::WatchAnswer> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    const bool IsLost =
        Answer.error().Code == store::StoreErrorCode::HistoryLost;
    const bool IsOverdue = ++this->WatchFailures >= MaxWatchFailures &&
                           !this->PortionPrefixes.empty();
    this->retry(Answer.error(), IsLost || IsOverdue);
    return;
  }
  this->WatchFailures = 0;
  std::set<std::string> Changed;
  for (store::StoreChange &Change : Answer.value().Changes) {
    const auto Known = this->Items.find(Change.Key);
    if (Known != this->Items.end() && Known->second.Revision >= Change.Revision)
      continue;
    if (Change.Item)
      this->Items[Change.Key] = std::move(*Change.Item);
    else if (Known != this->Items.end())
      this->Items.erase(Known);
    Changed.insert(Change.Key);
  }
  this->AsOf = std::max(this->AsOf, Answer.value().AsOf);
  this->KnownThrough = Sent;
  this->LastReport = ReportKind::Watch;
  this->LastAnswerAt = this->Shared.now();
  this->LastReportVia = Answer.value().Via;
  if (this->OnRevision)
    this->OnRevision(this->AsOf);
  this->IsCurrent = true;
  if (!Changed.empty())
    this->OnChange(this->Items, Changed);
  if (!this->IsStopped)
    this->watch(this->CallWait);
}

void PrefixWatch::retry(const store::StoreError &Cause, bool ReadsAll) {
  if (this->IsCurrent)
    logEvent(
        LogLevel::Warning, "watch-broken",
        {{"prefix", this->Prefix},
         {"code", nameOf(store::StoreErrorNames, Cause.Code)},
         {"cause", Cause.Message},
         {"as-of", this->AsOf},
         {"age-ms", toMilliseconds(this->Shared.now() - this->KnownThrough)}});
  this->IsCurrent = false;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(RetryDelay),
              [ReadsAll](PrefixWatch &Self) {
                if (Self.IsStopped)
                  return;
                if (ReadsAll)
                  Self.start();
                else
                  Self.watch(ProbeTimeout);
              });
}

} // namespace whintack::dispatch::Internal
