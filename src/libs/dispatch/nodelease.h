#ifndef WHINTACK_DISPATCH_NODELEASE_H
#define WHINTACK_DISPATCH_NODELEASE_H

#include "context.h"

#include <vector>

namespace whintack::dispatch::Internal {

/// The store's lease of this process, under which it stands as a member and
/// holds its shards. Renewed all the time; taken anew once it has lapsed.
class NodeLease : public std::enable_shared_from_this<NodeLease> {
public:
  explicit NodeLease(Context Shared);

  /// Length of the lease: a holder that died is replaced after this time.
  static constexpr Duration Length = std::chrono::seconds(2);

  void start();
  /// Ends the lease, and with it everything held under it.
  void end(const std::function<void()> &Done);

  /// The lease; 0 while there is none.
  store::LeaseId id() const { return this->Id; }
  /// Until when the store certainly keeps the lease, as far as is known here.
  TimePoint validUntil() const { return this->ValidUntil; }
  bool isValid() const {
    return this->Id != 0 && this->Shared.now() < this->ValidUntil;
  }

  /// Calls \p Hook each time when a new lease has been granted.
  void onGranted(std::function<void()> Hook);
  /// Calls \p Hook each time when the store has said that the lease ended.
  void onLapsed(std::function<void()> Hook);

private:
  void grant();
  void renew();
  void again(Duration Pause);

  Context Shared;
  store::LeaseId Id = 0;
  TimePoint ValidUntil = TimePoint::min();
  bool IsEnding = false;
  std::vector<std::function<void()>> GrantedHooks;
  std::vector<std::function<void()>> LapsedHooks;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_NODELEASE_H
