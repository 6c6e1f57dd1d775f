#ifndef WHINTACK_COMMANDS_ARGUMENTS_H
#define WHINTACK_COMMANDS_ARGUMENTS_H

#include <optional>
#include <string>
#include <vector>

namespace whintack::commands::Internal {

/// Kind of value that an option takes.
enum class OptionKind { Flag, Text, Number };

/// Describes one option of a command.
struct OptionSpec {
  std::string Name;
  OptionKind Kind = OptionKind::Text;
  std::string Help;
  std::string Fallback;
};

/// Parsed options and the remaining positional arguments of a command.
class Arguments {
public:
  /// Parses \p Args with popt. Returns nothing after it has printed the help or
  /// an error; the command then ends with the exit code \p Exit.
  static std::optional<Arguments> parse(const std::string &Usage,
                                        const std::vector<OptionSpec> &Options,
                                        const std::vector<std::string> &Args,
                                        int &Exit);

  /// Returns whether the option has a value that is not empty.
  bool flag(const std::string &Name) const;
  std::string text(const std::string &Name) const;
  long number(const std::string &Name) const;
  const std::vector<std::string> &positionals() const {
    return this->Positionals;
  }

private:
  struct Parsed {
    OptionSpec Spec;
    std::string Value;
  };

  const Parsed &find(const std::string &Name) const;

  std::vector<Parsed> Options;
  std::vector<std::string> Positionals;
};

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_ARGUMENTS_H
