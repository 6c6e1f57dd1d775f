#ifndef WHINTACK_STORE_KEYVALUESTORE_H
#define WHINTACK_STORE_KEYVALUESTORE_H

#include "whintack/base/enumnames.h"
#include "whintack/base/result.h"
#include "whintack/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace whintack::store {

/// How a call to the platform failed.
enum class StoreErrorCode {
  /// The call was not executed.
  Unreachable,
  /// The call may have been executed; its answer was lost.
  Ambiguous,
  /// The key does not have the expected version.
  Conflict,
  /// The lease has lapsed.
  LeaseExpired,
  /// The value exceeds MaxValueBytes.
  TooLarge,
  /// This process has used up its calls per second; nothing was sent.
  OverBudget,
  /// The answer cannot be decoded.
  BadAnswer,
  /// The store no longer keeps the requested changes.
  HistoryLost,
};

inline constexpr EnumNames<StoreErrorCode, 8> StoreErrorNames = {{
    {StoreErrorCode::Unreachable, "unreachable"},
    {StoreErrorCode::Ambiguous, "ambiguous"},
    {StoreErrorCode::Conflict, "conflict"},
    {StoreErrorCode::LeaseExpired, "lease-lapsed"},
    {StoreErrorCode::TooLarge, "too-large"},
    {StoreErrorCode::OverBudget, "over-budget"},
    {StoreErrorCode::BadAnswer, "bad-answer"},
    {StoreErrorCode::HistoryLost, "history-lost"},
}};

/// How a call reached the platform's store.
enum class StorePath {
  Unknown,
  Direct,
  /// Through another entry VM.
  Peer,
  /// More than one copy of the call was sent.
  Several,
};

inline constexpr EnumNames<StorePath, 4> StorePathNames = {{
    {StorePath::Unknown, "unknown"},
    {StorePath::Direct, "direct"},
    {StorePath::Peer, "peer"},
    {StorePath::Several, "several"},
}};

/// Error of a call to the platform.
struct StoreError {
  StoreErrorCode Code = StoreErrorCode::Unreachable;
  std::string Message;
  /// Set by the VM that made the call, and not sent between VMs.
  StorePath Path = StorePath::Unknown;
};

template <typename T> using StoreResult = Result<T, StoreError>;

/// Maximum size of a value in the store, in bytes.
constexpr size_t MaxValueBytes = 1U << 20U;

/// A value with its version. Version 0 means that the key does not exist.
struct VersionedValue {
  std::string Value;
  uint64_t Version = 0;

  bool exists() const { return this->Version != 0; }
};

/// A value with its key.
struct KeyedValue {
  std::string Key;
  VersionedValue Stored;
};

/// Identifies a lease; 0 stands for none.
using LeaseId = uint64_t;

/// A write that takes effect only if the key still has ExpectedVersion.
struct ConditionalPut {
  std::string Key;
  uint64_t ExpectedVersion = 0;
  std::string Value;
  LeaseId Lease = 0;
};

/// Synchronous access to the platform's key-value service. Each call blocks
/// until its answer has arrived.
struct KeyValueStore {
  std::function<StoreResult<VersionedValue>(const std::string &Key)> Get;
  /// Returns all keys that begin with the prefix.
  std::function<StoreResult<std::vector<KeyedValue>>(const std::string &Prefix)>
      List;
  /// Returns the new version of the key.
  std::function<StoreResult<uint64_t>(const ConditionalPut &Put)> Put;
  /// Removes the key if it still has \p Version.
  std::function<StoreResult<void>(const std::string &Key, uint64_t Version)>
      Remove;
  std::function<StoreResult<LeaseId>(Duration Length)> GrantLease;
  std::function<StoreResult<void>(LeaseId Lease)> KeepAlive;
  std::function<StoreResult<void>(LeaseId Lease)> Revoke;
};

} // namespace whintack::store

#endif // WHINTACK_STORE_KEYVALUESTORE_H
