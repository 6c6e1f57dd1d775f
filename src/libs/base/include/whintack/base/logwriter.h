#ifndef WHINTACK_BASE_LOGWRITER_H
#define WHINTACK_BASE_LOGWRITER_H

#include "whintack/base/time.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace whintack {

/// Writes lines to a file descriptor on its own thread. Never blocks its
/// callers: lines that do not fit into the queue because the reader is slow are
/// dropped and counted, and a log line reports their number once there is room
/// again. Safe for several threads.
class LogWriter {
public:
  /// Does not take ownership of \p Descriptor. Queues at most \p MaxBytes.
  LogWriter(int Descriptor, size_t MaxBytes);
  ~LogWriter();

  /// Queues \p Line, which is given without its line break.
  void write(std::string Line);
  /// Waits until all queued lines are written, but not longer than \p Timeout.
  void flush(Duration Timeout);
  /// Number of lines dropped since the start.
  uint64_t dropped() const;

private:
  void run();

  int Descriptor;
  size_t MaxBytes;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::condition_variable QueueEmptied;
  std::deque<std::string> Queue;
  size_t QueuedBytes = 0;
  uint64_t Dropped = 0;
  uint64_t DroppedReported = 0;
  bool IsWriting = false;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace whintack

#endif // WHINTACK_BASE_LOGWRITER_H
