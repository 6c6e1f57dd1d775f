#ifndef WHINTACK_DISPATCH_JOBREQUESTHANDLER_H
#define WHINTACK_DISPATCH_JOBREQUESTHANDLER_H

#include "jobownership.h"
#include "jobrecords.h"
#include "jobresponses.h"
#include "servicecalls.h"
#include "waitingcounts.h"

#include "whintack/base/loglimiter.h"
#include "whintack/http/httpserver.h"
#include "whintack/jobs/gateways.h"
#include "whintack/tenants/accesspolicy.h"

namespace whintack::dispatch::Internal {

/// The configuration as this process knows it.
struct ConfigurationHooks {
  /// Returns the queues; null while there is no configuration.
  std::function<std::shared_ptr<const jobs::QueueTable>()> Queues;
  /// Returns the time through which all changes are known.
  std::function<TimePoint()> KnownThrough;
  /// Reads the configuration again and calls \p Done when that has ended.
  std::function<void(std::function<void()> Done)> Refresh;
  /// Whether a newer configuration is known to exist.
  std::function<bool()> IsOutdated;
};

/// Why a job is announced to its planner.
enum class AnnounceCause {
  Accepted,
  /// A client asked for the state of the job, which the planner did not know.
  StateAsked,
  /// A client cancelled the job, which the planner did not know.
  CancelAsked,
};

inline constexpr EnumNames<AnnounceCause, 3> AnnounceCauseNames = {{
    {AnnounceCause::Accepted, "accepted"},
    {AnnounceCause::StateAsked, "state-asked"},
    {AnnounceCause::CancelAsked, "cancel-asked"},
}};

/// Handles the requests of clients: accepts jobs, shows their state and cancels
/// them.
///
/// A job is accepted only after it is stored. "Not accepted" and "no such job"
/// are only answered for a job whose record was certainly not written and will
/// not be, at another VM neither. An unknown outcome is answered as a time-out.
///
/// Each request is answered by its deadline, also if the store is silent.
///
/// A job belongs for good to the service that its queue had in the
/// configuration by which it was accepted. Later configurations, and VMs that
/// know another version, may send the queue elsewhere.
///
/// A call's key is checked once, against the configuration that is current then
/// and with the time at which the call arrived. What follows may take long and
/// does not check the key again: a key that is removed meanwhile was valid when
/// the call was sent.
class JobRequestHandler
    : public std::enable_shared_from_this<JobRequestHandler> {
public:
  JobRequestHandler(Context Shared, jobs::PlatformCodec Codec,
                    std::shared_ptr<ServiceCalls> Calls,
                    std::shared_ptr<SubmissionTracker> Submissions,
                    ConfigurationHooks Configuration,
                    const tenants::AccessBounds &Bounds);

  /// Handles a request; must be called on the loop's thread.
  void handle(const http::HttpRequest &Request, http::Responder Respond);

private:
  /// Longest time for the other VMs to tell what they know of a job that is not
  /// stored.
  static constexpr Duration MaxQuestionTime = std::chrono::milliseconds(150);
  /// How long to wait for a planner before reading the store instead.
  static constexpr Duration PlannerTimeout = std::chrono::milliseconds(500);

  /// Age of the configuration at \p At; Duration::max() if it is not known.
  Duration configurationAge(TimePoint At) const;
  /// Whether the configuration must be read again before a request is handled.
  bool mustRefresh() const;
  tenants::AccessDecision decideAccess(const jobs::QueueTable &Queues,
                                       const jobs::Queue *Queue,
                                       const std::string &Key,
                                       TimePoint Arrived) const;
  /// A request that has been read and is not routed yet.
  struct ReceivedRequest {
    http::HttpRequest Request;
    TimePoint Arrived;
    /// No commit or read begins after this time.
    TimePoint Deadline;
    /// The request is answered at this time whatever is still open.
    TimePoint AnswerDeadline;
    std::shared_ptr<PendingAnswer> Answer;
    /// Held from the arrival, for a request that may submit a job.
    SubmissionTracker::OpenSubmission Submission;
    bool IsRouted = false;
  };

  /// Answers a request that still waits for the configuration at its deadline.
  void expireUnrouted(const ReceivedRequest &Received);
  /// Handles a request by the current configuration.
  void route(ReceivedRequest Received);
  /// Answers a request that may not proceed. A submission is only refused for
  /// good if no earlier one of the same job may be stored.
  void refuseAccess(const ReceivedRequest &Received,
                    const http::HttpResponse &Refusal);

  /// A request that concerns one job and is not answered yet.
  struct JobRequest {
    jobs::JobId Id;
    std::string Method;
    std::string QueueName;
    /// The service of the queue, or that of the job once it is known to be
    /// another one.
    ServiceName Service;
    /// The tenant whose key came with the request; empty if it needed none.
    TenantName Tenant;
    /// The configuration by which the request was let in.
    std::shared_ptr<const jobs::QueueTable> Queues;
    /// The queue in that configuration.
    const jobs::Queue *Queue = nullptr;
    std::shared_ptr<PendingAnswer> Answer;
    /// As in ReceivedRequest.
    TimePoint Deadline;
    TimePoint AnswerDeadline;
    /// What the VMs said about the job; nothing if they were not asked.
    std::optional<SubmissionReport> Report;
    /// The record to store, for a submitted job.
    std::string Record;
    /// The stored record, to be announced to the planner.
    std::string Announced;
    /// A write got no answer: it may have taken effect, or may still do so.
    bool IsOutcomeUnknown = false;
    CommitHistory Commits;
    /// Held while commits of the job may be sent.
    SubmissionTracker::OpenSubmission Submission;
  };
  using SharedJobRequest = std::shared_ptr<JobRequest>;

  void logUnrouted(const http::HttpRequest &Request, int Status,
                   const std::string &Reason);
  void logUnknownQueue(const http::HttpRequest &Request, int Status,
                       uint64_t Version);
  void logKeyRefusal(const http::HttpRequest &Request,
                     const tenants::AccessDecision &Access, int Status,
                     const std::string &QueueName);
  void logRefusedJob(const JobRequest &Job, int Status,
                     const std::string &Reason) const;
  /// Answers a request whose outcome is not known at its deadline.
  void expire(const SharedJobRequest &Job);
  /// Asks all VMs about the job and calls \p Done with what they say.
  void askOthers(const SharedJobRequest &Job, SubmissionScope Scope,
                 std::function<void(SubmissionOutcome)> Done);
  /// Refuses the request, logs \p Reason and tells it to the client.
  void refuse(const SharedJobRequest &Job, int Status,
              const std::string &Reason) const;
  /// As above, and tells \p Shown to the client instead.
  void refuse(const SharedJobRequest &Job, int Status,
              const std::string &Reason, const std::string &Shown) const;
  /// Whether the stored job belongs to a tenant that the request may not act
  /// for.
  static bool isOtherTenant(const JobRequest &Job, const StoredJob &Stored);
  void refuseOtherTenant(const SharedJobRequest &Job) const;
  void submit(const SharedJobRequest &Job, const std::string &Body);
  void storeJob(const SharedJobRequest &Job);
  using CommitHandler =
      std::function<void(JobRequestHandler &, const SharedJobRequest &,
                         const store::StoreResult<store::CommitAnswer> &)>;
  /// Stores the record of a job that has none in any service.
  void createRecord(const SharedJobRequest &Job, const CommitHandler &Handle);
  void handleStored(const SharedJobRequest &Job,
                    const store::StoreResult<store::CommitAnswer> &Answer);
  void accept(const SharedJobRequest &Job, const store::CommitAnswer &Answer,
              const std::string &Stored);
  void logAccepted(const JobRequest &Job, const store::CommitAnswer &Answer,
                   const std::string &Stored) const;
  void retryStoring(const SharedJobRequest &Job, const std::string &Cause);
  /// Answers a submission for which no further commit is made.
  void endStoring(const SharedJobRequest &Job, const std::string &Cause);
  void refuseUnstored(const SharedJobRequest &Job, bool IsOutcomeUnknown,
                      const std::string &Cause);
  /// Announces the job to its planner by its stored record, unless it has
  /// ended.
  void announce(const SharedJobRequest &Job, const std::string &Stored,
                AnnounceCause Cause);
  void notifyPlanner(const SharedJobRequest &Job);
  void writeNotice(const SharedJobRequest &Job, const std::string &Key,
                   const std::string &Content, int64_t AttemptsLeft,
                   const std::function<void(bool)> &Done);
  void showState(const SharedJobRequest &Job);
  void showRecord(const SharedJobRequest &Job, const std::string &Record,
                  bool IsUnknownToPlanner);
  /// Answers a question for a job that the store does not hold.
  void showNoRecord(const SharedJobRequest &Job);
  void cancel(const SharedJobRequest &Job);
  void cancelInStore(const SharedJobRequest &Job, bool IsUnknownToPlanner);
  void cancelRecord(const SharedJobRequest &Job, const std::string &Record,
                    bool IsUnknownToPlanner);
  void storeCancelled(const SharedJobRequest &Job);
  void handleCancelled(const SharedJobRequest &Job,
                       const store::StoreResult<store::CommitAnswer> &Answer);
  void showWaiting(const jobs::QueueTable &Queues, const std::string &QueueName,
                   const std::shared_ptr<PendingAnswer> &Answer);
  using TextCallback = std::function<void(store::StoreResult<std::string>)>;
  /// Reads the value under a key; passes an empty text if there is none.
  void readValue(const SharedJobRequest &Job, const std::string &Key,
                 const TextCallback &Done);
  /// Reads the job's record in the service of the request; passes an empty text
  /// if there is no such job. Calls \p Retry instead if the job belongs to
  /// another service, which is then the service of the request.
  void findRecord(const SharedJobRequest &Job,
                  const std::function<void()> &Retry, const TextCallback &Done);
  void findService(const SharedJobRequest &Job,
                   const std::function<void()> &Retry,
                   const TextCallback &Done);
  void readNewRecord(const SharedJobRequest &Job, const TextCallback &Done);
  void setService(const SharedJobRequest &Job, const ServiceName &Service);
  /// Accepts a job that is stored in another service than that of its queue.
  void acceptFromOtherService(const SharedJobRequest &Job,
                              const store::CommitAnswer &Answer);

  Context Shared;
  jobs::PlatformCodec Codec;
  std::shared_ptr<ServiceCalls> Calls;
  std::shared_ptr<SubmissionTracker> Submissions;
  ConfigurationHooks Configuration;
  tenants::AccessPolicy Policy;
  /// Refusals of requests without a known queue, key or job are bounded: any
  /// client can cause them.
  static constexpr size_t MaxRefusalLines = 20;
  LogLimiter UnroutedLines{MaxRefusalLines};
  LogLimiter UnknownQueueLines{MaxRefusalLines};
  LogLimiter KeyRefusalLines{MaxRefusalLines};
  std::shared_ptr<WaitingCounts> Waiting;
  /// Services of jobs that do not belong to the service of the queue by which
  /// they were requested.
  std::unordered_map<jobs::JobId, ServiceName> OtherServices;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_JOBREQUESTHANDLER_H
