#ifndef WHINTACK_STORE_STORECALL_H
#define WHINTACK_STORE_STORECALL_H

#include "whintack/store/asyncstore.h"

namespace whintack::store {

/// What a StoreCall asks for.
enum class StoreCallKind {
  Range,
  Watch,
  Commit,
  GrantLease,
  KeepLease,
  EndLease,
};

inline constexpr EnumNames<StoreCallKind, 6> StoreCallNames = {{
    {StoreCallKind::Range, "range"},
    {StoreCallKind::Watch, "watch"},
    {StoreCallKind::Commit, "commit"},
    {StoreCallKind::GrantLease, "grant-lease"},
    {StoreCallKind::KeepLease, "keep-lease"},
    {StoreCallKind::EndLease, "end-lease"},
}};

/// A call to the store as a value, so that it can be passed on. Each kind uses
/// only the fields that its counterpart in AsyncStore takes.
struct StoreCall {
  StoreCallKind Kind = StoreCallKind::Range;
  std::string Prefix;
  /// Key after which a range goes on.
  std::string AfterKey;
  ReadKind Read = ReadKind::Current;
  /// Revision after which a watch goes on.
  uint64_t AfterRevision = 0;
  /// How long a watch waits, or a lease lasts.
  Duration Length = Duration::zero();
  LeaseId Lease = 0;
  StoreTransaction Change;
};

/// The answer to a StoreCall; only the field of its kind is set.
struct StoreReply {
  StorePage Page;
  WatchAnswer Watched;
  CommitAnswer Committed;
  LeaseId Lease = 0;
};

/// Tells whether a call that may have been carried out can be made again
/// without changing what it does.
bool isRepeatable(StoreCallKind Kind);

/// Makes the call at \p Store.
void makeCall(const AsyncStore &Store, const StoreCall &Asked,
              StoreCallback<StoreReply> Done);

/// Carries a call out, or passes it on.
using StoreCallHandler =
    std::function<void(StoreCall, StoreCallback<StoreReply>)>;

/// Returns a store whose calls all go through \p Call.
AsyncStore storeOver(const StoreCallHandler &Call);

} // namespace whintack::store

#endif // WHINTACK_STORE_STORECALL_H
