#ifndef WHINTACK_COMMANDS_EXITCODE_H
#define WHINTACK_COMMANDS_EXITCODE_H

namespace whintack::commands::Internal {

/// Exit codes of all commands. Scripts rely on the values.
enum class ExitCode {
  Done = 0,
  /// The request was refused, or a check failed.
  Refused = 1,
  /// The command line or a file is invalid.
  BadInput = 2,
  /// The outcome is unknown, or no server could be reached.
  Unknown = 3,
};

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_EXITCODE_H
