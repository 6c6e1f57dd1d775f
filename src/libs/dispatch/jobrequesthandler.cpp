#include "jobrequesthandler.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

namespace status = http::status;

static constexpr int Forbidden = 403;
static constexpr int Gone = 410;
static constexpr Duration StoreRetryDelay = std::chrono::milliseconds(120);
static constexpr int64_t MaxNoticeAttempts = 20;

JobRequestHandler::JobRequestHandler(
    Context Shared, jobs::PlatformCodec Codec,
    std::shared_ptr<ServiceCalls> Calls,
    std::shared_ptr<SubmissionTracker> Submissions,
    ConfigurationHooks Configuration, const tenants::AccessBounds &Bounds)
    : Shared(std::move(Shared)), Codec(std::move(Codec)),
      Calls(std::move(Calls)), Submissions(std::move(Submissions)),
      Configuration(std::move(Configuration)), Policy(Bounds),
      Waiting(std::make_shared<WaitingCounts>(this->Shared, this->Calls)) {}

bool JobRequestHandler::isOtherTenant(const JobRequest &Job,
                                      const StoredJob &Stored) {
  return !mayAccess(*Job.Queues, Job.Tenant,
                    JobOrigin{Stored.QueueName, Stored.Tenant});
}

void JobRequestHandler::logRefusedJob(const JobRequest &Job, int Status,
                                      const std::string &Reason) const {
  RefusedRequest Refused{Job.Id, Job.Method, Status, Reason};
  Refused.Report = Job.Report;
  if (Status == Forbidden)
    Refused.Tenant = Job.Tenant;
  if (Job.Commits.count() > 0 || Job.Method == "POST")
    logRefusal(Refused, Job.Commits, this->Shared.now());
  else
    logRefusal(Refused);
}

void JobRequestHandler::refuse(const SharedJobRequest &Job, int Status,
                               const std::string &Reason) const {
  this->refuse(Job, Status, Reason, Reason);
}

void JobRequestHandler::refuse(const SharedJobRequest &Job, int Status,
                               const std::string &Reason,
                               const std::string &Shown) const {
  if (Job->Answer->isSent())
    return;
  this->logRefusedJob(*Job, Status, Reason);
  if (Job->Commits.open() == 0)
    Job->Submission = nullptr;
  Job->Answer->send(errorResponse(Status, Shown));
}

void JobRequestHandler::refuseOtherTenant(const SharedJobRequest &Job) const {
  this->refuse(Job, Forbidden, "other-tenant",
               "the job belongs to another tenant");
}

void JobRequestHandler::expire(const SharedJobRequest &Job) {
  if (Job->Answer->isSent())
    return;
  const std::string Reason = "no outcome by the deadline";
  if (Job->Method == "POST") {
    this->Submissions->noteMayBeStored(Job->Id);
    this->refuseUnstored(Job, true, Reason);
  } else if (Job->Method == "DELETE") {
    this->refuse(Job, status::GatewayTimeout, Reason,
                 "it is not known whether the job is cancelled");
  } else {
    this->refuse(Job, status::ServiceUnavailable, Reason,
                 "the job's state is not known at present");
  }
}

void JobRequestHandler::askOthers(const SharedJobRequest &Job,
                                  SubmissionScope Scope,
                                  std::function<void(SubmissionOutcome)> Done) {
  if (Job->Answer->isSent())
    return;
  const TimePoint Now = this->Shared.now();
  // A process that was suspended cannot tell what has happened since its read.
  if (Now >= Job->AnswerDeadline) {
    this->expire(Job);
    return;
  }
  this->Submissions->ask(
      Job->Id, Scope, std::min(MaxQuestionTime, Job->AnswerDeadline - Now),
      [Job, Done = std::move(Done)](const SubmissionReport &Report) {
        Job->Report = Report;
        Done(Report.Outcome);
      });
}

void JobRequestHandler::submit(const SharedJobRequest &Job,
                               const std::string &Body) {
  const auto Spec = this->Codec.DecodeJob(Job->Id, Body);
  if (!Spec) {
    this->refuse(Job, status::BadRequest, Spec.error().Message);
    return;
  }
  Job->Record = encodeStoredJob({Job->QueueName, this->Shared.Time.WallNow(),
                                 Body, std::nullopt, Job->Tenant, *Job->Queue});
  this->storeJob(Job);
}

void JobRequestHandler::storeJob(const SharedJobRequest &Job) {
  this->createRecord(Job, &JobRequestHandler::handleStored);
}

void JobRequestHandler::createRecord(const SharedJobRequest &Job,
                                     const CommitHandler &Handle) {
  const std::string Key = keys::jobs(Job->Service) + Job->Id.text();
  const std::string ServiceKey = keys::jobService(Job->Id);
  store::StoreTransaction Change;
  Change.Expect = {{ServiceKey, 0}, {Key, 0}};
  Change.Puts = {{ServiceKey, Job->Service.text(), 0}, {Key, Job->Record, 0}};
  Change.IsRepeatable = true;
  Job->Commits.noteBegin(this->Shared.now());
  this->Shared.Store.Commit(
      Change,
      onLoop<JobRequestHandler, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Job, Handle](JobRequestHandler &Self,
                        const store::StoreResult<store::CommitAnswer> &Answer) {
            Job->Commits.noteEnd(Answer);
            Handle(Self, Job, Answer);
          }));
}

void JobRequestHandler::handleStored(
    const SharedJobRequest &Job,
    const store::StoreResult<store::CommitAnswer> &Answer) {
  if (Answer || Answer.error().Code != store::StoreErrorCode::Unreachable)
    this->Submissions->noteMayBeStored(Job->Id);
  if (!Answer) {
    if (Answer.error().Code != store::StoreErrorCode::Unreachable)
      Job->IsOutcomeUnknown = true;
    this->retryStoring(Job, Answer.error().Message);
    return;
  }
  if (Answer.value().IsCommitted) {
    this->accept(Job, Answer.value(), Job->Record);
    return;
  }
  // The same job was submitted before, or this is a second copy of the commit.
  const store::StoreItem *Stored =
      store::findItem(Answer.value().Current, keys::jobService(Job->Id));
  if (Stored && Stored->Value != Job->Service.text()) {
    this->setService(Job, ServiceName(Stored->Value));
    this->acceptFromOtherService(Job, Answer.value());
    return;
  }
  if (const store::StoreItem *Found = store::findItem(
          Answer.value().Current, keys::jobs(Job->Service) + Job->Id.text())) {
    this->accept(Job, Answer.value(), Found->Value);
    return;
  }
  Job->IsOutcomeUnknown = true;
  this->retryStoring(Job, "a conflict without a record");
}

void JobRequestHandler::accept(const SharedJobRequest &Job,
                               const store::CommitAnswer &Answer,
                               const std::string &Stored) {
  if (const auto Read = decodeStoredJob(Stored);
      Read && isOtherTenant(*Job, Read.value())) {
    this->refuseOtherTenant(Job);
    return;
  }
  this->logAccepted(*Job, Answer, Stored);
  Job->Answer->send(http::jsonResponse(status::Ok, "{}"));
  this->announce(Job, Stored, AnnounceCause::Accepted);
}

/// Logs what was answered, and for a job that was stored before since when.
/// Shows the commits unless the first one stored the job.
void JobRequestHandler::logAccepted(const JobRequest &Job,
                                    const store::CommitAnswer &Answer,
                                    const std::string &Stored) const {
  std::string StoredFor;
  // The clock of the VM that stored the job may differ from this one's.
  if (const auto Read = decodeStoredJob(Stored); Read && !Answer.IsCommitted)
    StoredFor = std::to_string(
        toMilliseconds(this->Shared.Time.WallNow() - Read.value().Accepted));
  const bool IsFirst = Answer.IsCommitted && Job.Commits.count() == 1;
  logEvent(LogLevel::Info, "job-accepted",
           {{"job", Job.Id},
            {"queue", Job.QueueName},
            {"again", Answer.IsCommitted ? "no" : "yes"},
            {"revision", Answer.Revision},
            {"stored-ms", StoredFor},
            {"late", Job.Answer->isSent() ? "yes" : ""},
            {"commits", IsFirst ? "" : std::to_string(Job.Commits.count())},
            {"outcomes", IsFirst ? "" : Job.Commits.outcomes()}});
}

void JobRequestHandler::retryStoring(const SharedJobRequest &Job,
                                     const std::string &Cause) {
  if (Job->Answer->isSent())
    return;
  const TimePoint Next =
      this->Shared.now() + this->Shared.jittered(StoreRetryDelay);
  if (Next >= Job->Deadline) {
    this->endStoring(Job, Cause);
    return;
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(), Next,
              [Job, Cause](JobRequestHandler &Self) {
                // The process may have been suspended meanwhile.
                if (Self.Shared.now() < Job->Deadline)
                  Self.storeJob(Job);
                else
                  Self.endStoring(Job, Cause);
              });
}

void JobRequestHandler::endStoring(const SharedJobRequest &Job,
                                   const std::string &Cause) {
  if (Job->Answer->isSent())
    return;
  Job->Submission = nullptr;
  if (Job->IsOutcomeUnknown) {
    this->refuseUnstored(Job, true, Cause);
    return;
  }
  this->askOthers(
      Job, SubmissionScope::Repeatable,
      [Weak = this->weak_from_this(), Job, Cause](SubmissionOutcome Outcome) {
        if (const auto Self = Weak.lock())
          Self->refuseUnstored(Job, Outcome != SubmissionOutcome::NotStored,
                               Cause);
      });
}

void JobRequestHandler::refuseUnstored(const SharedJobRequest &Job,
                                       bool IsOutcomeUnknown,
                                       const std::string &Cause) {
  if (IsOutcomeUnknown)
    this->refuse(Job, status::GatewayTimeout, Cause,
                 "it is not known whether the job is stored");
  else
    this->refuse(Job, status::ServiceUnavailable, Cause,
                 "the job could not be stored");
}

void JobRequestHandler::announce(const SharedJobRequest &Job,
                                 const std::string &Stored,
                                 AnnounceCause Cause) {
  if (const auto Read = decodeStoredJob(Stored); Read && Read.value().End)
    return;
  // The line "job-accepted" tells of the other announcements.
  if (Cause != AnnounceCause::Accepted)
    logEvent(LogLevel::Info, "job-announced",
             {{"job", Job->Id}, {"cause", nameOf(AnnounceCauseNames, Cause)}});
  Job->Announced = Stored;
  this->notifyPlanner(Job);
}

void JobRequestHandler::notifyPlanner(const SharedJobRequest &Job) {
  this->Calls->call(
      {0, Job->Service, peers::ServiceCallKind::SubmitJob, Job->Id.text(),
       Job->Announced},
      PlannerTimeout,
      [Weak = this->weak_from_this(), Job](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self || Answer.Outcome == CallOutcome::Done)
          return;
        logEvent(LogLevel::Info, "planner-not-told",
                 {{"job", Job->Id},
                  {"outcome", nameOf(CallOutcomeNames, Answer.Outcome)}});
        // The job is accepted, so a planner must learn of it at some time.
        Self->writeNotice(Job, keys::newJobs(Job->Service) + Job->Id.text(),
                          Job->Announced, MaxNoticeAttempts,
                          [Weak, Job](bool IsStored) {
                            const auto Owner = Weak.lock();
                            if (Owner && !IsStored)
                              Owner->notifyPlanner(Job);
                          });
      });
}

/// Leaves a notice for the planner in the store.
void JobRequestHandler::writeNotice(const SharedJobRequest &Job,
                                    const std::string &Key,
                                    const std::string &Content,
                                    int64_t AttemptsLeft,
                                    const std::function<void(bool)> &Done) {
  store::StoreTransaction Change;
  // A notice that exists has the same effect.
  Change.Expect = {{Key, 0}};
  Change.Puts = {{Key, Content, 0}};
  Change.IsRepeatable = true;
  this->Shared.Store.Commit(
      Change,
      onLoop<JobRequestHandler, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [Job, Key, Content, AttemptsLeft,
           Done](JobRequestHandler &Self,
                 const store::StoreResult<store::CommitAnswer> &Answer) {
            if (Answer) {
              Done(true);
              return;
            }
            if (AttemptsLeft <= 1) {
              logEvent(LogLevel::Error, "notice-not-left",
                       {{"job", Job->Id}, {"key", Key}});
              Done(false);
              return;
            }
            scheduleFor(
                Self.Shared.Loop, Self.shared_from_this(),
                Self.Shared.now() + 2 * Self.Shared.jittered(StoreRetryDelay),
                [Job, Key, Content, AttemptsLeft,
                 Done](JobRequestHandler &Owner) {
                  Owner.writeNotice(Job, Key, Content, AttemptsLeft - 1, Done);
                });
          }));
}

void JobRequestHandler::showState(const SharedJobRequest &Job) {
  this->Calls->call(
      {0, Job->Service, peers::ServiceCallKind::JobState, Job->Id.text(),
       Job->Tenant.text()},
      PlannerTimeout,
      [Weak = this->weak_from_this(), Job](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        const auto State = valueOf(jobs::JobStateNames, Answer.Content);
        if (Answer.Outcome == CallOutcome::Done && State) {
          Job->Answer->send(
              http::jsonResponse(status::Ok, Self->Codec.EncodeState(*State)));
          return;
        }
        if (Answer.Outcome == CallOutcome::OtherTenant) {
          Self->refuseOtherTenant(Job);
          return;
        }
        const bool IsUnknown = Answer.Outcome == CallOutcome::Unknown;
        const auto Retry = [Self, Job] { Self->showState(Job); };
        Self->findRecord(
            Job, Retry,
            [Self, Job, IsUnknown](store::StoreResult<std::string> Record) {
              if (!Record)
                Self->refuse(Job, status::ServiceUnavailable,
                             Record.error().Message,
                             "the job's state is not known at present");
              else if (Record.value().empty())
                Self->showNoRecord(Job);
              else
                Self->showRecord(Job, Record.value(), IsUnknown);
            });
      });
}

void JobRequestHandler::showRecord(const SharedJobRequest &Job,
                                   const std::string &Record,
                                   bool IsUnknownToPlanner) {
  const auto Stored = decodeStoredJob(Record);
  if (Stored && isOtherTenant(*Job, Stored.value())) {
    this->refuseOtherTenant(Job);
    return;
  }
  const jobs::JobState Shown = Stored && Stored.value().End
                                   ? *Stored.value().End
                                   : jobs::JobState::Queued;
  Job->Answer->send(
      http::jsonResponse(status::Ok, this->Codec.EncodeState(Shown)));
  if (IsUnknownToPlanner && Stored)
    this->announce(Job, Record, AnnounceCause::StateAsked);
}

void JobRequestHandler::showNoRecord(const SharedJobRequest &Job) {
  // A commit that was not answered may be carried out after the read.
  this->askOthers(
      Job, SubmissionScope::Unsettled,
      [Weak = this->weak_from_this(), Job](SubmissionOutcome Outcome) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (Outcome == SubmissionOutcome::NotStored)
          Self->refuse(Job, Gone, "no such job");
        else
          Self->refuse(Job, status::ServiceUnavailable,
                       "a submission may be open",
                       "the job's state is not known at present");
      });
}

void JobRequestHandler::showWaiting(
    const jobs::QueueTable &Queues, const std::string &QueueName,
    const std::shared_ptr<PendingAnswer> &Answer) {
  this->Waiting->count(
      Queues, QueueName,
      [Weak = this->weak_from_this(), Answer](std::optional<size_t> Count) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (Count)
          Answer->send(http::jsonResponse(status::Ok,
                                          Self->Codec.EncodeWaiting(*Count)));
        else
          Answer->send(errorResponse(status::ServiceUnavailable,
                                     "the count is not known at present"));
      });
}

} // namespace whintack::dispatch::Internal
