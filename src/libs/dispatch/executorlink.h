#ifndef WHINTACK_DISPATCH_EXECUTORLINK_H
#define WHINTACK_DISPATCH_EXECUTORLINK_H

#include "context.h"

#include "whintack/jobs/executorclock.h"
#include "whintack/jobs/gateways.h"

#include <deque>

namespace whintack::dispatch::Internal {

/// Callbacks from an executor link to the planner of its service.
struct LinkHooks {
  /// Whether this process may still send orders.
  std::function<bool()> CanOrder;
  /// Whether runs may be taken as over because their executor is lost or has
  /// started again; null if always. Otherwise a successor may know more of
  /// them.
  std::function<bool()> CanConcludeLoss;
  /// Whether it may send start orders, too.
  std::function<bool()> CanStart;
  /// Whether the planner still wants the run that the order is to start.
  std::function<bool(const jobs::StartOrder &)> IsCurrent;
  /// A start order is being sent.
  std::function<void(const jobs::StartOrder &)> OnStartSent;
  /// Returns the number of the last end that the executor may discard.
  std::function<uint64_t(const jobs::ExecutorId &)> LastDiscardableEnd;
  std::function<void(const jobs::ExecutorId &, const jobs::ExecutorReport &)>
      OnReport;
  /// The executor is told that it may discard further ends, up to this number.
  std::function<void(const jobs::ExecutorId &, uint64_t Through)>
      OnAcknowledged;
  /// A start order that was decided and sent at these times was answered.
  std::function<void(TimePoint DecidedAt, TimePoint SentAt)> OnStartAnswered;
  /// The outcome of a start order. An order that was not sent is reported as
  /// Unhealthy or Late at time 0.
  std::function<void(const jobs::StartOrder &, jobs::StartOutcome,
                     jobs::ExecutorTime)>
      OnStart;
  /// A stop order was answered; the time is empty if it failed or was not sent.
  std::function<void(const jobs::StopOrder &,
                     std::optional<jobs::ExecutorTime>)>
      OnStop;
  /// The executor has stopped answering, or answers again.
  std::function<void(const jobs::ExecutorId &, bool)> OnReachable;
  /// Nothing can run on the executor any more, for the given reason.
  std::function<void(const jobs::ExecutorId &, jobs::ExecutorLoss)> OnEmpty;
  /// The executor has seen a higher fencing token: another planner has taken
  /// over.
  std::function<void()> OnFenced;
};

/// Parameters of an executor link.
struct LinkSetup {
  jobs::ExecutorAddress Executor;
  uint64_t Token = 0;
  /// Maximum lease that executors grant.
  Duration MaxLease = Duration::zero();
  /// Time by which every lease that an earlier planner can have sent has
  /// expired.
  TimePoint EarlierLeasesEnd = TimePoint::min();
  /// Time by which every lease that calls of this planner to earlier
  /// incarnations can have given the present one has expired.
  TimePoint LateLeasesEnd = TimePoint::min();
};

/// On which leases an executor that does not answer is given up.
enum class LeaseBound {
  /// The last lease that this planner has sent.
  OwnLease,
  /// Leases that earlier planners, or calls to earlier incarnations, may have
  /// given. Their ends are known only by this VM's clock.
  OtherLeases,
};

inline constexpr EnumNames<LeaseBound, 2> LeaseBoundNames = {{
    {LeaseBound::OwnLease, "own-lease"},
    {LeaseBound::OtherLeases, "other-leases"},
}};

/// Sends orders to one executor and keeps a long-polling report call open
/// there, which also extends the leases of the running tasks.
class ExecutorLink : public std::enable_shared_from_this<ExecutorLink> {
public:
  ExecutorLink(Context Shared, jobs::ExecutorGateway Gateway, LinkSetup Setup,
               LinkHooks Hooks);

  void open();
  /// Stops the report calls; orders are no longer sent.
  void close() { this->IsClosed = true; }
  void setAddress(const Address &Server) {
    this->Setup.Executor.Server = Server;
  }
  /// Whether the link was closed because another incarnation had answered, and
  /// \p Listed is not the one that it was open to.
  bool isReplacedBy(jobs::ExecutorIncarnation Listed) const {
    return this->IsClosed && Listed != 0 && this->Incarnation != 0 &&
           Listed != this->Incarnation;
  }

  /// Time by which every lease that calls through this link can give a later
  /// incarnation has expired, also if they are still open.
  TimePoint lateLeasesEnd() const {
    return std::max(this->Setup.LateLeasesEnd,
                    this->lateLeaseEnd(this->LastLeaseSentAt));
  }

  /// Queues a start order; at most MaxOpenStarts are in flight.
  void start(jobs::StartOrder Order);
  /// Stops a run. A start order of the run that was not sent yet is dropped.
  void stop(const jobs::StopOrder &Order);
  /// Sets the pace of a task. A failure is only logged.
  void pace(const jobs::PaceOrder &Order);

private:
  /// Ends and reports since the last log line about them.
  struct EndTraffic {
    size_t Reports = 0;
    /// Ends that an earlier report had listed, counted in each report.
    size_t RepeatedEnds = 0;
    size_t AcknowledgedEnds = 0;
    /// Longest time from the first report of an end to its acknowledgement.
    Duration LongestWait = Duration::zero();
  };

  /// What was known of the leases when they were taken as expired.
  struct LeaseExpiry {
    LeaseBound Bound = LeaseBound::OtherLeases;
    /// End of the last lease that this planner had sent, by the executor's
    /// clock; 0 if it had sent none.
    jobs::ExecutorTime LeaseEnd = 0;
    TimePoint ConcludedAt = TimePoint::min();
  };

  struct QueuedStart {
    jobs::StartOrder Order;
    TimePoint DecidedAt;
  };

  /// What was known of the executor when a call was sent.
  struct CallContext {
    TimePoint SentAt;
    /// Number of incarnations seen by then.
    uint64_t Incarnations = 0;
    /// Latest time on the executor's clock.
    jobs::ExecutorTime Latest = 0;
  };

  void report();
  /// \p HadLease tells whether the call extended the leases.
  void handleReport(const CallContext &Call, bool HadLease,
                    jobs::GatewayResult<jobs::ExecutorReport> Answer);
  /// Handles that the executor has started again under its id.
  void beginIncarnation();
  /// Notes that a call with a lease was not answered, so that it may still be
  /// carried out.
  void noteUnansweredLease(const CallContext &Call);
  /// Time by which the leases have expired that an unanswered call sent at
  /// \p SentAt can give a later incarnation. That one shortens them to the
  /// maximum, counted from when the call is carried out.
  TimePoint lateLeaseEnd(TimePoint SentAt) const {
    return SentAt + jobs::MaxCallDelay +
           jobs::longestLease(this->Setup.MaxLease);
  }
  CallContext callContext() const;
  /// Whether an answer with the executor's time \p At may be taken as one of
  /// the incarnation that the call was meant for.
  bool isFromSameIncarnation(const CallContext &Call,
                             std::optional<jobs::ExecutorTime> At) const;
  /// Fails the start orders that have not been sent.
  void dropQueuedStarts();
  void handleFailure(const jobs::GatewayError &Cause);
  bool canAcknowledge() const;
  /// Whether nothing runs on the executor and nothing is being started.
  bool isIdle() const;
  void sendStarts();
  void handleStartAnswer(const jobs::StartOrder &Order, const CallContext &Call,
                         const jobs::StartAnswer &Answer);
  void scheduleReport(Duration Delay);
  void checkLeaseExpiry();
  bool canConcludeLoss() const {
    return !this->Hooks.CanConcludeLoss || this->Hooks.CanConcludeLoss();
  }
  void noteAnswerAfterExpiry(const jobs::ExecutorReport &Report);
  void noteListed(const std::vector<jobs::EndReport> &Ended);
  /// Counts the ends that are acknowledged, and logs the counts if the executor
  /// had to repeat ends.
  void noteAcknowledged(uint64_t Through);
  jobs::ExecutorTime nextLease();

  Context Shared;
  jobs::ExecutorGateway Gateway;
  LinkSetup Setup;
  LinkHooks Hooks;
  jobs::ExecutorClock Clocks;
  /// The incarnation that reported last; 0 if it is not known.
  jobs::ExecutorIncarnation Incarnation = 0;
  uint64_t IncarnationsSeen = 0;
  /// When the last call with a lease that was not answered was sent, to any
  /// incarnation.
  TimePoint LastUnansweredLease = TimePoint::min();
  TimePoint LastLeaseSentAt = TimePoint::min();
  std::deque<QueuedStart> QueuedStarts;
  size_t OpenStarts = 0;
  /// The last report listed runs.
  bool HasRuns = false;
  /// Number of the last end in the last report; 0 if it contained none.
  uint64_t LastEnd = 0;
  TimePoint AcknowledgeDeadline = TimePoint::min();
  uint64_t LastListedEnd = 0;
  /// Ends that were not acknowledged, each with the time of its first report.
  std::deque<std::pair<uint64_t, TimePoint>> ListedEnds;
  EndTraffic Traffic;
  TimePoint NextEndsLog = TimePoint::min();
  bool IsReachable = true;
  bool IsEmptyReported = false;
  LeaseExpiry Expiry;
  bool IsClosed = false;
  int64_t Failures = 0;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_EXECUTORLINK_H
