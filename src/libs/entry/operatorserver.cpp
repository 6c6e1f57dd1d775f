#include "operatorserver.h"

#include "operatorresponse.h"
#include "phonepage.h"

#include <charconv>

namespace whintack::entry::Internal {

using configuration::ChangeOutcome;
using configuration::ChangeReport;
using http::HttpRequest;
using http::HttpResponse;
using web::json::value;

static constexpr size_t MaxQueuedRequests = 64;
static constexpr size_t DefaultEventLimit = 200;
static constexpr Duration WaitInterval = std::chrono::milliseconds(200);
/// Estimated duration of moving one VM: drain, reboot and verification.
static constexpr Duration EstimatedMoveDuration = std::chrono::minutes(3);

OperatorServer::OperatorServer(Address Local, http::ServerTls Tls,
                               OperatorAuth Auth, OperatorHooks Hooks,
                               FleetReader &Reader,
                               configuration::ChangeClient &Changes,
                               store::RecordClient &Records, Clock Time,
                               Random Source, TimerQueue &Timers,
                               EventJournal &Journal)
    : Auth(std::move(Auth)), Hooks(std::move(Hooks)), Reader(Reader),
      Changes(Changes), Time(std::move(Time)), Source(std::move(Source)),
      Journal(Journal),
      CommandHandler([this] { return this->Hooks.Status().InForce; }, Records,
                     this->Time, Journal),
      Server(
          std::move(Local), http::ServerLimits(), this->Time, Timers,
          [this](HttpRequest Request, const http::Responder &Respond) {
            this->enqueue(std::move(Request), Respond);
          },
          std::move(Tls)) {}

Result<void, http::ListenError> OperatorServer::open() {
  return this->Server.open();
}

void OperatorServer::close(TimePoint Deadline) { this->Server.close(Deadline); }

void OperatorServer::enqueue(HttpRequest Request,
                             const http::Responder &Respond) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Queue.size() < MaxQueuedRequests) {
      this->Queue.push_back({std::move(Request), Respond});
      this->RequestQueued.notify_one();
      return;
    }
  }
  Respond(makeErrorResponse(http::status::ServiceUnavailable,
                            "too many requests waiting",
                            "try again in a moment"));
}

void OperatorServer::run(const StopSignal &Stop) {
  while (!Stop.isRequested()) {
    QueuedRequest Next;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      if (this->Queue.empty())
        this->RequestQueued.wait_for(Lock, WaitInterval);
      if (this->Queue.empty())
        continue;
      Next = std::move(this->Queue.front());
      this->Queue.pop_front();
    }
    Next.Respond(this->handleRequest(Next.Request));
  }
}

HttpResponse OperatorServer::handleRequest(const HttpRequest &Request) {
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  if (Path == "/" && Request.Method == "GET")
    return phonePage();
  if (Path == "/healthz")
    return http::jsonResponse(http::status::Ok, "{\"alive\":true}");
  if (Path == "/readyz") {
    const bool IsReady = this->Hooks.Status().IsReady;
    return http::jsonResponse(
        IsReady ? http::status::Ok : http::status::ServiceUnavailable, "{}");
  }
  if (Path == "/metrics") {
    HttpResponse Response;
    Response.Status = http::status::Ok;
    Response.Headers.set("Content-Type", "text/plain; version=0.0.4");
    Response.Body = this->Hooks.Metrics();
    return Response;
  }
  const std::optional<OperatorName> Operator =
      this->Auth.identify(Request.Headers.find("Authorization").value_or(""));
  if (!Operator) {
    Event Noted;
    Noted.Kind = EventKind::ChangeRefused;
    Noted.Text = "no valid token, path " + Path + ", from " + Request.RemoteIp;
    this->Journal.record(std::move(Noted));
    return makeErrorResponse(
        http::status::Unauthorized, "no valid token",
        "send 'Authorization: Bearer TOKEN' with the token of an "
        "operator in the settings");
  }
  try {
    return Request.Method == "GET"
               ? this->handleRead(Path, Request)
               : this->handleChange(Path, Request, *Operator);
  } catch (const std::exception &Error) {
    return makeErrorResponse(
        http::status::BadRequest,
        std::string("the body cannot be understood: ") + Error.what(),
        "see docs/OPERATIONS.md for what each call expects");
  }
}

static size_t parseLimit(const std::map<std::string, std::string> &Query) {
  const auto Text = Query.find("limit");
  size_t Limit = DefaultEventLimit;
  if (Text != Query.end())
    std::from_chars(Text->second.data(),
                    Text->second.data() + Text->second.size(), Limit);
  return Limit;
}

static EventFilter parseFilter(std::map<std::string, std::string> Query) {
  EventFilter Filter;
  Filter.Vm = VmName(Query["vm"]);
  Filter.Service = ServiceName(Query["service"]);
  Filter.Request = RequestId(Query["request"]);
  Filter.Operator = OperatorName(Query["operator"]);
  const std::string &Revision = Query["revision"];
  std::from_chars(Revision.data(), Revision.data() + Revision.size(),
                  Filter.Revision);
  return Filter;
}

HttpResponse OperatorServer::handleRead(const std::string &Path,
                                        const HttpRequest &Request) {
  const auto Query = parseQuery(Request.Target);
  if (Path == "/api/v1/status") {
    // Only the processes that control pools read the fleet regularly; the
    // others must read it for this call.
    this->Reader.refresh();
    return makeResponse(http::status::Ok, toJson(this->Hooks.Status()));
  }
  if (Path == "/api/v1/timeline")
    return makeResponse(
        http::status::Ok,
        toJson(this->Hooks.Timeline(parseFilter(Query), parseLimit(Query))));
  if (Path == "/api/v1/jobs")
    return this->CommandHandler.listRuns();
  if (Path == "/api/v1/vms") {
    this->Reader.refresh();
    const EntryStatus Status = this->Hooks.Status();
    return makeResponse(
        http::status::Ok,
        vmsToJson(Status.Fleet.value_or(FleetSnapshot()), Status.Listed));
  }
  return makeErrorResponse(http::status::NotFound, "no such path " + Path,
                           "see docs/OPERATIONS.md for the paths");
}

HttpResponse OperatorServer::handleChange(const std::string &Path,
                                          const HttpRequest &Request,
                                          const OperatorName &Operator) {
  if (Path == "/api/v1/plan")
    return this->plan(Request);
  if (Path == "/api/v1/apply")
    return this->apply(Request, Operator);
  if (Path == "/api/v1/preset/choose")
    return this->choosePreset(Request);
  if (Path == "/api/v1/preset/confirm")
    return this->confirmPreset(Request, Operator);
  if (Path == "/api/v1/wave")
    return this->CommandHandler.changeWave(
        Request.Body, Operator,
        this->changeRequest(Request, Operator, 0).Operation);
  if (Path == "/api/v1/job")
    return this->CommandHandler.changeJob(
        Request.Body, Operator,
        this->changeRequest(Request, Operator, 0).Operation);
  return makeErrorResponse(http::status::NotFound, "no such path " + Path,
                           "see docs/OPERATIONS.md for the paths");
}

configuration::ChangeRequest
OperatorServer::changeRequest(const HttpRequest &Request,
                              const OperatorName &Operator,
                              uint64_t SeenRevision) const {
  configuration::ChangeRequest Change;
  Change.Operator = Operator;
  Change.SeenRevision = SeenRevision;
  Change.Operation = OperationId(Request.Headers.find("Operation-Id")
                                     .value_or(randomIdentifier(this->Source)));
  return Change;
}

std::optional<fleet::MoveEstimate>
OperatorServer::estimate(const declaration::Preset &Preset,
                         const EntryStatus &Status) const {
  if (!Status.InForce || !Status.Fleet)
    return std::nullopt;
  const auto NoFacts = [](const VmName &) { return VmFacts(); };
  return fleet::estimateMoves(
      fleetView(Preset, *Status.Fleet, *Status.InForce, Status.Listed, NoFacts),
      EstimatedMoveDuration);
}

HttpResponse OperatorServer::plan(const HttpRequest &Request) {
  auto Parsed = declaration::parseDeclaration("declaration", Request.Body);
  if (!Parsed)
    return makeErrorResponse(http::status::BadRequest, Parsed.error().text(),
                             "mend the declaration and try again");
  const EntryStatus Status = this->Hooks.Status();
  const declaration::ItemTexts After = declaration::toItems(Parsed.value());
  const declaration::ItemTexts Before =
      Status.InForce ? Status.InForce->Items : declaration::ItemTexts();
  value Object;
  Object["changes"] = toJson(declaration::diffItems(Before, After));
  Object["revision"] =
      value(Status.InForce ? Status.InForce->Current.Revision : 0);
  const PresetName InForce =
      Status.InForce ? Status.InForce->Current.Preset : PresetName();
  const auto *Preset = Parsed.value().preset(InForce);
  if (Preset)
    if (const auto Estimate = this->estimate(*Preset, Status))
      Object["estimate"] = toJson(*Estimate);
  return makeResponse(http::status::Ok, Object);
}

static int httpStatus(ChangeOutcome Outcome) {
  switch (Outcome) {
  case ChangeOutcome::Accepted:
  case ChangeOutcome::AcceptedBefore:
  case ChangeOutcome::Unchanged:
    return http::status::Ok;
  case ChangeOutcome::Refused:
    return http::status::Conflict;
  case ChangeOutcome::Unreachable:
    return http::status::ServiceUnavailable;
  case ChangeOutcome::Unknown:
    return http::status::GatewayTimeout;
  case ChangeOutcome::Invalid:
    return http::status::BadRequest;
  }
  return http::status::InternalError;
}

static std::string nextStep(ChangeOutcome Outcome) {
  switch (Outcome) {
  case ChangeOutcome::Accepted:
  case ChangeOutcome::AcceptedBefore:
  case ChangeOutcome::Unchanged:
    return "";
  case ChangeOutcome::Refused:
    return "look at what is in force now and choose again";
  case ChangeOutcome::Unreachable:
    return "nothing was changed; try again once the platform answers";
  case ChangeOutcome::Unknown:
    return "send the same request with the same Operation-Id again; it takes "
           "effect once";
  case ChangeOutcome::Invalid:
    return "mend what the message names and try again";
  }
  return "";
}

HttpResponse OperatorServer::changeResponse(const ChangeReport &Report,
                                            const OperatorName &Operator,
                                            EventKind Accepted) {
  const bool IsAccepted = Report.Outcome == ChangeOutcome::Accepted;
  const bool IsRefused = Report.Outcome == ChangeOutcome::Refused ||
                         Report.Outcome == ChangeOutcome::Invalid;
  if (IsAccepted || IsRefused) {
    Event Noted;
    Noted.Kind = IsAccepted ? Accepted : EventKind::ChangeRefused;
    Noted.Operator = Operator;
    Noted.Revision = Report.After.Revision;
    Noted.Text =
        IsAccepted ? "preset=" + Report.After.Preset.text() : Report.Message;
    this->Journal.record(std::move(Noted));
  }
  if (IsAccepted)
    this->Hooks.PollNow();
  value Object = toJson(Report);
  Object["next"] = value(nextStep(Report.Outcome));
  return makeResponse(httpStatus(Report.Outcome), Object);
}

HttpResponse OperatorServer::apply(const HttpRequest &Request,
                                   const OperatorName &Operator) {
  auto Parsed = declaration::parseDeclaration("declaration", Request.Body);
  if (!Parsed)
    return makeErrorResponse(http::status::BadRequest, Parsed.error().text(),
                             "mend the declaration and try again");
  auto Query = parseQuery(Request.Target);
  uint64_t Seen = 0;
  const std::string &Text = Query["revision"];
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seen);
  if (Read.ec != std::errc())
    return makeErrorResponse(
        http::status::BadRequest, "no revision given",
        "send ?revision=N with the revision you have seen");
  PresetName Preset(Query["preset"]);
  if (Preset.isEmpty())
    Preset = Parsed.value().Presets.begin()->first;
  return this->changeResponse(
      this->Changes.apply(declaration::toItems(Parsed.value()), Preset,
                          this->changeRequest(Request, Operator, Seen)),
      Operator, EventKind::DeclarationApplied);
}

static std::string makeConfirmToken(uint64_t Revision,
                                    const PresetName &Preset) {
  return std::to_string(Revision) + ":" + Preset.text();
}

HttpResponse OperatorServer::choosePreset(const HttpRequest &Request) {
  const value Body = value::parse(Request.Body);
  const PresetName Chosen(Body.at("preset").as_string());
  this->Reader.refresh();
  const EntryStatus Status = this->Hooks.Status();
  if (!Status.InForce)
    return makeErrorResponse(http::status::ServiceUnavailable,
                             "no declaration in force",
                             "apply a declaration first");
  const auto *Preset = Status.InForce->Declared.preset(Chosen);
  if (!Preset)
    return makeErrorResponse(http::status::BadRequest,
                             "no preset is called '" + Chosen.text() + "'",
                             "choose one of the presets in the status");
  value Object;
  Object["preset"] = value(Chosen.text());
  Object["inForce"] = value(Status.InForce->Current.Preset.text());
  Object["token"] =
      value(makeConfirmToken(Status.InForce->Current.Revision, Chosen));
  if (const auto Estimate = this->estimate(*Preset, Status))
    Object["estimate"] = toJson(*Estimate);
  return makeResponse(http::status::Ok, Object);
}

HttpResponse OperatorServer::confirmPreset(const HttpRequest &Request,
                                           const OperatorName &Operator) {
  const value Body = value::parse(Request.Body);
  const std::string Token = Body.at("token").as_string();
  const size_t Colon = Token.find(':');
  uint64_t Seen = 0;
  const auto Read =
      std::from_chars(Token.data(), Token.data() + Token.size(), Seen);
  if (Colon == std::string::npos || Read.ec != std::errc())
    return makeErrorResponse(
        http::status::BadRequest, "this is not a token",
        "choose a preset first and confirm with its token");
  const PresetName Chosen(Token.substr(Colon + 1));
  const EntryStatus Status = this->Hooks.Status();
  const bool IsKnown =
      Status.InForce && Status.InForce->Declared.preset(Chosen);
  if (!IsKnown)
    return makeErrorResponse(http::status::BadRequest,
                             "no preset is called '" + Chosen.text() + "'",
                             "choose one of the presets in the status");
  return this->changeResponse(
      this->Changes.confirmPreset(Chosen,
                                  this->changeRequest(Request, Operator, Seen)),
      Operator, EventKind::PresetConfirmed);
}

} // namespace whintack::entry::Internal
