#include "serviceshard.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

/// How old the knowledge of the notices and of the list of executors may be
/// when a task is started. Request handlers acknowledge a cancellation once its
/// notice is stored, and an executor that drains or shrinks says so in the
/// list.
static constexpr Duration MaxKnowledgeAge = std::chrono::milliseconds(2000);
static constexpr Duration GraceRetryDelay = std::chrono::milliseconds(100);

ClaimPhase ServiceShard::phase() const {
  const TimePoint ValidUntil = this->Environment.ClaimValidUntil();
  return claimPhase(this->Shared.now(), ValidUntil,
                    this->Environment.GraceUntil
                        ? this->Environment.GraceUntil()
                        : ValidUntil);
}

bool ServiceShard::canOrder() const {
  return !this->IsStopped && this->phase() != ClaimPhase::Over;
}

bool ServiceShard::doExecutorsCheckAdmission() const {
  const auto Queues = this->Environment.Queues();
  const jobs::ServicePolicy *Policy =
      Queues ? Queues->service(this->Service) : nullptr;
  return Policy && Policy->ExecutorsCheckAdmission;
}

bool ServiceShard::canStartTasks() const {
  if (!this->canOrder() || !this->Notices)
    return false;
  // Jobs that are read in the grace may be known to a successor.
  if (this->isInGrace())
    return this->HasPlannedUnderClaim && this->doExecutorsCheckAdmission();
  if (this->IsListDropped)
    return false;
  const TimePoint Oldest = this->Shared.now() - MaxKnowledgeAge;
  return this->Notices->knownThrough() >= Oldest &&
         this->Environment.ExecutorsKnownThrough() >= Oldest;
}

bool ServiceShard::mayBeRegistered(const jobs::ExecutorId &Id) const {
  return this->Planner.isListedExecutor(Id) || this->IsListDropped ||
         this->Environment.ExecutorsKnownThrough() <
             this->Shared.now() - MaxKnowledgeAge;
}

void ServiceShard::reportStartPause() {
  const bool IsPaused = this->canOrder() && !this->canStartTasks();
  if (std::exchange(this->IsStartPaused, IsPaused) == IsPaused)
    return;
  logEvent(LogLevel::Warning, IsPaused ? "starts-paused" : "starts-resumed",
           {{"shard", this->OwnClaim.Shard}});
}

std::set<std::string>
ServiceShard::deferNewJobs(const ItemMap &Items,
                           const std::set<std::string> &Changed) {
  if (!this->mayBeSucceeded())
    return Changed;
  const std::string Jobs = keys::newJobs(this->Service);
  std::set<std::string> Others;
  for (const std::string &Key : Changed) {
    const auto Found = Items.find(Key);
    if (!Key.starts_with(Jobs) || !keys::isRecordOf(Key, Jobs))
      Others.insert(Key);
    else if (Found != Items.end())
      this->DeferredNotices[Key] = Found->second;
  }
  return Others;
}

void ServiceShard::endGrace() {
  this->HasPlannedUnderClaim = true;
  if (this->IsListDropped)
    this->Environment.RefreshExecutors();
  if (this->DeferredNotices.empty())
    return;
  const ItemMap Deferred = std::exchange(this->DeferredNotices, {});
  std::set<std::string> Keys;
  for (const auto &[Key, Item] : Deferred)
    Keys.insert(Key);
  this->handleNotices(Deferred, Keys);
}

/// Executors that the list does not show hold no lease of an earlier planner
/// any more. A successor that sees one of them in the list may have extended
/// its lease.
void ServiceShard::noteUnlistedEmpty(
    const std::vector<jobs::ExecutorId> &Unlisted) {
  if (this->mayBeSucceeded()) {
    scheduleFor(
        this->Shared.Loop, this->shared_from_this(),
        this->Shared.now() + GraceRetryDelay,
        [Unlisted](ServiceShard &Self) { Self.noteUnlistedEmpty(Unlisted); });
    return;
  }
  for (const jobs::ExecutorId &Id : Unlisted)
    if (!this->Links.contains(Id)) {
      this->Silent.erase(Id);
      this->Planner.noteEmpty(Id, jobs::ExecutorLoss::LeasesExpired,
                              this->Shared.now());
    }
  this->requestPlan();
}

} // namespace whintack::dispatch::Internal
