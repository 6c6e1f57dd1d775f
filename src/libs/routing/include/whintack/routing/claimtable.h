#ifndef WHINTACK_ROUTING_CLAIMTABLE_H
#define WHINTACK_ROUTING_CLAIMTABLE_H

#include "whintack/base/enumnames.h"
#include "whintack/base/identifier.h"
#include "whintack/base/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace whintack::routing {

/// A caller's idempotency key within one service.
struct RequestKey {
  ServiceName Service;
  CallerName Caller;
  std::string Text;

  bool operator==(const RequestKey &) const = default;
  /// The three parts as one string, used as the key of ClaimTable and for
  /// hashing.
  std::string joined() const;
};

/// State of a request with an idempotency key, as one owner knows it.
enum class ClaimState {
  /// No request has claimed the key.
  Unclaimed,
  /// The request was sent and has not been answered.
  Running,
  /// The request was answered; the answer is recorded.
  Done,
  /// The request ended without an answer and may have run.
  Unknown,
  /// The owner cannot tell: it is not synchronized with the other owners yet,
  /// or it has no room to record the key.
  Unsure,
};

inline constexpr EnumNames<ClaimState, 5> ClaimStateNames = {{
    {ClaimState::Unclaimed, "unclaimed"},
    {ClaimState::Running, "running"},
    {ClaimState::Done, "done"},
    {ClaimState::Unknown, "unknown"},
    {ClaimState::Unsure, "unsure"},
}};

/// The claim on one key, as recorded by an owner.
struct Claim {
  ClaimState State = ClaimState::Unclaimed;
  /// Entry VM that sent the request.
  EntryName Holder;
  RequestId Request;
  /// Digest of method, target and body. Using the key for a request with
  /// another digest is an error of the caller.
  std::string Digest;
  /// The encoded answer, if the state is Done.
  std::string Answer;
};

/// A claim with its key, as exchanged between owners.
struct KeyedClaim {
  std::string Key;
  Claim Value;
};

/// The claims on idempotency keys that one entry VM records as an owner. Each
/// key has two owners in its data centre, so that the loss of one entry VM
/// loses no claim. Has no side effects outside the table; not thread-safe.
class ClaimTable {
public:
  /// Keeps each claim for \p Retention after its last change. New keys are not
  /// recorded once \p MaxBytes are in use.
  ClaimTable(Duration Retention, size_t MaxBytes);

  /// Sets whether the claims of the other owners have been merged. Until then
  /// the table answers Unsure for keys that it does not contain.
  void setSynchronized(bool IsSynchronized);
  bool isSynchronized() const { return this->IsSynchronized; }

  /// Claims \p Key for \p Wanted unless it is claimed already. Returns the
  /// claim before the call.
  Claim claim(const std::string &Key, const Claim &Wanted, TimePoint Now);
  /// Records how the request ended. Ignored if another request holds the claim.
  void settle(const std::string &Key, const Claim &Ended, TimePoint Now);
  /// Removes the claim of \p Request, which was certainly not run.
  void forget(const std::string &Key, const RequestId &Request);
  /// Merges a claim of another owner, unless the claim recorded here is at
  /// least as far advanced.
  void merge(const KeyedClaim &Other, TimePoint Now);
  /// All claims, to synchronize an owner that has just started.
  std::vector<KeyedClaim> all() const;
  /// Removes claims whose retention period has ended.
  void expire(TimePoint Now);

  size_t size() const { return this->Claims.size(); }
  size_t bytes() const { return this->Bytes; }
  /// Whether another key can be recorded.
  bool hasRoom() const { return this->Bytes < this->MaxBytes; }

private:
  struct Entry {
    Claim Kept;
    TimePoint ExpiresAt;
  };
  struct Expiry {
    TimePoint Deadline;
    std::string Key;
  };

  void store(const std::string &Key, const Claim &Kept, TimePoint Now);
  void erase(const std::string &Key);

  Duration Retention;
  size_t MaxBytes;
  size_t Bytes = 0;
  bool IsSynchronized = false;
  std::unordered_map<std::string, Entry> Claims;
  std::deque<Expiry> Expiries;
};

/// The owners of \p Key among \p Members by rendezvous hashing, highest weight
/// first. Returns two, or fewer if there are fewer members.
std::vector<EntryName> keyOwners(const std::string &Key,
                                 const std::vector<EntryName> &Members);

/// What to do with a keyed request once the owners of its key have answered.
enum class ClaimVerdict {
  /// The request holds the claim and may be sent.
  Send,
  /// Return the recorded answer to the caller.
  Replay,
  /// Another request with the same key is running.
  InUse,
  /// An earlier request with the key may have run; its outcome is unknown.
  Unknown,
  /// No owner could confirm that the key is unclaimed. The request is not run.
  NoOwnerAvailable,
  /// The key was used for a request with another digest.
  Mismatch,
};

/// The answer of one owner of a key; Before is valid only if HasAnswered is
/// set.
struct OwnerAnswer {
  EntryName Owner;
  bool HasAnswered = false;
  Claim Before;
};

/// Decides from the answers of the owners what to do with the request. It is
/// sent only if at least one owner confirms that the key is unclaimed and no
/// owner reports a claim.
ClaimVerdict resolveClaim(const std::vector<OwnerAnswer> &Answers,
                          const std::string &Digest);

} // namespace whintack::routing

#endif // WHINTACK_ROUTING_CLAIMTABLE_H
