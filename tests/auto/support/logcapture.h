#ifndef WHINTACK_TESTS_LOGCAPTURE_H
#define WHINTACK_TESTS_LOGCAPTURE_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace whintack::tests {

/// Collects the lines that the process logs while this exists.
class LogCapture {
public:
  /// \p OnLine is called with the text of each line, if it is not null.
  explicit LogCapture(
      std::function<void(const std::string &Text)> OnLine = nullptr);
  ~LogCapture();

  /// The fields of each line of the event, as "key=value key=value"; only those
  /// of one level if \p Level is not empty.
  std::vector<std::string> lines(const std::string &Event,
                                 const std::string &Level = "") const;
  /// The value of a field of a line without its quotes; empty if there is none.
  static std::string field(const std::string &Line, const std::string &Key);

private:
  class Sink;
  std::unique_ptr<Sink> Lines;
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_LOGCAPTURE_H
