#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// Time until a machine that is asked for now runs its first task.
static constexpr Duration MoveTime = std::chrono::milliseconds(1800);

/// Estimated work of the job's tasks that could start now, in core-seconds.
double Planner::Private::startableWork(const JobRecord &Job) const {
  constexpr double MicrosPerSecond = 1e6;
  double Work = 0;
  for (size_t Occurrence = 0; Occurrence < Job.Occurrences.size(); ++Occurrence)
    for (size_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      const StepSpec &Spec = Job.Spec.Steps[Step];
      if (Spec.IsLongRunning ||
          !this->canStart(
              Job, {Job.Spec.Id, static_cast<int64_t>(Occurrence), Step}))
        continue;
      const auto &Tasks = Job.Occurrences[Occurrence].Steps[Step].Tasks;
      const auto Waiting =
          std::count_if(Tasks.begin(), Tasks.end(), [](const TaskRecord &Task) {
            return !Task.Stored.IsDone && !Task.Current;
          });
      Work += static_cast<double>(Waiting) *
              static_cast<double>(Spec.Need.MilliCores) / MilliCoresPerCore *
              static_cast<double>(Spec.Estimate.count()) / MicrosPerSecond;
    }
  return Work;
}

std::vector<std::string> Planner::Private::displacedTaskLabels(TimePoint Now) {
  std::vector<std::string> Displaced;
  std::vector<Candidate> Places = this->candidates(Now);
  std::map<const TenantAccount *, ComputeResources> Counted;
  for (const auto &[Id, Job] : this->Jobs) {
    if (isFinal(Job.State) || Job.Spec.isPeriodic())
      continue;
    for (size_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      const StepKey Key{Id, 0, Step};
      if (!Job.Spec.Steps[Step].IsLongRunning || !this->canStart(Job, Key))
        continue;
      const auto &Tasks = Job.Occurrences[0].Steps[Step].Tasks;
      for (size_t Index = 0; Index < Tasks.size(); ++Index) {
        const auto &Current = Tasks[Index].Current;
        if (!Current && Job.Tenant.Account) {
          ComputeResources Sum = Counted[Job.Tenant.Account];
          Sum += Job.Spec.Steps[Step].Need;
          if (!this->Tenants.mayStart(Job.Tenant.Account, Sum))
            continue;
          Counted[Job.Tenant.Account] = Sum;
        }
        const bool IsLeaving =
            Current && Now < this->Executors[Current->Executor].EvacuatingUntil;
        if (!Current || (IsLeaving && !this->takeOtherCandidate(
                                          Job, {Key, Index}, Places, Now)))
          Displaced.push_back(Job.Spec.Steps[Step].RequiredLabel);
      }
    }
  }
  return Displaced;
}

PoolDemand Planner::demand(TimePoint Now,
                           const std::vector<ArrivedExecutor> &Arrived) const {
  PoolDemand Demand;
  Demand.Pool = this->D->Setup.Service;
  Demand.ArrivingWork = this->D->Arrivals.expectedRate(Now, MoveTime);
  for (std::string &Label : this->D->displacedTaskLabels(Now)) {
    ++Demand.Displaced;
    if (!Label.empty())
      Demand.DisplacedLabels.push_back(std::move(Label));
  }
  // Machines do not help with what the quotas hold back.
  std::map<const TenantAccount *, double> MayStart;
  this->D->updateUnknownUse();
  for (const auto &[Tenant, Backlog] : this->D->backlogs(Now))
    MayStart[&this->D->Tenants.accounts()[Tenant]] =
        this->D->Tenants.ledger().partThatMayStart(Tenant, Backlog.Tasks.Need);
  for (const auto &[Id, Job] : this->D->Jobs) {
    if (Job.Spec.isPeriodic() || !Job.StartablePosition || isFinal(Job.State))
      continue;
    const auto Part = MayStart.find(Job.Tenant.Account);
    const double Helped = Part == MayStart.end() ? 1 : Part->second;
    switch (expectedOutcome(Job.Rank, Now)) {
    case ExpectedOutcome::OnTime:
      Demand.WaitingWork += Helped * this->D->startableWork(Job);
      break;
    case ExpectedOutcome::Late:
      Demand.LateWork += Helped * this->D->startableWork(Job);
      break;
    case ExpectedOutcome::Worthless:
      break;
    }
  }
  for (const auto &[Id, Executor] : this->D->Executors) {
    if (!Executor.IsListed || Executor.Info.IsDraining || !Executor.IsReachable)
      continue;
    // An executor that has not reported yet counts, because it will either
    // report or become unreachable.
    Demand.Cores += static_cast<double>(Executor.Info.Capacity.MilliCores -
                                        Executor.LongRunningMilliCores) /
                    MilliCoresPerCore;
    if (Executor.HasReported && Executor.Runs.empty() &&
        !Executor.HasUnknownRuns && !this->hasUnstoredEnds(Id))
      Demand.Vacant.insert(Id);
  }
  for (const ArrivedExecutor &Each : Arrived)
    if (!this->isKnownExecutor(Each.Id))
      Demand.Cores += Each.Cores;
  return Demand;
}

} // namespace whintack::jobs
