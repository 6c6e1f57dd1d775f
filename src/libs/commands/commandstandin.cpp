#include "arguments.h"
#include "commands.h"
#include "exitcode.h"
#include "localinput.h"
#include "signalwaiter.h"

#include "whintack/http/httpclient.h"
#include "whintack/local/localfleet.h"

#include <algorithm>
#include <cstdio>

namespace whintack::commands::Internal {

int runStandin(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "--settings FILE --declaration FILE\n\nRuns only the platform's stand-in "
      "and the backend servers of a local fleet, for entry VMs that run as "
      "processes of their own ('whintack entry').",
      localOptions({}), Args, Exit);
  if (!Options)
    return Exit;
  const std::optional<LocalInput> Input = readLocalInput(*Options);
  if (!Input)
    return static_cast<int>(ExitCode::BadInput);
  const SignalWaiter Signals;
  http::initializeHttpThreads(static_cast<unsigned>(Input->Local.HttpThreads));
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  local::LocalPlatform Platform(
      Input->Local, local::servicesByPool(Input->Declared), Time, Timers);
  if (const auto Started = Platform.start(); !Started) {
    std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
    return static_cast<int>(ExitCode::Unknown);
  }
  std::printf("platform at %s\n",
              local::platformAddress(Input->Local).text().c_str());
  std::fflush(stdout);
  Signals.waitForStop();
  const standin::ExecutionCounts Counts = Platform.executionCounter().counts();
  std::printf("executions %llu, doubled %llu, most running on one server "
              "%lld\n",
              static_cast<unsigned long long>(Counts.Executions),
              static_cast<unsigned long long>(Counts.DuplicateExecutions),
              static_cast<long long>(Counts.MaxRunning));
  int64_t MaxSlots = 0;
  for (const auto &[Name, Service] : Input->Declared.Services)
    MaxSlots = std::max(MaxSlots, Service.Slots);
  const bool Holds =
      Counts.DuplicateExecutions == 0 && Counts.MaxRunning <= MaxSlots;
  return static_cast<int>(Holds ? ExitCode::Done : ExitCode::Refused);
}

} // namespace whintack::commands::Internal
