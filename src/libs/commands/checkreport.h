#ifndef WHINTACK_COMMANDS_PROMISES_H
#define WHINTACK_COMMANDS_PROMISES_H

#include <string>

namespace whintack::commands::Internal {

/// Prints for each promise of a demo whether it held, and keeps whether all
/// did. Not safe for several threads.
class Promises {
public:
  void expect(bool Holds, const std::string &Promise);
  bool allHeld() const { return this->AllHeld; }

private:
  bool AllHeld = true;
};

} // namespace whintack::commands::Internal

#endif // WHINTACK_COMMANDS_PROMISES_H
