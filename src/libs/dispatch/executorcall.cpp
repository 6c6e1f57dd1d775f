#include "executorcall.h"

namespace whintack::dispatch::Internal {

using jobs::GatewayResult;
using peers::ExecutorCall;
using peers::ExecutorResult;

using ReportResult = GatewayResult<jobs::ExecutorReport>;
using ConfirmationResult = GatewayResult<jobs::ExecutorTime>;

namespace {

/// Visitor that makes a call.
class Caller {
public:
  Caller(const jobs::ExecutorGateway &Gateway, const ExecutorCall &Call,
         TimePoint Deadline, ExecutorCallback Done)
      : Gateway(Gateway), Call(Call), Deadline(Deadline),
        Done(std::move(Done)) {}

  void operator()(const jobs::ReportRequest &Request) const {
    this->Gateway.Report(this->Call.To, Request, this->Deadline, this->Done);
  }
  void operator()(const peers::LeasedStart &Start) const {
    this->Gateway.Start(this->Call.To, Start.Order, this->Call.Token,
                        Start.LeaseUntil, this->Deadline, this->Done);
  }
  void operator()(const jobs::StopOrder &Order) const {
    this->Gateway.Stop(this->Call.To, Order, this->Call.Token, this->Deadline,
                       this->Done);
  }
  void operator()(const jobs::PaceOrder &Order) const {
    this->Gateway.Pace(this->Call.To, Order, this->Call.Token, this->Deadline,
                       this->Done);
  }

private:
  const jobs::ExecutorGateway &Gateway;
  const ExecutorCall &Call;
  TimePoint Deadline;
  ExecutorCallback Done;
};

} // namespace

void makeExecutorCall(const jobs::ExecutorGateway &Gateway,
                      const ExecutorCall &Call, TimePoint Deadline,
                      ExecutorCallback Done) {
  std::visit(Caller(Gateway, Call, Deadline, std::move(Done)), Call.Content);
}

ExecutorResult noAnswerTo(const ExecutorCall &Call) {
  const jobs::GatewayError Cause{jobs::GatewayErrorCode::NoAnswer,
                                 "the relay did not answer in time"};
  if (std::holds_alternative<peers::LeasedStart>(Call.Content))
    return jobs::StartAnswer();
  if (std::holds_alternative<jobs::ReportRequest>(Call.Content))
    return ReportResult(failure(jobs::GatewayError(Cause)));
  return ConfirmationResult(failure(jobs::GatewayError(Cause)));
}

bool isResultOf(const ExecutorCall &Call, const ExecutorResult &Result) {
  return std::holds_alternative<peers::NotSent>(Result) ||
         noAnswerTo(Call).index() == Result.index();
}

static bool isUnreached(const jobs::GatewayError &Cause) {
  return Cause.Code == jobs::GatewayErrorCode::NoAnswer ||
         Cause.Code == jobs::GatewayErrorCode::Busy;
}

bool isUnanswered(const ExecutorResult &Result) {
  if (const auto *Report = std::get_if<ReportResult>(&Result))
    return !*Report && isUnreached(Report->error());
  if (const auto *Confirmed = std::get_if<ConfirmationResult>(&Result))
    return !*Confirmed && isUnreached(Confirmed->error());
  if (const auto *Start = std::get_if<jobs::StartAnswer>(&Result))
    return Start->Outcome == jobs::StartOutcome::Unknown;
  return true;
}

/// Returns a callback that takes the result of a call whose kind is known.
template <typename Expected, typename Callback>
static ExecutorCallback expecting(Callback Done) {
  return [Done = std::move(Done)](ExecutorResult Result) {
    Done(std::get<Expected>(std::move(Result)));
  };
}

jobs::ExecutorGateway makeCallingGateway(
    const std::function<void(ExecutorCall, ExecutorCallback)> &Make) {
  jobs::ExecutorGateway Gateway;
  Gateway.Report = [Make](const jobs::ExecutorAddress &To,
                          const jobs::ReportRequest &Request,
                          TimePoint Deadline,
                          jobs::GatewayCallback<jobs::ExecutorReport> Done) {
    Make({0, To, Request.Token, Deadline, Request},
         expecting<ReportResult>(std::move(Done)));
  };
  Gateway.Start = [Make](const jobs::ExecutorAddress &To,
                         const jobs::StartOrder &Order, uint64_t Token,
                         jobs::ExecutorTime LeaseUntil, TimePoint Deadline,
                         std::function<void(jobs::StartAnswer)> Done) {
    Make({0, To, Token, Deadline, peers::LeasedStart{Order, LeaseUntil}},
         expecting<jobs::StartAnswer>(std::move(Done)));
  };
  const auto Confirm = [Make](const jobs::ExecutorAddress &To,
                              const auto &Order, uint64_t Token,
                              TimePoint Deadline,
                              jobs::GatewayCallback<jobs::ExecutorTime> Done) {
    Make({0, To, Token, Deadline, Order},
         expecting<ConfirmationResult>(std::move(Done)));
  };
  Gateway.Stop = Confirm;
  Gateway.Pace = Confirm;
  return Gateway;
}

} // namespace whintack::dispatch::Internal
