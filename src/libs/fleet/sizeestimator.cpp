#include "whintack/fleet/sizeestimator.h"

#include <algorithm>

namespace whintack::fleet {

static constexpr int64_t WholePercent = 100;
/// Reports needed before the declared size is replaced.
static constexpr int64_t MinSamples = 3;
static constexpr int64_t SmallHeadroomPercent = 10;
static constexpr int64_t LargeHeadroomPercent = 40;
/// An estimate is at least the declared size divided by this.
static constexpr int64_t MinEstimateDivisor = 10;

SizeEstimator::SizeEstimator(const declaration::Weights &Cost)
    : HeadroomPercent(Cost.BufferCost > Cost.Moves ? SmallHeadroomPercent
                                                   : LargeHeadroomPercent) {}

void SizeEstimator::recordUsage(const JobName &Job, const Resources &Used) {
  ObservedUsage &Known = this->Jobs[Job];
  ++Known.Samples;
  Known.Peak.MilliCores = std::max(Known.Peak.MilliCores, Used.MilliCores);
  Known.Peak.MemoryMb = std::max(Known.Peak.MemoryMb, Used.MemoryMb);
  Known.Peak.Accelerators =
      std::max(Known.Peak.Accelerators, Used.Accelerators);
}

static int64_t withHeadroom(int64_t Peak, int64_t Percent, int64_t Declared) {
  const int64_t Raised = Peak * (WholePercent + Percent) / WholePercent;
  return std::max(Raised, Declared / MinEstimateDivisor);
}

Resources SizeEstimator::estimate(const declaration::Job &Job) const {
  const auto Found = this->Jobs.find(Job.Name);
  if (Found == this->Jobs.end() || Found->second.Samples < MinSamples)
    return Job.Size;
  const Resources &Peak = Found->second.Peak;
  Resources Expected;
  Expected.MilliCores =
      withHeadroom(Peak.MilliCores, this->HeadroomPercent, Job.Size.MilliCores);
  Expected.MemoryMb =
      withHeadroom(Peak.MemoryMb, this->HeadroomPercent, Job.Size.MemoryMb);
  // Accelerators are not shared and are allocated whole, so they get no
  // headroom.
  Expected.Accelerators = std::max(Peak.Accelerators, Job.Size.Accelerators);
  return Expected;
}

} // namespace whintack::fleet
