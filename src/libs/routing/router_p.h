#ifndef WHINTACK_ROUTING_ROUTER_P_H
#define WHINTACK_ROUTING_ROUTER_P_H

#include "whintack/routing/router.h"

#include <queue>

namespace whintack::routing {

namespace Internal {

/// A submitted request that has not ended.
struct PendingRequest {
  RequestInfo Info;
  TimePoint Deadline;
  bool IsQueued = false;
  /// Whether an executor may have run one of the attempts.
  bool MayHaveRun = false;
  unsigned Attempts = 0;
  std::vector<VmName> TriedExecutors;
  /// Executor, slot and send time of the current attempt; valid only while the
  /// request is not queued.
  ExecutorIndex RunsOn = 0;
  SlotPermit Permit;
  TimePoint SentAt;
};

/// A LoanRequest that has not been answered.
struct OutstandingLoanRequest {
  uint64_t Id = 0;
  EntryName Peer;
  TimePoint RequestedAt;
  TimePoint AnswerDeadline;
};

/// A service with its queue and its loan request.
struct ServiceState {
  ServiceLimits Limits;
  RequestQueue Queue;
  RetryBudget Retries{0};
  /// Exponential moving average of the time from sending a request to its
  /// answer; zero before the first answer.
  Duration MeanDuration = Duration::zero();
  int64_t Running = 0;
  std::optional<OutstandingLoanRequest> Loan;
  TimePoint NextLoanAt = TimePoint::min();
  size_t NextPeer = 0;
  size_t Refusals = 0;
};

/// Purpose of a timer.
enum class TimerKind { RequestDeadline, SlotExpiry, EjectionEnd, LoanRetry };

/// One entry of the timer queue. Timers are never cancelled; the handler checks
/// whether the timer still applies.
struct Timer {
  TimePoint Deadline;
  TimerKind Kind = TimerKind::RequestDeadline;
  RequestHandle Request = 0;
  ExecutorIndex Executor = 0;
  ServiceName Service;

  bool operator>(const Timer &Other) const {
    return this->Deadline > Other.Deadline;
  }
};

} // namespace Internal

class Router::Private {
public:
  Private(RouterIdentity Identity, ChoicePolicy Policy, Random Source);

  // Requests.
  void submit(RequestHandle Handle, const RequestInfo &Info, TimePoint Now,
              RouterActions &Actions);
  /// Refuses the request if the queue is full or the request would wait past
  /// its deadline. Returns whether it was refused.
  bool refuseIfOverloaded(RequestHandle Handle,
                          const Internal::PendingRequest &Request,
                          const Internal::ServiceState &Service,
                          RouterActions &Actions);
  /// Sends queued requests as long as executors are available, and tries to
  /// borrow slots for the remaining ones.
  void dispatch(Internal::ServiceState &Service, TimePoint Now,
                RouterActions &Actions);
  void send(RequestHandle Handle, ExecutorIndex Index, TimePoint Now,
            RouterActions &Actions);
  /// Deadline of the next attempt. Leaves half of the remaining time for a
  /// retry if the request can be retried.
  TimePoint attemptDeadline(const Internal::PendingRequest &Request,
                            const Internal::ServiceState &Service,
                            TimePoint Now) const;
  void finish(const AttemptReport &Report, TimePoint Now,
              RouterActions &Actions);
  /// Queues the request again if it may be retried, otherwise ends it.
  void retryOrEnd(RequestHandle Handle, AttemptResult Result, TimePoint Now,
                  RouterActions &Actions);
  void end(RequestHandle Handle, RequestOutcome Outcome, OutcomeReason Reason,
           Duration RetryAfter, RouterActions &Actions);
  void expireRequest(RequestHandle Handle, TimePoint Now,
                     RouterActions &Actions);
  Duration estimatedWait(const Internal::ServiceState &Service) const;

  // Executors.
  /// Releases the slot of the ended attempt, or holds it if the executor may
  /// still be running the request.
  void releaseSlot(const Internal::PendingRequest &Request,
                   AttemptResult Result, TimePoint Now, RouterActions &Actions);
  /// Updates the failure count and the state of the executor after an attempt.
  void updateExecutorHealth(const Internal::PendingRequest &Request,
                            AttemptResult Result, TimePoint Now,
                            RouterActions &Actions);
  void recordFailure(ExecutorIndex Index, TimePoint Now,
                     RouterActions &Actions);
  void eject(ExecutorIndex Index, TimePoint Now, RouterActions &Actions);
  void probe(ExecutorIndex Index, TimePoint Now, RouterActions &Actions);
  void reportLeaving(ExecutorIndex Index, RouterActions &Actions);
  void handleLeaving(const LeavingNotice &Notice, bool TellPeers, TimePoint Now,
                     RouterActions &Actions);
  void addEvent(EventKind Kind, ExecutorIndex Index, std::string Text,
                RouterActions &Actions) const;

  // Slots.
  /// Sets the number of own slots of each executor from the share plan.
  void applyShares(TimePoint Now);
  /// Ends held slots and loans that are due, and dispatches queued requests.
  void expireSlots(ExecutorIndex Index, TimePoint Now, RouterActions &Actions);
  void returnLoan(ExecutorIndex Index, const BorrowedSlot &Slot,
                  RouterActions &Actions) const;
  /// Requests slots from the next lender, unless a loan request is outstanding
  /// or the retry delay has not passed.
  void requestLoan(Internal::ServiceState &Service, TimePoint Now,
                   RouterActions &Actions);
  /// Asks the next lender, or waits for the retry delay after the last one.
  void handleLoanRefusal(Internal::ServiceState &Service, TimePoint Now,
                         RouterActions &Actions);
  /// Peers in data centres with live executors of \p Service, those of the own
  /// data centre first.
  std::vector<PeerInfo> potentialLenders(const ServiceName &Service) const;
  /// Lends at most half of the free slots on local executors.
  std::vector<GrantedLoan> lendSlots(const Internal::ServiceState &Service,
                                     const EntryName &Borrower, int64_t Wanted,
                                     TimePoint Now);

  Internal::ServiceState *service(const ServiceName &Name);
  void schedule(Internal::Timer Timer);
  void handleTimer(const Internal::Timer &Timer, TimePoint Now,
                   RouterActions &Actions);

  RouterIdentity Identity;
  Random Source;
  ExecutorTable Table;
  std::map<ServiceName, Internal::ServiceState> Services;
  std::unordered_map<RequestHandle, Internal::PendingRequest> Requests;
  std::priority_queue<Internal::Timer, std::vector<Internal::Timer>,
                      std::greater<>>
      Timers;
  SharePlan Plan;
  std::vector<PeerInfo> Peers;
  LoanId LastLoan = 0;
  uint64_t LastLoanRequest = 0;
  bool IsStopping = false;
  RouterCounts Counts;
};

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_ROUTER_P_H
