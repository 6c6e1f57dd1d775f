#ifndef WHINTACK_TENANTS_ACCESSPOLICY_H
#define WHINTACK_TENANTS_ACCESSPOLICY_H

#include "whintack/base/enumnames.h"
#include "whintack/base/time.h"
#include "whintack/tenants/tenanttable.h"

#include <optional>
#include <string_view>

namespace whintack::tenants {

/// What the current configuration says about the queue of a call.
enum class QueueAccess {
  /// The configuration has no such queue.
  Unknown,
  /// Clients need no key, and a key is ignored.
  Open,
  Keyed,
};

inline constexpr EnumNames<QueueAccess, 3> QueueAccessNames = {{
    {QueueAccess::Unknown, "unknown"},
    {QueueAccess::Open, "open"},
    {QueueAccess::Keyed, "keyed"},
}};

/// How long a configuration may be used.
struct AccessBounds {
  /// Time within which a change of the configuration must be in force.
  Duration ConfigurationTime = Duration::zero();
  /// Time after which a removed key must not work on any VM; std::nullopt if
  /// calls with keys are served whatever the age of the configuration is.
  std::optional<Duration> RevocationTime;
};

/// Whether a call may proceed, or why it may not.
enum class AccessOutcome {
  Allowed,
  QueueUnknown,
  /// The queue is unknown, but a newer configuration may have it.
  QueueUnconfirmed,
  KeyMissing,
  KeyUnknown,
  /// The key is missing or unknown, but a newer configuration may allow it.
  KeyUnconfirmed,
  /// The queue and the key are known, but the key may have been removed too
  /// long ago, or a newer configuration should be in force by now.
  ConfigurationStale,
};

inline constexpr EnumNames<AccessOutcome, 7> AccessOutcomeNames = {{
    {AccessOutcome::Allowed, "allowed"},
    {AccessOutcome::QueueUnknown, "queue-unknown"},
    {AccessOutcome::QueueUnconfirmed, "queue-unconfirmed"},
    {AccessOutcome::KeyMissing, "key-missing"},
    {AccessOutcome::KeyUnknown, "key-unknown"},
    {AccessOutcome::KeyUnconfirmed, "key-unconfirmed"},
    {AccessOutcome::ConfigurationStale, "configuration-stale"},
}};

/// A call whose access is to be decided.
struct AccessRequest {
  QueueAccess Queue = QueueAccess::Unknown;
  /// The key that came with the call; empty if there was none.
  std::string_view Key;
  /// Age of the configuration now. A refusal is only as certain as the
  /// knowledge that it is based on.
  Duration Age = Duration::zero();
  /// Age that the configuration had when the call arrived. It decides whether a
  /// known key may still be used, because the bound applies to the time at
  /// which a call was sent, not to the time that its handling takes.
  Duration AgeAtArrival = Duration::zero();
  /// A newer configuration is known to exist, but is not in force here yet.
  bool IsOutdated = false;
};

/// The decision on a call.
struct AccessDecision {
  AccessOutcome Outcome = AccessOutcome::QueueUnconfirmed;
  /// The tenant that the key belongs to; empty if the key is unknown or the
  /// queue needs none.
  TenantName Tenant;
};

/// Decides from a configuration of a known age which calls may proceed. Does no
/// I/O and reads no clock.
class AccessPolicy {
public:
  explicit AccessPolicy(const AccessBounds &Bounds);

  /// Whether a configuration of this age can be relied on for a refusal.
  bool isConfirmed(Duration Age) const;
  /// Whether a configuration of this age is too old for calls with keys.
  bool isStale(Duration Age) const;
  AccessDecision decide(const TenantTable &Table,
                        const AccessRequest &Request) const;

private:
  Duration MaxConfirmedAge;
  /// Maximum age for calls with keys; Duration::max() if there is none.
  Duration MaxKeyAge;
};

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_ACCESSPOLICY_H
