#ifndef WHINTACK_DISPATCH_CONTEXT_H
#define WHINTACK_DISPATCH_CONTEXT_H

#include "whintack/base/log.h"
#include "whintack/base/random.h"
#include "whintack/base/timerqueue.h"
#include "whintack/store/asyncstore.h"

#include <memory>

namespace whintack::dispatch::Internal {

/// What every part of the job path works with. All parts run on the thread of
/// Loop; callbacks from elsewhere are posted to it.
struct Context {
  Clock Time;
  Random Source;
  TimerQueue &Loop;
  store::AsyncStore Store;

  TimePoint now() const { return this->Time.Now(); }
  /// A length between half and all of \p Longest, so that processes started
  /// together do not stay in step.
  Duration jittered(Duration Longest) const {
    const auto Half = static_cast<uint64_t>(Longest.count() / 2);
    return Longest / 2 +
           Duration(static_cast<int64_t>(this->Source() % (Half + 1)));
  }
};

/// Wraps \p Call so that it runs on the loop's thread, and only if \p Owner
/// still exists then.
template <typename Owner, typename Argument, typename Call>
std::function<void(Argument)>
onLoop(TimerQueue &Loop, const std::shared_ptr<Owner> &Object, Call Function) {
  return
      [&Loop, Weak = std::weak_ptr<Owner>(Object), Function](Argument Given) {
        Loop.post([Weak, Function,
                   Kept = std::make_shared<Argument>(std::move(Given))] {
          if (const std::shared_ptr<Owner> Alive = Weak.lock())
            Function(*Alive, std::move(*Kept));
        });
      };
}

/// Schedules \p Call on the loop for \p Deadline, if \p Owner exists then.
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
