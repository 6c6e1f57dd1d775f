#ifndef WHINTACK_PEERS_MESSAGE_H
#define WHINTACK_PEERS_MESSAGE_H

#include "whintack/base/enumnames.h"
#include "whintack/base/event.h"
#include "whintack/base/eventjournal.h"
#include "whintack/peers/executorcalls.h"
#include "whintack/routing/claimtable.h"
#include "whintack/routing/messages.h"
#include "whintack/store/storecall.h"

#include <string>
#include <variant>
#include <vector>

namespace whintack::peers {

/// Number by which the sender of a request recognises the answer, which may
/// reach a later process of the sender's VM. Where that would do harm, the
/// numbers begin after the incarnation of the process.
using CallId = uint64_t;

/// First message of a connection.
struct Hello {
  EntryName Name;
  uint64_t Incarnation = 0;
  DataCentreName DataCentre;
};

/// Periodic sign of life that carries the sender's state.
struct Heartbeat {
  uint64_t HeadRevision = 0;
  bool IsReady = false;
  /// Whether heartbeats of the receiver arrive at the sender.
  bool HearsReceiver = false;
  /// Longest time from this heartbeat to the next one.
  Duration Interval = Duration::zero();
};

/// Distributes the head of the configuration, in its encoded form.
struct HeadNotice {
  std::string Head;
};

/// Requests immutable content by its digests.
struct ContentRequest {
  CallId Id = 0;
  std::vector<std::string> Digests;
};

/// Answers a ContentRequest, in the order of its digests. A text is empty if
/// the sender does not have the content.
struct ContentAnswer {
  CallId Id = 0;
  std::vector<std::string> Contents;
};

/// Asks an owner of an idempotency key to record a claim.
struct ClaimRequest {
  CallId Id = 0;
  std::string Key;
  routing::Claim Wanted;
};

/// Answers a ClaimRequest with the claim that was recorded before it.
struct ClaimAnswer {
  CallId Id = 0;
  routing::Claim Before;
};

/// Tells an owner of the key how the request with the key ended.
struct ClaimSettle {
  std::string Key;
  routing::Claim Ended;
};

/// Tells an owner of the key that the request with the key was not run.
struct ClaimForget {
  std::string Key;
  RequestId Request;
};

/// Requests all claims of another owner, after the start of this one.
struct ClaimTableRequest {};

/// Answers a ClaimTableRequest with one part of the claims.
struct ClaimTablePart {
  std::vector<routing::KeyedClaim> Claims;
  bool IsLast = false;
};

/// Asks how many requests of the receiver run on a VM that is leaving.
struct RunningRequest {
  CallId Id = 0;
  routing::LeavingNotice Leaving;
};

/// Answers a RunningRequest.
struct RunningAnswer {
  CallId Id = 0;
  int64_t Running = 0;
};

/// Requests at most Limit events of the time line.
struct TimelineRequest {
  CallId Id = 0;
  EventFilter Filter;
  size_t Limit = 0;
};

/// Answers a TimelineRequest.
struct TimelineAnswer {
  CallId Id = 0;
  std::vector<Event> Events;
};

/// Operations that an entry VM requests from the planner of a service.
enum class ServiceCallKind {
  /// Plan the job in the content.
  SubmitJob,
  CancelJob,
  JobState,
  WaitingJobs,
  /// Start nothing new on the executor and move its long-running tasks away.
  /// The request expires after some seconds.
  EvacuateExecutor,
  /// Report the waiting and arriving work of the service's pool and which of
  /// its executors are vacant. The content lists executors that have arrived.
  PoolDemand,
  /// Apply the shares of the tenants' quotas in the content, and report what is
  /// in use and what waits.
  TenantQuota,
};

inline constexpr EnumNames<ServiceCallKind, 7> ServiceCallNames = {{
    {ServiceCallKind::SubmitJob, "submit-job"},
    {ServiceCallKind::CancelJob, "cancel-job"},
    {ServiceCallKind::JobState, "job-state"},
    {ServiceCallKind::WaitingJobs, "waiting-jobs"},
    {ServiceCallKind::EvacuateExecutor, "evacuate-executor"},
    {ServiceCallKind::PoolDemand, "pool-demand"},
    {ServiceCallKind::TenantQuota, "tenant-quota"},
}};

/// Asks the planner of a service for an operation on a job, a queue or an
/// executor.
struct ServiceCall {
  CallId Id = 0;
  ServiceName Service;
  ServiceCallKind Kind = ServiceCallKind::JobState;
  /// Name of the job, queue or executor.
  std::string Subject;
  /// For CancelJob and JobState, the name of the calling tenant; empty if the
  /// call needs no key.
  std::string Content;
};

/// How a ServiceCall ended.
enum class ServiceOutcome {
  Done,
  /// The planner does not know the subject.
  Unknown,
  /// The receiver does not plan the service.
  NotPlanner,
  /// The planner cannot carry out the operation at present.
  Failed,
  /// The job belongs to another tenant.
  OtherTenant,
};

inline constexpr EnumNames<ServiceOutcome, 5> ServiceOutcomeNames = {{
    {ServiceOutcome::Done, "done"},
    {ServiceOutcome::Unknown, "unknown"},
    {ServiceOutcome::NotPlanner, "not-planner"},
    {ServiceOutcome::Failed, "failed"},
    {ServiceOutcome::OtherTenant, "other-tenant"},
}};

/// Answers a ServiceCall.
struct ServiceAnswer {
  CallId Id = 0;
  ServiceOutcome Outcome = ServiceOutcome::Failed;
  std::string Content;
};

/// Asks a peer to make a call to the platform's store.
struct StoreRequest {
  CallId Id = 0;
  store::StoreCall Call;
};

/// Answers a StoreRequest.
struct StoreResponse {
  CallId Id = 0;
  store::StoreResult<store::StoreReply> Result = store::StoreReply();
};

/// Asks for the operator's items if they have changed after the revision AsOf
/// of the store. The answer may wait for a change or a newer report.
struct ItemsRequest {
  CallId Id = 0;
  uint64_t AsOf = 0;
  /// Longest time that the answer may wait.
  Duration Wait = Duration::zero();
};

/// One of the operator's items. Its value is a tree of contents, which are
/// requested with a ContentRequest.
struct ItemSummary {
  std::string Key;
  uint64_t Revision = 0;
  unsigned Depth = 0;
  std::string Root;
};

/// Answers an ItemsRequest.
struct ItemsAnswer {
  CallId Id = 0;
  /// Revision of the store as of which the sender knows the items.
  uint64_t AsOf = 0;
  /// How long before the answer the sender knew of all changes.
  Duration Age = Duration::zero();
  /// Time from the arrival of the request to the answer.
  Duration Held = Duration::zero();
  /// Whether the items have changed; only then are all of them listed.
  bool IsChanged = false;
  std::vector<ItemSummary> Items;
};

/// Any message between two entry VMs.
using Message =
    std::variant<Hello, Heartbeat, HeadNotice, ContentRequest, ContentAnswer,
                 routing::LoanRequest, routing::LoanGrant, routing::LoanReturn,
                 routing::LeavingNotice, ClaimRequest, ClaimAnswer, ClaimSettle,
                 ClaimForget, ClaimTableRequest, ClaimTablePart, RunningRequest,
                 RunningAnswer, TimelineRequest, TimelineAnswer, ServiceCall,
                 ServiceAnswer, StoreRequest, StoreResponse, ExecutorCalls,
                 ExecutorAnswers, ItemsRequest, ItemsAnswer>;

} // namespace whintack::peers

#endif // WHINTACK_PEERS_MESSAGE_H
