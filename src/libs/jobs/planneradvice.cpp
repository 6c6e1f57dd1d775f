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

bool Planner::Private::ensureTickets(const JobRecord &Job, const StepKey &Step,
                                     const std::vector<Candidate> &Candidates,
                                     TimePoint Now) {
  if (!Job.Policy.Advice)
    return true;
  AdviceRecord &Known = this->Advice[Step];
  const auto HasTicket = [&Known, Now](const Candidate &Each) {
    return Known.hasTicket(Each.Executor->Info.Id, Now);
  };
  if (std::any_of(Candidates.begin(), Candidates.end(), HasTicket))
    return true;
  if (Known.IsRequestPending || Now < Known.NextRequestAt)
    return false;
  AdviceOrder Request;
  Request.Step = Step;
  // Which executors may run a step does not change. Executors that were granted
  // a ticket are therefore asked about again, and those that were not are left
  // out.
  const size_t MaxCount =
      maxCandidates(*Job.Policy.Advice, Job.Rank.Objective, Now);
  for (const Candidate &Each : Candidates) {
    const ExecutorId &Id = Each.Executor->Info.Id;
    if (Request.Candidates.size() < MaxCount &&
        (!Known.AskedExecutors.contains(Id) || Known.Tickets.contains(Id)))
      Request.Candidates.push_back(Id);
  }
  if (Request.Candidates.empty())
    return false;
  Request.ResponseTime =
      Job.Policy.Advice->responseTime(Request.Candidates.size());
  Known.IsRequestPending = true;
  this->Orders.push_back(std::move(Request));
  return false;
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
