#ifndef WHINTACK_BASE_LOGWRITER_H
#define WHINTACK_BASE_LOGWRITER_H

#include "whintack/base/time.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace whintack {

/// Writes lines to a file descriptor on a thread of its own. Never blocks its
/// callers: what a slow reader leaves no room for is dropped, counted, and told
/// in a line once there is room again. Safe for several threads.
class LogWriter {
public:
  /// Does not own \p Descriptor. Holds at most \p MostBytes.
  LogWriter(int Descriptor, size_t MostBytes);
  ~LogWriter();

  /// Takes a line without its line break.
  void write(std::string Line);
  /// Waits until everything is written, at the longest for \p Longest.
  void flush(Duration Longest);
  /// Lines dropped since the start.
  uint64_t dropped() const;

private:
  void run();

  int Descriptor;
  size_t MostBytes;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::condition_variable Emptied;
  std::deque<std::string> Waiting;
  size_t WaitingBytes = 0;
  uint64_t Dropped = 0;
  uint64_t DroppedTold = 0;
  bool IsWriting = false;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace whintack

#endif // WHINTACK_BASE_LOGWRITER_H
