#include "whintack/local/availabilitymonitor.h"

#include <algorithm>

namespace whintack::local {

static constexpr Duration SampleInterval = std::chrono::milliseconds(5);

AvailabilityMonitor::AvailabilityMonitor(standin::VmSimulator &Machines)
    : Machines(Machines) {}

AvailabilityMonitor::~AvailabilityMonitor() {
  if (this->Thread.joinable())
    this->stop();
}

void AvailabilityMonitor::sample() {
  std::map<PoolName, int64_t> Up;
  for (const store::VmInfo &Vm : this->Machines.now())
    if (Vm.State == store::VmState::Live)
      ++Up[Vm.Pool];
  for (auto &[Pool, Low] : this->Minimums)
    Low.Lowest = std::min(Low.Lowest, Up[Pool]);
}

void AvailabilityMonitor::start(const std::map<PoolName, int64_t> &Required) {
  for (const auto &[Pool, Count] : Required)
    this->Minimums[Pool] = {INT64_MAX, Count};
  this->Thread = std::thread([this] {
    while (!this->Stop.waitFor(SampleInterval))
      this->sample();
  });
}

std::map<PoolName, AvailabilityMinimum> AvailabilityMonitor::stop() {
  this->Stop.request();
  this->Thread.join();
  return this->Minimums;
}

} // namespace whintack::local
