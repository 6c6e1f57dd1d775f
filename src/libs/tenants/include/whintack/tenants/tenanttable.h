#ifndef WHINTACK_TENANTS_TENANTTABLE_H
#define WHINTACK_TENANTS_TENANTTABLE_H

#include "whintack/base/computeresources.h"
#include "whintack/base/identifier.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace whintack::tenants {

/// A tenant as the configuration declares it.
struct Tenant {
  TenantName Name;
  std::vector<std::string> Keys;
  /// Share of the tenant when room is short, and the number of its jobs per
  /// second that are owed service.
  double Weight = 1;
  /// What the tenant may have running on all executors; 0 for no limit.
  ComputeResources Maximum;
};

/// Finds tenants by key and by name. Immutable.
class TenantTable {
public:
  TenantTable() = default;
  explicit TenantTable(std::vector<Tenant> Tenants);

  /// The tenant that \p Key belongs to; null if there is none. The time that
  /// this takes does not depend on how much of a key matches.
  const Tenant *findByKey(std::string_view Key) const;
  /// The tenant with this name; null if there is none.
  const Tenant *named(const TenantName &Name) const;
  const std::vector<Tenant> &tenants() const { return this->Tenants; }

private:
  std::vector<Tenant> Tenants;
  std::map<TenantName, size_t> ByName;
};

/// A short digest of a key, for logs.
std::string keyDigest(std::string_view Key);

} // namespace whintack::tenants

#endif // WHINTACK_TENANTS_TENANTTABLE_H
