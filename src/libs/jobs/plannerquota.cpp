#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// More than any share: what runs on an executor whose capacity is not known,
/// or on executors that are still being determined.
static constexpr ComputeResources UnboundedUse = {
    1'000'000'000'000, 1'000'000'000'000, 1'000'000'000'000};

/// The resources of the executor that no known run has booked.
static ComputeResources unbooked(const ExecutorRecord &Executor) {
  const ComputeResources Free = Executor.free();
  return {std::max<int64_t>(Free.MilliCores, 0),
          std::max<int64_t>(Free.MemoryMb, 0), std::max<int64_t>(Free.Gpus, 0)};
}

void Planner::Private::updateUnknownUse() {
  if (this->Tenants.isEmpty())
    return;
  const bool IsUnbounded =
      this->IsDiscoveringExecutors ||
      std::any_of(this->AwaitedExecutors.begin(), this->AwaitedExecutors.end(),
                  [this](const ExecutorId &Id) {
                    return !this->Executors.contains(Id);
                  });
  ComputeResources Unknown;
  for (const auto &[Id, Executor] : this->Executors)
    if (Executor.HasUnknownRuns || Executor.MayHoldEarlierRuns ||
        this->AwaitedExecutors.contains(Id))
      Unknown += unbooked(Executor);
  this->Tenants.ledger().setUnknownUse(IsUnbounded ? UnboundedUse : Unknown);
}

bool Planner::Private::isHeldBackByQuota(const StartableJob &Given) const {
  const JobRecord &Job = *Given.Job;
  // A long-running task that leaves its executor is planned in any case, and
  // the occurrences of a periodic job become due without any event.
  if (Job.Rank.IsLongRunning || Job.Spec.isPeriodic() || Given.Waiting.IsEmpty)
    return false;
  return !this->Tenants.mayStart(Job.Tenant.Account, Given.Waiting.Least);
}

WaitingTasks Planner::Private::waitingTasks(const JobRecord &Job) const {
  WaitingTasks Waiting;
  if (!Job.Tenant.Account || isFinal(Job.State))
    return Waiting;
  const size_t Due =
      std::min(Job.Tenant.DueOccurrences, Job.Occurrences.size());
  for (size_t Occurrence = 0; Occurrence < Due; ++Occurrence)
    for (size_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      if (!this->canStart(
              Job, {Job.Spec.Id, static_cast<int64_t>(Occurrence), Step}) ||
          !TenantAccounts::fitsMaximum(*Job.Tenant.Account,
                                       Job.Spec.Steps[Step]))
        continue;
      const auto &Tasks = Job.Occurrences[Occurrence].Steps[Step].Tasks;
      const auto Count =
          std::count_if(Tasks.begin(), Tasks.end(), [](const TaskRecord &Task) {
            return !Task.Stored.IsDone && !Task.Current;
          });
      Waiting.add(Job.Spec.Steps[Step], static_cast<size_t>(Count));
    }
  return Waiting;
}

static std::string textOf(const ComputeResources &Resources) {
  return std::to_string(Resources.MilliCores) + "/" +
         std::to_string(Resources.MemoryMb) + "/" +
         std::to_string(Resources.Gpus);
}

static void logTenants(TenantAccounts &Tenants, const DecisionLog &Log,
                       TimePoint Now) {
  for (auto &[Name, Account] : Tenants.accounts()) {
    const bool IsHeldBack = Tenants.isHeldBack(Account, Account.Waiting);
    const ShareState State = Tenants.shareState(Account);
    const bool HasHeldBackChanged = Account.HeldBack.update(IsHeldBack, Now);
    const bool HasShareChanged = Account.Share.update(State, Now);
    if (!HasHeldBackChanged && !HasShareChanged)
      continue;
    const TenantStatus Status = Tenants.status(Account, Account.Waiting);
    if (HasHeldBackChanged)
      Log("tenant-quota", {{"tenant", Name},
                           {"held-back", IsHeldBack ? "yes" : "no"},
                           {"use", textOf(Status.Use)},
                           {"share", textOf(Status.Share)},
                           {"maximum", textOf(Status.Maximum)},
                           {"waiting", textOf(Status.Waiting)}});
    if (HasShareChanged)
      Log("tenant-share", {{"tenant", Name},
                           {"state", nameOf(ShareStateNames, State)},
                           {"used-part", Status.UsedPart},
                           {"entitled-part", Status.EntitledPart},
                           {"weight", Account.Weight}});
  }
}

void Planner::Private::divideAmongTenants(
    const std::vector<StartableJob> &Waiting, TimePoint Now) {
  if (this->Tenants.isEmpty())
    return;
  this->Tenants.clearWaiting();
  ComputeResources WaitingSum;
  bool IsScarce = false;
  for (const StartableJob &Each : Waiting) {
    TenantJob &Job = Each.Job->Tenant;
    if (!Job.Account)
      continue;
    if (!Job.IsGuaranteed) {
      Job.IsGuaranteed =
          Job.Account->Guarantee.admit(Each.Job->Accepted, Job.Account->Weight);
      Job.Account->JobsBeyondWeight += *Job.IsGuaranteed ? 0 : 1;
    }
    if (Each.Waiting.IsEmpty) {
      Job.WaitingSince = TimePoint::max();
      continue;
    }
    Job.Account->Waiting.add(Each.Waiting);
    if (this->Tenants.mayStart(Job.Account, Each.Waiting.Least)) {
      WaitingSum += Each.Waiting.Booked;
      // An earlier pass has found no place for the job.
      IsScarce = IsScarce || Job.WaitingSince < Now;
    }
    Job.WaitingSince = std::min(Job.WaitingSince, Now);
  }
  ComputeResources Capacity;
  ComputeResources Free;
  ComputeResources Booked;
  for (const auto &[Id, Executor] : this->Executors) {
    Booked += Executor.Booked;
    if (!Executor.IsListed || !Executor.HasReported)
      continue;
    Capacity += Executor.Info.Capacity;
    Free += unbooked(Executor);
  }
  // Jobs without a tenant have no share: the tenants divide what these leave.
  Capacity -= Booked;
  Capacity += this->Tenants.booked();
  this->Tenants.divide(Capacity, IsScarce || !Free.covers(WaitingSum));
  if (this->Setup.Log)
    logTenants(this->Tenants, this->Setup.Log, Now);
}

void Planner::adoptQuota(const tenants::QuotaGrants &Granted) {
  this->D->Tenants.ledger().adopt(Granted);
}

void Planner::setMayStartLimited(bool MayStart) {
  this->D->Tenants.setMayStartLimited(MayStart);
}

std::map<TenantName, TenantBacklog> Planner::Private::backlogs(TimePoint Now) {
  const bool IsRecovering = this->isRecovering();
  std::map<TenantName, TenantBacklog> Found;
  for (const StartableJob &Each : this->Startable) {
    const JobRecord &Job = *Each.Job;
    if (!Job.Tenant.Account || (Job.MayHaveRun && IsRecovering))
      continue;
    const WaitingTasks Waiting =
        Job.NeedsReview ? this->waitingTasks(Job) : Each.Waiting;
    if (Waiting.IsEmpty)
      continue;
    TenantBacklog &Backlog = Found[Job.Tenant.Account->Name];
    Backlog.Tasks.add(Waiting);
    // All tasks of a job that has not started wait since it was accepted.
    const TimePoint Since =
        Job.HasStarted ? std::min(Job.Tenant.WaitingSince, Now) : Job.Accepted;
    Backlog.Since = std::min(Backlog.Since, Since);
  }
  return Found;
}

tenants::QuotaReport Planner::quotaReport(TimePoint Now) const {
  this->D->updateUnknownUse();
  tenants::QuotaReport Report = this->D->Tenants.ledger().report();
  for (const auto &[Tenant, Backlog] : this->D->backlogs(Now)) {
    const auto Use = Report.Tenants.find(Tenant);
    if (Use == Report.Tenants.end())
      continue;
    Use->second.Waiting = Backlog.Tasks.Need;
    Use->second.LargestWaiting = Backlog.Tasks.Largest;
    Use->second.LongestWait = std::max(Now - Backlog.Since, Duration::zero());
  }
  return Report;
}

std::vector<TenantStatus> Planner::tenantStatus(TimePoint Now) const {
  this->D->updateUnknownUse();
  const std::map<TenantName, TenantBacklog> Backlogs = this->D->backlogs(Now);
  std::vector<TenantStatus> Found;
  for (const auto &[Name, Account] : this->D->Tenants.accounts()) {
    const auto Backlog = Backlogs.find(Name);
    Found.push_back(this->D->Tenants.status(
        Account,
        Backlog == Backlogs.end() ? WaitingTasks() : Backlog->second.Tasks));
  }
  return Found;
}

} // namespace whintack::jobs
