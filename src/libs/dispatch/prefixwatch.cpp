#include "prefixwatch.h"

namespace whintack::dispatch::Internal {

/// Wait of the first watch call after a failure. Its answer tells at once that
/// the items are current again.
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(10);
/// Maximum delay before the first failed call is retried. A waiting watch is
/// also cut when nothing is wrong.
static constexpr Duration MinRetryDelay = std::chrono::milliseconds(50);
static constexpr unsigned MaxRetryDoublings = 3;
/// Time after which callers no longer wait for a refresh.
static constexpr Duration RefreshTimeout = std::chrono::milliseconds(700);
/// Time for which no refresh is tried after one has failed.
static constexpr Duration RefreshRetryDelay = std::chrono::milliseconds(500);
/// Number of failed watches after which everything is read again if that is
/// done in portions: the changes may be too many for the link, and become more.
static constexpr unsigned MaxWatchFailures = 3;
/// Items with more bytes are large; they take a link of 10 Mbit/s for 70 ms.
static constexpr size_t MaxSmallBytes = 64000;
/// Delay of a watch's answer after which the items are logged as stale. A watch
/// that finds no change is answered after the whole wait.
static constexpr Duration MaxAnswerDelay = std::chrono::milliseconds(250);
/// Age of a report up to which it shows that the store can be reached.
static constexpr Duration MaxCurrentAge = std::chrono::milliseconds(2500);
/// Interval at which items that stay stale are logged again.
static constexpr Duration StaleLogInterval = std::chrono::seconds(1);

PrefixWatch::PrefixWatch(Context Shared, std::string Prefix, ItemHook OnChange,
                         std::function<void(uint64_t Revision)> OnRevision)
    : Shared(std::move(Shared)), Prefix(std::move(Prefix)),
      OnChange(std::move(OnChange)), OnRevision(std::move(OnRevision)) {}

void PrefixWatch::start() {
  this->IsReading = true;
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

void PrefixWatch::setPaused(bool IsPaused) {
  if (std::exchange(this->IsPaused, IsPaused) == IsPaused)
    return;
  if (!IsPaused && !this->IsReading && !this->IsStopped)
    this->watch(ProbeTimeout);
}

bool PrefixWatch::isLarge() const { return this->ValueBytes > MaxSmallBytes; }

void PrefixWatch::readPortions(size_t Index) {
  if (Index == this->PortionPrefixes.size()) {
    if (this->OnRevision)
      this->OnRevision(this->NewItemsAsOf);
    this->replaceAll();
    this->continueWatching();
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
      this->Prefix, After, this->Read,
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
  this->CallFailures = 0;
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
  this->continueWatching();
}

/// Returns the keys under which the two sets of items differ.
static std::set<std::string> changedKeys(const ItemMap &Old,
                                         const ItemMap &New) {
  std::set<std::string> Changed;
  for (const auto &[Key, Item] : Old)
    if (!New.contains(Key))
      Changed.insert(Key);
  for (const auto &[Key, Item] : New) {
    const auto Known = Old.find(Key);
    if (Known == Old.end() || Known->second.Revision != Item.Revision)
      Changed.insert(Key);
  }
  return Changed;
}

void PrefixWatch::replaceAll() {
  // A refresh that began later may have ended first.
  const bool IsOutdated = this->NewItemsAsOf < this->AsOf;
  std::set<std::string> Changed;
  if (!IsOutdated) {
    Changed = changedKeys(this->Items, this->NewItems);
    this->Items = std::move(this->NewItems);
    this->AsOf = this->NewItemsAsOf;
  }
  this->KnownThrough = std::max(this->KnownThrough, this->NewItemsKnownThrough);
  this->IsCurrent = true;
  this->LastReport = ReportKind::Read;
  this->LastAnswerAt = this->Shared.now();
  if (!std::exchange(this->IsAgeChecked, true))
    this->checkAge();
  this->countBytes();
  this->OnChange(this->Items, Changed);
  if (this->OnReport)
    this->OnReport();
}

void PrefixWatch::countBytes() {
  this->ValueBytes = 0;
  for (const auto &[Key, Item] : this->Items)
    this->ValueBytes += Item.Value.size();
}

void PrefixWatch::report(TimePoint Through,
                         const std::set<std::string> &Changed) {
  const TimePoint Now = this->Shared.now();
  if (Through > this->KnownThrough)
    this->LastAnswerAt = Now;
  this->KnownThrough = std::max(this->KnownThrough, Through);
  // Another entry VM may tell of what was known long ago.
  if (Now <= Through + MaxCurrentAge)
    this->IsCurrent = true;
  if (this->OnRevision)
    this->OnRevision(this->AsOf);
  if (!Changed.empty()) {
    this->countBytes();
    this->OnChange(this->Items, Changed);
  }
  if (this->OnReport)
    this->OnReport();
  this->endRefresh(true);
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

void PrefixWatch::refresh(std::function<void()> Done) {
  const TimePoint Now = this->Shared.now();
  if (this->IsStopped || this->KnownThrough == TimePoint::min() ||
      Now < this->NextRefresh) {
    Done();
    return;
  }
  const bool IsRequested = std::exchange(this->IsRefreshRequested, true);
  this->awaitReport(std::move(Done));
  if (!IsRequested)
    this->requestRefresh();
}

void PrefixWatch::awaitReport(std::function<void()> Done) {
  this->AwaitingRefresh.push_back(std::move(Done));
  if (this->AwaitingRefresh.size() > 1)
    return;
  this->RefreshDeadline = this->Shared.now() + RefreshTimeout;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->RefreshDeadline, [](PrefixWatch &Self) {
                if (Self.Shared.now() >= Self.RefreshDeadline)
                  Self.endRefresh(false);
              });
}

void PrefixWatch::requestRefresh() {
  const TimePoint Sent = this->Shared.now();
  if (this->isLarge()) {
    this->Shared.Store.Watch(
        this->Prefix, this->AsOf, ProbeTimeout,
        onLoop<PrefixWatch, store::StoreResult<store::WatchAnswer>>(
            this->Shared.Loop, this->shared_from_this(),
            [Sent](PrefixWatch &Self,
                   store::StoreResult<store::WatchAnswer> Answer) {
              Self.handleRefreshChanges(Sent, std::move(Answer));
            }));
    return;
  }
  this->Shared.Store.Range(
      this->Prefix, "", store::ReadKind::Current,
      onLoop<PrefixWatch, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Sent](PrefixWatch &Self,
                 store::StoreResult<store::StorePage> Answer) {
            Self.handleRefreshPage(Sent, std::move(Answer));
          }));
}

void PrefixWatch::handleRefreshPage(
    TimePoint Sent, store::StoreResult<store::StorePage> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer || Answer.value().HasMore) {
    this->endRefresh(false);
    return;
  }
  store::StorePage Page = std::move(Answer).value();
  ItemMap Read;
  for (store::StoreItem &Item : Page.Items)
    Read[Item.Key] = std::move(Item);
  this->adopt(std::move(Read), Page.AsOf, Sent, Page.Via);
}

void PrefixWatch::handleRefreshChanges(
    TimePoint Sent, store::StoreResult<store::WatchAnswer> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    this->endRefresh(false);
    return;
  }
  this->LastReport = ReportKind::Watch;
  this->LastReportVia = Answer.value().Via;
  this->report(Sent, this->applyChanges(std::move(Answer).value()));
}

void PrefixWatch::endRefresh(bool IsRead) {
  this->IsRefreshRequested = false;
  if (this->IsStopped || this->AwaitingRefresh.empty())
    return;
  if (!IsRead)
    this->NextRefresh = this->Shared.now() + RefreshRetryDelay;
  for (const auto &Done : std::exchange(this->AwaitingRefresh, {}))
    Done();
}

void PrefixWatch::adopt(ItemMap Newest, uint64_t NewestAsOf, TimePoint Through,
                        const EntryName &Via) {
  if (this->IsStopped)
    return;
  std::set<std::string> Changed;
  if (NewestAsOf > this->AsOf) {
    Changed = changedKeys(this->Items, Newest);
    this->Items = std::move(Newest);
    this->AsOf = NewestAsOf;
    this->LastReport = ReportKind::Read;
    this->LastReportVia = Via;
  }
  this->report(Through, Changed);
}

void PrefixWatch::confirm(uint64_t ConfirmedAsOf, TimePoint Through,
                          const EntryName &Via) {
  if (this->IsStopped)
    return;
  this->AsOf = std::max(this->AsOf, ConfirmedAsOf);
  this->LastReport = ReportKind::Watch;
  this->LastReportVia = Via;
  this->report(Through, {});
}

void PrefixWatch::watch(Duration Wait) {
  this->IsReading = true;
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
    // Each watch is answered with all versions since; a read has the newest.
    const bool HasBacklog =
        this->WatchFailures > 1 && this->isLarge() &&
        Answer.error().Code == store::StoreErrorCode::Ambiguous;
    this->retry(Answer.error(), IsLost || IsOverdue || HasBacklog);
    return;
  }
  this->WatchFailures = 0;
  this->CallFailures = 0;
  this->LastReport = ReportKind::Watch;
  this->LastReportVia = Answer.value().Via;
  this->report(Sent, this->applyChanges(std::move(Answer).value()));
  this->continueWatching();
}

void PrefixWatch::continueWatching() {
  this->IsReading = false;
  if (!this->IsStopped && !this->IsPaused)
    this->watch(this->CallWait);
}

std::set<std::string> PrefixWatch::applyChanges(store::WatchAnswer Answer) {
  std::set<std::string> Changed;
  for (store::StoreChange &Change : Answer.Changes) {
    // A refresh, or a later page of the first read, may have found a later
    // change.
    const auto Known = this->Items.find(Change.Key);
    const bool IsKnown =
        Known != this->Items.end() && Known->second.Revision >= Change.Revision;
    if (IsKnown || Change.Revision <= this->AsOf)
      continue;
    if (Change.Item)
      this->Items[Change.Key] = std::move(*Change.Item);
    else if (Known != this->Items.end())
      this->Items.erase(Known);
    Changed.insert(Change.Key);
  }
  this->AsOf = std::max(this->AsOf, Answer.AsOf);
  return Changed;
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
  const Duration Delay =
      MinRetryDelay * (1 << std::min(this->CallFailures, MaxRetryDoublings));
  ++this->CallFailures;
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(Delay),
              [ReadsAll](PrefixWatch &Self) {
                if (Self.IsStopped)
                  return;
                if (ReadsAll)
                  Self.start();
                else if (Self.IsPaused)
                  Self.IsReading = false;
                else
                  Self.watch(ProbeTimeout);
              });
}

} // namespace whintack::dispatch::Internal
