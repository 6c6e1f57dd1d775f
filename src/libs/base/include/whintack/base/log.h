#ifndef WHINTACK_BASE_LOG_H
#define WHINTACK_BASE_LOG_H

#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>

namespace whintack {

/// Severity of a log line.
enum class LogLevel { Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField {
  template <typename T>
  LogField(std::string_view Key, const T &FieldValue) : Key(Key) {
    std::ostringstream Stream;
    Stream << FieldValue;
    this->Value = Stream.str();
  }

  std::string Key;
  std::string Value;
};

/// Prepares logging to standard error only. Call once, first thing in main.
void initializeLogging(const char *ProgramName);

/// From now on writes to standard output, through a bounded queue that never
/// blocks. For programs that run as services.
void logToStandardOutput();

/// Waits for a moment until what was logged is written.
void flushLog();

/// Sets the lowest level that is written.
void setLogLevel(LogLevel Lowest);

/// Writes one line of key=value pairs for the event called \p Event.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// Returns \p Value, quoted if it holds spaces, quotes or control characters.
std::string quoteLogValue(std::string_view Value);

} // namespace whintack

#endif // WHINTACK_BASE_LOG_H
