#ifndef WHINTACK_DISPATCH_EXECUTORLINK_H
#define WHINTACK_DISPATCH_EXECUTORLINK_H

#include "context.h"

#include "whintack/jobs/clockmap.h"
#include "whintack/jobs/gateways.h"

#include <deque>

namespace whintack::dispatch::Internal {

/// What a link asks and tells the planner of its service.
struct LinkHooks {
  /// Whether this process may still give orders.
  std::function<bool()> MayOrder;
  std::function<uint64_t(const jobs::ExecutorId &)> ForgettableEnd;
  std::function<void(const jobs::ExecutorId &, const jobs::ExecutorReport &)>
      OnReport;
  std::function<void(const jobs::StartOrder &, jobs::StartOutcome,
                     jobs::ExecutorTime)>
      OnStart;
  std::function<void(const jobs::StopOrder &,
                     std::optional<jobs::ExecutorTime>)>
      OnStop;
  std::function<void(const jobs::ExecutorId &, bool)> OnReachable;
  /// Nothing runs there any more; names the cause.
  std::function<void(const jobs::ExecutorId &, std::string_view)> OnEmpty;
  /// Another planner with a higher token has taken over.
  std::function<void()> OnFenced;
};

/// How a link treats its executor.
struct LinkSetup {
  jobs::ExecutorAddress To;
  uint64_t Token = 0;
  /// Longest lease that executors grant.
  Duration LongestLease = Duration::zero();
  /// When every lease that an earlier planner can have sent has run out.
  TimePoint EarlierLeasesOver = TimePoint::min();
};

/// Carries orders to one executor and keeps a call waiting there for its
/// report, which also extends the leases of what runs.
class ExecutorLink : public std::enable_shared_from_this<ExecutorLink> {
public:
  ExecutorLink(Context Shared, jobs::ExecutorGateway Gateway, LinkSetup Setup,
               LinkHooks Hooks);

  void open();
  void close() { this->IsClosed = true; }
  void setAddress(const Address &Server) { this->Setup.To.Server = Server; }

  void start(jobs::StartOrder Order);
  void stop(const jobs::StopOrder &Order);
  void pace(const jobs::PaceOrder &Order);

private:
  void report();
  void takeReport(jobs::GatewayResult<jobs::ExecutorReport> Answer);
  void noteFailure(const jobs::GatewayError &Cause);
  bool canAcknowledge() const;
  void sendStarts();
  void takeStart(const jobs::StartOrder &Order,
                 const jobs::StartAnswer &Answer);
  void again(Duration Pause);
  void checkLapse();
  jobs::ExecutorTime nextLease();

  Context Shared;
  jobs::ExecutorGateway Gateway;
  LinkSetup Setup;
  LinkHooks Hooks;
  jobs::ClockMap Clocks;
  std::deque<jobs::StartOrder> Waiting;
  size_t OpenStarts = 0;
  /// Last end of the last report; 0 if it had none.
  uint64_t LastEnd = 0;
  TimePoint AcknowledgeBy = TimePoint::min();
  bool HasReported = false;
  bool IsReachable = true;
  bool IsEmptyTold = false;
  bool IsClosed = false;
  int64_t Failures = 0;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_EXECUTORLINK_H
