#ifndef WHINTACK_COMMANDS_CHECKREPORT_H
#define WHINTACK_COMMANDS_CHECKREPORT_H

#include <string>

namespace whintack::commands::Internal {

/// Prints the result of each check of a demo and records whether all of them
/// passed. Not thread-safe.
class CheckReport {
public:
  void check(bool Passed, const std::string &Description);
  bool allPassed() const { return this->AllPassed; }

private:
  bool AllPassed = true;
};

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_CHECKREPORT_H
