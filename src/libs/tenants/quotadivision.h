#ifndef WHINTACK_TENANTS_QUOTADIVISION_H
#define WHINTACK_TENANTS_QUOTADIVISION_H

#include "whintack/base/computeresources.h"

#include <array>
#include <cstddef>
#include <vector>

namespace whintack::tenants::Internal {

/// The resources that a maximum can limit.
inline constexpr std::array<int64_t ComputeResources::*, 3> ResourceKinds = {
    &ComputeResources::MilliCores, &ComputeResources::MemoryMb,
    &ComputeResources::Gpus};

/// More than any maximum; sums of it do not overflow.
inline constexpr int64_t Unbounded = 1'000'000'000'000'000;
inline constexpr ComputeResources UnboundedResources = {Unbounded, Unbounded,
                                                        Unbounded};

ComputeResources largerOf(const ComputeResources &First,
                          const ComputeResources &Second);
ComputeResources smallerOf(const ComputeResources &First,
                           const ComputeResources &Second);

/// Divides \p Total by max-min fairness: no demand gets more than it asks for,
/// and those that get less get the same. The result adds up to the smaller of
/// \p Total and of the sum of the demands.
std::vector<int64_t> divideMaxMin(int64_t Total,
                                  const std::vector<int64_t> &Demands);
/// Divides \p Total into \p Count parts that differ by at most one.
std::vector<int64_t> divideEqually(int64_t Total, size_t Count);

/// Returns Value * Numerator / Denominator, rounded down.
int64_t scaled(int64_t Value, int64_t Numerator, int64_t Denominator);

} // namespace whintack::tenants::Internal

#endif // WHINTACK_TENANTS_QUOTADIVISION_H
