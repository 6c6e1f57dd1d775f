#include "adviceclient.h"

#include <algorithm>

namespace whintack::dispatch::Internal {

/// Time for an answer on top of the declared ones.
static constexpr Duration AnswerMargin = std::chrono::milliseconds(1500);
/// The margin doubles with each call that is given up, because the service may
/// be slower than declared and would never be waited for. Its maximum also
/// bounds how long a silent connection stays unnoticed.
static constexpr unsigned MaxMarginDoublings = 2;
/// Maximum number of open calls. The service rejects a call when 32 of the VM
/// wait, including those of an earlier process.
static constexpr size_t MaxOpenCalls = 16;

AdviceClient::AdviceClient(Context Shared, jobs::AdviceGateway Gateway)
    : Shared(std::move(Shared)), Gateway(std::move(Gateway)) {}

TimePoint AdviceClient::deadlineOf(const OpenCall &Call) const {
  return Call.ExpectedEnd +
         AnswerMargin * (1U << std::min(this->TimeOuts, MaxMarginDoublings));
}

void AdviceClient::ask(const jobs::AdviceOrder &Request, Callback Done) {
  if (this->OpenCalls.size() >= MaxOpenCalls) {
    this->Shared.Loop.post([Done = std::move(Done)] {
      Done(failure(jobs::GatewayError{jobs::GatewayErrorCode::Busy,
                                      "too many calls for advice are open"}));
    });
    return;
  }
  TimePoint Begin = this->Shared.now();
  if (!this->OpenCalls.empty())
    Begin = std::max(Begin, this->OpenCalls.back().ExpectedEnd);
  const OpenCall Call{++this->LastNumber, Begin + Request.ResponseTime};
  this->OpenCalls.push_back(Call);
  this->Gateway.Ask(
      Request, this->deadlineOf(Call),
      onLoop<AdviceClient, jobs::GatewayResult<jobs::AdviceAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Number = Call.Number, Done = std::move(Done)](
              AdviceClient &Self,
              jobs::GatewayResult<jobs::AdviceAnswer> Answer) {
            Self.handleAnswer(Number, Answer);
            Done(std::move(Answer));
          }));
}

void AdviceClient::handleAnswer(
    uint64_t Number, const jobs::GatewayResult<jobs::AdviceAnswer> &Answer) {
  const auto Found = std::find_if(
      this->OpenCalls.begin(), this->OpenCalls.end(),
      [Number](const OpenCall &Each) { return Each.Number == Number; });
  // A later call was answered before this one.
  if (Found == this->OpenCalls.end())
    return;
  const Duration Delay = this->Shared.now() - Found->ExpectedEnd;
  if (Answer) {
    this->TimeOuts = 0;
    this->OpenCalls.erase(this->OpenCalls.begin(), Found + 1);
    this->shiftExpectedEnds(Delay);
    return;
  }
  this->OpenCalls.erase(Found);
  // A call that failed earlier was refused, or its connection broke.
  if (Delay <= Duration::zero())
    return;
  ++this->TimeOuts;
  this->shiftExpectedEnds(Delay);
  logEvent(LogLevel::Warning, "advice-not-given",
           {{"late-ms", toMilliseconds(Delay)},
            {"open", this->OpenCalls.size()},
            {"time-outs", this->TimeOuts},
            {"cause", Answer.error().Message}});
}

void AdviceClient::shiftExpectedEnds(Duration By) {
  for (OpenCall &Each : this->OpenCalls)
    Each.ExpectedEnd += By;
}

} // namespace whintack::dispatch::Internal
