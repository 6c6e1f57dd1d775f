#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

void Planner::awaitReports(const std::vector<ExecutorId> &Executors) {
  this->D->AwaitedExecutors.insert(Executors.begin(), Executors.end());
}

void Planner::beginExecutorDiscovery() {
  this->D->IsDiscoveringExecutors = true;
}

void Planner::endExecutorDiscovery() {
  this->D->IsDiscoveringExecutors = false;
}

void Planner::beginCatchUp() { this->D->IsCatchingUp = true; }

void Planner::endCatchUp() {
  this->D->IsCatchingUp = false;
  this->D->DeferredEnds.clear();
  for (auto &[Id, Executor] : this->D->Executors)
    Executor.FirstDeferredEnd = 0;
}

bool Planner::Private::mayBeAddedLater(const JobId &Job) const {
  return this->IsCatchingUp && !this->Jobs.contains(Job) &&
         !this->FinalJobs.contains(Job);
}

void Planner::Private::handleDeferredEnds(const JobId &Job) {
  const auto Found = this->DeferredEnds.find(Job);
  if (Found == this->DeferredEnds.end())
    return;
  const std::vector<DeferredEnd> Ends = std::move(Found->second);
  this->DeferredEnds.erase(Found);
  for (const DeferredEnd &Each : Ends) {
    const auto Executor = this->Executors.find(Each.Executor);
    if (Executor == this->Executors.end())
      continue;
    this->handleEnd(Executor->second, Each.End, Each.ReportedAt);
    if (Each.Incarnation != Executor->second.Incarnation)
      continue;
    for (UnacknowledgedEnd &End : Executor->second.UnacknowledgedEnds)
      if (End.Number == Each.End.Number)
        End.Change = this->lastChangeOf(Job);
  }
}

bool Planner::isRecovering() const { return this->D->isRecovering(); }

} // namespace whintack::jobs
