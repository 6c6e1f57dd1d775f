#include "logcapture.h"

#include <glog/logging.h>
#include <mutex>

namespace whintack::tests {

class LogCapture::Sink : public google::LogSink {
public:
  explicit Sink(std::function<void(const std::string &)> OnLine)
      : OnLine(std::move(OnLine)) {
    google::AddLogSink(this);
  }
  ~Sink() override { google::RemoveLogSink(this); }

  using google::LogSink::send;
  void send(google::LogSeverity, const char *, const char *, int,
            const google::LogMessageTime &, const char *Text,
            size_t Length) override {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Texts.emplace_back(Text, Length);
    if (this->OnLine)
      this->OnLine(this->Texts.back());
  }

  std::vector<std::string> texts() const {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Texts;
  }

private:
  std::function<void(const std::string &)> OnLine;
  mutable std::mutex Mutex;
  std::vector<std::string> Texts;
};

LogCapture::LogCapture(std::function<void(const std::string &Text)> OnLine)
    : Lines(std::make_unique<Sink>(std::move(OnLine))) {}

LogCapture::~LogCapture() = default;

std::vector<std::string> LogCapture::lines(const std::string &Event,
                                           const std::string &Level) const {
  const std::string Mark =
      (Level.empty() ? "" : " level=" + Level) + " event=" + Event;
  std::vector<std::string> Found;
  for (const std::string &Text : this->Lines->texts()) {
    const size_t At = Text.find(Mark);
    if (At == std::string::npos)
      continue;
    const std::string Rest = Text.substr(At + Mark.size());
    if (Rest.empty())
      Found.push_back(Rest);
    else if (Rest.front() == ' ')
      Found.push_back(Rest.substr(1));
  }
  return Found;
}

std::string LogCapture::field(const std::string &Line, const std::string &Key) {
  const std::string Mark = " " + Key + "=";
  const size_t At = (" " + Line).find(Mark);
  if (At == std::string::npos)
    return "";
  const std::string Rest = (" " + Line).substr(At + Mark.size());
  if (Rest.starts_with('"'))
    return Rest.substr(1, Rest.find('"', 1) - 1);
  return Rest.substr(0, Rest.find(' '));
}

} // namespace whintack::tests
