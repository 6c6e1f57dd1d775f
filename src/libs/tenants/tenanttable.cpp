#include "whintack/tenants/tenanttable.h"

#include "whintack/base/digest.h"

namespace whintack::tenants {

/// Compares two texts in a time that depends only on their lengths.
static bool areEqual(std::string_view First, std::string_view Second) {
  if (First.size() != Second.size())
    return false;
  unsigned Difference = 0;
  for (size_t Index = 0; Index < First.size(); ++Index)
    Difference |= static_cast<unsigned char>(First[Index]) ^
                  static_cast<unsigned char>(Second[Index]);
  return Difference == 0;
}

TenantTable::TenantTable(std::vector<Tenant> Given)
    : Tenants(std::move(Given)) {
  for (size_t Index = 0; Index < this->Tenants.size(); ++Index)
    this->ByName.emplace(this->Tenants[Index].Name, Index);
}

const Tenant *TenantTable::findByKey(std::string_view Key) const {
  const Tenant *Found = nullptr;
  if (Key.empty())
    return Found;
  for (const Tenant &Each : this->Tenants)
    for (const std::string &Known : Each.Keys)
      if (areEqual(Known, Key))
        Found = &Each;
  return Found;
}

const Tenant *TenantTable::named(const TenantName &Name) const {
  const auto Found = this->ByName.find(Name);
  return Found == this->ByName.end() ? nullptr : &this->Tenants[Found->second];
}

std::string keyDigest(std::string_view Key) {
  constexpr size_t DigestDigits = 8;
  return contentDigest(Key).substr(0, DigestDigits);
}

} // namespace whintack::tenants
