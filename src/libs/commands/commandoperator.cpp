#include "arguments.h"
#include "commands.h"
#include "exitcode.h"
#include "operatorclient.h"
#include "table.h"

#include "whintack/base/random.h"
#include "whintack/declaration/declaration.h"
#include "whintack/document/document.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <optional>
#include <sstream>

namespace whintack::commands::Internal {

using web::json::value;

/// Returns \p More and the options that all operator commands have in common.
static std::vector<OptionSpec> operatorOptions(std::vector<OptionSpec> More) {
  More.push_back({"entry", OptionKind::Text,
                  "operator addresses of entry VMs, ip:port separated by "
                  "commas; else WHINTACK_ENTRY",
                  ""});
  More.push_back(
      {"token", OptionKind::Text, "operator's token; else WHINTACK_TOKEN", ""});
  More.push_back({"authority", OptionKind::Text,
                  "PEM file of the authority, to use TLS", ""});
  More.push_back({"operation", OptionKind::Text,
                  "id of the change, to repeat one whose outcome is unknown",
                  ""});
  More.push_back({"json", OptionKind::Flag, "print JSON", ""});
  return More;
}

static std::string optionOrVariable(const Arguments &Options,
                                    const std::string &Option,
                                    const char *Variable) {
  if (Options.flag(Option))
    return Options.text(Option);
  const char *Text = std::getenv(Variable);
  return Text ? Text : "";
}

namespace {

/// Connection of an operator command to the operator interface. Holds the
/// options and the operation id of the change.
class OperatorSession {
public:
  explicit OperatorSession(const Arguments &Options)
      : Options(Options), Timers(systemClock()),
        Client(entryAddresses(Options),
               optionOrVariable(Options, "token", "WHINTACK_TOKEN"),
               systemClock(), this->Timers,
               {Options.flag("authority"), Options.text("authority")}) {
    this->Operation = Options.flag("operation")
                          ? Options.text("operation")
                          : randomIdentifier(systemRandom());
  }

  Result<CallResponse, CallError> get(const std::string &Path) {
    return this->Client.get(Path);
  }

  Result<CallResponse, CallError> post(const std::string &Path,
                                       const std::string &Body) {
    return this->Client.post(Path, Body, this->Operation);
  }

  /// Prints the response with \p Print, or as JSON if --json is given, or
  /// prints why the call failed. Returns the exit code.
  int show(const Result<CallResponse, CallError> &Outcome,
           const std::function<void(const value &)> &Print) const {
    if (!Outcome) {
      std::fprintf(stderr, "%s\n", Outcome.error().Message.c_str());
      if (Outcome.error().IsUnknown)
        std::fprintf(stderr,
                     "it may have taken effect; repeat it with "
                     "--operation %s\n",
                     this->Operation.c_str());
      return static_cast<int>(ExitCode::Unknown);
    }
    const CallResponse &Response = Outcome.value();
    if (this->Options.flag("json"))
      std::printf("%s\n", Response.Body.serialize().c_str());
    else if (Response.isOk())
      Print(Response.Body);
    if (!Response.isOk() && !this->Options.flag("json"))
      std::fprintf(stderr, "%s\n", Response.errorText().c_str());
    return exitCodeFor(Response.Status);
  }

private:
  static std::vector<Address> entryAddresses(const Arguments &Options) {
    std::vector<Address> Entries;
    std::istringstream Stream(
        optionOrVariable(Options, "entry", "WHINTACK_ENTRY"));
    for (std::string Part; std::getline(Stream, Part, ',');)
      if (const auto Entry = parseAddress(Part))
        Entries.push_back(*Entry);
    return Entries;
  }

  static int exitCodeFor(int Status) {
    if (Status == http::status::Ok)
      return static_cast<int>(ExitCode::Done);
    if (Status == http::status::BadRequest)
      return static_cast<int>(ExitCode::BadInput);
    if (Status == http::status::ServiceUnavailable ||
        Status == http::status::GatewayTimeout)
      return static_cast<int>(ExitCode::Unknown);
    return static_cast<int>(ExitCode::Refused);
  }

  const Arguments &Options;
  TimerQueue Timers;
  OperatorClient Client;
  std::string Operation;
};

} // namespace

static int usageError(const char *Expected) {
  std::fprintf(stderr, "expected %s; see --help\n", Expected);
  return static_cast<int>(ExitCode::BadInput);
}

static std::string numberText(const value &Object, const std::string &Key) {
  return std::to_string(numberAt(Object, Key));
}

static void printEstimate(const value &Body) {
  if (!Body.has_field("estimate"))
    return;
  const value &Estimate = Body.at("estimate");
  std::printf("moves %s  spare VMs %s  missing VMs %s  roll-out about %s s\n",
              numberText(Estimate, "moves").c_str(),
              numberText(Estimate, "spareVms").c_str(),
              numberText(Estimate, "missingVms").c_str(),
              numberText(Estimate, "rollOutSeconds").c_str());
}

static void printBudgets(const value &Body) {
  if (!Body.has_field("budgets"))
    return;
  Table Budgets(
      {"SERVICE", "AVAILABLE", "REQUIRED", "TARGET", "ROOM", "TICKETS"});
  for (const value &Row : Body.at("budgets").as_array())
    Budgets.addRow({textAt(Row, "service"), numberText(Row, "available"),
                    numberText(Row, "required"), numberText(Row, "target"),
                    numberText(Row, "room"), numberText(Row, "tickets")});
  std::printf("\n%s", Budgets.text().c_str());
}

static void printWaves(const value &Body) {
  if (!Body.has_field("waves") || Body.at("waves").size() == 0)
    return;
  Table Waves(
      {"WAVE", "STATE", "DONE", "UNDER-WAY", "WAITING", "FAILED", "REASON"});
  for (const value &Row : Body.at("waves").as_array())
    Waves.addRow({textAt(Row, "pool"), textAt(Row, "state"),
                  numberText(Row, "done"), numberText(Row, "underWay"),
                  numberText(Row, "waiting"), numberText(Row, "failed"),
                  textAt(Row, "reason")});
  std::printf("\n%s", Waves.text().c_str());
}

static void printPeers(const value &Body) {
  Table Peers({"ENTRY", "DATA-CENTRE", "REACHED", "REVISION"});
  Peers.addRow({textAt(Body, "entry"), textAt(Body, "dataCentre"), "here",
                numberText(Body, "revision")});
  for (const value &Row : Body.at("peers").as_array())
    Peers.addRow({textAt(Row, "name"), textAt(Row, "dataCentre"),
                  Row.at("usable").as_bool() ? "yes" : "NO",
                  numberText(Row, "revision")});
  std::printf("\n%s", Peers.text().c_str());
}

static void printStatus(const value &Body) {
  std::printf("fleet %s  preset %s since %s\n",
              textAt(Body, "fleet", "none").c_str(),
              textAt(Body, "preset", "none").c_str(),
              textAt(Body, "presetSince", "-").c_str());
  std::printf(
      "revision %s by %s at %s: %s\n", numberText(Body, "revision").c_str(),
      textAt(Body, "changedBy", "nobody").c_str(),
      textAt(Body, "changedAt", "-").c_str(), textAt(Body, "summary").c_str());
  const value &Platform = Body.at("platform");
  if (!Platform.at("reachable").as_bool())
    std::printf("THE PLATFORM DOES NOT ANSWER, last heard %s\n",
                textAt(Platform, "lastHeard", "never").c_str());
  printBudgets(Body);
  printWaves(Body);
  printPeers(Body);
}

int runStatus(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options =
      Arguments::parse("\n\nShows what is in force and what is unhealthy.",
                       operatorOptions({}), Args, Exit);
  if (!Options)
    return Exit;
  OperatorSession Session(*Options);
  return Session.show(Session.get("/api/v1/status"), printStatus);
}

static void printTimeline(const value &Body) {
  for (const value &Row : Body.at("events").as_array()) {
    std::string Line = textAt(Row, "time") + "  " + textAt(Row, "node") + "  " +
                       textAt(Row, "kind");
    for (const char *Key : {"vm", "service", "request", "operator", "text"})
      if (const std::string Text = textAt(Row, Key); !Text.empty())
        Line += "  " + Text;
    std::printf("%s\n", Line.c_str());
  }
  for (const value &Missing : Body.at("missing").as_array())
    std::printf("no events of %s: it does not answer\n",
                Missing.as_string().c_str());
}

int runTimeline(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "[--vm NAME] [--service NAME] [--request ID] [--operator NAME] "
      "[--revision N]\n\nShows the events of all entry VMs in their order.",
      operatorOptions(
          {{"vm", OptionKind::Text, "only events of this VM", ""},
           {"service", OptionKind::Text, "only events of this service", ""},
           {"request", OptionKind::Text, "only events of this request", ""},
           {"operator", OptionKind::Text, "only events of this operator", ""},
           {"revision", OptionKind::Number, "only events of this revision", ""},
           {"limit", OptionKind::Number, "most events to show", "200"}}),
      Args, Exit);
  if (!Options)
    return Exit;
  std::string Query = "?limit=" + Options->text("limit");
  for (const char *Key : {"vm", "service", "request", "operator", "revision"})
    if (Options->flag(Key))
      Query += std::string("&") + Key + "=" + Options->text(Key);
  OperatorSession Session(*Options);
  return Session.show(Session.get("/api/v1/timeline" + Query), printTimeline);
}

static void printVms(const value &Body) {
  Table Vms(
      {"VM", "POOL", "PHASE", "LISTED", "RACK", "NEXT-POOL", "MAINTAINED"});
  for (const value &Row : Body.as_array())
    Vms.addRow({textAt(Row, "vm"), textAt(Row, "pool", "-"),
                textAt(Row, "phase"), textAt(Row, "listed"),
                textAt(Row, "rack"), textAt(Row, "nextPool"),
                textAt(Row, "maintainedAt", "-")});
  std::printf("%s", Vms.text().c_str());
}

int runVm(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options =
      Arguments::parse("list\n\nShows all VMs with their pools and phases.",
                       operatorOptions({}), Args, Exit);
  if (!Options)
    return Exit;
  if (Options->positionals() != std::vector<std::string>{"list"})
    return usageError("'vm list'");
  OperatorSession Session(*Options);
  return Session.show(Session.get("/api/v1/vms"), printVms);
}

static void printChanges(const value &Body) {
  const auto &Changes = Body.at("changes").as_array();
  if (Changes.size() == 0)
    std::puts("nothing changes");
  for (const value &Row : Changes) {
    std::printf("%s %s\n", textAt(Row, "change").c_str(),
                textAt(Row, "item").c_str());
    if (const std::string Text = textAt(Row, "before"); !Text.empty())
      std::printf("  - %s\n", Text.c_str());
    if (const std::string Text = textAt(Row, "after"); !Text.empty())
      std::printf("  + %s\n", Text.c_str());
  }
  printEstimate(Body);
  std::printf("seen at revision %s\n", numberText(Body, "revision").c_str());
}

/// Reads and validates the declaration given on the command line. Prints all
/// errors to stderr. Returns the text of the file.
static std::optional<std::string> readDeclaration(const Arguments &Options) {
  const std::string File = Options.text("declaration");
  const auto Content = document::readFile(File);
  if (!Content) {
    std::fprintf(stderr, "%s\n", Content.error().text().c_str());
    return std::nullopt;
  }
  const auto Parsed = declaration::parseDeclaration(File, Content.value());
  if (!Parsed) {
    std::fprintf(stderr, "%s\n", Parsed.error().text().c_str());
    return std::nullopt;
  }
  return Content.value();
}

int runPlan(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "--declaration FILE\n\nShows what applying the file would change.",
      operatorOptions(
          {{"declaration", OptionKind::Text, "declaration of the fleet", ""}}),
      Args, Exit);
  if (!Options)
    return Exit;
  const auto Text = readDeclaration(*Options);
  if (!Text)
    return static_cast<int>(ExitCode::BadInput);
  OperatorSession Session(*Options);
  return Session.show(Session.post("/api/v1/plan", *Text), printChanges);
}

static void printChange(const value &Body) {
  std::printf("%s: revision %s, preset %s\n", textAt(Body, "outcome").c_str(),
              numberText(Body, "revision").c_str(),
              textAt(Body, "preset").c_str());
}

int runApply(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "--declaration FILE --revision N\n\nPuts the file in force, if revision "
      "N is in force still.",
      operatorOptions(
          {{"declaration", OptionKind::Text, "declaration of the fleet", ""},
           {"revision", OptionKind::Number,
            "revision that 'plan' was seen at; 0 for the first", ""},
           {"preset", OptionKind::Text,
            "preset to begin with, for the first declaration", ""}}),
      Args, Exit);
  if (!Options)
    return Exit;
  if (!Options->flag("revision"))
    return usageError("--revision N, as printed by 'plan'");
  const auto Text = readDeclaration(*Options);
  if (!Text)
    return static_cast<int>(ExitCode::BadInput);
  std::string Path = "/api/v1/apply?revision=" + Options->text("revision");
  if (Options->flag("preset"))
    Path += "&preset=" + Options->text("preset");
  OperatorSession Session(*Options);
  return Session.show(Session.post(Path, *Text), printChange);
}

static void printPresets(const value &Body) {
  if (!Body.has_field("presets"))
    return;
  for (const value &Name : Body.at("presets").as_array())
    std::printf("%s%s\n", Name.as_string().c_str(),
                Name.as_string() == textAt(Body, "preset") ? "  (in force)"
                                                           : "");
}

static void printPreview(const value &Body) {
  std::printf("%s -> %s\n", textAt(Body, "inForce").c_str(),
              textAt(Body, "preset").c_str());
  printEstimate(Body);
  std::printf("to put it in force: whintack preset confirm %s\n",
              textAt(Body, "token").c_str());
}

int runPreset(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "list | choose NAME | confirm TOKEN\n\nShows the presets, what one would "
      "do, and puts it in force.",
      operatorOptions({}), Args, Exit);
  if (!Options)
    return Exit;
  const std::vector<std::string> &Positionals = Options->positionals();
  OperatorSession Session(*Options);
  if (Positionals.size() == 1 && Positionals[0] == "list")
    return Session.show(Session.get("/api/v1/status"), printPresets);
  if (Positionals.size() != 2)
    return usageError("'list', 'choose NAME' or 'confirm TOKEN'");
  value Body;
  if (Positionals[0] == "choose") {
    Body["preset"] = value(Positionals[1]);
    return Session.show(Session.post("/api/v1/preset/choose", Body.serialize()),
                        printPreview);
  }
  if (Positionals[0] == "confirm") {
    Body["token"] = value(Positionals[1]);
    return Session.show(
        Session.post("/api/v1/preset/confirm", Body.serialize()), printChange);
  }
  return usageError("'list', 'choose NAME' or 'confirm TOKEN'");
}

static void printRuns(const value &Body) {
  Table Runs({"RUN", "JOB", "POOL", "WAITING", "RUNNING", "DONE", "FAILED",
              "UNKNOWN", "CANCELLED", "CONDEMNED"});
  for (const value &Row : Body.as_array()) {
    const int64_t Running =
        numberAt(Row, "running") + numberAt(Row, "starting");
    const int64_t Waiting =
        numberAt(Row, "waiting") + numberAt(Row, "checkpointed");
    Runs.addRow({textAt(Row, "run"), textAt(Row, "job"), textAt(Row, "pool"),
                 std::to_string(Waiting), std::to_string(Running),
                 numberText(Row, "done"), numberText(Row, "failed"),
                 numberText(Row, "unknown"), numberText(Row, "cancelled"),
                 textAt(Row, "condemned")});
  }
  std::printf("%s", Runs.text().c_str());
}

static void printRunNames(const value &Body) {
  for (const value &Name : Body.at("runs").as_array())
    std::printf("run %s in pool %s\n", Name.as_string().c_str(),
                textAt(Body, "pool").c_str());
}

int runJob(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "list | submit JOB | cancel POOL RUN\n\nRuns the jobs of the "
      "declaration.",
      operatorOptions({}), Args, Exit);
  if (!Options)
    return Exit;
  const std::vector<std::string> &Positionals = Options->positionals();
  OperatorSession Session(*Options);
  if (Positionals.size() == 1 && Positionals[0] == "list")
    return Session.show(Session.get("/api/v1/jobs"), printRuns);
  value Body;
  if (Positionals.size() == 2 && Positionals[0] == "submit") {
    Body["action"] = value("submit");
    Body["job"] = value(Positionals[1]);
  } else if (Positionals.size() == 3 && Positionals[0] == "cancel") {
    Body["action"] = value("cancel");
    Body["pool"] = value(Positionals[1]);
    Body["run"] = value(Positionals[2]);
  } else {
    return usageError("'list', 'submit JOB' or 'cancel POOL RUN'");
  }
  return Session.show(Session.post("/api/v1/job", Body.serialize()),
                      printRunNames);
}

int runWave(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "start | pause | resume | cancel POOL\n\nChanges the maintenance wave of "
      "a pool.",
      operatorOptions({}), Args, Exit);
  if (!Options)
    return Exit;
  if (Options->positionals().size() != 2)
    return usageError("an action and a pool");
  value Body;
  Body["action"] = value(Options->positionals()[0]);
  Body["pool"] = value(Options->positionals()[1]);
  OperatorSession Session(*Options);
  return Session.show(Session.post("/api/v1/wave", Body.serialize()),
                      [](const value &Response) {
                        std::printf("wave of %s: %s\n",
                                    textAt(Response, "pool").c_str(),
                                    textAt(Response, "state").c_str());
                      });
}

} // namespace whintack::commands::Internal
