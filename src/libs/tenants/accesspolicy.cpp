#include "whintack/tenants/accesspolicy.h"

#include <algorithm>

namespace whintack::tenants {

/// Age up to which a configuration is confirmed if the time for a change allows
/// it. A change must be in force 2 s after it was acknowledged.
static constexpr Duration LongestConfirmedAge = std::chrono::milliseconds(1500);
/// Reserved from the time for a change of the configuration.
static constexpr Duration ConfigurationMargin = std::chrono::milliseconds(500);
/// Reserved from the time for the removal of a key.
static constexpr Duration RevocationMargin = std::chrono::milliseconds(200);

AccessPolicy::AccessPolicy(const AccessBounds &Bounds)
    : MaxConfirmedAge(std::min(LongestConfirmedAge,
                               Bounds.ConfigurationTime - ConfigurationMargin)),
      MaxKeyAge(Bounds.RevocationTime
                    ? *Bounds.RevocationTime - RevocationMargin
                    : Duration::max()) {}

bool AccessPolicy::isConfirmed(Duration Age) const {
  return Age <= this->MaxConfirmedAge;
}

bool AccessPolicy::isStale(Duration Age) const { return Age > this->MaxKeyAge; }

AccessDecision AccessPolicy::decide(const TenantTable &Table,
                                    const AccessRequest &Request) const {
  const bool IsConfirmed = this->isConfirmed(Request.Age);
  if (Request.Queue == QueueAccess::Unknown)
    return {IsConfirmed ? AccessOutcome::QueueUnknown
                        : AccessOutcome::QueueUnconfirmed,
            TenantName()};
  // A VM that is cut off serves on; one that knows of a newer configuration
  // must not act on the present one for longer than a change may take.
  const bool IsOverdue = Request.IsOutdated && !IsConfirmed;
  if (Request.Queue == QueueAccess::Open)
    return {IsOverdue ? AccessOutcome::ConfigurationStale
                      : AccessOutcome::Allowed,
            TenantName()};
  const Tenant *Owner = Table.findByKey(Request.Key);
  if (!Owner && !IsConfirmed)
    return {AccessOutcome::KeyUnconfirmed, TenantName()};
  if (!Owner)
    return {Request.Key.empty() ? AccessOutcome::KeyMissing
                                : AccessOutcome::KeyUnknown,
            TenantName()};
  if (IsOverdue || this->isStale(Request.AgeAtArrival))
    return {AccessOutcome::ConfigurationStale, Owner->Name};
  return {AccessOutcome::Allowed, Owner->Name};
}

} // namespace whintack::tenants
