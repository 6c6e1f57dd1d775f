#include "whintack/tenants/fairshares.h"

#include <algorithm>

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

} // namespace whintack::tenants
