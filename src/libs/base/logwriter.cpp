#include "whintack/base/logwriter.h"

#include <cerrno>
#include <unistd.h>

namespace whintack {

LogWriter::LogWriter(int Descriptor, size_t MaxBytes)
    : Descriptor(Descriptor), MaxBytes(MaxBytes),
      Thread([this] { this->run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->IsStopping = true;
  }
  this->Changed.notify_all();
  this->Thread.join();
}

void LogWriter::write(std::string Line) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->QueuedBytes + Line.size() > this->MaxBytes) {
      ++this->Dropped;
      return;
    }
    if (this->Dropped != this->DroppedReported) {
      this->Queue.push_back(
          "level=warning event=log-lines-dropped lines=" +
          std::to_string(this->Dropped - this->DroppedReported));
      this->DroppedReported = this->Dropped;
    }
    this->QueuedBytes += Line.size();
    this->Queue.push_back(std::move(Line));
  }
  this->Changed.notify_one();
}

uint64_t LogWriter::dropped() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Dropped;
}

void LogWriter::flush(Duration Timeout) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->QueueEmptied.wait_for(Lock, Timeout, [this] {
    return this->Queue.empty() && !this->IsWriting;
  });
}

/// Writes all of \p Text; returns early on any error other than EINTR.
static void writeAll(int Descriptor, const std::string &Text) {
  size_t Written = 0;
  while (Written < Text.size()) {
    const ssize_t Count =
        ::write(Descriptor, Text.data() + Written, Text.size() - Written);
    if (Count < 0 && errno != EINTR)
      return;
    if (Count > 0)
      Written += static_cast<size_t>(Count);
  }
}

void LogWriter::run() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (true) {
    this->Changed.wait(
        Lock, [this] { return this->IsStopping || !this->Queue.empty(); });
    if (this->Queue.empty())
      return;
    std::string Text;
    for (const std::string &Line : this->Queue)
      Text += Line + '\n';
    this->Queue.clear();
    this->IsWriting = true;
    Lock.unlock();
    writeAll(this->Descriptor, Text);
    Lock.lock();
    // Lines count towards the limit until they have been written, which bounds
    // the memory in use. Only lines queued during the write remain.
    this->QueuedBytes = 0;
    for (const std::string &Line : this->Queue)
      this->QueuedBytes += Line.size();
    this->IsWriting = false;
    this->QueueEmptied.notify_all();
  }
}

} // namespace whintack
