#include "whintack/local/availabilitywatch.h"

#include <algorithm>

namespace whintack::local {

static constexpr Duration SampleInterval = std::chrono::milliseconds(5);

AvailabilityWatch::AvailabilityWatch(standin::VmSimulator &Machines)
    : Machines(Machines) {}

AvailabilityWatch::~AvailabilityWatch() {
  if (this->Thread.joinable())
    this->stop();
}

void AvailabilityWatch::sample() {
  std::map<PoolName, int64_t> Up;
  for (const store::VmInfo &Vm : this->Machines.now())
    if (Vm.State == store::VmState::Live)
      ++Up[Vm.Pool];
  for (auto &[Pool, Low] : this->Lows)
    Low.Lowest = std::min(Low.Lowest, Up[Pool]);
}

void AvailabilityWatch::start(const std::map<PoolName, int64_t> &Required) {
  for (const auto &[Pool, Count] : Required)
    this->Lows[Pool] = {INT64_MAX, Count};
  this->Thread = std::thread([this] {
    while (!this->Stop.waitFor(SampleInterval))
      this->sample();
  });
}

std::map<PoolName, AvailabilityLow> AvailabilityWatch::stop() {
  this->Stop.request();
  this->Thread.join();
  return this->Lows;
}

} // namespace whintack::local
