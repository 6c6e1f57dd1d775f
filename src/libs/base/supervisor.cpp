#include "whintack/base/supervisor.h"

#include "whintack/base/backoff.h"

#include <atomic>
#include <condition_variable>
#include <exception>
#include <thread>
#include <vector>

namespace whintack {

static constexpr Duration InitialRestartDelay = std::chrono::milliseconds(100);
static constexpr Duration MaxRestartDelay = std::chrono::seconds(5);

class StopSignal::Private {
public:
  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  bool IsStopRequested = false;
};

StopSignal::StopSignal() : D(std::make_unique<Private>()) {}
StopSignal::~StopSignal() = default;

void StopSignal::request() {
  {
    const std::lock_guard<std::mutex> Lock(this->D->Mutex);
    this->D->IsStopRequested = true;
  }
  this->D->Changed.notify_all();
}

bool StopSignal::isRequested() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  return this->D->IsStopRequested;
}

bool StopSignal::waitFor(Duration Length) const {
  std::unique_lock<std::mutex> Lock(this->D->Mutex);
  return this->D->Changed.wait_for(Lock, Length,
                                   [this] { return this->D->IsStopRequested; });
}

namespace Internal {

/// A part with its thread, stop signal and restart count.
struct RunningPart {
  SupervisedPart Part;
  StopSignal Stop;
  std::atomic<unsigned> Restarts{0};
  std::thread Thread;
};

} // namespace Internal

class Supervisor::Private {
public:
  Private(EventJournal &Journal, Random Source)
      : Journal(Journal), Source(std::move(Source)) {}

  void runUntilStopped(Internal::RunningPart &Running);
  std::string runOnce(Internal::RunningPart &Running);

  EventJournal &Journal;
  Random Source;
  mutable std::mutex Mutex;
  std::vector<std::unique_ptr<Internal::RunningPart>> Parts;
};

/// Runs the part until it ends and returns why it ended.
std::string Supervisor::Private::runOnce(Internal::RunningPart &Running) {
  try {
    Running.Part.Run(Running.Stop);
    return "returned";
  } catch (const std::exception &Error) {
    return Error.what();
  }
}

void Supervisor::Private::runUntilStopped(Internal::RunningPart &Running) {
  Backoff RestartBackoff(InitialRestartDelay, MaxRestartDelay, this->Source);
  while (!Running.Stop.isRequested()) {
    const std::string Reason = this->runOnce(Running);
    if (Running.Stop.isRequested())
      return;
    ++Running.Restarts;
    Event Failed;
    Failed.Kind = EventKind::PartFailed;
    Failed.Text = Running.Part.Name + ": " + Reason;
    this->Journal.record(std::move(Failed));
    Running.Stop.waitFor(RestartBackoff.next());
  }
}

Supervisor::Supervisor(EventJournal &Journal, Random Source)
    : D(std::make_unique<Private>(Journal, std::move(Source))) {}

Supervisor::~Supervisor() { this->stop(); }

void Supervisor::start(SupervisedPart Part) {
  auto Running = std::make_unique<Internal::RunningPart>();
  Running->Part = std::move(Part);
  Internal::RunningPart &Started = *Running;
  {
    const std::lock_guard<std::mutex> Lock(this->D->Mutex);
    this->D->Parts.push_back(std::move(Running));
  }
  Started.Thread =
      std::thread([this, &Started] { this->D->runUntilStopped(Started); });
}

void Supervisor::stop() {
  for (auto It = this->D->Parts.rbegin(); It != this->D->Parts.rend(); ++It) {
    (*It)->Stop.request();
    if ((*It)->Thread.joinable())
      (*It)->Thread.join();
  }
}

unsigned Supervisor::restarts(const std::string &Name) const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  for (const auto &Running : this->D->Parts)
    if (Running->Part.Name == Name)
      return Running->Restarts;
  return 0;
}

} // namespace whintack
