#include "jobrequesthandler.h"

#include <algorithm>
#include <charconv>

namespace whintack::dispatch::Internal {

namespace status = http::status;

/// Time for a request without a deadline of its own.
static constexpr Duration DefaultTimeout = std::chrono::seconds(3);
/// Reserved from the client's deadline, but at most half of the time until
/// then: one half for the end of what is open, the other for sending the
/// answer.
static constexpr Duration MaxAnswerMargin = std::chrono::milliseconds(300);
/// Maximum time spent on one request.
static constexpr Duration MaxRequestTime = std::chrono::seconds(5);
static constexpr size_t MaxLoggedPathBytes = 80;
static constexpr size_t MaxLoggedMethodBytes = 20;

static Duration clientTimeout(const http::HttpRequest &Request) {
  const std::optional<std::string> Given = Request.Headers.find("Deadline-Ms");
  if (!Given)
    return DefaultTimeout;
  int64_t Millis = 0;
  const char *End = Given->data() + Given->size();
  const auto Read = std::from_chars(Given->data(), End, Millis);
  if (Read.ec != std::errc() || Millis <= 0)
    return DefaultTimeout;
  return std::chrono::milliseconds(Millis);
}

static std::string requestHost(const http::HttpRequest &Request) {
  const std::optional<std::string> Host = Request.Headers.find("Host");
  return Host ? Host->substr(0, Host->find(':')) : std::string();
}

static std::string requestPath(const http::HttpRequest &Request) {
  return Request.Target.substr(0, Request.Target.find('?'));
}

void JobRequestHandler::handle(const http::HttpRequest &Request,
                               http::Responder Respond) {
  const auto Received = std::make_shared<ReceivedRequest>();
  const Duration Given = clientTimeout(Request);
  const Duration Margin = std::min(MaxAnswerMargin, Given / 2);
  Received->Request = Request;
  Received->Arrived = this->Shared.now();
  Received->Deadline =
      Received->Arrived + std::min(MaxRequestTime, Given - Margin);
  Received->AnswerDeadline = Received->Deadline + Margin / 2;
  Received->Answer = std::make_shared<PendingAnswer>(std::move(Respond));
  if (!this->Configuration.Queues()) {
    const std::string Reason = "no configuration yet";
    this->logUnrouted(Request, status::ServiceUnavailable, Reason);
    this->refuseAccess(*Received,
                       errorResponse(status::ServiceUnavailable, Reason));
    return;
  }
  if (const jobs::JobId Id = jobOfPath(requestPath(Request));
      Request.Method == "POST" && !Id.isEmpty())
    Received->Submission = this->Submissions->open(Id);
  if (!this->mustRefresh()) {
    this->route(std::move(*Received));
    return;
  }
  scheduleFor(this->Shared.Loop, this->shared_from_this(),
              Received->AnswerDeadline,
              [Weak = std::weak_ptr<ReceivedRequest>(Received)](
                  JobRequestHandler &Self) {
                const auto Waiting = Weak.lock();
                if (Waiting && !Waiting->IsRouted)
                  Self.expireUnrouted(*Waiting);
              });
  this->Configuration.Refresh([Weak = this->weak_from_this(), Received] {
    const auto Self = Weak.lock();
    if (!Self || Received->Answer->isSent())
      return;
    Received->IsRouted = true;
    Self->route(std::move(*Received));
  });
}

Duration JobRequestHandler::configurationAge(TimePoint At) const {
  const TimePoint Known = this->Configuration.KnownThrough();
  return Known == TimePoint::min() ? Duration::max() : At - Known;
}

bool JobRequestHandler::mustRefresh() const {
  const Duration Age = this->configurationAge(this->Shared.now());
  const bool HasKeys = needsKey(*this->Configuration.Queues(), nullptr);
  return !this->Policy.isConfirmed(Age) ||
         (HasKeys && this->Policy.isStale(Age));
}

tenants::AccessDecision JobRequestHandler::decideAccess(
    const jobs::QueueTable &Queues, const jobs::Queue *Queue,
    const std::string &Key, TimePoint Arrived) const {
  tenants::AccessRequest Asked;
  if (Queue)
    Asked.Queue = needsKey(Queues, Queue) ? tenants::QueueAccess::Keyed
                                          : tenants::QueueAccess::Open;
  Asked.Key = Key;
  Asked.Age = this->configurationAge(this->Shared.now());
  Asked.AgeAtArrival = this->configurationAge(Arrived);
  Asked.IsOutdated = this->Configuration.IsOutdated();
  return this->Policy.decide(Queues.tenants(), Asked);
}

/// The response to a call that may not proceed.
static http::HttpResponse refusalOf(tenants::AccessOutcome Outcome) {
  switch (Outcome) {
  case tenants::AccessOutcome::QueueUnknown:
    return errorResponse(status::NotFound, "no such queue");
  case tenants::AccessOutcome::KeyMissing:
  case tenants::AccessOutcome::KeyUnknown:
    return errorResponse(status::Unauthorized, "a valid key is required");
  case tenants::AccessOutcome::Allowed:
  case tenants::AccessOutcome::QueueUnconfirmed:
  case tenants::AccessOutcome::KeyUnconfirmed:
  case tenants::AccessOutcome::ConfigurationStale:
    break;
  }
  return errorResponse(status::ServiceUnavailable,
                       "the configuration may be out of date");
}

void JobRequestHandler::expireUnrouted(const ReceivedRequest &Received) {
  // No commit was made, but those of earlier requests are not known.
  const int Status = Received.Request.Method == "GET"
                         ? status::ServiceUnavailable
                         : status::GatewayTimeout;
  const std::string Reason = "the configuration could not be read in time";
  this->logUnrouted(Received.Request, Status, Reason);
  Received.Answer->send(errorResponse(Status, Reason));
}

void JobRequestHandler::refuseAccess(const ReceivedRequest &Received,
                                     const http::HttpResponse &Refusal) {
  const jobs::JobId Id = jobOfPath(requestPath(Received.Request));
  if (Received.Request.Method != "POST" || Id.isEmpty() ||
      Refusal.Status != status::ServiceUnavailable) {
    Received.Answer->send(Refusal);
    return;
  }
  this->Submissions->ask(
      Id, SubmissionScope::Repeatable,
      std::min(MaxQuestionTime, Received.AnswerDeadline - this->Shared.now()),
      [Answer = Received.Answer, Id, Refusal](const SubmissionReport &Report) {
        if (Report.Outcome == SubmissionOutcome::NotStored) {
          Answer->send(Refusal);
          return;
        }
        logRefusal({Id, "POST", status::GatewayTimeout,
                    "an earlier submission may be stored", TenantName(),
                    Report});
        Answer->send(
            errorResponse(status::GatewayTimeout,
                          "it is not known whether the job is stored"));
      });
}

void JobRequestHandler::route(ReceivedRequest Received) {
  const http::HttpRequest &Request = Received.Request;
  const std::shared_ptr<const jobs::QueueTable> CurrentQueues =
      this->Configuration.Queues();
  const std::string Path = requestPath(Request);
  const jobs::Queue *Queue = CurrentQueues->find(requestHost(Request), Path);
  const std::string Key = Request.Headers.find("Key").value_or("");
  const tenants::AccessDecision Access =
      this->decideAccess(*CurrentQueues, Queue, Key, Received.Arrived);
  if (Access.Outcome != tenants::AccessOutcome::Allowed) {
    Received.Submission = nullptr;
    const http::HttpResponse Refusal = refusalOf(Access.Outcome);
    if (Queue)
      this->logKeyRefusal(Request, Access, Refusal.Status, Queue->Name);
    else
      this->logUnknownQueue(Request, Refusal.Status,
                            CurrentQueues->configuration().Version);
    this->refuseAccess(Received, Refusal);
    return;
  }
  const std::string IdText = Path.substr(Queue->Prefix.size());
  if (IdText.empty() && Request.Method == "GET") {
    scheduleFor(
        this->Shared.Loop, this->shared_from_this(), Received.AnswerDeadline,
        [Weak = std::weak_ptr<PendingAnswer>(Received.Answer)](
            JobRequestHandler &) {
          if (const auto Answer = Weak.lock())
            Answer->send(errorResponse(status::ServiceUnavailable,
                                       "the count is not known at present"));
        });
    this->showWaiting(*CurrentQueues, Queue->Name, Received.Answer);
    return;
  }
  if (!isJobId(IdText)) {
    this->logUnrouted(Request, status::NotFound, "no job in the path");
    Received.Answer->send(errorResponse(
        status::NotFound, "expected a job of 16 hexadecimal digits"));
    return;
  }
  auto Job = std::make_shared<JobRequest>();
  Job->Id = jobs::JobId(IdText);
  Job->Method = Request.Method.substr(0, MaxLoggedMethodBytes);
  Job->QueueName = Queue->Name;
  Job->Service = Queue->Service;
  const auto OtherService = this->OtherServices.find(Job->Id);
  if (OtherService != this->OtherServices.end())
    Job->Service = OtherService->second;
  Job->Tenant = Access.Tenant;
  Job->Queues = CurrentQueues;
  Job->Queue = Queue;
  Job->Answer = Received.Answer;
  Job->Deadline = Received.Deadline;
  Job->AnswerDeadline = Received.AnswerDeadline;
  Job->Submission = std::move(Received.Submission);
  scheduleFor(this->Shared.Loop, this->shared_from_this(), Job->AnswerDeadline,
              [Weak = std::weak_ptr<JobRequest>(Job)](JobRequestHandler &Self) {
                if (const auto Open = Weak.lock())
                  Self.expire(Open);
              });
  const size_t MaxBytes = CurrentQueues->configuration().MaxBodyBytes;
  if (Request.Method == "POST" && MaxBytes > 0 &&
      Request.Body.size() > MaxBytes)
    this->refuse(Job, status::ContentTooLarge, "the body is too large");
  else if (Request.Method == "POST")
    this->submit(Job, Request.Body);
  else if (Request.Method == "GET")
    this->showState(Job);
  else if (Request.Method == "DELETE")
    this->cancel(Job);
  else
    this->refuse(Job, status::MethodNotAllowed, "expected GET, POST, DELETE");
}

/// Logs a request that is refused before it is known to concern a job of a
/// queue.
void JobRequestHandler::logUnrouted(const http::HttpRequest &Request,
                                    int Status, const std::string &Reason) {
  const std::optional<size_t> NotLogged =
      this->UnroutedLines.admit(this->Shared.now());
  if (!NotLogged)
    return;
  const std::string Path = requestPath(Request);
  logEvent(LogLevel::Info, "request-refused",
           {{"job", jobOfPath(Path)},
            {"method", Request.Method.substr(0, MaxLoggedMethodBytes)},
            {"status", Status},
            {"reason", Reason},
            {"path", Path.substr(0, MaxLoggedPathBytes)},
            {"not-logged", *NotLogged}});
}

/// Logs from which configuration a request for an unknown queue is rejected.
void JobRequestHandler::logUnknownQueue(const http::HttpRequest &Request,
                                        int Status, uint64_t Version) {
  const TimePoint Now = this->Shared.now();
  const std::optional<size_t> NotLogged = this->UnknownQueueLines.admit(Now);
  if (!NotLogged)
    return;
  const std::string Path = requestPath(Request);
  logEvent(
      LogLevel::Info, "queue-unknown",
      {{"job", jobOfPath(Path)},
       {"method", Request.Method.substr(0, MaxLoggedMethodBytes)},
       {"status", Status},
       {"host", requestHost(Request).substr(0, MaxLoggedPathBytes)},
       {"path", Path.substr(0, MaxLoggedPathBytes)},
       {"version", Version},
       {"age-ms", toMilliseconds(Now - this->Configuration.KnownThrough())},
       {"submissions",
        nameOf(SubmissionOutcomeNames,
               this->Submissions->ownOutcome(jobOfPath(Path),
                                             SubmissionScope::Repeatable))},
       {"not-logged", *NotLogged}});
}

/// Logs why a key, or the lack of one, was refused. Shows only a digest of the
/// key.
void JobRequestHandler::logKeyRefusal(const http::HttpRequest &Request,
                                      const tenants::AccessDecision &Access,
                                      int Status,
                                      const std::string &QueueName) {
  const TimePoint Now = this->Shared.now();
  const std::optional<size_t> NotLogged = this->KeyRefusalLines.admit(Now);
  if (!NotLogged)
    return;
  const std::string Key = Request.Headers.find("Key").value_or("");
  logEvent(LogLevel::Info, "key-refused",
           {{"job", jobOfPath(requestPath(Request))},
            {"method", Request.Method.substr(0, MaxLoggedMethodBytes)},
            {"queue", QueueName},
            {"status", Status},
            {"reason", nameOf(tenants::AccessOutcomeNames, Access.Outcome)},
            {"tenant", Access.Tenant},
            {"key-digest", Key.empty() ? "" : tenants::keyDigest(Key)},
            {"version", this->Configuration.Queues()->configuration().Version},
            {"age-ms", toMilliseconds(this->configurationAge(Now))},
            {"not-logged", *NotLogged}});
}

} // namespace whintack::dispatch::Internal
