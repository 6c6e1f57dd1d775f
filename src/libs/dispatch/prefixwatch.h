#ifndef WHINTACK_DISPATCH_PREFIXWATCH_H
#define WHINTACK_DISPATCH_PREFIXWATCH_H

#include "context.h"

#include <map>
#include <set>
#include <string>

namespace whintack::dispatch::Internal {

/// All items under a prefix, by key.
using ItemMap = std::map<std::string, store::StoreItem>;

/// Called with all items and the keys that have changed. The first call comes
/// after the first complete reading.
using ItemHook =
    std::function<void(const ItemMap &Items, const std::set<std::string> &)>;

/// Follows the items under a prefix: reads them all, then waits for changes;
/// reads anew if the store has dropped its history. Each wait is short, so
/// that a connection that went silent is noticed within seconds.
class PrefixWatch : public std::enable_shared_from_this<PrefixWatch> {
public:
  /// \p OnRevision, if given, gets each revision that the store names.
  PrefixWatch(Context Shared, std::string Prefix, ItemHook OnChange,
              std::function<void(uint64_t Revision)> OnRevision = nullptr);

  void start();
  void stop() { this->IsStopped = true; }
  /// Whether the store answered the last call.
  bool isCurrent() const { return this->IsCurrent; }
  /// The store's revision up to which the items are known.
  uint64_t asOf() const { return this->AsOf; }

private:
  void readPage(const std::string &After);
  void takePage(store::StoreResult<store::StorePage> Answer);
  void watch();
  void takeChanges(store::StoreResult<store::WatchAnswer> Answer);
  void replaceAll();
  void retry(const store::StoreError &Cause, bool FromStart);

  Context Shared;
  std::string Prefix;
  ItemHook OnChange;
  std::function<void(uint64_t Revision)> OnRevision;
  ItemMap Items;
  ItemMap Reading;
  uint64_t AsOf = 0;
  uint64_t ReadingAsOf = 0;
  bool IsCurrent = false;
  bool IsStopped = false;
};

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_PREFIXWATCH_H
