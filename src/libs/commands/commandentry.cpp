#include "arguments.h"
#include "commands.h"
#include "exitcode.h"
#include "signalwaiter.h"

#include "whintack/dispatch/fleetnode.h"
#include "whintack/entry/entrynode.h"
#include "whintack/http/httpclient.h"
#include "whintack/platform/platform.h"

#include <cstdio>
#include <cstdlib>

namespace whintack::commands::Internal {

/// Maximum size of a response from the platform's services, in bytes.
static constexpr size_t MaxResponseBytes = 16U << 20U;

static Result<settings::EntrySettings, document::DocumentError>
readSettings(const std::string &File) {
  auto Content = document::readFile(File);
  if (!Content)
    return failure(std::move(Content).error());
  return settings::parseEntrySettings(File, Content.value());
}

/// Reads the settings again after SIGHUP. Only the log level takes effect at
/// once; all other settings take effect at the next start. Invalid settings are
/// ignored.
static void reloadSettings(const std::string &File) {
  const auto Read = readSettings(File);
  if (!Read) {
    logEvent(LogLevel::Error, "reload-failed",
             {{"file", File}, {"cause", Read.error().text()}});
    return;
  }
  setLogLevel(Read.value().MinLogLevel);
  logEvent(LogLevel::Info, "settings-reloaded", {{"file", File}});
}

/// Runs the entry VM on the users' own platform until SIGTERM or SIGINT
/// arrives.
static ExitCode runOnPlatform(const settings::EntrySettings &Settings,
                              const std::string &File,
                              const SignalWaiter &Signals) {
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  TimerQueue Loop(Time);
  http::CallClient Calls(Time, Timers, MaxResponseBytes);
  dispatch::NodeConnections Connections;
  Connections.Store = platform::makeStore(Settings.Platform, Calls, Time);
  Connections.Executors = platform::makeExecutorGateway(Calls);
  Connections.Machines =
      platform::makeMachineGateway(Settings.Fleet.Machines, Calls);
  Connections.Advice =
      platform::makeAdviceGateway(Settings.Fleet.Advice, Calls);
  Connections.Codec = platform::makePlatformCodec();
  Connections.ProcessorTime = processorTime;
  dispatch::FleetNode Node(Settings, std::move(Connections), Time,
                           systemRandom(), Loop, Timers);
  if (const auto Started = Node.start(); !Started) {
    std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
    return ExitCode::Unknown;
  }
  logEvent(LogLevel::Info, "node-started",
           {{"node", Settings.Name}, {"data-centre", Settings.DataCentre}});
  while (Signals.waitForRequest() == ProcessRequest::Reload)
    reloadSettings(File);
  logEvent(LogLevel::Info, "node-stopping", {{"node", Settings.Name}});
  const size_t CutOff = Node.stop();
  logEvent(LogLevel::Info, "node-stopped", {{"cut-off", CutOff}});
  flushLog();
  // Pending calls still refer to local objects of this function, so the process
  // exits without destroying them.
  std::_Exit(
      static_cast<int>(CutOff == 0 ? ExitCode::Done : ExitCode::Refused));
}

int runEntry(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "--settings FILE\n\nRuns an entry VM until SIGTERM or SIGINT, then stops "
      "it gracefully.",
      {{"settings", OptionKind::Text, "settings of the entry VM", ""}}, Args,
      Exit);
  if (!Options)
    return Exit;
  const std::string File = Options->text("settings");
  const auto Settings = readSettings(File);
  if (!Settings) {
    std::fprintf(stderr, "%s\n", Settings.error().text().c_str());
    return static_cast<int>(ExitCode::BadInput);
  }
  const SignalWaiter Signals;
  logToStandardOutput();
  setLogLevel(Settings.value().MinLogLevel);
  http::initializeHttpThreads(
      static_cast<unsigned>(Settings.value().HttpThreads));
  if (Settings.value().Fleet.IsEnabled)
    return static_cast<int>(runOnPlatform(Settings.value(), File, Signals));
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  entry::EntryNode Node(Settings.value(), Time, systemRandom(), Timers);
  if (const auto Started = Node.start(); !Started) {
    std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
    return static_cast<int>(ExitCode::Unknown);
  }
  Signals.waitForStop();
  const entry::StopReport Report = Node.stop();
  flushLog();
  return static_cast<int>(Report.CutOff == 0 ? ExitCode::Done
                                             : ExitCode::Refused);
}

} // namespace whintack::commands::Internal
