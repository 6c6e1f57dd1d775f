#ifndef WHINTACK_PEERS_EXECUTORCALLS_H
#define WHINTACK_PEERS_EXECUTORCALLS_H

#include "whintack/jobs/gateways.h"

#include <variant>

namespace whintack::peers {

/// Order to start a run, and until when it may run.
struct LeasedStart {
  jobs::StartOrder Order;
  jobs::ExecutorTime LeaseUntil = 0;
};

/// A call to an executor. Times are those of the clock of the VM that wants the
/// call made.
struct ExecutorCall {
  uint64_t Id = 0;
  jobs::ExecutorAddress To;
  uint64_t Token = 0;
  TimePoint Deadline;
  std::variant<jobs::ReportRequest, LeasedStart, jobs::StopOrder,
               jobs::PaceOrder>
      Content;
};

/// Asks a peer to make calls to executors.
struct ExecutorCalls {
  /// Distinguishes the sending process from earlier ones on its VM.
  uint64_t Session = 0;
  TimePoint SentAt;
  std::vector<ExecutorCall> Calls;
};

/// The peer did not make the call, because it reached the peer too late.
struct NotSent {};

using ExecutorResult =
    std::variant<NotSent, jobs::GatewayResult<jobs::ExecutorReport>,
                 jobs::StartAnswer, jobs::GatewayResult<jobs::ExecutorTime>>;

/// The result of one call.
struct ExecutorAnswer {
  uint64_t Id = 0;
  ExecutorResult Result;
};

/// Answers ExecutorCalls. While calls are open, the peer sends this at short
/// intervals even if there are no answers, which shows that it is alive.
struct ExecutorAnswers {
  std::vector<ExecutorAnswer> Answers;
};

} // namespace whintack::peers

#endif // WHINTACK_PEERS_EXECUTORCALLS_H
