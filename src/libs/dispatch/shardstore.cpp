#include "shardstore.h"

#include "storekeys.h"

#include <utility>

namespace whintack::dispatch::Internal {

static constexpr Duration ReadRetryDelay = std::chrono::milliseconds(200);
/// Wait of a read of changes, which usually finds some at once.
static constexpr Duration ChangesWait = std::chrono::milliseconds(300);
/// Number of failed reads of changes after which all jobs are read instead:
/// the changes may be too many for the link, and become more.
static constexpr unsigned MaxChangeFailures = 2;

ShardStore::ShardStore(Context Shared, std::shared_ptr<LoadQueue> Loads,
                       ServiceName Service)
    : Shared(std::move(Shared)), Loads(std::move(Loads)),
      Service(std::move(Service)) {}

void ShardStore::stop() {
  this->IsStopped = true;
  if (this->Reading)
    this->Reading->stop();
  // Ends this shard's turn to load.
  this->Reading.reset();
  if (this->QuotaReading)
    this->QuotaReading->stop();
  this->QuotaReading.reset();
}

void ShardStore::read(const std::string &Prefix,
                      std::function<void(PortionedRead::Contents)> Done) {
  this->Reading = std::make_shared<PortionedRead>(
      this->Shared, Prefix,
      [Prefix, Done = std::move(Done)](PortionedRead::Contents Found) {
        std::erase_if(Found.Items, [&Prefix](const store::StoreItem &Item) {
          return !keys::isRecordOf(Item.Key, Prefix);
        });
        Done(std::move(Found));
      });
  this->Reading->start();
}

void ShardStore::load(bool HasQuotas, std::function<void(Contents)> Done) {
  this->Loads->enter([Weak = this->weak_from_this(), HasQuotas,
                      Done = std::move(Done)](LoadQueue::Turn Turn) {
    if (const auto Self = Weak.lock(); Self && !Self->IsStopped)
      Self->readJobs(std::move(Turn), HasQuotas, Done);
  });
}

void ShardStore::readQuotas(
    std::function<void(std::vector<store::StoreItem>)> Done) {
  this->QuotaReading =
      std::make_shared<QuotaRecordReader>(this->Shared, std::move(Done));
  this->QuotaReading->start();
}

void ShardStore::readJobs(LoadQueue::Turn Turn, bool HasQuotas,
                          std::function<void(Contents)> Done) {
  auto Loaded = std::make_shared<Contents>();
  Loaded->Began = this->Shared.now();
  // Progress is read after the jobs: a job that ends in between leaves a final
  // record and no progress, which then reads as no progress yet. Under this
  // planner's claim nobody else writes either kind of record.
  this->read(keys::jobs(this->Service), [this, Turn = std::move(Turn), Loaded,
                                         HasQuotas, Done = std::move(Done)](
                                            PortionedRead::Contents Jobs) {
    Loaded->Jobs = std::move(Jobs.Items);
    Loaded->AsOf = Jobs.AsOf;
    this->read(keys::progress(this->Service),
               [this, Turn, Loaded, HasQuotas,
                Done](PortionedRead::Contents Progress) {
                 Loaded->Progress = std::move(Progress.Items);
                 if (!HasQuotas) {
                   Done(std::move(*Loaded));
                   return;
                 }
                 this->readQuotas(
                     [Turn, Loaded, Done](std::vector<store::StoreItem> Items) {
                       Loaded->Quotas = std::move(Items);
                       Done(std::move(*Loaded));
                     });
               });
  });
}

void ShardStore::readChangedJobs(uint64_t After, JobsHook Done) {
  auto Current = std::make_shared<ChangeRead>();
  Current->After = After;
  Current->Done = std::move(Done);
  this->findTarget(Current);
}

/// Finds out which revision the store has now.
void ShardStore::findTarget(const std::shared_ptr<ChangeRead> &Current) {
  this->Shared.Store.Range(
      keys::claim(ShardId::of(this->Service)), "", store::ReadKind::Current,
      onLoop<ShardStore, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Current](ShardStore &Self,
                    const store::StoreResult<store::StorePage> &Answer) {
            if (!Answer) {
              Self.retryChanges(Current, Answer.error(),
                                &ShardStore::findTarget);
              return;
            }
            Current->Target = Answer.value().AsOf;
            Self.readChanges(Current);
          }));
}

void ShardStore::readChanges(const std::shared_ptr<ChangeRead> &Current) {
  if (Current->After >= Current->Target) {
    std::vector<store::StoreItem> Changed;
    for (auto &[Key, Item] : Current->Jobs)
      Changed.push_back(std::move(Item));
    Current->Done(std::move(Changed), Current->Target);
    return;
  }
  this->Shared.Store.Watch(
      keys::jobs(this->Service), Current->After, ChangesWait,
      onLoop<ShardStore, store::StoreResult<store::WatchAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Current](ShardStore &Self,
                    store::StoreResult<store::WatchAnswer> Answer) {
            Self.handleChanges(Current, std::move(Answer));
          }));
}

void ShardStore::handleChanges(const std::shared_ptr<ChangeRead> &Current,
                               store::StoreResult<store::WatchAnswer> Answer) {
  if (this->IsStopped)
    return;
  if (!Answer) {
    if (Answer.error().Code == store::StoreErrorCode::HistoryLost ||
        ++Current->Failures >= MaxChangeFailures)
      this->readAllJobs(std::move(Current->Done));
    else
      this->retryChanges(Current, Answer.error(), &ShardStore::readChanges);
    return;
  }
  // An answer without changes means that there have been none at all.
  const bool IsLast = Answer.value().Changes.empty();
  Current->After =
      IsLast ? Current->Target : std::max(Current->After, Answer.value().AsOf);
  for (store::StoreChange &Change : Answer.value().Changes) {
    if (!keys::isRecordOf(Change.Key, keys::jobs(this->Service)))
      continue;
    if (Change.Item)
      Current->Jobs[Change.Key] = std::move(*Change.Item);
    else
      Current->Jobs.erase(Change.Key);
  }
  this->readChanges(Current);
}

void ShardStore::retryChanges(
    const std::shared_ptr<ChangeRead> &Current, const store::StoreError &Cause,
    void (ShardStore::*Step)(const std::shared_ptr<ChangeRead> &)) {
  logEvent(LogLevel::Warning, "shard-changes-not-read",
           {{"shard", this->Service},
            {"after", Current->After},
            {"code", nameOf(store::StoreErrorNames, Cause.Code)},
            {"cause", Cause.Message}});
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              this->Shared.now() + this->Shared.jittered(ReadRetryDelay),
              [Current, Step](ShardStore &Self) {
                if (!Self.IsStopped)
                  (Self.*Step)(Current);
              });
}

void ShardStore::readAllJobs(JobsHook Done) {
  this->Loads->enter([Weak = this->weak_from_this(),
                      Done = std::move(Done)](LoadQueue::Turn Turn) {
    const auto Self = Weak.lock();
    if (!Self || Self->IsStopped)
      return;
    Self->read(keys::jobs(Self->Service),
               [Turn = std::move(Turn), Done](PortionedRead::Contents Jobs) {
                 Done(std::move(Jobs.Items), Jobs.AsOf);
               });
  });
}

} // namespace whintack::dispatch::Internal
