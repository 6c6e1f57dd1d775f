#include "stoprequest.h"

#include <csignal>
#include <pthread.h>

namespace whintack::commands::Internal {

static sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

static sigset_t allSignals() {
  sigset_t Signals = stopSignals();
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

StopRequest::StopRequest() {
  const sigset_t Signals = allSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

ProcessRequest StopRequest::next() const {
  const sigset_t Signals = allSignals();
  int Taken = 0;
  sigwait(&Signals, &Taken);
  return Taken == SIGHUP ? ProcessRequest::Reload : ProcessRequest::Stop;
}

void StopRequest::wait() const {
  while (this->next() != ProcessRequest::Stop)
    continue;
}

bool StopRequest::waitFor(Duration Length) const {
  constexpr int64_t MicrosecondsPerSecond = 1000000;
  constexpr int64_t NanosecondsPerMicrosecond = 1000;
  const sigset_t Signals = stopSignals();
  timespec Wait{};
  Wait.tv_sec = Length.count() / MicrosecondsPerSecond;
  Wait.tv_nsec =
      Length.count() % MicrosecondsPerSecond * NanosecondsPerMicrosecond;
  return sigtimedwait(&Signals, nullptr, &Wait) > 0;
}

} // namespace whintack::commands::Internal
