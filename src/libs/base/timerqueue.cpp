#include "whintack/base/timerqueue.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace whintack {

namespace Internal {

/// Sort key of a scheduled call: by deadline, then in the order of scheduling.
struct TimerKey {
  TimePoint Deadline;
  TimerId Id = 0;

  auto operator<=>(const TimerKey &) const = default;
};

} // namespace Internal

class TimerQueue::Private {
public:
  explicit Private(Clock Time) : Time(std::move(Time)) {}

  TimerId schedule(TimePoint Deadline, std::function<void()> Call);
  void cancel(TimerId Id);
  void run();
  bool runNext(std::unique_lock<std::mutex> &Lock, TimePoint Now);
  void waitForNext(std::unique_lock<std::mutex> &Lock);

  Clock Time;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<Internal::TimerKey, std::function<void()>> Calls;
  std::unordered_map<TimerId, TimePoint> Deadlines;
  TimerId LastId = 0;
  bool IsStopping = false;
  std::thread Thread;
};

void TimerQueue::Private::waitForNext(std::unique_lock<std::mutex> &Lock) {
  if (this->Calls.empty()) {
    this->Changed.wait(Lock);
    return;
  }
  const TimePoint Next = this->Calls.begin()->first.Deadline;
  const Duration Wait = Next - this->Time.Now();
  if (Wait > Duration::zero())
    this->Changed.wait_for(Lock, Wait);
}

/// Runs the next call if it is due. Releases the lock while the call runs.
bool TimerQueue::Private::runNext(std::unique_lock<std::mutex> &Lock,
                                  TimePoint Now) {
  if (this->Calls.empty() || this->Calls.begin()->first.Deadline > Now)
    return false;
  auto Due = this->Calls.extract(this->Calls.begin());
  this->Deadlines.erase(Due.key().Id);
  Lock.unlock();
  Due.mapped()();
  Lock.lock();
  return true;
}

void TimerQueue::Private::run() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->IsStopping) {
    this->waitForNext(Lock);
    const TimePoint Now = this->Time.Now();
    while (!this->IsStopping && this->runNext(Lock, Now)) {
    }
  }
}

TimerId TimerQueue::Private::schedule(TimePoint Deadline,
                                      std::function<void()> Call) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const TimerId Id = ++this->LastId;
  const auto Inserted =
      this->Calls.emplace(Internal::TimerKey{Deadline, Id}, std::move(Call));
  this->Deadlines.emplace(Id, Deadline);
  if (Inserted.first == this->Calls.begin())
    this->Changed.notify_all();
  return Id;
}

void TimerQueue::Private::cancel(TimerId Id) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Deadlines.find(Id);
  if (Found == this->Deadlines.end())
    return;
  this->Calls.erase(Internal::TimerKey{Found->second, Id});
  this->Deadlines.erase(Found);
}

TimerQueue::TimerQueue(Clock Time, TimerThread Thread)
    : D(std::make_shared<Private>(std::move(Time))) {
  if (Thread == TimerThread::Own)
    this->D->Thread = std::thread([this] { this->D->run(); });
}

TimerQueue::~TimerQueue() {
  {
    const std::lock_guard<std::mutex> Lock(this->D->Mutex);
    this->D->IsStopping = true;
  }
  this->D->Changed.notify_all();
  if (this->D->Thread.joinable())
    this->D->Thread.join();
}

TimerId TimerQueue::schedule(TimePoint Deadline, std::function<void()> Call) {
  return this->D->schedule(Deadline, std::move(Call));
}

void TimerQueue::cancel(TimerId Id) { this->D->cancel(Id); }

TimerQueueRef TimerQueue::ref() const { return TimerQueueRef(this->D); }

void TimerQueueRef::post(std::function<void()> Call) const {
  if (const std::shared_ptr<TimerQueue::Private> Alive = this->Queue.lock())
    Alive->schedule(TimePoint::min(), std::move(Call));
}

void TimerQueueRef::cancel(TimerId Id) const {
  if (const std::shared_ptr<TimerQueue::Private> Alive = this->Queue.lock())
    Alive->cancel(Id);
}

std::optional<TimePoint> TimerQueue::nextDeadline() const {
  const std::lock_guard<std::mutex> Lock(this->D->Mutex);
  if (this->D->Calls.empty())
    return std::nullopt;
  return this->D->Calls.begin()->first.Deadline;
}

bool TimerQueue::runNext() {
  std::unique_lock<std::mutex> Lock(this->D->Mutex);
  return this->D->runNext(Lock, this->D->Time.Now());
}

} // namespace whintack
