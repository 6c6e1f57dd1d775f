#include "planner_p.h"

#include <algorithm>

namespace whintack::jobs {

using namespace Internal;

/// Maximum number of executors in one request for advice. The response time
/// grows with each executor.
static constexpr size_t MaxAdviceCandidates = 30;
/// Delay before a failed request for advice is repeated.
static constexpr Duration AdviceRetryDelay = std::chrono::milliseconds(200);

bool AdviceRecord::hasTicket(const ExecutorId &Id, TimePoint Now) const {
  const auto Found = this->Tickets.find(Id);
  return Found != this->Tickets.end() && Now < Found->second.ValidUntil;
}

/// Maximum number of executors in one request, so that the answer comes before
/// the objective of the job and within the validity of a ticket. Once the
/// objective has passed, an answer takes at most twice the base time.
static size_t maxCandidates(const AdvicePolicy &Policy, TimePoint Objective,
                            TimePoint Now) {
  if (Policy.TimePerExecutor <= Duration::zero())
    return MaxAdviceCandidates;
  const Duration Limit =
      std::min(Policy.Validity, std::max(Objective - Now, 2 * Policy.BaseTime));
  const int64_t Count = (Limit - Policy.BaseTime) / Policy.TimePerExecutor;
  return static_cast<size_t>(
      std::clamp<int64_t>(Count, 1, MaxAdviceCandidates));
}

/// Number of the step's tasks that are to be placed. Long-running ones may have
/// to move at any time.
static size_t countUnplaced(const StepSpec &Spec, const StepRecord &Step) {
  const auto Unplaced = static_cast<size_t>(std::count_if(
      Step.Tasks.begin(), Step.Tasks.end(), [](const TaskRecord &Task) {
        return !Task.Stored.IsDone && !Task.Current;
      }));
  return std::max<size_t>(Unplaced, Spec.IsLongRunning ? 1 : 0);
}

bool Planner::Private::hasTicketedPlaces(
    const JobRecord &Job, const StepKey &Step,
    const std::vector<Candidate> &Candidates, TimePoint Now) {
  const StepSpec &Spec = this->stepSpec(Job, Step);
  const size_t Wanted = countUnplaced(Spec, Job.step(Step));
  size_t Places = 0;
  for (const Candidate &Each : Candidates) {
    if (Places >= Wanted)
      return true;
    if (this->canRunOn(Job, {Step, 0}, Each, Now))
      Places += countFittingTasks(Spec, Each.Free);
  }
  return Places >= Wanted;
}

bool Planner::Private::ensureTickets(const JobRecord &Job, const StepKey &Step,
                                     const std::vector<Candidate> &Candidates,
                                     TimePoint Now) {
  if (!Job.Policy.Advice)
    return true;
  AdviceRecord &Known = this->Advice[Step];
  const bool HasTicket = std::any_of(
      Candidates.begin(), Candidates.end(), [&](const Candidate &Each) {
        return Known.hasTicket(Each.Executor->Info.Id, Now);
      });
  if (Known.IsRequestPending || Now < Known.NextRequestAt ||
      (HasTicket && this->hasTicketedPlaces(Job, Step, Candidates, Now)))
    return HasTicket;
  AdviceOrder Request;
  Request.Step = Step;
  // Which executors may run a step does not change. Executors whose ticket has
  // expired are therefore asked about again, and those that were granted none
  // are left out.
  const size_t MaxCount =
      maxCandidates(*Job.Policy.Advice, Job.Rank.Objective, Now);
  const auto AddCandidates = [&](bool WithRoom) {
    for (const Candidate &Each : Candidates) {
      const ExecutorId &Id = Each.Executor->Info.Id;
      const bool MayBeGood =
          !Known.AskedExecutors.contains(Id) || Known.Tickets.contains(Id);
      const bool HasRoom = this->canHost(Job, {Step, 0}, Each);
      if (Request.Candidates.size() < MaxCount && MayBeGood &&
          HasRoom == WithRoom && !Known.hasTicket(Id, Now))
        Request.Candidates.push_back(Id);
    }
  };
  AddCandidates(true);
  // Without any ticket, the step is to be ready once there is room.
  if (!HasTicket)
    AddCandidates(false);
  if (Request.Candidates.empty())
    return HasTicket;
  Request.ResponseTime =
      Job.Policy.Advice->responseTime(Request.Candidates.size());
  Known.IsRequestPending = true;
  this->Orders.push_back(std::move(Request));
  return HasTicket;
}

void Planner::noteAdvice(const AdviceOrder &Request,
                         const std::vector<Ticket> &Tickets,
                         TimePoint ValidUntil) {
  const auto Found = this->D->Advice.find(Request.Step);
  if (Found == this->D->Advice.end())
    return;
  AdviceRecord &Record = Found->second;
  Record.IsRequestPending = false;
  Record.AskedExecutors.insert(Request.Candidates.begin(),
                               Request.Candidates.end());
  for (const Ticket &Granted : Tickets)
    Record.Tickets[Granted.Executor] = {Granted.Text, ValidUntil};
  this->D->log("advice-taken", {{"step", Request.Step.text()},
                                {"asked", Request.Candidates.size()},
                                {"good", Tickets.size()}});
}

void Planner::noteAdviceFailed(const AdviceOrder &Request, TimePoint Now) {
  const auto Found = this->D->Advice.find(Request.Step);
  if (Found == this->D->Advice.end())
    return;
  Found->second.IsRequestPending = false;
  Found->second.NextRequestAt = Now + AdviceRetryDelay;
}

void Planner::Private::noteTicketRejected(const StartOrder &Order,
                                          TimePoint Now) {
  const auto Record = this->Advice.find(Order.Task.Step);
  if (Record == this->Advice.end())
    return;
  const auto Rejected = Record->second.Tickets.find(Order.Executor);
  // A newer ticket may have been granted while the order was under way.
  if (Rejected == Record->second.Tickets.end() ||
      Rejected->second.Text != Order.Ticket)
    return;
  Record->second.Tickets.erase(Rejected);
  Record->second.AskedExecutors.erase(Order.Executor);
  Record->second.NextRequestAt = Now + AdviceRetryDelay;
}

} // namespace whintack::jobs
