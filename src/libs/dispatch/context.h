#ifndef WHINTACK_DISPATCH_CONTEXT_H
#define WHINTACK_DISPATCH_CONTEXT_H

#include "whintack/base/log.h"
#include "whintack/base/random.h"
#include "whintack/base/timerqueue.h"
#include "whintack/store/asyncstore.h"

#include <memory>

namespace whintack::dispatch::Internal {

/// Clock, random source, event loop and store that all parts of the job path
/// share. All parts run on the thread of Loop; callbacks from other threads are
/// posted to it.
struct Context {
  Clock Time;
  Random Source;
  TimerQueue &Loop;
  store::AsyncStore Store;

  TimePoint now() const { return this->Time.Now(); }
  /// Returns a random duration between half of \p Max and \p Max, so that
  /// processes started together do not act in lockstep.
  Duration jittered(Duration Max) const {
    const auto Half = static_cast<uint64_t>(Max.count() / 2);
    return Max / 2 +
           Duration(static_cast<int64_t>(this->Source() % (Half + 1)));
  }
};

/// A log for decisions that operators should look at.
inline void logWarning(std::string_view Event,
                       std::initializer_list<LogField> Fields) {
  logEvent(LogLevel::Warning, Event, Fields);
}

/// Wraps \p Function so that it runs on the thread of \p Loop, and only if \p
/// Object still exists then. The result may be called after \p Loop is gone.
template <typename Owner, typename Argument, typename Call>
std::function<void(Argument)>
onLoop(TimerQueue &Loop, const std::shared_ptr<Owner> &Object, Call Function) {
  return [Ref = Loop.ref(), Weak = std::weak_ptr<Owner>(Object),
          Function](Argument Value) {
    Ref.post(
        [Weak, Function, Held = std::make_shared<Argument>(std::move(Value))] {
          if (const std::shared_ptr<Owner> Alive = Weak.lock())
            Function(*Alive, std::move(*Held));
        });
  };
}

/// Schedules \p Function on \p Loop at \p Deadline; it runs only if \p Object
/// still exists then.
template <typename Owner, typename Call>
TimerId scheduleFor(TimerQueue &Loop, const std::shared_ptr<Owner> &Object,
                    TimePoint Deadline, Call Function) {
  return Loop.schedule(Deadline,
                       [Weak = std::weak_ptr<Owner>(Object), Function] {
                         if (const std::shared_ptr<Owner> Alive = Weak.lock())
                           Function(*Alive);
                       });
}

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_CONTEXT_H
