#include "serviceshard.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

/// Maximum delay before a failed removal of notices is retried.
static constexpr Duration NoticeRetryDelay = std::chrono::milliseconds(400);

/// Handles the notices that request handlers left in the store because they
/// could not reach the planner. A notice is removed once its effect is stored.
void ServiceShard::handleNotices(const ItemMap &Items,
                                 const std::set<std::string> &Changed) {
  if (this->IsStopped || Items.empty())
    return;
  const std::string Jobs = keys::newJobs(this->Service);
  const std::string Cancels = keys::cancellations(this->Service);
  for (const std::string &Key : this->deferNewJobs(Items, Changed)) {
    const auto Found = Items.find(Key);
    if (Found == Items.end())
      continue;
    if (Key.starts_with(Jobs) && keys::isRecordOf(Key, Jobs)) {
      this->addStoredJob(jobs::JobId(Key.substr(Jobs.size())),
                         Found->second.Value, jobs::JobSource::Notice, nullptr);
      this->HandledNotices.insert(Key);
    } else if (Key.starts_with(Cancels) && keys::isRecordOf(Key, Cancels)) {
      this->cancelByNotice(jobs::JobId(Key.substr(Cancels.size())));
    }
  }
  logEvent(LogLevel::Info, "notices-handled",
           {{"shard", this->OwnClaim.Shard},
            {"items", Items.size()},
            {"changed", Changed.size()},
            {"pending", this->PendingCancellations.size()}});
  this->removeHandledNotices();
  this->Writer->flush();
  this->requestPlan();
}

/// Cancels the job now, or when it is added if it is not known yet.
void ServiceShard::cancelByNotice(const jobs::JobId &Id) {
  const std::optional<uint64_t> Change =
      this->Planner.cancel(Id, this->Shared.now());
  if (!Change) {
    this->PendingCancellations.insert(Id);
    return;
  }
  this->answerWhenStored(
      Id, *Change,
      [this, Key = keys::cancellations(this->Service) + Id.text()] {
        this->HandledNotices.insert(Key);
        this->removeHandledNotices();
      });
}

void ServiceShard::cancelIfPending(const jobs::JobId &Id) {
  if (this->PendingCancellations.erase(Id) > 0)
    this->cancelByNotice(Id);
}

void ServiceShard::removeHandledNotices() {
  if (this->IsRemovingNotices || this->IsStopped ||
      this->HandledNotices.empty())
    return;
  store::StoreTransaction Change;
  Change.Expect = {{keys::claim(this->OwnClaim.Shard), this->OwnClaim.Token}};
  for (const std::string &Key : this->HandledNotices) {
    if (Change.Expect.size() + Change.Removals.size() >=
        store::MaxTransactionEntries)
      break;
    Change.Removals.push_back(Key);
  }
  this->IsRemovingNotices = true;
  this->Shared.Store.Commit(
      Change, onLoop<ServiceShard, store::StoreResult<store::CommitAnswer>>(
                  this->Shared.Loop, this->shared_from_this(),
                  [Removed = Change.Removals](
                      ServiceShard &Self,
                      const store::StoreResult<store::CommitAnswer> &Answer) {
                    Self.handleNoticesRemoved(Removed, Answer);
                  }));
}

void ServiceShard::handleNoticesRemoved(
    const std::vector<std::string> &Removed,
    const store::StoreResult<store::CommitAnswer> &Answer) {
  this->IsRemovingNotices = false;
  if (!Answer) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(),
                this->Shared.now() + this->Shared.jittered(NoticeRetryDelay),
                [](ServiceShard &Self) { Self.removeHandledNotices(); });
    return;
  }
  if (!Answer.value().IsCommitted) {
    this->reportLoss("another planner holds the claim");
    return;
  }
  for (const std::string &Key : Removed)
    this->HandledNotices.erase(Key);
  this->removeHandledNotices();
}

} // namespace whintack::dispatch::Internal
