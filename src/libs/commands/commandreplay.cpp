#include "arguments.h"
#include "commands.h"
#include "exitcode.h"

#include "whintack/base/log.h"
#include "whintack/replay/replaysession.h"

#include <cstdio>

namespace whintack::commands::Internal {

static void printMeasures(const replay::ReplayMeasures &Measures) {
  std::printf("  buffer cost %.1f VMs  roll-out %.0f s  moves %lld VMs and "
              "%lld tasks  reboots %llu  store %llu reads, %llu writes\n",
              Measures.BufferVms,
              std::chrono::duration<double>(Measures.RollOut).count(),
              static_cast<long long>(Measures.VmMoves),
              static_cast<long long>(Measures.TaskMoves),
              static_cast<unsigned long long>(Measures.Reboots),
              static_cast<unsigned long long>(Measures.StoreReads),
              static_cast<unsigned long long>(Measures.StoreWrites));
}

int runReplay(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "FILE...\n\nReplays recorded traces on a clock of their own and tells "
      "each stated outcome held or broken.",
      {}, Args, Exit);
  if (!Options)
    return Exit;
  setLogLevel(LogLevel::Error);
  if (Options->positionals().empty()) {
    std::fputs("name at least one trace\n", stderr);
    return static_cast<int>(ExitCode::BadInput);
  }
  int Passed = 0;
  int Failed = 0;
  for (const std::string &File : Options->positionals()) {
    const auto Trace = replay::readTrace(File);
    if (!Trace) {
      std::fprintf(stderr, "%s\n", Trace.error().text().c_str());
      return static_cast<int>(ExitCode::BadInput);
    }
    std::printf("%s: %s\n", File.c_str(), Trace.value().Name.c_str());
    const replay::ReplayReport Report = replay::replay(Trace.value());
    for (const replay::OutcomeVerdict &Verdict : Report.Verdicts) {
      ++(Verdict.Holds ? Passed : Failed);
      std::printf("  %s %s%s%s\n", Verdict.Holds ? "held  " : "BROKEN",
                  Verdict.Outcome.c_str(), Verdict.Holds ? "" : ": ",
                  Verdict.BrokenBy.c_str());
    }
    printMeasures(Report.Measures);
  }
  std::printf("%d passed, %d failed\n", Passed, Failed);
  return static_cast<int>(Failed == 0 ? ExitCode::Done : ExitCode::Refused);
}

} // namespace whintack::commands::Internal
