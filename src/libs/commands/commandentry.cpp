#include "arguments.h"
#include "commands.h"
#include "exitcode.h"
#include "stoprequest.h"

#include "whintack/dispatch/fleetnode.h"
#include "whintack/entry/entrynode.h"
#include "whintack/http/httpclient.h"
#include "whintack/platform/platform.h"

#include <cstdio>
#include <cstdlib>

namespace whintack::commands::Internal {

/// Largest answer that the platform's services are read of, in bytes.
static constexpr size_t MostAnswerBytes = 16U << 20U;

static Result<settings::EntrySettings, document::DocumentError>
readSettings(const std::string &File) {
  auto Content = document::readFile(File);
  if (!Content)
    return failure(std::move(Content).error());
  return settings::parseEntrySettings(File, Content.value());
}

/// Reads the settings again after SIGHUP. The log level is taken over at once;
/// everything else holds from the next start. Settings with errors change
/// nothing.
static void reloadSettings(const std::string &File) {
  const auto Read = readSettings(File);
  if (!Read) {
    logEvent(LogLevel::Error, "reload-failed",
             {{"file", File}, {"cause", Read.error().text()}});
    return;
  }
  setLogLevel(Read.value().LowestLogged);
  logEvent(LogLevel::Info, "settings-reloaded", {{"file", File}});
}

/// Runs the entry VM on the users' own platform until it is asked to stop.
static ExitCode runOnPlatform(const settings::EntrySettings &Settings,
                              const std::string &File,
                              const StopRequest &Stop) {
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  TimerQueue Loop(Time);
  http::CallClient Calls(Time, Timers, MostAnswerBytes);
  dispatch::NodeConnections Connections;
  Connections.Store = platform::makeStore(Settings.Platform, Calls, Time);
  Connections.Executors = platform::makeExecutorGateway(Calls);
  Connections.Machines =
      platform::makeMachineGateway(Settings.Fleet.Machines, Calls);
  Connections.Advice =
      platform::makeAdviceGateway(Settings.Fleet.Advice, Calls);
  Connections.Words = platform::makeWords();
  dispatch::FleetNode Node(Settings, std::move(Connections), Time,
                           systemRandom(), Loop, Timers);
  if (const auto Started = Node.start(); !Started) {
    std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
    return ExitCode::Unknown;
  }
  logEvent(LogLevel::Info, "node-started",
           {{"node", Settings.Name}, {"data-centre", Settings.DataCentre}});
  while (Stop.next() == ProcessRequest::Reload)
    reloadSettings(File);
  logEvent(LogLevel::Info, "node-stopping", {{"node", Settings.Name}});
  const size_t CutOff = Node.stop();
  logEvent(LogLevel::Info, "node-stopped", {{"cut-off", CutOff}});
  flushLog();
  // Calls that are still on their way refer to objects of this function.
  std::_Exit(
      static_cast<int>(CutOff == 0 ? ExitCode::Done : ExitCode::Refused));
}

int runEntry(const std::vector<std::string> &Words) {
  int Exit = 0;
  const auto Given = Arguments::parse(
      "--settings FILE\n\nRuns an entry VM until SIGTERM or SIGINT, then stops "
      "it gracefully.",
      {{"settings", OptionKind::Text, "settings of the entry VM", ""}}, Words,
      Exit);
  if (!Given)
    return Exit;
  const std::string File = Given->text("settings");
  const auto Settings = readSettings(File);
  if (!Settings) {
    std::fprintf(stderr, "%s\n", Settings.error().text().c_str());
    return static_cast<int>(ExitCode::BadInput);
  }
  const StopRequest Stop;
  logToStandardOutput();
  setLogLevel(Settings.value().LowestLogged);
  http::initializeHttpThreads(
      static_cast<unsigned>(Settings.value().HttpThreads));
  if (Settings.value().Fleet.IsEnabled)
    return static_cast<int>(runOnPlatform(Settings.value(), File, Stop));
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  entry::EntryNode Node(Settings.value(), Time, systemRandom(), Timers);
  if (const auto Started = Node.start(); !Started) {
    std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
    return static_cast<int>(ExitCode::Unknown);
  }
  Stop.wait();
  const entry::StopReport Report = Node.stop();
  flushLog();
  return static_cast<int>(Report.CutOff == 0 ? ExitCode::Done
                                             : ExitCode::Refused);
}

} // namespace whintack::commands::Internal
