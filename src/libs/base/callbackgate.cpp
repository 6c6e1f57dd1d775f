#include "whintack/base/callbackgate.h"

namespace whintack {

bool CallbackGate::enter() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->IsClosed)
    return false;
  ++this->Running;
  return true;
}

void CallbackGate::leave() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Running;
  if (this->Running == 0)
    this->NoneRunning.notify_all();
}

void CallbackGate::close() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->IsClosed = true;
  this->NoneRunning.wait(Lock, [this] { return this->Running == 0; });
}

} // namespace whintack
