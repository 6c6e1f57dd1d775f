#include "simulatedexecutor.h"

#include <algorithm>

namespace whintack::simulation::Internal {

using jobs::ExecutorTime;
using jobs::GatewayError;
using jobs::GatewayErrorCode;
using jobs::RunEnd;
using jobs::StartOutcome;
using jobs::TaskKey;

/// How long a stop takes.
static constexpr Duration StopTime = std::chrono::milliseconds(60);
/// How long a task that lasts takes until it is at work.
static constexpr Duration StartupTime = std::chrono::milliseconds(300);
static constexpr size_t MostEndsInReport = 500;

SimulatedExecutor::SimulatedExecutor(jobs::ExecutorInfo Info, bool Refuses,
                                     int64_t FirstClock, Clock Time,
                                     TimerQueue &Loop, RunLedger &Ledger,
                                     FailureHook Fails)
    : Info(std::move(Info)), Refuses(Refuses), FirstClock(FirstClock),
      Time(std::move(Time)), Loop(Loop), Ledger(Ledger),
      Fails(std::move(Fails)), Born(this->Time.Now()) {}

ExecutorTime SimulatedExecutor::clock() const {
  return this->FirstClock + toMilliseconds(this->Time.Now() - this->Born);
}

void SimulatedExecutor::die() {
  this->IsDead = true;
  this->Running.clear();
  this->Ledger.noteGone(this->Info.Id);
}

bool SimulatedExecutor::isFenced(uint64_t Token) {
  if (Token < this->HighestToken)
    return true;
  this->HighestToken = Token;
  return false;
}

void SimulatedExecutor::extend(ExecutorTime Until) {
  if (Until <= this->LeaseUntil)
    return;
  this->LeaseUntil = Until;
  const Duration Left = std::chrono::milliseconds(Until - this->clock());
  this->Loop.schedule(this->Time.Now() + Left, [Weak = this->weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->checkLease();
  });
}

/// Kills everything once the lease has run out.
void SimulatedExecutor::checkLease() {
  if (this->IsDead || this->clock() < this->LeaseUntil)
    return;
  this->Ledger.noteLapse(this->Info.Id);
  const std::map<TaskKey, Run> Killed = this->Running;
  for (const auto &[Task, Current] : Killed)
    this->end(Task, Current.Number, RunEnd::Lapsed);
}

jobs::Room SimulatedExecutor::booked() const {
  jobs::Room Sum;
  for (const auto &[Task, Current] : this->Running)
    if (const jobs::StepSpec *Step = this->Ledger.step(Task))
      Sum += Step->bookedRoom();
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
    this->extend(Until);
    return {StartOutcome::Started, this->clock()};
  }
  const auto Last = this->Over.find(Order.Task);
  const bool IsOld =
      (Last != this->Over.end() && Order.Run <= Last->second) ||
      (Current != this->Running.end() && Order.Run <= Current->second.Number);
  // A refused start extends leases, too.
  this->extend(Until);
  if (IsOld)
    return {StartOutcome::Outdated, this->clock()};
  const jobs::StepSpec *Step = this->Ledger.step(Order.Task);
  jobs::Room Free = this->Info.Capacity;
  Free -= this->booked();
  const bool Fits = Step && Free.holds(Step->bookedRoom());
  if (!Fits && this->Refuses)
    return {StartOutcome::NoRoom, this->clock()};
  if (!Fits)
    this->Ledger.noteOverfull(this->Info.Id);
  this->Ledger.noteStart(this->Info.Id, Order.Task, Order.Run, Order.Checkpoint,
                         this->Time.Now());
  this->Running[Order.Task] = {Order.Run, this->Time.Now()};
  if (Step && !Step->IsLongRunning) {
    const bool IsFailing = this->Fails(Order.Task, Order.Run);
    this->endLater(Order.Task, Order.Run,
                   IsFailing ? Step->Estimate / 2 : Step->Estimate,
                   IsFailing ? RunEnd::Failed : RunEnd::Done);
  }
  return {StartOutcome::Started, this->clock()};
}

jobs::GatewayResult<ExecutorTime>
SimulatedExecutor::stop(const jobs::StopOrder &Order, uint64_t Token) {
  if (this->isFenced(Token))
    return failure(GatewayError{GatewayErrorCode::Fenced, "older token"});
  uint64_t &Last = this->Over[Order.Task];
  Last = std::max(Last, Order.Run);
  const auto Current = this->Running.find(Order.Task);
  if (Current != this->Running.end() && Current->second.Number <= Order.Run &&
      !Current->second.IsStopping) {
    Current->second.IsStopping = true;
    this->endLater(Order.Task, Current->second.Number, StopTime,
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

void SimulatedExecutor::endLater(const TaskKey &Task, uint64_t Number,
                                 Duration After, RunEnd How) {
  this->Loop.schedule(this->Time.Now() + After,
                      [Weak = this->weak_from_this(), Task, Number, How] {
                        if (const auto Self = Weak.lock())
                          Self->end(Task, Number, How);
                      });
}

void SimulatedExecutor::end(const TaskKey &Task, uint64_t Number, RunEnd How) {
  const auto Found = this->Running.find(Task);
  if (this->IsDead || Found == this->Running.end() ||
      Found->second.Number != Number)
    return;
  const jobs::StepSpec *Step = this->Ledger.step(Task);
  this->Running.erase(Found);
  uint64_t &Last = this->Over[Task];
  Last = std::max(Last, Number);
  jobs::EndReport End{++this->LastEnd, Task, Number, How, ""};
  if (Step && Step->IsCheckpointing && How != RunEnd::Done) {
    End.Checkpoint = Task.text() + "@" + std::to_string(Number);
    this->Ledger.noteCheckpoint(Task, End.Checkpoint);
  }
  this->Ledger.noteEnd(this->Info.Id, End);
  this->Ended.push_back(End);
  this->answerWaiting();
}

jobs::ExecutorReport SimulatedExecutor::makeReport() const {
  jobs::ExecutorReport Report;
  Report.At = this->clock();
  const TimePoint Now = this->Time.Now();
  for (const auto &[Task, Current] : this->Running) {
    const bool IsAtWork = Now - Current.Started >= StartupTime;
    Report.Running.push_back(
        {Task, Current.Number, "", IsAtWork ? Current.Pace : 0, 0});
  }
  for (const jobs::EndReport &End : this->Ended) {
    if (Report.Ended.size() == MostEndsInReport) {
      Report.IsCut = true;
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
    this->extend(*Request.LeaseUntil);
  while (!this->Ended.empty() &&
         this->Ended.front().Number <= Request.ForgetThrough)
    this->Ended.pop_front();
  this->Ledger.noteForgotten(this->Info.Id, Request.ForgetThrough);
  if (!this->Ended.empty() || Request.Wait == Duration::zero()) {
    Done(this->makeReport());
    return;
  }
  const TimePoint Until = this->Time.Now() + Request.Wait;
  this->Waiters.push_back({Until, Done});
  this->Loop.schedule(Until, [Weak = this->weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->answerWaiting();
  });
}

/// Answers the reports that waited for an end or for long enough.
void SimulatedExecutor::answerWaiting() {
  if (this->IsDead)
    return;
  std::vector<Waiting> Due;
  for (auto Each = this->Waiters.begin(); Each != this->Waiters.end();) {
    if (this->Ended.empty() && this->Time.Now() < Each->Until) {
      ++Each;
      continue;
    }
    Due.push_back(std::move(*Each));
    Each = this->Waiters.erase(Each);
  }
  for (const Waiting &Each : Due)
    Each.Done(this->makeReport());
}

} // namespace whintack::simulation::Internal
