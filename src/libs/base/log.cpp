#include "whintack/base/log.h"

#include "whintack/base/enumnames.h"
#include "whintack/base/logwriter.h"
#include "whintack/base/time.h"

#include <atomic>
#include <csignal>
#include <glog/logging.h>
#include <unistd.h>

namespace whintack {

static constexpr EnumNames<LogLevel, 3> LogLevelNames = {{
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

void initializeLogging(const char *ProgramName) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(ProgramName);
}

/// Bytes of log lines queued for a reader that does not keep up; enough for
/// some seconds at the highest log rate.
static constexpr size_t MaxQueuedLogBytes = 4U << 20U;

/// Writer to standard output, null while logging to standard error. Never
/// deleted, so that it lasts until the process ends.
static std::atomic<LogWriter *> StandardOutput{nullptr};

void logToStandardOutput() {
  // SIGPIPE is ignored so that the service goes on when the log's reader exits.
  std::signal(SIGPIPE, SIG_IGN);
  if (!StandardOutput)
    StandardOutput = new LogWriter(STDOUT_FILENO, MaxQueuedLogBytes);
}

void flushLog() {
  constexpr Duration FlushTimeout = std::chrono::milliseconds(300);
  if (LogWriter *Writer = StandardOutput)
    Writer->flush(FlushTimeout);
}

/// Writes a line to the current log destination if \p Severity is enabled.
static void writeLine(google::LogSeverity Severity, const std::string &Line) {
  if (LogWriter *Writer = StandardOutput) {
    if (Severity >= FLAGS_minloglevel)
      Writer->write(Line);
    return;
  }
  google::LogMessage("", 0, Severity).stream() << Line;
}

void setLogLevel(LogLevel Lowest) {
  FLAGS_minloglevel = static_cast<int>(Lowest);
}

std::string quoteLogValue(std::string_view Value) {
  constexpr char FirstPrintable = 0x20;
  bool NeedsQuotes = Value.empty();
  for (const char Byte : Value)
    if ((Byte <= FirstPrintable && Byte >= 0) || Byte == '"' || Byte == '=' ||
        Byte == '\\')
      NeedsQuotes = true;
  if (!NeedsQuotes)
    return std::string(Value);
  std::string Quoted = "\"";
  for (const char Byte : Value) {
    if (Byte == '"' || Byte == '\\')
      Quoted += '\\';
    const bool IsControl = Byte >= 0 && Byte < FirstPrintable;
    Quoted += IsControl ? ' ' : Byte;
  }
  return Quoted + '"';
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  std::string Line = "time=" + formatWallTime(systemClock().WallNow());
  Line += " level=";
  Line += nameOf(LogLevelNames, Level);
  Line += " event=";
  Line += Event;
  for (const LogField &Field : Fields)
    if (!Field.Value.empty())
      Line += " " + Field.Key + "=" + quoteLogValue(Field.Value);
  writeLine(static_cast<google::LogSeverity>(Level), Line);
}

} // namespace whintack
