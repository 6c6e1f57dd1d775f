#include "checkreport.h"

#include <cstdio>

namespace whintack::commands::Internal {

void CheckReport::check(bool Passed, const std::string &Description) {
  std::printf("  %s %s\n", Passed ? "held  " : "BROKEN", Description.c_str());
  std::fflush(stdout);
  this->AllPassed = this->AllPassed && Passed;
}

} // namespace whintack::commands::Internal
