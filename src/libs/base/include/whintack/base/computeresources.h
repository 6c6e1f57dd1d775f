#ifndef WHINTACK_BASE_COMPUTERESOURCES_H
#define WHINTACK_BASE_COMPUTERESOURCES_H

#include <cstdint>

namespace whintack {

/// Processor resources are counted in thousandths of a core.
constexpr int64_t MilliCoresPerCore = 1000;

/// Resources that a task requests or that an executor has.
struct ComputeResources {
  int64_t MilliCores = 0;
  int64_t MemoryMb = 0;
  int64_t Gpus = 0;

  /// Whether \p Need fits into these resources.
  bool covers(const ComputeResources &Need) const {
    return Need.MilliCores <= this->MilliCores &&
           Need.MemoryMb <= this->MemoryMb && Need.Gpus <= this->Gpus;
  }
  ComputeResources &operator+=(const ComputeResources &Other) {
    this->MilliCores += Other.MilliCores;
    this->MemoryMb += Other.MemoryMb;
    this->Gpus += Other.Gpus;
    return *this;
  }
  ComputeResources &operator-=(const ComputeResources &Other) {
    this->MilliCores -= Other.MilliCores;
    this->MemoryMb -= Other.MemoryMb;
    this->Gpus -= Other.Gpus;
    return *this;
  }
  bool operator==(const ComputeResources &) const = default;
};

} // namespace whintack

#endif // WHINTACK_BASE_COMPUTERESOURCES_H
