#include "arguments.h"
#include "commands.h"
#include "exitcode.h"
#include "localinput.h"
#include "signalwaiter.h"

#include "whintack/base/log.h"
#include "whintack/http/httpclient.h"
#include "whintack/local/localfleet.h"

#include <cstdio>
#include <fstream>

namespace whintack::commands::Internal {

static void printAddresses(const LocalInput &Input) {
  std::printf("entry VMs of fleet %s:\n",
              Input.Declared.FleetItem.Name.c_str());
  for (const settings::EntrySettings &Entry : local::entrySettings(Input.Local))
    std::printf("  %-24s callers http://%s  operators http://%s\n",
                Entry.Name.text().c_str(), Entry.CallerListener.text().c_str(),
                Entry.OperatorListener.text().c_str());
  std::puts("operators' tokens:");
  for (const settings::OperatorAccount &Account : Input.Local.Operators)
    std::printf("  %s: %s%s\n", Account.Name.text().c_str(),
                Account.Name.text().c_str(), local::LocalTokenSuffix);
  std::puts("Stop with Ctrl-C.");
  std::fflush(stdout);
}

/// Writes the settings file of each entry VM to \p Folder.
static bool writeSettings(const LocalInput &Input, const std::string &Folder) {
  for (const settings::EntrySettings &Entry :
       local::entrySettings(Input.Local)) {
    const std::string File = Folder + "/" + Entry.Name.text() + ".yaml";
    std::ofstream Stream(File);
    Stream << local::settingsText(Entry);
    if (!Stream.flush()) {
      std::fprintf(stderr, "%s: cannot be written\n", File.c_str());
      return false;
    }
    std::printf("%s\n", File.c_str());
  }
  return true;
}

int runLocal(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "--settings FILE --declaration FILE\n\nRuns a whole fleet on this "
      "machine: the platform, backend servers and entry VMs on loopback "
      "addresses. The declaration is not applied; use 'whintack apply'.",
      localOptions(
          {{"write-settings", OptionKind::Text,
            "only write the entry VMs' settings into this folder", ""}}),
      Args, Exit);
  if (!Options)
    return Exit;
  const std::optional<LocalInput> Input = readLocalInput(*Options);
  if (!Input)
    return static_cast<int>(ExitCode::BadInput);
  if (Options->flag("write-settings"))
    return static_cast<int>(
        writeSettings(*Input, Options->text("write-settings"))
            ? ExitCode::Done
            : ExitCode::BadInput);
  const SignalWaiter Signals;
  http::initializeHttpThreads(static_cast<unsigned>(Input->Local.HttpThreads));
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  local::LocalFleet Fleet(Input->Local, local::servicesByPool(Input->Declared),
                          Time, systemRandom(), Timers);
  if (const auto Started = Fleet.start(); !Started) {
    std::fprintf(stderr, "%s\n", Started.error().Message.c_str());
    return static_cast<int>(ExitCode::Unknown);
  }
  printAddresses(*Input);
  Signals.waitForStop();
  std::puts("stopping");
  return static_cast<int>(Fleet.stop() == 0 ? ExitCode::Done
                                            : ExitCode::Refused);
}

} // namespace whintack::commands::Internal
