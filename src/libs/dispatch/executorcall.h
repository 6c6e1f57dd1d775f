#ifndef WHINTACK_DISPATCH_EXECUTORCALL_H
#define WHINTACK_DISPATCH_EXECUTORCALL_H

#include "whintack/peers/executorcalls.h"

namespace whintack::dispatch::Internal {

/// Minimum time between two messages with calls, or with answers, to the same
/// VM. What comes up in that time shares one.
inline constexpr Duration CallBatchInterval = std::chrono::milliseconds(4);

using ExecutorCallback = std::function<void(peers::ExecutorResult)>;

/// Makes the call through \p Gateway and passes its result to \p Done, on any
/// thread.
void makeExecutorCall(const jobs::ExecutorGateway &Gateway,
                      const peers::ExecutorCall &Call, TimePoint Deadline,
                      ExecutorCallback Done);

/// The result of a call that got no answer and may have been carried out.
peers::ExecutorResult noAnswerTo(const peers::ExecutorCall &Call);

/// Whether \p Result is one of a call like \p Call.
bool isResultOf(const peers::ExecutorCall &Call,
                const peers::ExecutorResult &Result);

/// Whether \p Result tells that the executor was not reached or did not answer.
bool isUnanswered(const peers::ExecutorResult &Result);

/// Returns a gateway that passes each call, without an id, to \p Make.
jobs::ExecutorGateway makeCallingGateway(
    const std::function<void(peers::ExecutorCall, ExecutorCallback)> &Make);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_EXECUTORCALL_H
