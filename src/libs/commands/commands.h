#ifndef WHINTACK_COMMANDS_COMMANDS_H
#define WHINTACK_COMMANDS_COMMANDS_H

#include <string>
#include <vector>

/// The sub-commands. Each takes the words after its name and returns the exit
/// code.
namespace whintack::commands::Internal {

int runApply(const std::vector<std::string> &Words);
int runCheck(const std::vector<std::string> &Words);
int runDemo(const std::vector<std::string> &Words);
int runEntry(const std::vector<std::string> &Words);
int runFleetDemo(const std::vector<std::string> &Words);
int runJob(const std::vector<std::string> &Words);
int runLoad(const std::vector<std::string> &Words);
int runLocal(const std::vector<std::string> &Words);
int runPlan(const std::vector<std::string> &Words);
int runPreset(const std::vector<std::string> &Words);
int runReplay(const std::vector<std::string> &Words);
int runStandin(const std::vector<std::string> &Words);
int runStatus(const std::vector<std::string> &Words);
int runTimeline(const std::vector<std::string> &Words);
int runToken(const std::vector<std::string> &Words);
int runVm(const std::vector<std::string> &Words);
int runWave(const std::vector<std::string> &Words);

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_COMMANDS_H
