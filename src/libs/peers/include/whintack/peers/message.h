#ifndef WHINTACK_PEERS_MESSAGE_H
#define WHINTACK_PEERS_MESSAGE_H

#include "whintack/base/enumnames.h"
#include "whintack/base/event.h"
#include "whintack/base/eventjournal.h"
#include "whintack/routing/claimtable.h"
#include "whintack/routing/messages.h"
#include "whintack/store/storecall.h"

#include <string>
#include <variant>
#include <vector>

namespace whintack::peers {

/// Numbers a request so that its answer finds back; given by the asker.
using CallId = uint64_t;

/// First message of a connection.
struct Hello {
  EntryName Name;
  uint64_t Incarnation = 0;
  DataCentreName DataCentre;
};

/// Says that the sender lives and what it has.
struct Heartbeat {
  uint64_t HeadRevision = 0;
  bool IsReady = false;
  /// Whether the sender hears the receiver.
  bool HearsYou = false;
  /// When the next heartbeat is due at the latest, counted from this one.
  Duration Interval = Duration::zero();
};

/// Passes the head of the configuration on, in its encoded form.
struct HeadNotice {
  std::string Head;
};

/// Asks for content by digest.
struct ContentRequest {
  CallId Id = 0;
  std::vector<std::string> Digests;
};

/// Answers a ContentRequest; a text is empty where the content is not known.
struct ContentAnswer {
  CallId Id = 0;
  std::vector<std::string> Contents;
};

/// Asks an owner to claim a key.
struct ClaimRequest {
  CallId Id = 0;
  std::string Key;
  routing::Claim Wanted;
};

/// Answers a ClaimRequest with the claim as it was before.
struct ClaimAnswer {
  CallId Id = 0;
  routing::Claim Before;
};

/// Tells an owner how a keyed request ended.
struct ClaimSettle {
  std::string Key;
  routing::Claim Ended;
};

/// Tells an owner that a keyed request was not run.
struct ClaimForget {
  std::string Key;
  RequestId Request;
};

/// Asks another owner for its claims, after a start.
struct ClaimTableRequest {};

/// Some of the claims of an owner.
struct ClaimTablePart {
  std::vector<routing::KeyedClaim> Claims;
  bool IsLast = false;
};

/// Asks how many requests run on a VM that is leaving.
struct RunningRequest {
  CallId Id = 0;
  routing::LeavingNotice Leaving;
};

/// Answers a RunningRequest.
struct RunningAnswer {
  CallId Id = 0;
  int64_t Running = 0;
};

/// Asks for events of the time line.
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

/// What an entry VM asks the one that plans a service.
enum class ServiceCallKind {
  /// Plan the job that is enclosed.
  SubmitJob,
  CancelJob,
  JobState,
  WaitingJobs,
  /// Keep new work from the executor and move away what lasts.
  /// Holds for some seconds.
  EvacuateExecutor,
  /// What the service's pool could use.
  PoolDemand,
};

inline constexpr EnumNames<ServiceCallKind, 6> ServiceCallNames = {{
    {ServiceCallKind::SubmitJob, "submit-job"},
    {ServiceCallKind::CancelJob, "cancel-job"},
    {ServiceCallKind::JobState, "job-state"},
    {ServiceCallKind::WaitingJobs, "waiting-jobs"},
    {ServiceCallKind::EvacuateExecutor, "evacuate-executor"},
    {ServiceCallKind::PoolDemand, "pool-demand"},
}};

/// Asks the planner of a service about a job, a queue or an executor.
struct ServiceCall {
  CallId Id = 0;
  ServiceName Service;
  ServiceCallKind Kind = ServiceCallKind::JobState;
  /// Names the job, queue or executor.
  std::string Subject;
  std::string Content;
};

/// How a ServiceCall ended.
enum class ServiceOutcome {
  Done,
  /// The planner does not know the subject.
  Unknown,
  /// The receiver does not plan the service.
  NotPlanner,
  /// The planner could not do it now.
  Failed,
};

inline constexpr EnumNames<ServiceOutcome, 4> ServiceOutcomeNames = {{
    {ServiceOutcome::Done, "done"},
    {ServiceOutcome::Unknown, "unknown"},
    {ServiceOutcome::NotPlanner, "not-planner"},
    {ServiceOutcome::Failed, "failed"},
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

/// Any message between entry VMs.
using Message =
    std::variant<Hello, Heartbeat, HeadNotice, ContentRequest, ContentAnswer,
                 routing::LoanRequest, routing::LoanGrant, routing::LoanReturn,
                 routing::LeavingNotice, ClaimRequest, ClaimAnswer, ClaimSettle,
                 ClaimForget, ClaimTableRequest, ClaimTablePart, RunningRequest,
                 RunningAnswer, TimelineRequest, TimelineAnswer, ServiceCall,
                 ServiceAnswer, StoreRequest, StoreResponse>;

} // namespace whintack::peers

#endif // WHINTACK_PEERS_MESSAGE_H
