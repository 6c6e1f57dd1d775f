#ifndef WHINTACK_DISPATCH_QUOTARECORDS_H
#define WHINTACK_DISPATCH_QUOTARECORDS_H

#include "jobrecords.h"

#include "whintack/tenants/quota.h"

#include <vector>

namespace whintack::dispatch::Internal {

/// Number of records over which the shares of all tenants are spread.
inline constexpr size_t QuotaRecordCount = 16;

/// Number of the record that holds the shares of the tenant.
size_t quotaRecordOf(const TenantName &Tenant);
/// Key of the record with this number.
std::string quotaRecordKey(size_t Number);

/// The shares of one tenant, as recorded in the store.
struct StoredQuota {
  ComputeResources Maximum;
  std::map<ServiceName, ComputeResources> Shares;

  bool operator==(const StoredQuota &) const = default;
};

/// One of the records of shares.
struct QuotaRecord {
  /// Number of the plan that was stored last.
  uint64_t Plan = 0;
  std::map<TenantName, StoredQuota> Tenants;
};

/// A planner's answer to the coordinator.
struct QuotaAnswer {
  tenants::QuotaReport Report;
  /// Token of the claim under which the planner answers.
  uint64_t ClaimToken = 0;
};

/// Encode as JSON texts.
std::string encodeQuotaRecord(const QuotaRecord &Record);
std::string encodeQuotaGrants(const tenants::QuotaGrants &Grants);
/// Tenants that use and want nothing are left out, and represented by a hash of
/// the names of all tenants in the report.
std::string encodeQuotaAnswer(const QuotaAnswer &Answer);

/// Decode the JSON texts. Errors name the field.
Result<QuotaRecord, RecordError> decodeQuotaRecord(const std::string &Text);
Result<tenants::QuotaGrants, RecordError>
decodeQuotaGrants(const std::string &Text);
/// \p Known are the tenants with a maximum. Those that were left out are filled
/// in if the planner knows the same ones.
Result<QuotaAnswer, RecordError>
decodeQuotaAnswer(const std::string &Text,
                  const std::map<TenantName, ComputeResources> &Known);

/// The shares of one service in all records.
tenants::QuotaGrants grantsOf(const ServiceName &Service,
                              const std::vector<QuotaRecord> &Records);

} // namespace whintack::dispatch::Internal

#endif // WHINTACK_DISPATCH_QUOTARECORDS_H
