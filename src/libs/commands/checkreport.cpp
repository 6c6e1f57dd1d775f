#include "promises.h"

#include <cstdio>

namespace whintack::commands::Internal {

void Promises::expect(bool Holds, const std::string &Promise) {
  std::printf("  %s %s\n", Holds ? "held  " : "BROKEN", Promise.c_str());
  std::fflush(stdout);
  this->AllHeld = this->AllHeld && Holds;
}

} // namespace whintack::commands::Internal
