#include "simulatedexecutor.h"

#include <algorithm>

namespace whintack::simulation::Internal {

using jobs::ExecutorTime;
using jobs::GatewayError;
using jobs::GatewayErrorCode;
using jobs::RunEnd;
using jobs::StartOutcome;
using jobs::TaskKey;

/// Time from a stop order to the end of the run.
static constexpr Duration StopDuration = std::chrono::milliseconds(60);
/// Time that a long-running task needs before it reports work.
static constexpr Duration StartupTime = std::chrono::milliseconds(300);
static constexpr size_t MaxEndsInReport = 500;
/// Time from the start of a task that crashes its executor to the crash.
static constexpr Duration CrashDelay = std::chrono::milliseconds(20);
/// How long after it has shrunk a capacity need not be known to planners.
static constexpr Duration CapacityNoticeTime = std::chrono::milliseconds(4500);

SimulatedExecutor::SimulatedExecutor(jobs::ExecutorInfo Info,
                                     ExecutorSetup Setup, Clock Time,
                                     TimerQueue &Loop, RunChecker &Checker,
                                     ExecutorHooks Hooks)
    : Info(std::move(Info)), Setup(Setup), Time(std::move(Time)), Loop(Loop),
      Checker(Checker), Hooks(std::move(Hooks)), StartedAt(this->Time.Now()) {}

ExecutorTime SimulatedExecutor::clock() const {
  return this->Setup.ClockOffset +
         toMilliseconds(this->Time.Now() - this->StartedAt);
}

void SimulatedExecutor::terminate() {
  this->IsTerminated = true;
  this->Running.clear();
  this->Checker.noteExecutorLost(this->Info.Id);
}

void SimulatedExecutor::resetConnections() {
  for (const PendingReport &Each : std::exchange(this->PendingReports, {}))
    Each.Done(failure(
        GatewayError{GatewayErrorCode::NoAnswer, "the connection was reset"}));
}

void SimulatedExecutor::setCapacity(const jobs::ComputeResources &Capacity) {
  this->EarlierCapacities.emplace_back(this->Time.Now() + CapacityNoticeTime,
                                       this->Info.Capacity);
  this->Info.Capacity = Capacity;
}

bool SimulatedExecutor::exceedsKnownCapacity(
    const jobs::ComputeResources &Need) const {
  jobs::ComputeResources Total = this->bookedCapacity();
  Total += Need;
  const TimePoint Now = this->Time.Now();
  return !this->Info.Capacity.covers(Total) &&
         std::none_of(this->EarlierCapacities.begin(),
                      this->EarlierCapacities.end(), [&](const auto &Earlier) {
                        return Now < Earlier.first &&
                               Earlier.second.covers(Total);
                      });
}

bool SimulatedExecutor::isFenced(uint64_t Token) {
  if (Token < this->HighestToken)
    return true;
  this->HighestToken = Token;
  return false;
}

void SimulatedExecutor::extendLease(ExecutorTime Requested) {
  const ExecutorTime Until =
      std::min(Requested, this->clock() + toMilliseconds(this->Setup.MaxLease));
  if (Until <= this->LeaseUntil)
    return;
  this->LeaseUntil = Until;
  const Duration Left = std::chrono::milliseconds(Until - this->clock());
  this->Loop.schedule(this->Time.Now() + Left, [Weak = this->weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->checkLease();
  });
}

/// Ends all runs if the lease has expired.
void SimulatedExecutor::checkLease() {
  if (this->IsTerminated || this->clock() < this->LeaseUntil)
    return;
  this->Checker.noteLeaseExpired(this->Info.Id);
  const std::map<TaskKey, Run> RunsToEnd = this->Running;
  for (const auto &[Task, Current] : RunsToEnd)
    this->end(Task, Current.Number, RunEnd::Lapsed);
}

jobs::ComputeResources SimulatedExecutor::bookedCapacity() const {
  jobs::ComputeResources Sum;
  for (const auto &[Task, Current] : this->Running)
    if (const jobs::StepSpec *Step = this->Checker.step(Task))
      Sum += Step->bookedResources();
  return Sum;
}

jobs::StartAnswer SimulatedExecutor::start(const jobs::StartOrder &Order,
                                           uint64_t Token, ExecutorTime Until) {
  if (this->isFenced(Token))
    return {StartOutcome::Fenced, this->clock()};
  if (this->clock() >= Until)
    return {StartOutcome::Late, this->clock()};
  const auto Current = this->Running.find(Order.Task);
  if (Current != this->Running.end() && Current->second.Number == Order.Run) {
    this->extendLease(Until);
    return {StartOutcome::Started, this->clock()};
  }
  const auto Last = this->HighestEndedRun.find(Order.Task);
  const bool IsOutdated =
      (Last != this->HighestEndedRun.end() && Order.Run <= Last->second) ||
      (Current != this->Running.end() && Order.Run <= Current->second.Number);
  // An order that is refused from here on extends the lease as well.
  this->extendLease(Until);
  if (IsOutdated)
    return {StartOutcome::Outdated, this->clock()};
  const jobs::StepSpec *Step = this->Checker.step(Order.Task);
  jobs::ComputeResources Free = this->Info.Capacity;
  Free -= this->bookedCapacity();
  const bool Fits = Step && Free.covers(Step->bookedResources());
  if (!Fits && this->Setup.EnforcesCapacity)
    return {StartOutcome::NoRoom, this->clock()};
  if (!Step || this->exceedsKnownCapacity(Step->bookedResources()))
    this->Checker.noteOverCapacity(this->Info.Id);
  this->Checker.noteStart(this->Info.Id, Order.Task, Order.Run,
                          Order.Checkpoint, this->Time.Now());
  this->Running[Order.Task] = {Order.Run, this->Time.Now()};
  if (this->Hooks.CrashesExecutor(Order.Task))
    this->scheduleCrash(Order.Task, Order.Run);
  if (Step && !Step->IsLongRunning) {
    const bool IsFailing = this->Hooks.Fails(Order.Task, Order.Run);
    this->scheduleEnd(Order.Task, Order.Run,
                      IsFailing ? Step->Estimate / 2 : Step->Estimate,
                      IsFailing ? RunEnd::Failed : RunEnd::Done);
  }
  return {StartOutcome::Started, this->clock()};
}

jobs::GatewayResult<ExecutorTime>
SimulatedExecutor::stop(const jobs::StopOrder &Order, uint64_t Token) {
  if (this->isFenced(Token))
    return failure(GatewayError{GatewayErrorCode::Fenced, "older token"});
  uint64_t &Last = this->HighestEndedRun[Order.Task];
  Last = std::max(Last, Order.Run);
  const auto Current = this->Running.find(Order.Task);
  if (Current != this->Running.end() && Current->second.Number <= Order.Run &&
      !Current->second.IsStopping) {
    Current->second.IsStopping = true;
    this->scheduleEnd(Order.Task, Current->second.Number, StopDuration,
                      RunEnd::Stopped);
  }
  return this->clock();
}

jobs::GatewayResult<ExecutorTime>
SimulatedExecutor::pace(const jobs::PaceOrder &Order, uint64_t Token) {
  if (this->isFenced(Token))
    return failure(GatewayError{GatewayErrorCode::Fenced, "older token"});
  const auto Current = this->Running.find(Order.Task);
  if (Current != this->Running.end())
    Current->second.Pace = Order.Percent;
  return this->clock();
}

void SimulatedExecutor::scheduleEnd(const TaskKey &Task, uint64_t Number,
                                    Duration After, RunEnd How) {
  this->Loop.schedule(this->Time.Now() + After,
                      [Weak = this->weak_from_this(), Task, Number, How] {
                        if (const auto Self = Weak.lock())
                          Self->end(Task, Number, How);
                      });
}

void SimulatedExecutor::scheduleCrash(const TaskKey &Task, uint64_t Number) {
  this->Loop.schedule(this->Time.Now() + CrashDelay,
                      [Weak = this->weak_from_this(), Task, Number] {
                        const auto Self = Weak.lock();
                        if (!Self || Self->IsTerminated)
                          return;
                        const auto Found = Self->Running.find(Task);
                        if (Found == Self->Running.end() ||
                            Found->second.Number != Number)
                          return;
                        Self->Checker.noteCrash(Task);
                        Self->Hooks.OnCrash();
                      });
}

void SimulatedExecutor::end(const TaskKey &Task, uint64_t Number, RunEnd How) {
  const auto Found = this->Running.find(Task);
  if (this->IsTerminated || Found == this->Running.end() ||
      Found->second.Number != Number)
    return;
  const jobs::StepSpec *Step = this->Checker.step(Task);
  this->Running.erase(Found);
  uint64_t &Last = this->HighestEndedRun[Task];
  Last = std::max(Last, Number);
  jobs::EndReport End{++this->LastEndNumber, Task, Number, How, ""};
  if (Step && Step->IsCheckpointing && How != RunEnd::Done) {
    End.Checkpoint = Task.text() + "@" + std::to_string(Number);
    this->Checker.noteCheckpoint(Task, End.Checkpoint);
  }
  this->Checker.noteEnd(this->Info.Id, End);
  this->UnacknowledgedEnds.push_back(End);
  this->answerPendingReports();
}

jobs::ExecutorReport SimulatedExecutor::makeReport() const {
  jobs::ExecutorReport Report;
  Report.Incarnation = this->Info.Incarnation;
  Report.At = this->clock();
  const TimePoint Now = this->Time.Now();
  for (const auto &[Task, Current] : this->Running) {
    const bool HasStartedUp = Now - Current.Started >= StartupTime;
    Report.Running.push_back(
        {Task, Current.Number, "", HasStartedUp ? Current.Pace : 0, 0});
  }
  for (const jobs::EndReport &End : this->UnacknowledgedEnds) {
    if (Report.Ended.size() == MaxEndsInReport) {
      Report.IsTruncated = true;
      break;
    }
    Report.Ended.push_back(End);
  }
  return Report;
}

void SimulatedExecutor::report(
    const jobs::ReportRequest &Request,
    const jobs::GatewayCallback<jobs::ExecutorReport> &Done) {
  if (this->isFenced(Request.Token)) {
    Done(failure(GatewayError{GatewayErrorCode::Fenced, "older token"}));
    return;
  }
  if (Request.LeaseUntil)
    this->extendLease(*Request.LeaseUntil);
  while (!this->UnacknowledgedEnds.empty() &&
         this->UnacknowledgedEnds.front().Number <= Request.DiscardThrough)
    this->UnacknowledgedEnds.pop_front();
  this->Checker.noteEndsAcknowledged(this->Info.Id, Request.DiscardThrough);
  if (!this->UnacknowledgedEnds.empty() || Request.Wait == Duration::zero()) {
    Done(this->makeReport());
    return;
  }
  const TimePoint Until = this->Time.Now() + Request.Wait;
  this->PendingReports.push_back({Until, Done});
  this->Loop.schedule(Until, [Weak = this->weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->answerPendingReports();
  });
}

/// Answers all pending report requests once a run has ended, otherwise those
/// whose wait time is over.
void SimulatedExecutor::answerPendingReports() {
  if (this->IsTerminated)
    return;
  std::vector<PendingReport> Due;
  for (auto Each = this->PendingReports.begin();
       Each != this->PendingReports.end();) {
    if (this->UnacknowledgedEnds.empty() && this->Time.Now() < Each->Until) {
      ++Each;
      continue;
    }
    Due.push_back(std::move(*Each));
    Each = this->PendingReports.erase(Each);
  }
  for (const PendingReport &Each : Due)
    Each.Done(this->makeReport());
}

} // namespace whintack::simulation::Internal
