#include "jobdoor.h"

#include "storekeys.h"

#include <algorithm>
#include <charconv>

namespace whintack::dispatch::Internal {

namespace status = http::status;

static constexpr int Gone = 410;
static constexpr size_t IdDigits = 16;
/// How long a request without a deadline of its own may take.
static constexpr Duration DefaultDeadline = std::chrono::seconds(3);
/// Kept of the client's deadline for the answer's way.
static constexpr Duration AnswerMargin = std::chrono::milliseconds(300);
/// Longest time that the door works on one request.
static constexpr Duration LongestVisit = std::chrono::seconds(5);
static constexpr Duration StoreRetry = std::chrono::milliseconds(120);
/// How long the door waits for a planner before it looks into the store.
static constexpr Duration PlannerTimeout = std::chrono::milliseconds(500);
/// How old a count of waiting jobs may be.
static constexpr Duration CountAge = std::chrono::milliseconds(1500);
static constexpr int64_t NoticeTries = 20;

JobDoor::JobDoor(
    Context Shared, jobs::PlatformWords Words,
    std::shared_ptr<ServiceCalls> Calls,
    std::function<std::shared_ptr<const jobs::QueueTable>()> Queues)
    : Shared(std::move(Shared)), Words(std::move(Words)),
      Calls(std::move(Calls)), Queues(std::move(Queues)) {}

static http::HttpResponse refusal(int Status, const std::string &Reason) {
  std::string Escaped;
  for (const char Byte : Reason)
    if (Byte >= ' ' && Byte != '"' && Byte != '\\')
      Escaped += Byte;
  http::HttpResponse Response =
      http::jsonResponse(Status, R"({"error":")" + Escaped + "\"}");
  if (Status == status::ServiceUnavailable)
    Response.Headers.set("Retry-After", "1");
  return Response;
}

static void logRefusal(const jobs::JobId &Job, int Status,
                       const std::string &Reason) {
  logEvent(LogLevel::Info, "request-refused",
           {{"job", Job}, {"status", Status}, {"reason", Reason}});
}

static bool isJobId(std::string_view Text) {
  return Text.size() == IdDigits &&
         Text.find_first_not_of("0123456789abcdefABCDEF") ==
             std::string_view::npos;
}

static Duration deadlineOf(const http::HttpRequest &Request) {
  const std::optional<std::string> Given = Request.Headers.find("Deadline-Ms");
  if (!Given)
    return DefaultDeadline;
  int64_t Millis = 0;
  const char *End = Given->data() + Given->size();
  const auto Read = std::from_chars(Given->data(), End, Millis);
  if (Read.ec != std::errc() || Millis <= 0)
    return DefaultDeadline;
  return std::chrono::milliseconds(Millis);
}

static std::string hostOf(const http::HttpRequest &Request) {
  const std::string Host = Request.Headers.find("Host").value_or("");
  return Host.substr(0, Host.find(':'));
}

void JobDoor::take(const http::HttpRequest &Request, http::Responder Back) {
  const std::shared_ptr<const jobs::QueueTable> Table = this->Queues();
  if (!Table) {
    Back(refusal(status::ServiceUnavailable, "no configuration yet"));
    return;
  }
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  const jobs::Queue *Queue = Table->find(hostOf(Request), Path);
  if (!Queue) {
    Back(refusal(status::NotFound, "no such queue"));
    return;
  }
  const std::string Rest = Path.substr(Queue->Prefix.size());
  if (Rest.empty() && Request.Method == "GET") {
    this->showWaiting(Queue->Name, Queue->Service, Back);
    return;
  }
  if (!isJobId(Rest)) {
    Back(refusal(status::NotFound, "expected a job of 16 hexadecimal digits"));
    return;
  }
  auto For = std::make_shared<Visit>();
  For->Id = jobs::JobId(Rest);
  For->QueueName = Queue->Name;
  For->Service = Queue->Service;
  For->Back = std::move(Back);
  For->GiveUp = this->Shared.now() +
                std::min(LongestVisit, deadlineOf(Request) - AnswerMargin);
  const size_t MostBytes = Table->configuration().MostBodyBytes;
  if (Request.Method == "POST" && MostBytes > 0 &&
      Request.Body.size() > MostBytes)
    For->Back(refusal(status::ContentTooLarge, "the body is too large"));
  else if (Request.Method == "POST")
    this->submit(For, Request.Body);
  else if (Request.Method == "GET")
    this->show(For);
  else if (Request.Method == "DELETE")
    this->cancel(For);
  else
    For->Back(refusal(status::MethodNotAllowed, "expected GET, POST, DELETE"));
}

void JobDoor::submit(const SharedVisit &For, const std::string &Body) {
  const auto Spec = this->Words.DecodeJob(For->Id, Body);
  if (!Spec) {
    logRefusal(For->Id, status::BadRequest, Spec.error().Message);
    For->Back(refusal(status::BadRequest, Spec.error().Message));
    return;
  }
  For->Record = encodeStoredJob(
      {For->QueueName, this->Shared.Time.WallNow(), Body, std::nullopt});
  this->store(For);
}

void JobDoor::store(const SharedVisit &For) {
  const std::string Key = keys::jobs(For->Service) + For->Id.text();
  store::StoreTransaction Change;
  Change.Expect = {{Key, 0}};
  Change.Puts = {{Key, For->Record, 0}};
  this->Shared.Store.Commit(
      Change, onLoop<JobDoor, store::StoreResult<store::CommitAnswer>>(
                  this->Shared.Loop, this->shared_from_this(),
                  [For](JobDoor &Self,
                        const store::StoreResult<store::CommitAnswer> &Answer) {
                    Self.takeStored(For, Answer);
                  }));
}

void JobDoor::takeStored(
    const SharedVisit &For,
    const store::StoreResult<store::CommitAnswer> &Answer) {
  if (Answer) {
    // A record that is there already is this job, handed in before.
    logEvent(LogLevel::Info, "job-accepted",
             {{"job", For->Id},
              {"queue", For->QueueName},
              {"again", Answer.value().IsCommitted ? "no" : "yes"},
              {"revision", Answer.value().Revision}});
    For->Back(http::jsonResponse(status::Ok, "{}"));
    this->tellPlanner(For);
    return;
  }
  const store::StoreError &Error = Answer.error();
  if (Error.Code != store::StoreErrorCode::Unreachable)
    For->IsUncertain = true;
  const TimePoint Next = this->Shared.now() + this->Shared.jittered(StoreRetry);
  if (Next < For->GiveUp) {
    scheduleFor(this->Shared.Loop, this->shared_from_this(), Next,
                [For](JobDoor &Self) { Self.store(For); });
    return;
  }
  const int Status =
      For->IsUncertain ? status::GatewayTimeout : status::ServiceUnavailable;
  logRefusal(For->Id, Status, Error.Message);
  For->Back(refusal(Status, For->IsUncertain
                                ? "it is not known whether the job is stored"
                                : "the job could not be stored"));
}

void JobDoor::tellPlanner(const SharedVisit &For) {
  this->Calls->call(
      {0, For->Service, peers::ServiceCallKind::SubmitJob, For->Id.text(),
       For->Record},
      PlannerTimeout,
      [Weak = this->weak_from_this(), For](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self || Answer.Outcome == CallOutcome::Done)
          return;
        logEvent(LogLevel::Info, "planner-not-told",
                 {{"job", For->Id},
                  {"outcome", nameOf(CallOutcomeNames, Answer.Outcome)}});
        Self->leaveNotice(For, keys::newJobs(For->Service) + For->Id.text(),
                          For->Record, NoticeTries, [](bool) {});
      });
}

/// Leaves word in the store for the planner.
void JobDoor::leaveNotice(const SharedVisit &For, const std::string &Key,
                          const std::string &Content, int64_t TriesLeft,
                          const std::function<void(bool)> &Done) {
  store::StoreTransaction Change;
  Change.Puts = {{Key, Content, 0}};
  this->Shared.Store.Commit(
      Change,
      onLoop<JobDoor, store::StoreResult<store::CommitAnswer>>(
          this->Shared.Loop, this->shared_from_this(),
          [For, Key, Content, TriesLeft,
           Done](JobDoor &Self,
                 const store::StoreResult<store::CommitAnswer> &Answer) {
            if (Answer) {
              Done(true);
              return;
            }
            if (TriesLeft <= 1) {
              logEvent(LogLevel::Error, "notice-not-left",
                       {{"job", For->Id}, {"key", Key}});
              Done(false);
              return;
            }
            scheduleFor(
                Self.Shared.Loop, Self.shared_from_this(),
                Self.Shared.now() + 2 * Self.Shared.jittered(StoreRetry),
                [For, Key, Content, TriesLeft, Done](JobDoor &Again) {
                  Again.leaveNotice(For, Key, Content, TriesLeft - 1, Done);
                });
          }));
}

void JobDoor::read(
    const SharedVisit &For,
    const std::function<void(store::StoreResult<std::string>)> &Done) {
  const std::string Key = keys::jobs(For->Service) + For->Id.text();
  this->Shared.Store.Range(
      Key, "", store::ReadKind::Current,
      onLoop<JobDoor, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [For, Key, Done](JobDoor &Self,
                           store::StoreResult<store::StorePage> Answer) {
            if (Answer) {
              std::string Text;
              for (const store::StoreItem &Item : Answer.value().Items)
                if (Item.Key == Key)
                  Text = Item.Value;
              Done(std::move(Text));
              return;
            }
            const TimePoint Next =
                Self.Shared.now() + Self.Shared.jittered(StoreRetry);
            if (Next >= For->GiveUp) {
              Done(failure(std::move(Answer).error()));
              return;
            }
            scheduleFor(Self.Shared.Loop, Self.shared_from_this(), Next,
                        [For, Done](JobDoor &Again) { Again.read(For, Done); });
          }));
}

void JobDoor::show(const SharedVisit &For) {
  this->Calls->call(
      {0, For->Service, peers::ServiceCallKind::JobState, For->Id.text(), ""},
      PlannerTimeout,
      [Weak = this->weak_from_this(), For](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        const auto State = valueOf(jobs::JobStateNames, Answer.Content);
        if (Answer.Outcome == CallOutcome::Done && State) {
          For->Back(
              http::jsonResponse(status::Ok, Self->Words.EncodeState(*State)));
          return;
        }
        const bool IsUnknown = Answer.Outcome == CallOutcome::Unknown;
        Self->read(For, [Self, For,
                         IsUnknown](store::StoreResult<std::string> Record) {
          if (!Record) {
            logRefusal(For->Id, status::ServiceUnavailable,
                       Record.error().Message);
            For->Back(refusal(status::ServiceUnavailable,
                              "the job's state is not known at present"));
            return;
          }
          if (Record.value().empty()) {
            logRefusal(For->Id, Gone, "no such job");
            For->Back(refusal(Gone, "no such job"));
            return;
          }
          const auto Stored = decodeStoredJob(Record.value());
          const jobs::JobState Shown = Stored && Stored.value().End
                                           ? *Stored.value().End
                                           : jobs::JobState::Queued;
          For->Back(
              http::jsonResponse(status::Ok, Self->Words.EncodeState(Shown)));
          if (IsUnknown && Stored && !Stored.value().End) {
            For->Record = Record.value();
            Self->tellPlanner(For);
          }
        });
      });
}

void JobDoor::cancel(const SharedVisit &For) {
  this->Calls->call(
      {0, For->Service, peers::ServiceCallKind::CancelJob, For->Id.text(), ""},
      PlannerTimeout,
      [Weak = this->weak_from_this(), For](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (Answer.Outcome == CallOutcome::Done)
          For->Back(http::jsonResponse(status::Ok, "{}"));
        else
          Self->cancelInStore(For, Answer.Outcome == CallOutcome::Unknown);
      });
}

/// Cancels a job that the planner does not know, or whose planner cannot be
/// reached.
void JobDoor::cancelInStore(const SharedVisit &For, bool MayAskPlanner) {
  const auto Self = this->shared_from_this();
  this->read(
      For, [Self, For, MayAskPlanner](store::StoreResult<std::string> Record) {
        if (!Record) {
          For->Back(refusal(status::ServiceUnavailable,
                            "the job cannot be cancelled at present"));
          return;
        }
        if (Record.value().empty()) {
          For->Back(refusal(Gone, "no such job"));
          return;
        }
        const auto Stored = decodeStoredJob(Record.value());
        if (Stored && Stored.value().End) {
          For->Back(http::jsonResponse(status::Ok, "{}"));
          return;
        }
        For->Record = Record.value();
        if (MayAskPlanner)
          Self->tellPlanner(For);
        Self->leaveNotice(
            For, keys::cancellations(For->Service) + For->Id.text(), "{}",
            NoticeTries / 4, [Self, For](bool IsLeft) {
              logEvent(LogLevel::Info, "cancel-noted",
                       {{"job", For->Id}, {"stored", IsLeft ? "yes" : "no"}});
              For->Back(IsLeft ? http::jsonResponse(status::Ok, "{}")
                               : refusal(status::GatewayTimeout,
                                         "it is not known whether the job is "
                                         "cancelled"));
            });
      });
}

void JobDoor::showWaiting(const std::string &QueueName,
                          const ServiceName &Service,
                          const http::Responder &Back) {
  this->Calls->call(
      {0, Service, peers::ServiceCallKind::WaitingJobs, QueueName, ""},
      PlannerTimeout,
      [Weak = this->weak_from_this(), QueueName,
       Back](const CallResult &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        const TimePoint Now = Self->Shared.now();
        if (Answer.Outcome == CallOutcome::Done)
          Self->Counts[QueueName] = {Answer.Content, Now + CountAge};
        const auto Known = Self->Counts.find(QueueName);
        if (Known == Self->Counts.end() || Now >= Known->second.UsableUntil) {
          Back(refusal(status::ServiceUnavailable,
                       "the count is not known at present"));
          return;
        }
        size_t Waiting = 0;
        const std::string &Text = Known->second.Waiting;
        std::from_chars(Text.data(), Text.data() + Text.size(), Waiting);
        Back(
            http::jsonResponse(status::Ok, Self->Words.EncodeWaiting(Waiting)));
      });
}

} // namespace whintack::dispatch::Internal
