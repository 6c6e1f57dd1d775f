#include "shardstore.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

static constexpr Duration ReadRetryDelay = std::chrono::milliseconds(200);

ShardStore::ShardStore(Context Shared, ServiceName Service, uint64_t Token)
    : Shared(std::move(Shared)), Service(std::move(Service)), Token(Token) {}

void ShardStore::readAll(
    const std::string &Prefix, const std::string &After,
    const std::shared_ptr<std::vector<store::StoreItem>> &Found,
    const std::function<void()> &Done) {
  const TimePoint Sent = this->Shared.now();
  this->Shared.Store.Range(
      Prefix, After, store::ReadKind::Current,
      onLoop<ShardStore, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Prefix, After, Found, Done, Sent](
              ShardStore &Self, store::StoreResult<store::StorePage> Answer) {
            if (Self.IsStopped)
              return;
            if (!Answer) {
              logEvent(LogLevel::Warning, "shard-read-failed",
                       {{"prefix", Prefix},
                        {"items-read", Found->size()},
                        {"took-ms", toMilliseconds(Self.Shared.now() - Sent)},
                        {"code",
                         nameOf(store::StoreErrorNames, Answer.error().Code)},
                        {"cause", Answer.error().Message}});
              scheduleFor(Self.Shared.Loop, Self.shared_from_this(),
                          Self.Shared.now() +
                              Self.Shared.jittered(ReadRetryDelay),
                          [Prefix, After, Found, Done](ShardStore &Owner) {
                            Owner.readAll(Prefix, After, Found, Done);
                          });
              return;
            }
            std::string Last = After;
            for (store::StoreItem &Item : Answer.value().Items) {
              Last = Item.Key;
              Found->push_back(std::move(Item));
            }
            if (Answer.value().HasMore && Last != After)
              Self.readAll(Prefix, Last, Found, Done);
            else
              Done();
          }));
}

void ShardStore::load(const std::function<void(Contents)> &Done) {
  auto Jobs = std::make_shared<std::vector<store::StoreItem>>();
  auto Progress = std::make_shared<std::vector<store::StoreItem>>();
  // Progress is read after the jobs: a job that ends in between leaves a final
  // record and no progress, which then reads as no progress yet. Under this
  // planner's claim nobody else writes either kind of record.
  this->readAll(keys::jobs(this->Service), "", Jobs,
                [Weak = this->weak_from_this(), Jobs, Progress, Done] {
                  const auto Self = Weak.lock();
                  if (!Self)
                    return;
                  Self->readAll(
                      keys::progress(Self->Service), "", Progress,
                      [Jobs, Progress, Done] {
                        Done({std::move(*Jobs), std::move(*Progress)});
                      });
                });
}

void ShardStore::write(
    const std::vector<jobs::JobWrite> &Writes,
    const std::function<std::string(const jobs::JobId &)> &QueueName,
    const std::function<void(WriteOutcome)> &Done) {
  store::StoreTransaction Change;
  Change.Expect = {{keys::Claims + this->Service.text(), this->Token}};
  for (const jobs::JobWrite &Write : Writes) {
    const std::string Id = Write.Job.text();
    if (!jobs::isFinal(Write.Progress.State)) {
      Change.Puts.push_back({keys::progress(this->Service) + Id,
                             jobs::encodeProgress(Write.Progress), 0});
      continue;
    }
    StoredJob Final;
    Final.QueueName = QueueName(Write.Job);
    Final.End = Write.Progress.State;
    Change.Puts.push_back(
        {keys::jobs(this->Service) + Id, encodeStoredJob(Final), 0});
    Change.Removals.push_back(keys::progress(this->Service) + Id);
  }
  this->Shared.Store.Commit(
      Change,
      onLoop<ShardStore, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Done](ShardStore &Self,
                 const store::StoreResult<store::CommitAnswer> &Answer) {
            if (Self.IsStopped)
              return;
            if (!Answer)
              Done(WriteOutcome::Failed);
            else if (Answer.value().IsCommitted)
              Done(WriteOutcome::Written);
            else
              Done(WriteOutcome::Superseded);
          }));
}

} // namespace whintack::dispatch::Internal
