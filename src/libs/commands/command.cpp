#include "whintack/commands/command.h"

#include "commands.h"
#include "exitcode.h"

#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace whintack::commands {

using namespace Internal;

namespace {

/// Name, help text and function of one subcommand.
struct CommandRow {
  const char *Name;
  const char *Help;
  int (*Run)(const std::vector<std::string> &Args);
};

} // namespace

static constexpr std::array<CommandRow, 17> Commands = {{
    {"entry", "run an entry VM", runEntry},
    {"local", "run a whole fleet on this machine", runLocal},
    {"demo", "show a preset change and a maintenance wave", runDemo},
    {"fleet-demo", "show jobs on a simulated platform", runFleetDemo},
    {"check", "check settings and declarations", runCheck},
    {"plan", "show what applying a declaration would change", runPlan},
    {"apply", "put a declaration in force", runApply},
    {"preset", "list, choose and confirm presets", runPreset},
    {"wave", "start, pause, resume or cancel a maintenance wave", runWave},
    {"job", "submit, list and cancel jobs", runJob},
    {"vm", "show VMs", runVm},
    {"status", "show what is in force and what is unhealthy", runStatus},
    {"timeline", "show events of all processes", runTimeline},
    {"token", "make an operator's token and its hash", runToken},
    {"load", "send requests and measure the answers", runLoad},
    {"replay", "replay recorded traces and check their outcomes", runReplay},
    {"standin", "run a stand-in of the platform", runStandin},
}};

static void printUsage(FILE *Stream) {
  std::fputs("Usage: whintack COMMAND [OPTION...]\n\nCommands:\n", Stream);
  for (const CommandRow &Row : Commands)
    std::fprintf(Stream, "  %-11s %s\n", Row.Name, Row.Help);
  std::fputs("\n'whintack COMMAND --help' shows the options of a command.\n",
             Stream);
}

int runCommandLine(int ArgumentCount, const char **Arguments) {
  const std::vector<std::string> Args(Arguments + 1, Arguments + ArgumentCount);
  if (Args.empty()) {
    printUsage(stderr);
    return static_cast<int>(ExitCode::BadInput);
  }
  if (Args.front() == "--help" || Args.front() == "help") {
    printUsage(stdout);
    return static_cast<int>(ExitCode::Done);
  }
  if (Args.front() == "--version") {
    std::puts("whintack 0.1.0");
    return static_cast<int>(ExitCode::Done);
  }
  for (const CommandRow &Row : Commands)
    if (Args.front() == Row.Name)
      return Row.Run({Args.begin() + 1, Args.end()});
  std::fprintf(stderr, "whintack: no command is called '%s'\n",
               Args.front().c_str());
  printUsage(stderr);
  return static_cast<int>(ExitCode::BadInput);
}

} // namespace whintack::commands
