#ifndef WHINTACK_COMMANDS_COMMAND_H
#define WHINTACK_COMMANDS_COMMAND_H

namespace whintack::commands {

/// Runs the subcommand given on the command line. Returns the exit code of the
/// process.
int runCommandLine(int ArgumentCount, const char **Arguments);

} // namespace whintack::commands

#endif // WHINTACK_COMMANDS_COMMAND_H
