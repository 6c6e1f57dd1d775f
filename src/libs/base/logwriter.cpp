#include "whintack/base/logwriter.h"

#include <cerrno>
#include <unistd.h>

namespace whintack {

LogWriter::LogWriter(int Descriptor, size_t MostBytes)
    : Descriptor(Descriptor), MostBytes(MostBytes),
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
    if (this->WaitingBytes + Line.size() > this->MostBytes) {
      ++this->Dropped;
      return;
    }
    if (this->Dropped != this->DroppedTold) {
      this->Waiting.push_back(
          "level=warning event=log-lines-dropped lines=" +
          std::to_string(this->Dropped - this->DroppedTold));
      this->DroppedTold = this->Dropped;
    }
    this->WaitingBytes += Line.size();
    this->Waiting.push_back(std::move(Line));
  }
  this->Changed.notify_one();
}

uint64_t LogWriter::dropped() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Dropped;
}

void LogWriter::flush(Duration Longest) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Emptied.wait_for(Lock, Longest, [this] {
    return this->Waiting.empty() && !this->IsWriting;
  });
}

/// Writes all of \p Text; gives up if the descriptor is broken.
static void writeWhole(int Descriptor, const std::string &Text) {
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
        Lock, [this] { return this->IsStopping || !this->Waiting.empty(); });
    if (this->Waiting.empty())
      return;
    std::string Text;
    for (const std::string &Line : this->Waiting)
      Text += Line + '\n';
    this->Waiting.clear();
    this->IsWriting = true;
    Lock.unlock();
    writeWhole(this->Descriptor, Text);
    Lock.lock();
    // The bytes count until they have left, which bounds what is held.
    this->WaitingBytes = 0;
    for (const std::string &Line : this->Waiting)
      this->WaitingBytes += Line.size();
    this->IsWriting = false;
    this->Emptied.notify_all();
  }
}

} // namespace whintack
