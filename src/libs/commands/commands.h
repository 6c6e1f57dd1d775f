#ifndef WHINTACK_COMMANDS_COMMANDS_H
#define WHINTACK_COMMANDS_COMMANDS_H

#include <string>
#include <vector>

/// The subcommands. Each receives the arguments after its name and returns the
/// exit code.
namespace whintack::commands::Internal {

int runApply(const std::vector<std::string> &Args);
int runCheck(const std::vector<std::string> &Args);
int runDemo(const std::vector<std::string> &Args);
int runEntry(const std::vector<std::string> &Args);
int runFleetDemo(const std::vector<std::string> &Args);
int runJob(const std::vector<std::string> &Args);
int runLoad(const std::vector<std::string> &Args);
int runLocal(const std::vector<std::string> &Args);
int runPlan(const std::vector<std::string> &Args);
int runPreset(const std::vector<std::string> &Args);
int runReplay(const std::vector<std::string> &Args);
int runStandin(const std::vector<std::string> &Args);
int runStatus(const std::vector<std::string> &Args);
int runTimeline(const std::vector<std::string> &Args);
int runToken(const std::vector<std::string> &Args);
int runVm(const std::vector<std::string> &Args);
int runWave(const std::vector<std::string> &Args);

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_COMMANDS_H
