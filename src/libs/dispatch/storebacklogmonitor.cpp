#include "storebacklogmonitor.h"

#include <utility>

namespace whintack::dispatch::Internal {

/// Age of the oldest change that is not stored above which the store counts as
/// behind.
static constexpr Duration MaxStoreLag = std::chrono::milliseconds(250);
static constexpr Duration LogInterval = std::chrono::seconds(1);

/// Milliseconds from \p Since to \p Now; 0 if there is nothing to wait for.
static int64_t ageMs(TimePoint Since, TimePoint Now) {
  return Since == TimePoint::max() ? 0 : toMilliseconds(Now - Since);
}

StoreBacklogMonitor::StoreBacklogMonitor(ServiceName Service,
                                         jobs::DecisionLog Log)
    : Service(std::move(Service)), Log(std::move(Log)) {}

void StoreBacklogMonitor::noteWritten(size_t Jobs) {
  ++this->WrittenCommits;
  this->WrittenJobs += Jobs;
}

void StoreBacklogMonitor::update(const BacklogSample &Current, TimePoint Now) {
  const TimePoint Oldest = Current.Planned.OldestChangeAt;
  const bool IsBehind =
      Oldest != TimePoint::max() && Now - Oldest > MaxStoreLag;
  if (IsBehind && !std::exchange(this->IsBehind, true))
    this->BehindSince = Oldest;
  if (!IsBehind) {
    this->IsBehind = false;
    if (!std::exchange(this->IsLogged, false)) {
      this->WrittenCommits = this->WrittenJobs = 0;
      return;
    }
  } else {
    if (Now < this->NextLogAt)
      return;
    this->NextLogAt = Now + LogInterval;
    this->IsLogged = true;
  }
  this->Log("store-backlog",
            {{"shard", this->Service},
             {"state", IsBehind ? "behind" : "ended"},
             {"claim", Current.IsClaimValid ? "valid" : "lapsed"},
             {"behind-ms", toMilliseconds(Now - this->BehindSince)},
             {"jobs", Current.Planned.Jobs},
             {"oldest-ms", ageMs(Oldest, Now)},
             {"commits", Current.OpenCommits},
             {"commit-ms", ageMs(Current.OldestCommitAt, Now)},
             {"executors", Current.Planned.Executors},
             {"ends", Current.Planned.Ends},
             {"oldest-end-ms", ageMs(Current.Planned.OldestEndAt, Now)},
             {"written-commits", std::exchange(this->WrittenCommits, 0)},
             {"written-jobs", std::exchange(this->WrittenJobs, 0)}});
}

} // namespace whintack::dispatch::Internal
