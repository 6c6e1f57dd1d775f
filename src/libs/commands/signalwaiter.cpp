#include "signalwaiter.h"

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

SignalWaiter::SignalWaiter() {
  const sigset_t Signals = allSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

ProcessRequest SignalWaiter::waitForRequest() const {
  const sigset_t Signals = allSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
  return Received == SIGHUP ? ProcessRequest::Reload : ProcessRequest::Stop;
}

void SignalWaiter::waitForStop() const {
  while (this->waitForRequest() != ProcessRequest::Stop)
    continue;
}

bool SignalWaiter::isStopRequestedWithin(Duration Timeout) const {
  constexpr int64_t MicrosecondsPerSecond = 1000000;
  constexpr int64_t NanosecondsPerMicrosecond = 1000;
  const sigset_t Signals = stopSignals();
  timespec TimeoutSpec{};
  TimeoutSpec.tv_sec = Timeout.count() / MicrosecondsPerSecond;
  TimeoutSpec.tv_nsec =
      Timeout.count() % MicrosecondsPerSecond * NanosecondsPerMicrosecond;
  return sigtimedwait(&Signals, nullptr, &TimeoutSpec) > 0;
}

} // namespace whintack::commands::Internal
