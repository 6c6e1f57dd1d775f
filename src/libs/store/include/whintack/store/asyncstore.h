#ifndef WHINTACK_STORE_ASYNCSTORE_H
#define WHINTACK_STORE_ASYNCSTORE_H

#include "whintack/store/keyvaluestore.h"

#include <optional>

namespace whintack::store {

/// A value in the store.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// The store's revision at the item's last change.
  uint64_t Revision = 0;
  LeaseId Lease = 0;
};

/// Some of the items under a prefix, in the order of their keys.
struct StorePage {
  std::vector<StoreItem> Items;
  bool HasMore = false;
  /// The store's revision when the page was read.
  uint64_t AsOf = 0;
};

/// A change that a watch reports; without an item the key was removed.
struct StoreChange {
  std::string Key;
  uint64_t Revision = 0;
  std::optional<StoreItem> Item;
};

struct WatchAnswer {
  std::vector<StoreChange> Changes;
  /// Revision from which to go on.
  uint64_t AsOf = 0;
};

/// A key that must be at a revision; 0 says that it must not exist.
struct ExpectedRevision {
  std::string Key;
  uint64_t Revision = 0;
};

struct StorePut {
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
};

/// Changes that take place together, if all expectations hold.
struct StoreTransaction {
  std::vector<ExpectedRevision> Expect;
  std::vector<StorePut> Puts;
  std::vector<std::string> Removals;
};

struct CommitAnswer {
  bool IsCommitted = false;
  uint64_t Revision = 0;
  /// If not committed: the expected items that exist.
  std::vector<StoreItem> Current;
};

/// How current an answer has to be.
enum class ReadKind {
  /// As of now.
  Current,
  /// May be seconds old; costs a tenth.
  Stale,
};

/// Most entries of a transaction, all three lists together.
constexpr size_t MostTransactionEntries = 32;

template <typename T> using StoreCallback = std::function<void(StoreResult<T>)>;

/// The platform's store. Calls return at once; each callback is called once,
/// on any thread. A call whose answer was lost ends as Ambiguous and may still
/// take effect later.
struct AsyncStore {
  /// Reads the items under \p Prefix that come after \p After.
  std::function<void(const std::string &Prefix, const std::string &After,
                     ReadKind Kind, StoreCallback<StorePage> Done)>
      Range;
  /// Waits for at most \p Wait for changes after the revision \p After. Ends as
  /// HistoryLost if these can no longer be told.
  std::function<void(const std::string &Prefix, uint64_t After, Duration Wait,
                     StoreCallback<WatchAnswer> Done)>
      Watch;
  std::function<void(const StoreTransaction &Change,
                     StoreCallback<CommitAnswer> Done)>
      Commit;
  std::function<void(Duration Length, StoreCallback<LeaseId> Done)> GrantLease;
  std::function<void(LeaseId Lease, StoreCallback<void> Done)> KeepLease;
  std::function<void(LeaseId Lease, StoreCallback<void> Done)> EndLease;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_ASYNCSTORE_H
