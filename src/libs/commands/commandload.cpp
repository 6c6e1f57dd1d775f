#include "arguments.h"
#include "commands.h"
#include "exitcode.h"
#include "signalwaiter.h"

#include "whintack/http/httpclient.h"
#include "whintack/load/loadgenerator.h"

#include <cstdio>
#include <sstream>

namespace whintack::commands::Internal {

static std::vector<std::string> splitCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

static void printReport(const load::LoadReport &Report) {
  std::printf("sent %llu  done %llu  not-run %llu  unknown %llu  failed %llu  "
              "mixed %llu  repeated %llu\n",
              static_cast<unsigned long long>(Report.Sent),
              static_cast<unsigned long long>(Report.Done),
              static_cast<unsigned long long>(Report.NotRun),
              static_cast<unsigned long long>(Report.Unknown),
              static_cast<unsigned long long>(Report.Failed),
              static_cast<unsigned long long>(Report.MismatchedAnswers),
              static_cast<unsigned long long>(Report.Repeated));
  constexpr double MicrosecondsPerMillisecond = 1000;
  std::printf("%.0f done a second  p50 %.2f ms  p99 %.2f ms\n",
              Report.perSecond(),
              static_cast<double>(Report.percentile(50).count()) /
                  MicrosecondsPerMillisecond,
              static_cast<double>(Report.percentile(99).count()) /
                  MicrosecondsPerMillisecond);
}

int runLoad(const std::vector<std::string> &Args) {
  int Exit = 0;
  const auto Options = Arguments::parse(
      "--target IP:PORT[,IP:PORT...] --service NAME[,NAME...]\n\nSends "
      "requests to loopback addresses for a bounded time and prints how they "
      "ended.",
      {{"target", OptionKind::Text, "entry VMs, or servers with --direct", ""},
       {"service", OptionKind::Text, "services to ask for", ""},
       {"concurrency", OptionKind::Number, "requests kept in flight", "8"},
       {"orders", OptionKind::Number, "percent that must not run twice", "20"},
       {"work-ms", OptionKind::Number, "time a request runs", "2"},
       {"deadline-ms", OptionKind::Number, "what callers allow", "0"},
       {"seconds", OptionKind::Number, "how long to go on", "5"},
       {"direct", OptionKind::Flag, "the targets are backend servers", ""},
       {"http-threads", OptionKind::Number, "threads that carry HTTP", "4"}},
      Args, Exit);
  if (!Options)
    return Exit;
  load::LoadPlan Plan;
  for (const std::string &Text : splitCommas(Options->text("target"))) {
    const auto Target = parseAddress(Text);
    const bool IsLoopback = Target && Target->Ip.starts_with("127.");
    if (!IsLoopback) {
      std::fprintf(stderr,
                   "--target: '%s' is not a loopback address with a "
                   "port\n",
                   Text.c_str());
      return static_cast<int>(ExitCode::BadInput);
    }
    Plan.Targets.push_back(*Target);
  }
  Plan.Services = splitCommas(Options->text("service"));
  if (Plan.Targets.empty() || Plan.Services.empty()) {
    std::fputs("name --target and --service\n", stderr);
    return static_cast<int>(ExitCode::BadInput);
  }
  Plan.Concurrency = static_cast<unsigned>(Options->number("concurrency"));
  Plan.OrderPercent = static_cast<unsigned>(Options->number("orders"));
  Plan.Work = std::chrono::milliseconds(Options->number("work-ms"));
  Plan.Deadline = std::chrono::milliseconds(Options->number("deadline-ms"));
  Plan.IsDirect = Options->flag("direct");
  const SignalWaiter Signals;
  http::initializeHttpThreads(
      static_cast<unsigned>(Options->number("http-threads")));
  const Clock Time = systemClock();
  TimerQueue Timers(Time);
  load::LoadGenerator Load(Plan, Time, systemRandom(), Timers);
  Load.start();
  Signals.isStopRequestedWithin(
      std::chrono::seconds(Options->number("seconds")));
  const load::LoadReport Report = Load.stop();
  printReport(Report);
  const bool AllSucceeded = Report.MismatchedAnswers == 0 && Report.Failed == 0;
  return static_cast<int>(AllSucceeded ? ExitCode::Done : ExitCode::Refused);
}

} // namespace whintack::commands::Internal
