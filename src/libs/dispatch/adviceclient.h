#ifndef WHINTACK_DISPATCH_ADVICECLIENT_H
#define WHINTACK_DISPATCH_ADVICECLIENT_H

#include "context.h"

#include "whintack/jobs/gateways.h"

#include <deque>

namespace whintack::dispatch::Internal {

/// Calls the advice service for all planners of this process.
///
/// The service handles the calls of a VM one after the other, in the declared
/// time of each, and goes on with a call that its caller has given up. The
/// deadline of a call therefore follows from the declared times of all calls
/// that are open.
class AdviceClient : public std::enable_shared_from_this<AdviceClient> {
public:
  using Callback = jobs::GatewayCallback<jobs::AdviceAnswer>;

  AdviceClient(Context Shared, jobs::AdviceGateway Gateway);

  /// Sends the request and passes the answer to \p Done, on the loop's thread.
  /// Fails at once with Busy if too many calls are open.
  void ask(const jobs::AdviceOrder &Request, Callback Done);

private:
  struct OpenCall {
    uint64_t Number = 0;
    /// When the service has answered, if it keeps to the declared times.
    TimePoint ExpectedEnd;
  };

  TimePoint deadlineOf(const OpenCall &Call) const;
  void handleAnswer(uint64_t Number,
                    const jobs::GatewayResult<jobs::AdviceAnswer> &Answer);
  /// The service is behind the expected times, or ahead of them.
  void shiftExpectedEnds(Duration By);

  Context Shared;
  jobs::AdviceGateway Gateway;
  /// In the order in which the service handles them.
  std::deque<OpenCall> OpenCalls;
  uint64_t LastNumber = 0;
  /// Calls that were given up since the last answer.
  unsigned TimeOuts = 0;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_ADVICECLIENT_H
