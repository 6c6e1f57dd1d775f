#ifndef WHINTACK_STORE_STORECALL_H
#define WHINTACK_STORE_STORECALL_H

#include "whintack/store/asyncstore.h"

namespace whintack::store {

/// Operations of AsyncStore.
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

/// A call to the store as a value, so that it can be forwarded to another entry
/// VM. Each kind uses only the fields that match the parameters of its
/// AsyncStore function.
struct StoreCall {
  StoreCallKind Kind = StoreCallKind::Range;
  std::string Prefix;
  /// Range: key after which the page begins.
  std::string AfterKey;
  ReadKind Read = ReadKind::Current;
  /// Watch: revision after which changes are reported.
  uint64_t AfterRevision = 0;
  /// Watch: longest wait. GrantLease: duration of the lease.
  Duration Length = Duration::zero();
  LeaseId Lease = 0;
  StoreTransaction Change;
};

/// The answer to a StoreCall. Only the field that belongs to its kind is set.
struct StoreReply {
  StorePage Page;
  WatchAnswer Watched;
  CommitAnswer Committed;
  LeaseId Lease = 0;
};

/// Returns whether a call that may have been executed can be made again without
/// harm.
bool isRepeatable(const StoreCall &Call);

/// Number of bytes of the keys and values in the answer.
size_t contentBytes(const StoreReply &Reply);

/// Executes the call \p Request on \p Store.
void executeStoreCall(const AsyncStore &Store, const StoreCall &Request,
                      StoreCallback<StoreReply> Done);

/// Executes or forwards a call and reports its answer.
using StoreCallHandler =
    std::function<void(StoreCall, StoreCallback<StoreReply>)>;

/// Returns a store that passes every call to \p Handler.
AsyncStore makeForwardingStore(const StoreCallHandler &Handler);

} // namespace whintack::store

#endif // WHINTACK_STORE_STORECALL_H
