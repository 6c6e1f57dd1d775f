#ifndef WHINTACK_BASE_CALLBACKGATE_H
#define WHINTACK_BASE_CALLBACKGATE_H

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace whintack {

/// Lets callbacks of other threads use an object only until its owner closes
/// the gate. The gate itself must be kept alive by the callbacks. Safe for
/// several threads.
class CallbackGate {
public:
  /// Runs \p Call unless the gate is closed. Calls may be nested.
  template <typename Function> void run(Function &&Call) {
    if (!this->enter())
      return;
    const Leaver Leaves(*this);
    Call();
  }

  /// Lets no further call start and waits until the running ones have returned.
  /// Must not be called by one of them.
  void close();

private:
  /// Ends a call even if it throws.
  class Leaver {
  public:
    explicit Leaver(CallbackGate &Gate) : Gate(Gate) {}
    ~Leaver() { this->Gate.leave(); }
    Leaver(const Leaver &) = delete;
    Leaver &operator=(const Leaver &) = delete;

  private:
    CallbackGate &Gate;
  };

  bool enter();
  void leave();

  std::mutex Mutex;
  std::condition_variable NoneRunning;
  size_t Running = 0;
  bool IsClosed = false;
};

} // namespace whintack

#endif // WHINTACK_BASE_CALLBACKGATE_H
