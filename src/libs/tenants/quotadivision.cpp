#include "quotadivision.h"

#include <algorithm>
#include <numeric>

namespace whintack::tenants::Internal {

ComputeResources largerOf(const ComputeResources &First,
                          const ComputeResources &Second) {
  ComputeResources Larger;
  for (const auto Kind : ResourceKinds)
    Larger.*Kind = std::max(First.*Kind, Second.*Kind);
  return Larger;
}

ComputeResources smallerOf(const ComputeResources &First,
                           const ComputeResources &Second) {
  ComputeResources Smaller;
  for (const auto Kind : ResourceKinds)
    Smaller.*Kind = std::min(First.*Kind, Second.*Kind);
  return Smaller;
}

std::vector<int64_t> divideMaxMin(int64_t Total,
                                  const std::vector<int64_t> &Demands) {
  std::vector<size_t> Order(Demands.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::stable_sort(Order.begin(), Order.end(),
                   [&Demands](size_t First, size_t Second) {
                     return Demands[First] < Demands[Second];
                   });
  std::vector<int64_t> Parts(Demands.size(), 0);
  int64_t Left = std::max<int64_t>(Total, 0);
  auto Open = static_cast<int64_t>(Demands.size());
  // The smallest demands come first, so what one leaves goes to the larger.
  for (const size_t Index : Order) {
    Parts[Index] = std::clamp<int64_t>(Demands[Index], 0, Left / Open);
    Left -= Parts[Index];
    --Open;
  }
  return Parts;
}

std::vector<int64_t> divideEqually(int64_t Total, size_t Count) {
  return divideMaxMin(Total, std::vector<int64_t>(Count, Unbounded));
}

int64_t scaled(int64_t Value, int64_t Numerator, int64_t Denominator) {
  return Value / Denominator * Numerator +
         Value % Denominator * Numerator / Denominator;
}

} // namespace whintack::tenants::Internal
