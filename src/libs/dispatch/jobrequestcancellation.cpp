#include "jobrequesthandler.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

namespace status = http::status;

static constexpr Duration RetryDelay = std::chrono::milliseconds(120);
static constexpr int64_t MaxNoticeAttempts = 5;

void JobRequestHandler::cancel(const SharedJobRequest &Job) {
  this->Calls->call(
      {0, Job->Service, peers::ServiceCallKind::CancelJob, Job->Id.text(),
       Job->Tenant.text()},
      PlannerTimeout,
      [Weak = this->weak_from_this(), Job](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (Answer.Outcome == CallOutcome::Done)
          Job->Answer->send(http::jsonResponse(status::Ok, "{}"));
        else if (Answer.Outcome == CallOutcome::OtherTenant)
          Self->refuseOtherTenant(Job);
        else
          Self->cancelInStore(Job, Answer.Outcome == CallOutcome::Unknown);
      });
}

/// Cancels a job that the planner does not know, or whose planner cannot be
/// reached.
void JobRequestHandler::cancelInStore(const SharedJobRequest &Job,
                                      bool IsUnknownToPlanner) {
  const auto Self = this->shared_from_this();
  const auto Retry = [Self, Job] { Self->cancel(Job); };
  this->findRecord(
      Job, Retry,
      [Self, Job, IsUnknownToPlanner](store::StoreResult<std::string> Record) {
        if (!Record)
          Self->refuse(Job, status::ServiceUnavailable, Record.error().Message,
                       "the job cannot be cancelled at present");
        else if (Record.value().empty())
          Self->storeCancelled(Job);
        else
          Self->cancelRecord(Job, Record.value(), IsUnknownToPlanner);
      });
}

void JobRequestHandler::cancelRecord(const SharedJobRequest &Job,
                                     const std::string &Record,
                                     bool IsUnknownToPlanner) {
  const auto Stored = decodeStoredJob(Record);
  if (Stored && isOtherTenant(*Job, Stored.value())) {
    this->refuseOtherTenant(Job);
    return;
  }
  if (Stored && Stored.value().End) {
    Job->Answer->send(http::jsonResponse(status::Ok, "{}"));
    return;
  }
  if (IsUnknownToPlanner)
    this->announce(Job, Record, AnnounceCause::CancelAsked);
  this->writeNotice(
      Job, keys::cancellations(Job->Service) + Job->Id.text(), "{}",
      MaxNoticeAttempts, [Self = this->shared_from_this(), Job](bool IsStored) {
        logEvent(LogLevel::Info, "cancel-noted",
                 {{"job", Job->Id}, {"stored", IsStored ? "yes" : "no"}});
        if (IsStored)
          Job->Answer->send(http::jsonResponse(status::Ok, "{}"));
        else
          Self->refuse(Job, status::GatewayTimeout,
                       "it is not known whether the job is cancelled");
      });
}

/// Stores a job that has no record as cancelled, so that a submission of it
/// that is carried out later finds it as such.
void JobRequestHandler::storeCancelled(const SharedJobRequest &Job) {
  Job->Record = encodeStoredJob({Job->QueueName, this->Shared.Time.WallNow(),
                                 "", jobs::JobState::Cancelled, Job->Tenant});
  this->createRecord(Job, &JobRequestHandler::handleCancelled);
}

void JobRequestHandler::handleCancelled(
    const SharedJobRequest &Job,
    const store::StoreResult<store::CommitAnswer> &Answer) {
  if (Answer && Answer.value().IsCommitted) {
    logEvent(LogLevel::Info, "cancelled-unsubmitted",
             {{"job", Job->Id},
              {"queue", Job->QueueName},
              {"revision", Answer.value().Revision},
              {"commits", Job->Commits.count()},
              {"outcomes", Job->Commits.outcomes()},
              {"late", Job->Answer->isSent() ? "yes" : ""}});
    Job->Answer->send(http::jsonResponse(status::Ok, "{}"));
    return;
  }
  if (Job->Answer->isSent())
    return;
  if (!Answer && Answer.error().Code != store::StoreErrorCode::Unreachable)
    Job->IsOutcomeUnknown = true;
  const TimePoint Next = this->Shared.now() + this->Shared.jittered(RetryDelay);
  if (Next < Job->Deadline) {
    // After a conflict the job has a record: its own, or that of a submission.
    scheduleFor(this->Shared.Loop, this->shared_from_this(), Next,
                [Job](JobRequestHandler &Self) { Self.cancel(Job); });
    return;
  }
  const std::string Cause = Answer ? "a conflict" : Answer.error().Message;
  if (Answer || Job->IsOutcomeUnknown)
    this->refuse(Job, status::GatewayTimeout, Cause,
                 "it is not known whether the job is cancelled");
  else
    this->refuse(Job, status::ServiceUnavailable, Cause,
                 "the job cannot be cancelled at present");
}

} // namespace whintack::dispatch::Internal
