#ifndef WHINTACK_BASE_LOG_H
#define WHINTACK_BASE_LOG_H

#include <concepts>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace whintack {

/// Severity of a log line.
enum class LogLevel { Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField {
  template <typename T>
  LogField(std::string_view Key, const T &FieldValue) : Key(Key) {
    // Streams are slow, and most fields are texts or whole numbers.
    if constexpr (std::is_convertible_v<T, std::string_view>) {
      this->Value = std::string_view(FieldValue);
    } else if constexpr (std::is_integral_v<T> && sizeof(T) > 1) {
      this->Value = std::to_string(FieldValue);
    } else if constexpr (requires {
                           {
                             FieldValue.text()
                             } -> std::convertible_to<std::string>;
                         }) {
      this->Value = FieldValue.text();
    } else {
      std::ostringstream Stream;
      Stream << FieldValue;
      this->Value = Stream.str();
    }
  }

  std::string Key;
  std::string Value;
};

/// Sets up logging to standard error only. Must be called once, at the start
/// of main().
void initializeLogging(const char *ProgramName);

/// Redirects logging to standard output, through a bounded queue that never
/// blocks the caller. For programs that run as services.
void logToStandardOutput();

/// Waits up to 300 ms until the queued log lines are written.
void flushLog();

/// Sets the minimum level of the lines that are written.
void setLogLevel(LogLevel Lowest);

/// Writes one line of key=value pairs for the event named \p Event. Fields with
/// an empty value are left out.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// Returns \p Value, in quotes if it is empty or contains spaces, quotes,
/// equals signs, backslashes or control characters. Control characters become
/// spaces.
std::string quoteLogValue(std::string_view Value);

} // namespace whintack

#endif // WHINTACK_BASE_LOG_H
