#include "whintack/simulation/memorystore.h"

#include <algorithm>

namespace whintack::simulation {

using store::StoreError;
using store::StoreErrorCode;
using store::StoreResult;

/// When a caller gives up on an answer; as in the client for the platform.
static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
static constexpr size_t MostHistory = 20000;

MemoryStore::MemoryStore(Clock Time, TimerQueue &Loop)
    : Time(std::move(Time)), Loop(Loop) {}

void MemoryStore::setPath(const EntryName &Vm, StorePath Path) {
  this->Paths[Vm] = Path;
}

void MemoryStore::setPathOfAll(StorePath Path) {
  this->DefaultPath = Path;
  this->Paths.clear();
}

StorePath MemoryStore::pathOf(const EntryName &Vm) const {
  const auto Found = this->Paths.find(Vm);
  return Found == this->Paths.end() ? this->DefaultPath : Found->second;
}

template <typename T>
void MemoryStore::serve(const EntryName &Vm, store::StoreCallback<T> Done,
                        std::function<StoreResult<T>()> Work) {
  const TimePoint Now = this->Time.Now();
  this->Loop.schedule(Now + this->Delay, [this, Vm, Done, Work, Now] {
    switch (this->pathOf(Vm)) {
    case StorePath::Served:
      Done(Work());
      return;
    case StorePath::Refused:
      Done(failure(StoreError{StoreErrorCode::Unreachable, "refused"}));
      return;
    case StorePath::AnswersLost:
      static_cast<void>(Work());
      break;
    case StorePath::Silent:
      break;
    }
    this->Loop.schedule(Now + CallTimeout, [Done] {
      Done(failure(StoreError{StoreErrorCode::Ambiguous, "no answer"}));
    });
  });
}

store::AsyncStore MemoryStore::interface(const EntryName &Vm) {
  store::AsyncStore Made;
  Made.Range = [this, Vm](const std::string &Prefix, const std::string &After,
                          store::ReadKind,
                          store::StoreCallback<store::StorePage> Done) {
    this->serve<store::StorePage>(Vm, std::move(Done), [this, Prefix, After] {
      return this->range(Prefix, After);
    });
  };
  Made.Commit = [this, Vm](const store::StoreTransaction &Change,
                           store::StoreCallback<store::CommitAnswer> Done) {
    this->serve<store::CommitAnswer>(
        Vm, std::move(Done), [this, Change] { return this->commit(Change); });
  };
  Made.GrantLease = [this, Vm](Duration Length,
                               store::StoreCallback<store::LeaseId> Done) {
    this->serve<store::LeaseId>(Vm, std::move(Done), [this, Vm, Length] {
      return this->grant(Vm, Length);
    });
  };
  Made.KeepLease = [this, Vm](store::LeaseId Id,
                              store::StoreCallback<void> Done) {
    this->serve<void>(Vm, std::move(Done),
                      [this, Id] { return this->keep(Id); });
  };
  Made.EndLease = [this, Vm](store::LeaseId Id,
                             store::StoreCallback<void> Done) {
    this->serve<void>(Vm, std::move(Done), [this, Id]() -> StoreResult<void> {
      this->endLease(Id);
      return success();
    });
  };
  Made.Watch = [this, Vm](const std::string &Prefix, uint64_t After,
                          Duration Wait,
                          store::StoreCallback<store::WatchAnswer> Done) {
    this->watch(Vm, {Prefix, After, this->Time.Now() + Wait, std::move(Done)});
  };
  return Made;
}

StoreResult<store::StorePage>
MemoryStore::range(const std::string &Prefix, const std::string &After) const {
  store::StorePage Page;
  Page.AsOf = this->Revision;
  constexpr size_t PageLength = 500;
  for (auto Each = this->Items.lower_bound(std::max(Prefix, After));
       Each != this->Items.end() && Each->first.starts_with(Prefix); ++Each) {
    if (Each->first == After)
      continue;
    if (Page.Items.size() == PageLength) {
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
      return failure(StoreError{StoreErrorCode::LeaseLapsed, "no such lease"});
  ++this->Revision;
  for (const store::StorePut &Put : Change.Puts)
    this->write(Put.Key, Put.Value, Put.Lease);
  for (const std::string &Key : Change.Removals)
    this->erase(Key);
  Answer.Revision = this->Revision;
  this->tellWatchers();
  return Answer;
}

void MemoryStore::write(const std::string &Key, const std::string &Value,
                        store::LeaseId Lease) {
  const store::StoreItem Item{Key, Value, this->Revision, Lease};
  this->Items[Key] = Item;
  this->History.push_back({Key, this->Revision, Item});
  if (this->History.size() > MostHistory)
    this->dropHistory();
}

void MemoryStore::erase(const std::string &Key) {
  if (this->Items.erase(Key) > 0)
    this->History.push_back({Key, this->Revision, std::nullopt});
}

void MemoryStore::put(const std::string &Key, const std::string &Value) {
  ++this->Revision;
  this->write(Key, Value, 0);
  this->tellWatchers();
}

void MemoryStore::remove(const std::string &Key) {
  ++this->Revision;
  this->erase(Key);
  this->tellWatchers();
}

std::optional<std::string> MemoryStore::value(const std::string &Key) const {
  const auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return std::nullopt;
  return Found->second.Value;
}

StoreResult<store::LeaseId> MemoryStore::grant(const EntryName &Vm,
                                               Duration Length) {
  const store::LeaseId Id = ++this->LastLease;
  this->Leases[Id] = {Vm, Length, this->Time.Now() + Length};
  this->expireLater(Id);
  return Id;
}

StoreResult<void> MemoryStore::keep(store::LeaseId Id) {
  const auto Found = this->Leases.find(Id);
  if (Found == this->Leases.end())
    return failure(StoreError{StoreErrorCode::LeaseLapsed, "it has ended"});
  Found->second.Until = this->Time.Now() + Found->second.Length;
  return success();
}

void MemoryStore::expireLater(store::LeaseId Id) {
  this->Loop.schedule(this->Leases.at(Id).Until, [this, Id] {
    const auto Found = this->Leases.find(Id);
    if (Found == this->Leases.end())
      return;
    if (this->Time.Now() < Found->second.Until)
      this->expireLater(Id);
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
  this->tellWatchers();
}

void MemoryStore::revokeLeases(const EntryName &Vm) {
  std::vector<store::LeaseId> Ids;
  for (const auto &[Id, Granted] : this->Leases)
    if (Granted.Vm == Vm)
      Ids.push_back(Id);
  for (const store::LeaseId Id : Ids)
    this->endLease(Id);
}

void MemoryStore::dropHistory() {
  this->History.clear();
  this->Forgotten = this->Revision;
}

void MemoryStore::watch(const EntryName &Vm, Watcher Added) {
  this->Loop.schedule(this->Time.Now() + this->Delay, [this, Vm,
                                                       Added = std::move(
                                                           Added)]() mutable {
    if (this->pathOf(Vm) != StorePath::Served) {
      Added.Done(failure(StoreError{StoreErrorCode::Unreachable, "refused"}));
      return;
    }
    if (Added.After < this->Forgotten) {
      Added.Done(failure(StoreError{StoreErrorCode::HistoryLost, "dropped"}));
      return;
    }
    if (const auto Changes = this->changesFor(Added)) {
      Added.Done(*Changes);
      return;
    }
    const TimePoint Until = Added.Until;
    const auto Place =
        this->Watchers.insert(this->Watchers.end(), std::move(Added));
    this->Loop.schedule(Until, [this, Key = &*Place] {
      const auto Found =
          std::find_if(this->Watchers.begin(), this->Watchers.end(),
                       [Key](const Watcher &Each) { return &Each == Key; });
      // Another watch may have taken its place in memory.
      if (Found == this->Watchers.end() || this->Time.Now() < Found->Until)
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

void MemoryStore::tellWatchers() {
  for (auto Each = this->Watchers.begin(); Each != this->Watchers.end();) {
    const auto Changes = this->changesFor(*Each);
    if (!Changes) {
      ++Each;
      continue;
    }
    // The answer takes its time, and must not run inside the change.
    this->Loop.schedule(
        this->Time.Now() + this->Delay,
        [Done = std::move(Each->Done), Changes] { Done(*Changes); });
    Each = this->Watchers.erase(Each);
  }
}

} // namespace whintack::simulation
