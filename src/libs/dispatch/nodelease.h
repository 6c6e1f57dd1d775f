#ifndef WHINTACK_DISPATCH_NODELEASE_H
#define WHINTACK_DISPATCH_NODELEASE_H

#include "claimphase.h"
#include "context.h"

#include <vector>

namespace whintack::dispatch::Internal {

/// The store lease of this process, under which it is registered as a member
/// and holds its shards. It is renewed periodically, and granted anew after it
/// has expired.
class NodeLease : public std::enable_shared_from_this<NodeLease> {
public:
  /// \p Grace is how long holders of claims go on after the lease may have
  /// expired, while the store does not answer; zero if they do not.
  explicit NodeLease(Context Shared, Duration Grace = Duration::zero());

  /// Length of the lease; a holder that died is replaced after this time.
  static constexpr Duration Length = std::chrono::seconds(2);

  void start();
  /// Ends the lease, and with it everything held under it, then calls \p Done.
  /// It is not valid from this call on.
  void end(const std::function<void()> &Done);

  /// Id of the lease; 0 while there is none.
  store::LeaseId id() const { return this->Id; }
  /// Time until which the store certainly keeps the lease, as far as this
  /// process knows.
  TimePoint validUntil() const { return this->ValidUntil; }
  bool isValid() const {
    return this->Id != 0 && this->Shared.now() < this->ValidUntil;
  }

  /// Time until which orders may be sent if the store has not reported that the
  /// lease has ended; counted from the last renewal that succeeded.
  TimePoint graceUntil() const { return this->GraceUntil; }
  /// When a grace of this length ends, by a clock that may be slow.
  static TimePoint endOfGrace(TimePoint ValidUntil, Duration Grace);
  ClaimPhase phase() const {
    return claimPhase(this->Shared.now(), this->ValidUntil, this->GraceUntil);
  }

  /// Calls \p Hook each time a new lease is granted.
  void onGranted(std::function<void()> Hook);
  /// Calls \p Hook each time the store reports that the lease has expired.
  void onExpired(std::function<void()> Hook);

private:
  void grant();
  void renew();
  void noteKept(TimePoint Sent);
  void noteEnded();
  void scheduleNext(Duration Delay);

  Context Shared;
  store::LeaseId Id = 0;
  Duration Grace;
  TimePoint ValidUntil = TimePoint::min();
  TimePoint GraceUntil = TimePoint::min();
  /// Number of the last renewal that was sent, and of the last one that was
  /// answered.
  uint64_t LastSent = 0;
  uint64_t LastAnswered = 0;
  bool IsEnding = false;
  std::vector<std::function<void()>> GrantedHooks;
  std::vector<std::function<void()>> ExpiredHooks;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_NODELEASE_H
