#ifndef WHINTACK_STORE_ASYNCSTORE_H
#define WHINTACK_STORE_ASYNCSTORE_H

#include "whintack/base/identifier.h"
#include "whintack/store/keyvaluestore.h"

#include <optional>

namespace whintack::store {

/// A key in the store with its value.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// Revision of the store at the last change of the item.
  uint64_t Revision = 0;
  /// Lease to which the item is bound; 0 for none.
  LeaseId Lease = 0;
};

/// One page of the items under a prefix, ordered by key.
struct StorePage {
  std::vector<StoreItem> Items;
  bool HasMore = false;
  /// Revision of the store when the page was read.
  uint64_t AsOf = 0;
  /// Entry VM through which the answer came; empty if it came directly. Set by
  /// the receiver, and not sent between VMs.
  EntryName Via = EntryName();
};

/// A change that a watch reports. If there is no item, the key was removed.
struct StoreChange {
  std::string Key;
  uint64_t Revision = 0;
  std::optional<StoreItem> Item;
};

/// The changes that a watch has found.
struct WatchAnswer {
  std::vector<StoreChange> Changes;
  /// Revision after which the next watch continues.
  uint64_t AsOf = 0;
  /// Entry VM through which the answer came; empty if it came directly. Set by
  /// the receiver, and not sent between VMs.
  EntryName Via = EntryName();
};

/// A condition of a transaction: the revision that a key must have. 0 means
/// that the key must not exist.
struct ExpectedRevision {
  std::string Key;
  uint64_t Revision = 0;
};

/// A write of one key, bound to a lease unless that is 0.
struct StorePut {
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
};

/// Changes that are applied atomically if all conditions hold.
struct StoreTransaction {
  std::vector<ExpectedRevision> Expect;
  std::vector<StorePut> Puts;
  std::vector<std::string> Removals;
  /// One of the conditions fails once the transaction has been applied, and the
  /// caller recognizes its own earlier copy by the items of the answer. Such a
  /// transaction can be sent again, also on another path, if it is not
  /// answered.
  bool IsRepeatable = false;
};

/// The outcome of a transaction.
struct CommitAnswer {
  bool IsCommitted = false;
  uint64_t Revision = 0;
  /// If not committed: the items that exist under the keys of the conditions.
  std::vector<StoreItem> Current;
};

/// How current the answer to a read must be.
enum class ReadKind {
  /// Reflects all writes committed so far.
  Current,
  /// As Current, for pages that may fill a slow link: they are not read a
  /// second
  /// time on another path while the first call is open.
  Bulk,
  /// May be seconds old; costs the store a tenth of a current read.
  Stale,
};

/// Returns the item with the key; null if it is not among \p Items.
const StoreItem *findItem(const std::vector<StoreItem> &Items,
                          const std::string &Key);
/// Returns the revision of the item with the key; 0 if it is not among
/// \p Items, as in ExpectedRevision.
uint64_t revisionOf(const std::vector<StoreItem> &Items,
                    const std::string &Key);

/// Maximum number of entries of a transaction, over all three lists together.
constexpr size_t MaxTransactionEntries = 32;

template <typename T> using StoreCallback = std::function<void(StoreResult<T>)>;

/// Asynchronous access to the platform's key-value store. Calls return at once;
/// each callback is called exactly once, on any thread. A call whose answer was
/// lost fails as Ambiguous and may still take effect later.
struct AsyncStore {
  /// Reads one page of the items under \p Prefix whose keys follow \p After.
  std::function<void(const std::string &Prefix, const std::string &After,
                     ReadKind Kind, StoreCallback<StorePage> Done)>
      Range;
  /// Waits at most \p Wait for changes after the revision \p After. Fails as
  /// HistoryLost if the store no longer has these changes.
  std::function<void(const std::string &Prefix, uint64_t After, Duration Wait,
                     StoreCallback<WatchAnswer> Done)>
      Watch;
  /// Applies \p Change if all its conditions hold.
  std::function<void(const StoreTransaction &Change,
                     StoreCallback<CommitAnswer> Done)>
      Commit;
  std::function<void(Duration Length, StoreCallback<LeaseId> Done)> GrantLease;
  /// Renews the lease for its full length.
  std::function<void(LeaseId Lease, StoreCallback<void> Done)> KeepLease;
  /// Ends the lease and removes its items.
  std::function<void(LeaseId Lease, StoreCallback<void> Done)> EndLease;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_ASYNCSTORE_H
