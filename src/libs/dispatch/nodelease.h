#ifndef WHINTACK_DISPATCH_NODELEASE_H
#define WHINTACK_DISPATCH_NODELEASE_H

#include "context.h"

#include <vector>

namespace whintack::dispatch::Internal {

/// The store lease of this process, under which it is registered as a member
/// and holds its shards. It is renewed periodically, and granted anew after it
/// has expired.
class NodeLease : public std::enable_shared_from_this<NodeLease> {
public:
  explicit NodeLease(Context Shared);

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

  /// Calls \p Hook each time a new lease is granted.
  void onGranted(std::function<void()> Hook);
  /// Calls \p Hook each time the store reports that the lease has expired.
  void onExpired(std::function<void()> Hook);

private:
  void grant();
  void renew();
  void scheduleNext(Duration Delay);

  Context Shared;
  store::LeaseId Id = 0;
  TimePoint ValidUntil = TimePoint::min();
  bool IsEnding = false;
  std::vector<std::function<void()>> GrantedHooks;
  std::vector<std::function<void()>> ExpiredHooks;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_NODELEASE_H
