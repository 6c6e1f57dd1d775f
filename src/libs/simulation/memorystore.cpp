#include "whintack/simulation/memorystore.h"

#include <algorithm>

namespace whintack::simulation {

using store::StoreError;
using store::StoreErrorCode;
using store::StoreResult;

/// A caller stops waiting for an answer after this time; same value as in the
/// client of the real platform.
static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
/// When a call that is carried out late takes effect.
static constexpr Duration LateCallDelay = std::chrono::seconds(3);
static constexpr size_t MaxHistoryEntries = 20000;

/// Added to the wait of a watch to give the time-out of its call, as in the
/// client of the real platform.
static constexpr Duration WatchTimeoutMargin = std::chrono::milliseconds(800);
/// Limits of one page.
static constexpr size_t MaxPageItems = 500;
static constexpr size_t MaxPageBytes = 1000000;

static size_t wireSize(const store::StoreItem &Item) {
  // Values travel as base64 text, beside the names of the fields.
  constexpr size_t FieldBytes = 60;
  return FieldBytes + Item.Key.size() + (Item.Value.size() + 2) / 3 * 4;
}

static constexpr size_t EnvelopeBytes = 200;

size_t wireSize(const store::StorePage &Page) {
  size_t Bytes = EnvelopeBytes;
  for (const store::StoreItem &Item : Page.Items)
    Bytes += wireSize(Item);
  return Bytes;
}

size_t wireSize(const store::WatchAnswer &Answer) {
  size_t Bytes = EnvelopeBytes;
  for (const store::StoreChange &Change : Answer.Changes)
    Bytes += Change.Item ? wireSize(*Change.Item)
                         : wireSize(store::StoreItem{Change.Key, "", 0, 0});
  return Bytes;
}

size_t wireSize(const store::CommitAnswer &Answer) {
  size_t Bytes = EnvelopeBytes;
  for (const store::StoreItem &Item : Answer.Current)
    Bytes += wireSize(Item);
  return Bytes;
}

size_t wireSize(store::LeaseId) { return EnvelopeBytes; }

template <typename T> static size_t answerSize(const StoreResult<T> &Answer) {
  return Answer ? wireSize(Answer.value()) : EnvelopeBytes;
}

static size_t answerSize(const StoreResult<void> &) { return EnvelopeBytes; }

MemoryStore::MemoryStore(Clock Time, TimerQueue &Loop)
    : Time(std::move(Time)), Loop(Loop) {}

void MemoryStore::setFaultMode(const EntryName &Vm, StoreFaultMode Mode) {
  this->FaultModes[Vm] = Mode;
}

void MemoryStore::setFaultModeForAll(StoreFaultMode Mode) {
  this->DefaultFaultMode = Mode;
  this->FaultModes.clear();
}

StoreFaultMode MemoryStore::faultModeFor(const EntryName &Vm) const {
  const auto Found = this->FaultModes.find(Vm);
  return Found == this->FaultModes.end() ? this->DefaultFaultMode
                                         : Found->second;
}

void MemoryStore::setLinkRate(const EntryName &Vm, double BytesPerSecond) {
  this->Links[Vm] =
      std::make_unique<SharedLink>(this->Time, this->Loop, BytesPerSecond);
}

SharedLink *MemoryStore::linkOf(const EntryName &Vm) {
  const auto Found = this->Links.find(Vm);
  return Found == this->Links.end() ? nullptr : Found->second.get();
}

template <typename T>
void MemoryStore::deliver(const EntryName &Vm, TimePoint Deadline,
                          StoreResult<T> Answer, store::StoreCallback<T> Done) {
  SharedLink *Link = this->linkOf(Vm);
  if (!Link) {
    Done(std::move(Answer));
    return;
  }
  const size_t Bytes = answerSize(Answer);
  const SharedLink::TransferId Id =
      Link->start(Bytes, [Done, Answer] { Done(Answer); });
  this->Loop.schedule(Deadline, [Link, Id, Done] {
    if (Link->abort(Id))
      Done(failure(StoreError{StoreErrorCode::Ambiguous, "too slow"}));
  });
}

template <typename T>
void MemoryStore::serve(const EntryName &Vm, store::StoreCallback<T> Done,
                        std::function<StoreResult<T>()> Work) {
  const TimePoint Now = this->Time.Now();
  this->Loop.schedule(Now + this->Delay, [this, Vm, Done, Work, Now] {
    switch (this->faultModeFor(Vm)) {
    case StoreFaultMode::Served:
    case StoreFaultMode::WatchesSilent:
      this->deliver<T>(Vm, Now + CallTimeout, Work(), Done);
      return;
    case StoreFaultMode::Refused:
      Done(failure(StoreError{StoreErrorCode::Unreachable, "refused"}));
      return;
    case StoreFaultMode::AnswersLost:
      static_cast<void>(Work());
      break;
    case StoreFaultMode::CarriedOutLate:
      this->Loop.schedule(Now + LateCallDelay,
                          [Work] { static_cast<void>(Work()); });
      break;
    case StoreFaultMode::Silent:
      break;
    }
    this->Loop.schedule(Now + CallTimeout, [Done] {
      Done(failure(StoreError{StoreErrorCode::Ambiguous, "no answer"}));
    });
  });
}

store::AsyncStore MemoryStore::interface(const EntryName &Vm) {
  store::AsyncStore Interface;
  Interface.Range = [this, Vm](const std::string &Prefix,
                               const std::string &After, store::ReadKind,
                               store::StoreCallback<store::StorePage> Done) {
    this->serve<store::StorePage>(Vm, std::move(Done), [this, Prefix, After] {
      return this->range(Prefix, After);
    });
  };
  Interface.Commit = [this,
                      Vm](const store::StoreTransaction &Change,
                          store::StoreCallback<store::CommitAnswer> Done) {
    this->serve<store::CommitAnswer>(
        Vm, std::move(Done), [this, Change] { return this->commit(Change); });
  };
  Interface.GrantLease = [this, Vm](Duration Ttl,
                                    store::StoreCallback<store::LeaseId> Done) {
    this->serve<store::LeaseId>(
        Vm, std::move(Done), [this, Vm, Ttl] { return this->grant(Vm, Ttl); });
  };
  Interface.KeepLease = [this, Vm](store::LeaseId Id,
                                   store::StoreCallback<void> Done) {
    this->serve<void>(Vm, std::move(Done),
                      [this, Id] { return this->keepAlive(Id); });
  };
  Interface.EndLease = [this, Vm](store::LeaseId Id,
                                  store::StoreCallback<void> Done) {
    this->serve<void>(Vm, std::move(Done), [this, Id]() -> StoreResult<void> {
      this->endLease(Id);
      return success();
    });
  };
  Interface.Watch = [this, Vm](const std::string &Prefix, uint64_t After,
                               Duration Wait,
                               store::StoreCallback<store::WatchAnswer> Done) {
    this->watch({Vm, Prefix, After, this->Time.Now() + this->Delay + Wait,
                 std::move(Done)});
  };
  return Interface;
}

StoreResult<store::StorePage>
MemoryStore::range(const std::string &Prefix, const std::string &After) const {
  store::StorePage Page;
  Page.AsOf = this->Revision;
  size_t Bytes = 0;
  for (auto Each = this->Items.lower_bound(std::max(Prefix, After));
       Each != this->Items.end() && Each->first.starts_with(Prefix); ++Each) {
    if (Each->first == After)
      continue;
    Bytes += Each->second.Value.size();
    if (Page.Items.size() == MaxPageItems ||
        (Bytes > MaxPageBytes && !Page.Items.empty())) {
      Page.HasMore = true;
      break;
    }
    Page.Items.push_back(Each->second);
  }
  return Page;
}

StoreResult<store::CommitAnswer>
MemoryStore::commit(const store::StoreTransaction &Change) {
  store::CommitAnswer Answer;
  Answer.IsCommitted = true;
  for (const store::ExpectedRevision &Expected : Change.Expect) {
    const auto Found = this->Items.find(Expected.Key);
    const bool Exists = Found != this->Items.end();
    if ((Exists ? Found->second.Revision : 0) != Expected.Revision)
      Answer.IsCommitted = false;
    if (Exists)
      Answer.Current.push_back(Found->second);
  }
  if (!Answer.IsCommitted)
    return Answer;
  Answer.Current.clear();
  for (const store::StorePut &Put : Change.Puts)
    if (Put.Lease != 0 && !this->Leases.contains(Put.Lease))
      return failure(StoreError{StoreErrorCode::LeaseExpired, "no such lease"});
  ++this->Revision;
  for (const store::StorePut &Put : Change.Puts)
    this->write(Put.Key, Put.Value, Put.Lease);
  for (const std::string &Key : Change.Removals)
    this->erase(Key);
  Answer.Revision = this->Revision;
  this->notifyWatchers();
  return Answer;
}

void MemoryStore::write(const std::string &Key, const std::string &Value,
                        store::LeaseId Lease) {
  const store::StoreItem Item{Key, Value, this->Revision, Lease};
  this->Items[Key] = Item;
  this->History.push_back({Key, this->Revision, Item});
  if (this->History.size() > MaxHistoryEntries)
    this->dropHistory();
}

void MemoryStore::erase(const std::string &Key) {
  if (this->Items.erase(Key) > 0)
    this->History.push_back({Key, this->Revision, std::nullopt});
}

void MemoryStore::put(const std::string &Key, const std::string &Value) {
  ++this->Revision;
  this->write(Key, Value, 0);
  this->notifyWatchers();
}

void MemoryStore::remove(const std::string &Key) {
  ++this->Revision;
  this->erase(Key);
  this->notifyWatchers();
}

std::optional<std::string> MemoryStore::value(const std::string &Key) const {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return std::nullopt;
  return Found->second.Value;
}

StoreResult<store::LeaseId> MemoryStore::grant(const EntryName &Vm,
                                               Duration Ttl) {
  const store::LeaseId Id = ++this->LastLease;
  this->Leases[Id] = {Vm, Ttl, this->Time.Now() + Ttl};
  this->scheduleExpiry(Id);
  return Id;
}

StoreResult<void> MemoryStore::keepAlive(store::LeaseId Id) {
  const auto Found = this->Leases.find(Id);
  if (Found == this->Leases.end())
    return failure(StoreError{StoreErrorCode::LeaseExpired, "it has ended"});
  Found->second.ExpiresAt = this->Time.Now() + Found->second.Ttl;
  return success();
}

void MemoryStore::scheduleExpiry(store::LeaseId Id) {
  this->Loop.schedule(this->Leases.at(Id).ExpiresAt, [this, Id] {
    const auto Found = this->Leases.find(Id);
    if (Found == this->Leases.end())
      return;
    if (this->Time.Now() < Found->second.ExpiresAt)
      this->scheduleExpiry(Id);
    else
      this->endLease(Id);
  });
}

void MemoryStore::endLease(store::LeaseId Id) {
  if (this->Leases.erase(Id) == 0)
    return;
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : this->Items)
    if (Item.Lease == Id)
      Keys.push_back(Key);
  if (Keys.empty())
    return;
  ++this->Revision;
  for (const std::string &Key : Keys)
    this->erase(Key);
  this->notifyWatchers();
}

void MemoryStore::revokeLeases(const EntryName &Vm) {
  std::vector<store::LeaseId> Ids;
  for (const auto &[Id, Granted] : this->Leases)
    if (Granted.Vm == Vm)
      Ids.push_back(Id);
  for (const store::LeaseId Id : Ids)
    this->endLease(Id);
}

void MemoryStore::failAfterTimeout(const Watcher &Lost) {
  this->Loop.schedule(Lost.Deadline + WatchTimeoutMargin, [Done = Lost.Done] {
    Done(failure(StoreError{StoreErrorCode::Ambiguous, "no answer"}));
  });
}

void MemoryStore::loseWatches(const EntryName &Vm, const std::string &Prefix,
                              unsigned Calls) {
  unsigned Remaining = Calls;
  for (auto Each = this->Watchers.begin();
       Each != this->Watchers.end() && Remaining > 0;) {
    if (Each->Vm != Vm || Each->Prefix != Prefix) {
      ++Each;
      continue;
    }
    this->failAfterTimeout(*Each);
    Each = this->Watchers.erase(Each);
    --Remaining;
  }
  this->WatchesToLose[{Vm, Prefix}] = Remaining;
}

size_t MemoryStore::countWatches(const EntryName &Vm,
                                 const std::string &Prefix) const {
  return static_cast<size_t>(std::count_if(
      this->Watchers.begin(), this->Watchers.end(), [&](const Watcher &Each) {
        return Each.Vm == Vm && Each.Prefix == Prefix;
      }));
}

void MemoryStore::dropHistory() {
  this->History.clear();
  this->CompactedRevision = this->Revision;
}

void MemoryStore::watch(Watcher NewWatcher) {
  this->Loop.schedule(
      this->Time.Now() + this->Delay,
      [this, NewWatcher = std::move(NewWatcher)]() mutable {
        const auto ToLose =
            this->WatchesToLose.find({NewWatcher.Vm, NewWatcher.Prefix});
        if (ToLose != this->WatchesToLose.end() && ToLose->second > 0) {
          --ToLose->second;
          this->failAfterTimeout(NewWatcher);
          return;
        }
        const StoreFaultMode Mode = this->faultModeFor(NewWatcher.Vm);
        if (Mode == StoreFaultMode::WatchesSilent) {
          this->Loop.schedule(this->Time.Now() + CallTimeout, [Done =
                                                                   NewWatcher
                                                                       .Done] {
            Done(failure(StoreError{StoreErrorCode::Ambiguous, "no answer"}));
          });
          return;
        }
        if (Mode != StoreFaultMode::Served) {
          NewWatcher.Done(
              failure(StoreError{StoreErrorCode::Unreachable, "refused"}));
          return;
        }
        if (NewWatcher.After < this->CompactedRevision) {
          NewWatcher.Done(
              failure(StoreError{StoreErrorCode::HistoryLost, "dropped"}));
          return;
        }
        if (const auto Changes = this->changesFor(NewWatcher)) {
          this->deliver<store::WatchAnswer>(
              NewWatcher.Vm, NewWatcher.Deadline + WatchTimeoutMargin, *Changes,
              NewWatcher.Done);
          return;
        }
        const TimePoint Deadline = NewWatcher.Deadline;
        const auto Position =
            this->Watchers.insert(this->Watchers.end(), std::move(NewWatcher));
        this->Loop.schedule(Deadline, [this, WatcherId = &*Position] {
          const auto Found = std::find_if(
              this->Watchers.begin(), this->Watchers.end(),
              [WatcherId](const Watcher &Each) { return &Each == WatcherId; });
          // Another watcher may have been allocated at the same address since.
          if (Found == this->Watchers.end() ||
              this->Time.Now() < Found->Deadline)
            return;
          const auto Done = std::move(Found->Done);
          this->Watchers.erase(Found);
          Done(store::WatchAnswer{{}, this->Revision});
        });
      });
}

std::optional<store::WatchAnswer>
MemoryStore::changesFor(const Watcher &Waiting) const {
  store::WatchAnswer Answer;
  Answer.AsOf = this->Revision;
  for (const store::StoreChange &Change : this->History)
    if (Change.Revision > Waiting.After &&
        Change.Key.starts_with(Waiting.Prefix))
      Answer.Changes.push_back(Change);
  if (Answer.Changes.empty())
    return std::nullopt;
  return Answer;
}

void MemoryStore::notifyWatchers() {
  for (auto Each = this->Watchers.begin(); Each != this->Watchers.end();) {
    const auto Changes = this->changesFor(*Each);
    if (!Changes) {
      ++Each;
      continue;
    }
    // The callback is delayed like any answer, and must not run within the
    // write that triggers it.
    this->Loop.schedule(this->Time.Now() + this->Delay,
                        [this, Waiting = std::move(*Each), Changes] {
                          this->deliver<store::WatchAnswer>(
                              Waiting.Vm, Waiting.Deadline + WatchTimeoutMargin,
                              *Changes, Waiting.Done);
                        });
    Each = this->Watchers.erase(Each);
  }
}

} // namespace whintack::simulation
