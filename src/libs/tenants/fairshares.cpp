#include "whintack/tenants/fairshares.h"

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

namespace whintack::tenants {

static double part(int64_t Use, int64_t Capacity) {
  return Capacity > 0 ? static_cast<double>(Use) / static_cast<double>(Capacity)
                      : 0;
}

double dominantPart(const ComputeResources &Use,
                    const ComputeResources &Capacity) {
  return std::max({part(Use.MilliCores, Capacity.MilliCores),
                   part(Use.MemoryMb, Capacity.MemoryMb),
                   part(Use.Gpus, Capacity.Gpus)});
}

namespace {

constexpr size_t ResourceCount = 3;
/// Parts of the pool, by resource.
using Parts = std::array<double, ResourceCount>;

/// A tenant while its part still grows.
struct GrowingPart {
  TenantName Tenant;
  double Weight = 1;
  /// What the tenant demands of the resource that it uses most.
  double Demand = 0;
  /// What it uses of each resource for each unit of that one.
  Parts Ratio = {};
};

} // namespace

/// Differences of parts below this are rounding errors.
static constexpr double Precision = 1e-12;

static Parts partsOf(const ComputeResources &Use,
                     const ComputeResources &Capacity) {
  return {part(Use.MilliCores, Capacity.MilliCores),
          part(Use.MemoryMb, Capacity.MemoryMb), part(Use.Gpus, Capacity.Gpus)};
}

std::map<TenantName, double>
fairShares(const std::map<TenantName, ShareClaim> &Claims,
           const ComputeResources &Capacity) {
  std::map<TenantName, double> Shares;
  std::vector<GrowingPart> Growing;
  for (const auto &[Tenant, Claim] : Claims) {
    Shares[Tenant] = 0;
    const double Demand = dominantPart(Claim.Demand, Capacity);
    if (Demand <= 0 || Claim.Weight <= 0)
      continue;
    GrowingPart Each{Tenant, Claim.Weight, Demand,
                     partsOf(Claim.Demand, Capacity)};
    for (double &Ratio : Each.Ratio)
      Ratio /= Demand;
    // No part can exceed the pool; a huge demand would only cost precision.
    Each.Demand = std::min(Demand, 1.0);
    Growing.push_back(std::move(Each));
  }
  // All parts grow at the rate of their weights. A part stops to grow when the
  // demand is met or a resource that the tenant uses is exhausted.
  Parts Left = {1, 1, 1};
  while (!Growing.empty()) {
    Parts Rate = {};
    double Step = std::numeric_limits<double>::max();
    for (const GrowingPart &Each : Growing) {
      Step = std::min(Step, (Each.Demand - Shares[Each.Tenant]) / Each.Weight);
      for (size_t Index = 0; Index < ResourceCount; ++Index)
        Rate[Index] += Each.Weight * Each.Ratio[Index];
    }
    for (size_t Index = 0; Index < ResourceCount; ++Index)
      if (Rate[Index] > 0)
        Step = std::min(Step, Left[Index] / Rate[Index]);
    for (size_t Index = 0; Index < ResourceCount; ++Index) {
      Left[Index] -= Step * Rate[Index];
      if (Left[Index] < Precision)
        Left[Index] = 0;
    }
    for (const GrowingPart &Each : Growing)
      Shares[Each.Tenant] += Step * Each.Weight;
    std::erase_if(Growing, [&](const GrowingPart &Each) {
      if (Each.Demand - Shares[Each.Tenant] < Precision)
        return true;
      for (size_t Index = 0; Index < ResourceCount; ++Index)
        if (Left[Index] == 0 && Each.Ratio[Index] > 0)
          return true;
      return false;
    });
  }
  return Shares;
}

} // namespace whintack::tenants
