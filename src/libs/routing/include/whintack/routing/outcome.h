#ifndef WHINTACK_ROUTING_OUTCOME_H
#define WHINTACK_ROUTING_OUTCOME_H

#include "whintack/base/enumnames.h"

namespace whintack::routing {

/// How a request ended, as reported to the caller.
enum class RequestOutcome {
  /// The backend server answered; the caller gets the complete answer.
  Done,
  /// The request was certainly not run.
  NotRun,
  /// The request may have run.
  Unknown,
};

inline constexpr EnumNames<RequestOutcome, 3> RequestOutcomeNames = {{
    {RequestOutcome::Done, "done"},
    {RequestOutcome::NotRun, "not-run"},
    {RequestOutcome::Unknown, "unknown"},
}};

/// Why a request was not run or its outcome is unknown.
enum class OutcomeReason {
  None,
  UnknownService,
  Overloaded,
  QueueFull,
  DeadlinePassed,
  NoExecutor,
  Stopping,
  NotConfigured,
  ConnectionFailed,
  ConnectionBroken,
  AnswerTooLarge,
  TimedOut,
  RefusedByServer,
  KeyInUse,
  KeyOwnersUnreachable,
  BadRequest,
};

inline constexpr EnumNames<OutcomeReason, 16> OutcomeReasonNames = {{
    {OutcomeReason::None, "none"},
    {OutcomeReason::UnknownService, "unknown-service"},
    {OutcomeReason::Overloaded, "overloaded"},
    {OutcomeReason::QueueFull, "queue-full"},
    {OutcomeReason::DeadlinePassed, "deadline-passed"},
    {OutcomeReason::NoExecutor, "no-executor"},
    {OutcomeReason::Stopping, "stopping"},
    {OutcomeReason::NotConfigured, "not-configured"},
    {OutcomeReason::ConnectionFailed, "connection-failed"},
    {OutcomeReason::ConnectionBroken, "connection-broken"},
    {OutcomeReason::AnswerTooLarge, "answer-too-large"},
    {OutcomeReason::TimedOut, "timed-out"},
    {OutcomeReason::RefusedByServer, "refused-by-server"},
    {OutcomeReason::KeyInUse, "key-in-use"},
    {OutcomeReason::KeyOwnersUnreachable, "key-owners-unreachable"},
    {OutcomeReason::BadRequest, "bad-request"},
}};

/// How one attempt at a backend server ended.
enum class AttemptResult {
  /// A complete answer arrived.
  Answered,
  /// A complete answer arrived that reports a failure of the server.
  AnsweredWithFailure,
  /// The server reported that it did not run the request.
  RefusedByServer,
  /// The server never read the request.
  NeverSent,
  /// The connection broke after the request was sent.
  Broken,
  /// The answer exceeds the size limit.
  TooLarge,
  /// No answer arrived before the deadline.
  TimedOut,
};

inline constexpr EnumNames<AttemptResult, 7> AttemptResultNames = {{
    {AttemptResult::Answered, "answered"},
    {AttemptResult::AnsweredWithFailure, "answered-with-failure"},
    {AttemptResult::RefusedByServer, "refused-by-server"},
    {AttemptResult::NeverSent, "never-sent"},
    {AttemptResult::Broken, "broken"},
    {AttemptResult::TooLarge, "too-large"},
    {AttemptResult::TimedOut, "timed-out"},
}};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_OUTCOME_H
