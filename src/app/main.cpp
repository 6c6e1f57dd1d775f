#include "whintack/base/log.h"
#include "whintack/commands/command.h"

int main(int ArgumentCount, const char **Arguments) {
  whintack::initializeLogging(Arguments[0]);
  return whintack::commands::runCommandLine(ArgumentCount, Arguments);
}
